package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// keyedPlan is testPlan with workspaces. The route "short" is public.
func keyedPlan(version uint64, workspaces ...routeplan.Workspace) *routeplan.Plan {
	p := testPlan(version)
	p.Workspaces = workspaces
	for i := range p.Routes {
		p.Routes[i].Public = p.Routes[i].Name == "short"
		p.Routes[i].Rank = 3
	}
	if err := p.Compile(); err != nil {
		panic(err)
	}
	return p
}

func workspace(name string, keys ...string) routeplan.Workspace {
	w := routeplan.Workspace{Name: mesh.WorkspaceName(name)}
	for _, key := range keys {
		w.Keys = append(w.Keys, routeplan.FingerprintOf(key))
	}
	return w
}

// received is what the endpoint got with a request.
type received struct {
	workspace mesh.WorkspaceName
	hasKey    bool
}

// newKeyedServer returns a server with the workspaces "a" and "b", and the requests that its
// endpoint gets. The workspace "b" has rank 1.
func newKeyedServer() (*testServer, chan received) {
	requests := make(chan received, 10)
	ts := newTestServer(func(out http.ResponseWriter, r *http.Request) {
		name, hasKey := standin.ReceivedWorkspace(r, "key-a")
		requests <- received{workspace: name, hasKey: hasKey}
	})
	b := workspace("b", "key-b")
	b.HasRank, b.Rank = true, 1
	ts.plan.Activate(keyedPlan(1, workspace("a", "key-a"), b))
	return ts, requests
}

// Guards against a key that reaches an endpoint, and a workspace that the client chose,
// however a client spells the headers.
func TestKeysStayAtTheIngress(t *testing.T) {
	key, name := standin.KeyHeader, standin.WorkspaceHeader
	for _, c := range []struct {
		name, path, lines string
		status            int
		workspace         mesh.WorkspaceName
	}{
		{"a key", "/read/", standin.KeyLine("key-a"), 200, "a"},
		{"another key", "/read/", standin.KeyLine("key-b"), 200, "b"},
		{"names in lower case", "/read/", strings.ToLower(key) + ": key-a\r\n" + strings.ToLower(name) + ": b\r\n", 200, "a"},
		{"names in upper case", "/read/", strings.ToUpper(key) + ":key-a\r\n" + strings.ToUpper(name) + ": b\r\n", 200, "a"},
		{"spaces around the key", "/read/", key + ": \t key-a \t\r\n", 200, "a"},
		{"two keys", "/read/", standin.KeyLine("key-b") + standin.KeyLine("key-a"), 200, "b"},
		{"two names", "/read/", standin.KeyLine("key-a") + name + ": b\r\n" + name + ": c\r\n", 200, "a"},
		{"headers that concern the connection", "/read/", standin.KeyLine("key-a") + "Connection: " + key + ", " + name + "\r\n", 200, "a"},
		{"a public route", "/short/", standin.KeyLine("key-a") + name + ": b\r\n", 200, ""},
		{"a public route and an unknown key", "/short/", standin.KeyLine("other"), 200, ""},
		{"no key", "/read/", name + ": a\r\n", 401, ""},
		{"an unknown key", "/read/", standin.KeyLine("other"), 401, ""},
		{"an empty key", "/read/", standin.KeyLine(""), 401, ""},
		{"a space before the colon", "/read/", standin.KeyLine("key-b") + key + " : key-a\r\n", 400, ""},
		{"a space in another name", "/read/", standin.KeyLine("key-a") + name + " : b\r\n", 400, ""},
		{"a key on two lines", "/read/", key + ": key-a\r\n x\r\n", 400, ""},
	} {
		Convey(c.name, t, func() {
			ts, requests := newKeyedServer()
			defer ts.close()
			conn, r := ts.dial()
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, request("GET", "1", c.path, c.lines))
			So(err, ShouldBeNil)
			status, _, _ := readResponse(r)
			So(status, ShouldEqual, c.status)
			if status != http.StatusOK {
				So(requests, ShouldBeEmpty)
				return
			}
			So(<-requests, ShouldResemble, received{workspace: c.workspace})
			e := ts.waitForExchange("1")
			So(e.Workspace, ShouldEqual, c.workspace)
			So(e.Rank, ShouldEqual, map[mesh.WorkspaceName]uint8{"a": 3, "b": 1, "": 3}[c.workspace])
		})
	}
	Convey("a trailer does not reach the endpoint either", t, func() {
		ts, requests := newKeyedServer()
		defer ts.close()
		conn, r := ts.dial()
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, request("POST", "1", "/order/", standin.KeyLine("key-b")+"Trailer: "+key+"\r\nTransfer-Encoding: chunked\r\n")+
			"1\r\nx\r\n0\r\n"+standin.KeyLine("key-a")+"\r\n")
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(<-requests, ShouldResemble, received{workspace: "b"})
	})
	Convey("without workspaces the headers pass as before", t, func() {
		ts, requests := newKeyedServer()
		defer ts.close()
		ts.plan.Activate(testPlan(2))
		conn, r := ts.dial()
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, request("GET", "1", "/read/", standin.KeyLine("key-a")+name+": b\r\n"))
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(<-requests, ShouldResemble, received{workspace: "b", hasKey: true})
	})
}

