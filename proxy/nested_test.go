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

// nestingEndpoint calls the entry again until the depth that the path asks for.
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
	nested, _ := http.NewRequest(http.MethodGet, n.mesh.front.URL+r.URL.RequestURI(), nil)
	nested.Header.Set(mesh.HeaderParent, r.Header.Get(mesh.HeaderCall))
	answer := n.mesh.do(nested)
	w.Header().Set("X-Nested", answer.outcome())
	if answer.status == http.StatusServiceUnavailable {
		w.Header().Set(mesh.HeaderOutcome, string(mesh.OutcomeNotExecuted))
	}
	w.WriteHeader(answer.status)
}

// Guards against nested calls that lose the root, rank or customer, go deeper
// than allowed, or hide the pressure that they met.
func TestNestedCalls(t *testing.T) {
	Convey("Given an endpoint that makes nested calls", t, func() {
		n := &nestingEndpoint{}
		m := newTestMesh(t, n)
		n.mesh = m
		Convey("seven levels carry the root's identity and less time each", func() {
			answer := m.get("/lookup?depth=7")
			So(answer.status, ShouldEqual, http.StatusOK)
			So(n.seen, ShouldHaveLength, 8)
			left := int64(1 << 62)
			for depth, h := range n.seen {
				So(h.Get(mesh.HeaderDepth), ShouldEqual, strconv.Itoa(depth))
				So(h.Get(mesh.HeaderRoot), ShouldEqual, answer.header.Get(mesh.HeaderCall))
				So(h.Get(mesh.HeaderCustomer), ShouldEqual, "acme")
				ms, err := strconv.ParseInt(h.Get(mesh.HeaderDeadlineMs), 10, 64)
				So(err, ShouldBeNil)
				So(ms, ShouldBeLessThan, left)
				left = ms
			}
		})
		Convey("an eighth level is refused", func() {
			So(m.get("/lookup?depth=8").status, ShouldEqual, http.StatusLoopDetected)
			So(n.seen, ShouldHaveLength, 8)
		})
	})
	Convey("A gate reports the highest pressure that nested calls met", t, func() {
		var running *Running
		m := newTestMesh(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			call := running.find(mesh.CallID(r.Header.Get(mesh.HeaderCall)))
			call.meet(2.5)
			call.meet(1)
		}))
		running = m.hosts[0].running
		r := m.request(http.MethodGet, "/lookup", nil)
		r.URL.Host = m.hosts[0].server.Listener.Addr().String()
		for name, value := range callHeadersFor("e") {
			r.Header.Set(name, value)
		}
		answer := m.do(r)
		So(answer.outcome(), ShouldEqual, "executed")
		So(answer.header.Get(mesh.HeaderPressure), ShouldEqual, "2.50")
	})
}

// Guards against retries at every level after a refusal at the deepest one.
func TestNestedRefusalIsNotRetried(t *testing.T) {
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
		So(m.get("/lookup?depth=7").outcome(), ShouldEqual, "not_executed nested_refused")
		So(n.seen, ShouldHaveLength, 4)
	})
}

// Guards against keys that stay claimed after a call that did not run, or that
// are given back after one that may have run.
func TestKeyedCalls(t *testing.T) {
	Convey("Given keyed calls", t, func() {
		shop := newWorkshop()
		m := newTestMesh(t, shop)
		keys := m.entry.cfg.Claims.(*fakeClaims)
		Convey("an executed call completes its claim, and a repeat is not run", func() {
			So(m.fault("/keyed", "k", "", false).outcome(), ShouldEqual, "executed")
			So(<-keys.log, ShouldEqual, "claim")
			So(<-keys.log, ShouldEqual, "complete 200")
			m.entry.kept = newKeptAnswers(time.Now)
			So(m.fault("/keyed", "k", "", false).status, ShouldEqual, http.StatusConflict)
			So(shop.ran("k"), ShouldEqual, 1)
		})
		Convey("a refused call releases its claim before the caller is told", func() {
			So(m.fault("/keyed", "k", "shed", true).outcome(), ShouldEqual, "not_executed endpoint_shed")
			So(keys.held["k"], ShouldBeFalse)
		})
		Convey("an unknown outcome keeps the claim", func() {
			So(m.fault("/keyed", "k", "crash", true).outcome(), ShouldEqual, "unknown broken_connection")
			So(keys.held["k"], ShouldBeTrue)
		})
		Convey("the store's claims answer a repeat in the same way", func() {
			claimer, err := claims.New(claims.Config{Store: memory.New(), Now: func() time.Time { return time.Unix(1000, 0) }})
			So(err, ShouldBeNil)
			m.entry.cfg.Claims = ClaimsFrom(claimer)
			So(m.fault("/keyed", "k", "", false).outcome(), ShouldEqual, "executed")
			m.entry.kept = newKeptAnswers(time.Now)
			So(m.fault("/keyed", "k", "", false).outcome(), ShouldEqual, "executed already_executed")
			So(shop.ran("k"), ShouldEqual, 1)
			So(claimer.Close(t.Context()), ShouldBeNil)
		})
		Convey("a missing key is refused", func() {
			So(m.post("/keyed", "x").outcome(), ShouldEqual, "not_executed key_required")
		})
	})
}

// Guards against an attempt at a dead host or endpoint that ends the call, or
// that is reported as executed.
func TestConnectFailures(t *testing.T) {
	Convey("Given hosts and endpoints that refuse connections", t, func() {
		shop := newWorkshop()
		m := newTestMesh(t, shop, shop, shop)
		dead, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(dead.Close(), ShouldBeNil)
		m.view.Hosts["h1"].CallAddress = dead.Addr().String()
		m.hosts[2].endpoint.Close()
		m.publish()
		Convey("calls reach the one that works", func() {
			for i := range 20 {
				label := strconv.Itoa(i)
				So(m.fault("/once", label, "", false).outcome(), ShouldEqual, "executed")
				So(shop.ran(label), ShouldEqual, 1)
			}
		})
		Convey("when none works the outcome is definite", func() {
			m.hosts[0].endpoint.Close()
			So(m.fault("/once", "x", "", false).outcome(), ShouldEqual, "not_executed connect")
		})
	})
}

// Guards against a large upload that is lost because its first endpoint had no
// slot: its body is sent only after the gate's leave.
func TestUploadIsRetriedAfterRefusal(t *testing.T) {
	Convey("Given a host that drains without the entry knowing", t, func() {
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
