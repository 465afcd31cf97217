package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// Guards against bodies of any length, announced or just sent, and against an endpoint that
// takes a part of one for the whole.
func TestBodiesOverTheLimit(t *testing.T) {
	Convey("Given an entry that accepts 1,000 bytes", t, func() {
		const limit = 1000
		var whole atomic.Int32
		m := newTestMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				whole.Add(1)
			}
			echo(w, r)
		}))
		m.entry.cfg.MaxBodyBytes = limit
		Convey("an announced body is refused", func() {
			r := m.post("/once", strings.Repeat("x", limit+1))
			So(r.status, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(r.outcomeAndReason(), ShouldEqual, "not_executed malformed")
			So(whole.Load(), ShouldEqual, 0)
		})
		Convey("one without a length is cut, and its caller is told", func() {
			r := m.do(m.request(http.MethodPost, "/long", io.MultiReader(strings.NewReader(strings.Repeat("x", 100*limit)))))
			So(r.status, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(whole.Load(), ShouldEqual, 0)
		})
		Convey("bodies of the longest length are served", func() {
			So(m.post("/once", strings.Repeat("x", limit)).status, ShouldEqual, http.StatusOK)
			r := m.do(m.request(http.MethodPost, "/long", io.MultiReader(strings.NewReader(strings.Repeat("x", limit)))))
			So(r.status, ShouldEqual, http.StatusOK)
			So(whole.Load(), ShouldEqual, 2)
		})
	})
}

// Guards against a caller that does not read its response and keeps the slot of an endpoint
// for good.
func TestUnreadResponseEndsWithTheDeadline(t *testing.T) {
	inBubble(t, "Given a caller that reads nothing of a long response", func(t *testing.T) {
		m := newTestMeshOn(faultnet.New(), t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20)) // The caller does not read it.
		}))
		c, err := m.dial()(context.Background(), "tcp", m.entryServer.Listener.Addr().String())
		So(err, ShouldBeNil)
		_, err = io.WriteString(c, "GET /hurried HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testToken+"\r\n\r\n")
		So(err, ShouldBeNil)
		time.Sleep(500 * time.Millisecond)
		So(m.hosts[0].gate.InFlight(), ShouldEqual, 1)
		time.Sleep(800*time.Millisecond + bodyReadGrace)
		So(m.entry.InFlight(), ShouldEqual, 0)
		So(m.hosts[0].gate.InFlight(), ShouldEqual, 0)
		So(c.Close(), ShouldBeNil)
	})
}