// Guards against a rejected request whose body is read first, or taken for the next request.
func TestUnknownKeysAreRejectedBeforeTheBody(t *testing.T) {
	for name, framing := range map[string]string{
		"with a length":         "Content-Length: 1000000\r\n",
		"in chunks":             "Transfer-Encoding: chunked\r\n",
		"that awaits a consent": "Content-Length: 1000000\r\nExpect: 100-continue\r\n",
	} {
		Convey("a body "+name, t, func() {
			ts, requests := newKeyedServer()
			defer ts.close()
			conn, r := ts.dial()
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, request("POST", "1", "/order/", standin.KeyLine("other")+framing))
			So(err, ShouldBeNil)
			status, _, h := readResponse(r)
			So(status, ShouldEqual, 401)
			So(h.Get("Connection"), ShouldEqual, "close")
			So(requests, ShouldBeEmpty)
			e := ts.waitForExchange("1")
			So(e.Reason, ShouldEqual, call.ReasonUnknownKey)
			So(e.UnknownKey.String(), ShouldEqual, routeplan.FingerprintOf("other").String())
		})
	}
	Convey("without a body the connection stays open, and keys of the next plan work at once", t, func() {
		ts, requests := newKeyedServer()
		defer ts.close()
		conn, r := ts.dial()
		defer func() { _ = conn.Close() }()
		statusOf := func(key string) int {
			_, err := io.WriteString(conn, request("GET", "1", "/read/", standin.KeyLine(key)))
			So(err, ShouldBeNil)
			status, _, _ := readResponse(r)
			return status
		}
		So(statusOf("other"), ShouldEqual, 401)
		ts.newerPlan.Store(true)
		So(statusOf("other"), ShouldEqual, 503) // The newer plan may have the key.
		So(ts.waitForExchange("1").Reason, ShouldEqual, call.ReasonUnknownKey)
		So(ts.waitForExchange("1").Reason, ShouldEqual, call.ReasonPlanBehind)
		So(statusOf(""), ShouldEqual, 401)
		ts.newerPlan.Store(false)
		So(statusOf("key-a"), ShouldEqual, 200)
		So(<-requests, ShouldResemble, received{workspace: "a"})
		ts.plan.Activate(keyedPlan(2, workspace("a", "other"), workspace("b", "key-a")))
		So(statusOf("other"), ShouldEqual, 200)
		So(<-requests, ShouldResemble, received{workspace: "a"})
		So(statusOf("key-a"), ShouldEqual, 200)
		So(<-requests, ShouldResemble, received{workspace: "b"})
		So(statusOf("key-b"), ShouldEqual, 401)
		ts.plan.Activate(keyedPlan(1, workspace("b", "key-b")))
		So(statusOf("key-b"), ShouldEqual, 401)
	})
}

