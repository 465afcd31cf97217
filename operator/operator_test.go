package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

type fakeNode struct {
	version  *lists.Version
	draining bool
}

func (n *fakeNode) Status() NodeStatus {
	return NodeStatus{Host: "h1", State: map[bool]string{true: "draining"}[n.draining]}
}

func (n *fakeNode) Explain(call mesh.CallID) (Explanation, error) {
	if call != "c 1/x" {
		return Explanation{}, ErrCallNotFound
	}
	return Explanation{Call: call, Sequence: 3}, nil
}

func (n *fakeNode) Drain() error            { n.draining = true; return nil }
func (n *fakeNode) Version() *lists.Version { return n.version }

// unavailableAfterSwap loses the response to the next swap of the head and
// becomes unavailable.
type unavailableAfterSwap struct {
	*memory.Store
	armed bool
}

func (s *unavailableAfterSwap) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, key, value, expected)
	if s.armed && key == "head" {
		s.armed = false
		s.SetFaults(memory.Faults{Unavailable: true})
		return 0, kvstore.ErrUnknown
	}
	return revision, err
}

func expectProblem(err error, kind ProblemType, status int) *Problem {
	var p *Problem
	So(errors.As(err, &p), ShouldBeTrue)
	So(p.Type, ShouldEqual, kind)
	So(p.Status, ShouldEqual, status)
	return p
}

func TestAPI(t *testing.T) {
	Convey("With the API of a node served on loopback", t, func() {
		ctx := context.Background()
		store := &unavailableAfterSwap{Store: memory.New()}
		versions := authority.New(store, authority.Options{})
		node := &fakeNode{}
		server := httptest.NewServer(NewHandler(versions, node, nil))
		Reset(server.Close)
		client, err := NewClient(strings.TrimPrefix(server.URL, "http://"))
		So(err, ShouldBeNil)
		service := lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindService, Name: "desk"}
		change := func(id mesh.ChangeID, before, after lists.Fields) (authority.Accepted, error) {
			return client.Propose(ctx, ChangeRequest{
				ChangeID: id, Author: "ada", Edits: []lists.Edit{{Key: service, Before: before, After: after}},
			})
		}
		_, err = change("c1", nil, lists.Fields{})
		So(err, ShouldBeNil)

		Convey("lists, versions, audit and changes can be read", func() {
			texts, err := client.Lists(ctx, 0)
			So(err, ShouldBeNil)
			So(texts.Allowances, ShouldEndWith, "[service desk]\n")
			sequence, ok := ParseVersionHeader([]byte(texts.Plans))
			So(ok && sequence == 1, ShouldBeTrue)
			validation, err := client.Validate(ctx, texts)
			So(err, ShouldBeNil)
			So(validation.Digest, ShouldResemble, texts.Version.Digest)
			infos, err := client.Versions(ctx, 0, 10)
			So(err, ShouldBeNil)
			So(infos[0].Change, ShouldEqual, mesh.ChangeID("c1"))
			audit, err := client.Audit(ctx, 0, 10)
			So(err, ShouldBeNil)
			So(audit.Accepted[0].Change.Edits[0].After, ShouldResemble, lists.Fields{})
			accepted, err := client.Change(ctx, "c1")
			So(err, ShouldBeNil)
			So(accepted.Version, ShouldResemble, texts.Version)
			_, err = client.Change(ctx, "c9")
			expectProblem(err, ProblemNotFound, http.StatusNotFound)
		})
		Convey("invalid lists, conflicts and missing versions are problems of their own type", func() {
			_, err := client.Validate(ctx, ListsText{Plans: "[customer a]\nplan = none\n"})
			So(len(expectProblem(err, ProblemInvalid, http.StatusUnprocessableEntity).Problems), ShouldEqual, 2)
			_, err = change("c2", lists.Fields{"max-queue": "1"}, lists.Fields{"max-queue": "2"})
			p := expectProblem(err, ProblemConflict, http.StatusConflict)
			So(p.Conflicts[0].Found, ShouldResemble, lists.Fields{})
			So(p.Conflicts[0].Wanted, ShouldResemble, lists.Fields{"max-queue": "2"})
			_, err = client.Rollback(ctx, RollbackRequest{ChangeID: "c3", Author: "ada", To: 9})
			expectProblem(err, ProblemNotFound, http.StatusNotFound)
			_, err = client.Restore(ctx, RestoreRequest{Author: "ada"})
			expectProblem(err, ProblemNotFound, http.StatusNotFound)
		})
		Convey("while the store is unavailable, changes write nothing and the status of the node can be read", func() {
			store.SetFaults(memory.Faults{Unavailable: true})
			_, err := change("c2", lists.Fields{}, nil)
			So(expectProblem(err, ProblemUnavailable, http.StatusServiceUnavailable).Detail, ShouldContainSubstring, "nothing was written")
			status, err := client.Status(ctx)
			So(err, ShouldBeNil)
			So(status.Node.Host, ShouldEqual, mesh.HostID("h1"))
			So(status.StoreError, ShouldNotBeEmpty)
		})
		Convey("an unknown outcome asks for a retry with the same change ID, which finds the change", func() {
			store.armed = true
			_, err := change("c2", lists.Fields{}, nil)
			So(expectProblem(err, ProblemUnknown, http.StatusGatewayTimeout).Detail, ShouldContainSubstring, "same change ID")
			store.SetFaults(memory.Faults{})
			accepted, err := change("c2", lists.Fields{}, nil)
			So(err, ShouldBeNil)
			So(accepted.Repeated, ShouldBeTrue)
		})
		Convey("restore writes the node's version to a store that lost writes", func() {
			head, _, err := versions.Head(ctx)
			So(err, ShouldBeNil)
			node.version, err = versions.Load(ctx, head)
			So(err, ShouldBeNil)
			store.Store = memory.New()
			accepted, err := client.Restore(ctx, RestoreRequest{Author: "ada"})
			So(err, ShouldBeNil)
			So(accepted.Version, ShouldResemble, head.Version)
		})
		Convey("explain and drain reach the node", func() {
			explanation, err := client.Explain(ctx, "c 1/x")
			So(err, ShouldBeNil)
			So(explanation.Sequence, ShouldEqual, mesh.Sequence(3))
			_, err = client.Explain(ctx, "none")
			expectProblem(err, ProblemNotFound, http.StatusNotFound)
			draining, err := client.Drain(ctx)
			So(err, ShouldBeNil)
			So(draining.Node.State, ShouldEqual, "draining")
		})
		Convey("the OpenAPI document names every operation", func() {
			response, err := http.Get(server.URL + "/openapi.json")
			So(err, ShouldBeNil)
			defer response.Body.Close()
			document, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			for _, path := range []string{
				"lists", "validate", "versions", "audit", "changes", "changes/{id}", "rollback", "restore", "status", "explain/{call}", "drain",
			} {
				So(string(document), ShouldContainSubstring, `"/v1/`+path+`"`)
			}
		})
		Convey("a connection that breaks after the request leaves the outcome unknown", func() {
			broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
			Reset(broken.Close)
			client, err = NewClient(strings.TrimPrefix(broken.URL, "http://"))
			So(err, ShouldBeNil)
			_, err := change("c2", lists.Fields{}, nil)
			So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
		})
		Convey("the client distinguishes an unreachable node from a lost response and rejects host names", func() {
			server.Close()
			_, err := change("c2", lists.Fields{}, nil)
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
			_, err = NewClient("localhost:1")
			So(errors.Is(err, ErrAddress), ShouldBeTrue)
		})
	})
}
