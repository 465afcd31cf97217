package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/claims"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// nestingEndpoint makes nested calls up to the depth that the query asks for.
type nestingEndpoint struct {
	mesh *testMesh
	seen []http.Header
}

func (n *nestingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.seen = append(n.seen, r.Header.Clone())
	depth, _ := strconv.Atoi(r.Header.Get(mesh.HeaderDepth))
	if wanted, _ := strconv.Atoi(r.URL.Query().Get("depth")); depth >= wanted {
		return
	}
	nested, _ := http.NewRequest(http.MethodGet, n.mesh.entryServer.URL+r.URL.RequestURI(), nil)
	nested.Header.Set(mesh.HeaderParent, r.Header.Get(mesh.HeaderCall))
	resp := n.mesh.do(nested)
	w.Header().Set("X-Nested", resp.outcomeAndReason())
	if resp.status == http.StatusServiceUnavailable {
		w.Header().Set(mesh.HeaderOutcome, string(mesh.OutcomeNotExecuted))
	}
	w.WriteHeader(resp.status)
}

// Guards against nested calls that lose the root, rank or customer, exceed the
// depth limit, or do not report pressure to their parent.
func TestNestedCalls(t *testing.T) {
	Convey("Given an endpoint that makes nested calls", t, func() {
		n := &nestingEndpoint{}
		m := newTestMesh(t, n)
		n.mesh = m
		Convey("seven levels have the identity of the root and a shrinking deadline", func() {
			resp := m.get("/lookup?depth=7")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(n.seen, ShouldHaveLength, 8)
			remaining := int64(1 << 62)
			for depth, h := range n.seen {
				So(h.Get(mesh.HeaderDepth), ShouldEqual, strconv.Itoa(depth))
				So(h.Get(mesh.HeaderRoot), ShouldEqual, resp.header.Get(mesh.HeaderCall))
				So(h.Get(mesh.HeaderCustomer), ShouldEqual, "acme")
				ms, err := strconv.ParseInt(h.Get(mesh.HeaderDeadlineMs), 10, 64)
				So(err, ShouldBeNil)
				So(ms, ShouldBeLessThan, remaining)
				remaining = ms
			}
		})
		Convey("an eighth level is rejected", func() {
			So(m.get("/lookup?depth=8").status, ShouldEqual, http.StatusLoopDetected)
			So(n.seen, ShouldHaveLength, 8)
		})
	})
	Convey("A gate reports the highest pressure that nested calls reported", t, func() {
		var running *RunningCalls
		m := newTestMesh(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			call := running.find(mesh.CallID(r.Header.Get(mesh.HeaderCall)))
			call.recordPressure(2.5)
			call.recordPressure(1)
		}))
		running = m.hosts[0].running
		r := m.request(http.MethodGet, "/lookup", nil)
		r.URL.Host = m.hosts[0].server.Listener.Addr().String()
		for name, value := range callHeadersFor("e") {
			r.Header.Set(name, value)
		}
		resp := m.do(r)
		So(resp.outcomeAndReason(), ShouldEqual, "executed")
		So(resp.header.Get(mesh.HeaderNestedPressure), ShouldEqual, "2.50")
	})
}

// Guards against retries at every level after a rejection at the deepest one.
func TestNestedRejectionIsNotRetried(t *testing.T) {
	Convey("Given a nested service without capacity", t, func() {
		n := &nestingEndpoint{}
		m := newTestMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(mesh.HeaderDepth) == "3" {
				n.seen = append(n.seen, r.Header.Clone())
				w.Header().Set(mesh.HeaderOutcome, string(mesh.OutcomeNotExecuted))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			n.ServeHTTP(w, r)
		}))
		n.mesh = m
		So(m.get("/lookup?depth=7").outcomeAndReason(), ShouldEqual, "not_executed nested_refused")
		So(n.seen, ShouldHaveLength, 4)
	})
}