// Guards against clients that use the share and the exemption from keys of another call, and
// against 401 for calls of endpoints.
func TestKeysOfNestedCalls(t *testing.T) {
	Convey("an endpoint that makes a call while it executes one", t, func() {
		var ts *testServer
		statuses := map[string]int{}
		requests := make(chan received, 10)
		ts = newTestServer(func(out http.ResponseWriter, r *http.Request) {
			name, hasKey := standin.ReceivedWorkspace(r, "key-b")
			requests <- received{workspace: name, hasKey: hasKey}
			if requestID(r) != "1" {
				return
			}
			for id, lines := range map[string]string{"1.1": "", "1.2": standin.KeyLine("other"), "1.3": standin.KeyLine("key-b"), "9.1": "", "9": ""} {
				conn, in := ts.dial()
				_, _ = io.WriteString(conn, request("GET", id, "/read/", lines)) // A failed write leads to the status 0.
				statuses[id], _, _ = readResponse(in)
				_ = conn.Close()
			}
		})
		defer ts.close()
		b := workspace("b", "key-b")
		b.HasRank, b.Rank = true, 1
		ts.plan.Activate(keyedPlan(1, workspace("a", "key-a"), b))
		conn, r := ts.dial()
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, request("GET", "1", "/read/", standin.KeyLine("key-a")))
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(statuses, ShouldResemble, map[string]int{"1.1": 200, "1.2": 401, "1.3": 200, "9.1": 503, "9": 401})
		exchanges := map[string]string{}
		nested := map[string]bool{}
		for len(exchanges) < 6 {
			e := <-ts.finished
			exchanges[e.ID], nested[e.ID] = string(e.Workspace), e.Nested
		}
		So(exchanges["1.1"], ShouldEqual, "a")
		So(exchanges["1.2"], ShouldEqual, "")
		So(exchanges["1.3"], ShouldEqual, "b")
		So(nested, ShouldResemble, map[string]bool{"1": false, "1.1": true, "1.2": false, "1.3": false, "9.1": false, "9": false})
		byWorkspace := map[mesh.WorkspaceName]int{}
		for range 3 {
			got := <-requests
			So(got.hasKey, ShouldBeFalse)
			byWorkspace[got.workspace]++
		}
		So(byWorkspace, ShouldResemble, map[mesh.WorkspaceName]int{"a": 1, "b": 1, "": 1})
	})
}

// Guards against 401 for a call of an endpoint whose parent ended, and against 503 for
// clients that choose such IDs.
func TestNestedCallsOfLostParents(t *testing.T) {
	statusOf := func(ts *testServer, id string) int {
		conn, r := ts.dial()
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, get(id, "/read/"))
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		return status
	}
	inBubble(t, "a call whose client has disconnected", func() {
		started := make(chan struct{})
		ts := newBubbleServer(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
		})
		defer ts.close()
		ts.plan.Activate(keyedPlan(1, workspace("a", "key-a")))
		time.Sleep(4 * time.Second)
		// An earlier process may have passed the parent on: the longest timeout is 5 s.
		So(statusOf(ts, "8.1"), ShouldEqual, 503)
		time.Sleep(2 * time.Second)
		So(statusOf(ts, "8.1"), ShouldEqual, 401)
		conn, _ := ts.dial()
		_, err := io.WriteString(conn, request("GET", "1", "/read/", standin.KeyLine("key-a")))
		So(err, ShouldBeNil)
		<-started
		So(conn.Close(), ShouldBeNil)
		So(ts.waitForExchange("1").Reason, ShouldEqual, call.ReasonCancelled)
		synctest.Wait()
		So(statusOf(ts, "1.1"), ShouldEqual, 503)
		So(statusOf(ts, "8.1"), ShouldEqual, 401)
	})
	inBubble(t, "a call whose response is streamed", func() {
		calls := make(chan received, 2)
		var ts *testServer
		ts = newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
			name, _ := standin.ReceivedWorkspace(r, "")
			calls <- received{workspace: name}
			if requestID(r) != "1" {
				return
			}
			_, _ = io.WriteString(out, strings.Repeat("x", 2<<20)) // The client checks the body.
			conn, in := ts.dial()
			_, _ = io.WriteString(conn, get("1.1", "/read/")) // A failed write leads to the status 0.
			status, _, _ := readResponse(in)
			_ = conn.Close()
			_, _ = io.WriteString(out, fmt.Sprint(status))
		})
		defer ts.close()
		ts.plan.Activate(keyedPlan(1, workspace("a", "key-a")))
		time.Sleep(6 * time.Second)
		conn, r := ts.dial()
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, request("GET", "1", "/read/", standin.KeyLine("key-a")))
		So(err, ShouldBeNil)
		status, body, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(strings.HasSuffix(body, "x200"), ShouldBeTrue)
		So([]received{<-calls, <-calls}, ShouldResemble, []received{{workspace: "a"}, {}})
	})
}
