package node

import (
	"context"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/distribution"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
	"geraniumnotch.example/geraniumnotch/settings"
)

const testSettings = `[node]
host = host-1
failure-domain = domain-1
[listen]
peer = 127.0.0.1:0
call = 127.0.0.1:0
entry = 127.0.0.1:0
operator = 127.0.0.1:0
endpoints = 127.0.0.1:0
[store]
address = 127.0.0.1:0
`

func TestNodeLifeCycle(t *testing.T) {
	Convey("Given a single node and a store that holds a version", t, func() {
		s, err := settings.Parse([]byte(testSettings))
		So(err, ShouldBeNil)
		store := memory.New()
		_, err = authority.New(store, authority.Options{}).Propose(context.Background(), authority.Proposal{
			ChangeID: "change-1", Author: "test", Edits: []lists.Edit{{
				Key:   lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindService, Name: "service-1"},
				After: lists.Fields{"other-share": "0.2", "long-share": "0.5", "max-queue": "10"},
			}},
		})
		So(err, ShouldBeNil)
		activated := make(chan *lists.Version, 1)
		n, err := New(s, Options{Store: store, OnVersion: func(v *lists.Version) { activated <- v }})
		So(err, ShouldBeNil)
		So(n.Start(context.Background()), ShouldBeNil)

		Convey("it serves the version and its metrics, and stops without calls in flight", func() {
			So((<-activated).ID.Sequence, ShouldEqual, 1)
			resp, err := http.Get("http://" + n.Addresses().Operator + "/metrics")
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			for _, name := range []string{"geraniumnotch_version_sequence 1", "geraniumnotch_control_bytes", "geraniumnotch_store_calls", "geraniumnotch_version_delay"} {
				So(string(body), ShouldContainSubstring, name)
			}
			client, err := operator.NewClient(n.Addresses().Operator)
			So(err, ShouldBeNil)
			status, err := client.Status(context.Background())
			So(err, ShouldBeNil)
			So(status.Node.Version.Sequence, ShouldEqual, 1)
			So(status.Node.Since.IsZero(), ShouldBeFalse)
			So(status.Node.From, ShouldBeEmpty)
			So(n.Stop(context.Background()), ShouldBeNil)
		})
		Convey("a port in use is an error before anything starts", func() {
			taken := *s
			taken.Listen.Entry = n.Addresses().Entry
			_, err := New(&taken, Options{Store: store})
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "entry address")
			n.Kill()
		})
	})
}

// Guards against a lagging node whose status gives no reason.
func TestLagReason(t *testing.T) {
	held := mesh.VersionID{Sequence: 3}
	linked := []distribution.LinkStatus{{Host: "host-2"}}
	Convey("A node names the first reason that applies", t, func() {
		for want, s := range map[string]distribution.Status{
			"":                                 {Accepted: held, Ready: true, Links: linked},
			"another version with sequence 3":  {Accepted: held, Ready: true, Links: linked, Conflict: &held},
			"no link to another node":          {Accepted: held, Ready: true},
			"no version has arrived":           {Links: linked},
			"comparing its version with peers": {Accepted: held, Links: linked},
		} {
			So(lagReason(s, ""), ShouldStartWith, want)
		}
		So(lagReason(distribution.Status{}, "sequence 4: invalid"), ShouldEqual, "the newer version was rejected")
	})
}