// Guards against keys that stay claimed after a call that was not executed, or
// that are released after one that may have been executed.
func TestKeyedCalls(t *testing.T) {
	Convey("Given keyed calls", t, func() {
		endpoint := newRecordingEndpoint()
		m := newTestMesh(t, endpoint)
		keys := m.entry.cfg.Claims.(*fakeClaims)
		Convey("an executed call completes its claim, and a duplicate is not executed", func() {
			So(m.callWithFault("/keyed", "k", "", false).outcomeAndReason(), ShouldEqual, "executed")
			So(<-keys.log, ShouldEqual, "claim")
			So(<-keys.log, ShouldEqual, "complete 200")
			m.entry.replays = newReplayCache(time.Now)
			So(m.callWithFault("/keyed", "k", "", false).status, ShouldEqual, http.StatusConflict)
			So(endpoint.executionCount("k"), ShouldEqual, 1)
		})
		Convey("a shed call releases its claim before the caller is told", func() {
			So(m.callWithFault("/keyed", "k", "shed", true).outcomeAndReason(), ShouldEqual, "not_executed endpoint_shed")
			So(keys.claimed["k"], ShouldBeFalse)
		})
		Convey("an unknown outcome keeps the claim", func() {
			So(m.callWithFault("/keyed", "k", "crash", true).outcomeAndReason(), ShouldEqual, "unknown broken_connection")
			So(keys.claimed["k"], ShouldBeTrue)
		})
		Convey("claims in the store reject a duplicate in the same way", func() {
			claimer, err := claims.New(claims.Config{Store: memory.New(), Now: func() time.Time { return time.Unix(1000, 0) }})
			So(err, ShouldBeNil)
			m.entry.cfg.Claims = ClaimsFrom(claimer)
			So(m.callWithFault("/keyed", "k", "", false).outcomeAndReason(), ShouldEqual, "executed")
			m.entry.replays = newReplayCache(time.Now)
			So(m.callWithFault("/keyed", "k", "", false).outcomeAndReason(), ShouldEqual, "executed already_executed")
			So(endpoint.executionCount("k"), ShouldEqual, 1)
			So(claimer.Close(t.Context()), ShouldBeNil)
		})
		Convey("a missing key is rejected", func() {
			So(m.post("/keyed", "x").outcomeAndReason(), ShouldEqual, "not_executed key_required")
		})
	})
}

// Guards against an attempt at an unreachable host or endpoint that ends the call
// or is reported as executed.
func TestConnectFailures(t *testing.T) {
	Convey("Given hosts and endpoints that refuse connections", t, func() {
		endpoint := newRecordingEndpoint()
		m := newTestMesh(t, endpoint, endpoint, endpoint)
		dead, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(dead.Close(), ShouldBeNil)
		m.view.Hosts["h1"].CallAddress = dead.Addr().String()
		m.hosts[2].endpoint.Close()
		m.storeSnapshot()
		Convey("calls are executed by the one that accepts connections", func() {
			for i := range 20 {
				label := strconv.Itoa(i)
				So(m.callWithFault("/once", label, "", false).outcomeAndReason(), ShouldEqual, "executed")
				So(endpoint.executionCount(label), ShouldEqual, 1)
			}
		})
		Convey("when all of them refuse connections the outcome is not_executed", func() {
			m.hosts[0].endpoint.Close()
			So(m.callWithFault("/once", "x", "", false).outcomeAndReason(), ShouldEqual, "not_executed connect")
		})
	})
}

// Guards against a streamed upload that fails because the first gate rejected it.
// The body is sent only after 100 Continue from the gate, so the upload can be
// retried.
func TestUploadIsRetriedAfterRejection(t *testing.T) {
	Convey("Given a host whose drain the entry does not know of", t, func() {
		m := newTestMesh(t, http.HandlerFunc(echo), http.HandlerFunc(echo))
		m.hosts[1].gate.Drain()
		for range 8 {
			read, write := io.Pipe()
			go func() {
				_, _ = io.WriteString(write, "large")
				_ = write.Close()
			}()
			So(m.do(m.request(http.MethodPost, "/once", read)).body, ShouldContainSubstring, `"large"`)
		}
	})
}
