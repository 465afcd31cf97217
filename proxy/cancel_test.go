package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/selection"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// Guards against a call that keeps its slot after its caller cancelled it.
func TestCallerCancelsRunningCall(t *testing.T) {
	Convey("Given an endpoint that answers only when its call is cancelled", t, func() {
		started, cancelled := make(chan struct{}, 1), make(chan struct{}, 1)
		m := newTestMesh(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-r.Context().Done()
			cancelled <- struct{}{}
		}))
		ctx, cancel := context.WithCancel(context.Background())
		go m.do(m.request(http.MethodGet, "/lookup", nil).WithContext(ctx))
		<-started
		cancel()
		<-cancelled
		So(m.hosts[0].registry.Drain("e"), ShouldBeNil)
		waitCtx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		So(m.hosts[0].registry.WaitIdle(waitCtx), ShouldBeNil)
	})
}

// Guards against a call that stays in the queue after its caller cancelled it or
// its deadline was exceeded.
func TestCallerCancelsQueuedCall(t *testing.T) {
	for name, want := range map[string]mesh.Reason{"caller cancels": mesh.ReasonCancelled, "deadline exceeded": mesh.ReasonDeadline} {
		synctest.Test(t, func(t *testing.T) {
			registry := endpoints.New(endpoints.Config{})
			registry.Configure(testConfig())
			_, err := registry.Announce("e", endpoints.Announcement{Service: "orders", Address: "127.0.0.1:1", Slots: 1})
			if err != nil {
				t.Fatal(err)
			}
			e, _ := registry.Get("e")
			slot, err := e.Gate.Acquire(t.Context(), gate.Call{})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			r := httptest.NewRequest(http.MethodGet, "/lookup", nil).WithContext(ctx)
			for header, value := range callHeadersFor("e") {
				r.Header.Set(header, value)
			}
			w, done := httptest.NewRecorder(), make(chan struct{})
			go func() {
				defer close(done)
				NewGate(GateConfig{Endpoints: registry}).ServeHTTP(w, r)
			}()
			synctest.Wait()
			queued := e.Gate.Load().Queued
			if want == mesh.ReasonCancelled {
				cancel()
			}
			<-done
			cancel()
			slot.Release(0)
			if got := mesh.Reason(w.Header().Get(mesh.HeaderReason)); got != want || queued != 1 || e.Gate.Load().Queued != 0 {
				t.Errorf("%s: reason %s, queued %d before and %d after", name, got, queued, e.Gate.Load().Queued)
			}
		})
	}
}

// callHeadersFor returns the headers of a call from another node.
func callHeadersFor(endpoint string) map[string]string {
	return map[string]string{
		mesh.HeaderCall: "c", mesh.HeaderRoot: "c", mesh.HeaderEndpoint: endpoint, mesh.HeaderRank: "urgent",
		mesh.HeaderDepth: "0", mesh.HeaderDeadlineMs: "5000",
	}
}

// Guards against a response timeout that expires while the call waits for its own
// nested calls, and against one that does not expire although the endpoint hangs.
func TestResponseTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := &runningCall{}
		running.nestedInFlight.Store(1)
		ctx, stop := startResponseTimeout(t.Context(), time.Second, running)
		time.Sleep(3*time.Second + time.Millisecond)
		if ctx.Err() != nil {
			t.Error("cancelled while a nested call was in flight")
		}
		running.nestedInFlight.Store(0)
		<-ctx.Done()
		stop()
		if !errors.Is(context.Cause(ctx), errNoResponse) {
			t.Error(context.Cause(ctx))
		}
		ctx, stop = startResponseTimeout(t.Context(), time.Second, running)
		stop()
		time.Sleep(time.Minute)
		if ctx.Err() != nil {
			t.Error("cancelled after the response had started")
		}
	})
}

// inBubble runs a specification in a synctest bubble, in which latencies do not depend
// on the load of the machine.
func inBubble(t *testing.T, name string, specification func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, func() { specification(t) }) })
}

// Guards against a hanging endpoint that still gets calls, and against one that is
// still ejected after it works again.
func TestHangingEndpointIsEjectedAndRecovers(t *testing.T) {
	inBubble(t, "Given three endpoints of which one hangs", func(t *testing.T) {
		endpoint := newRecordingEndpoint()
		hanging := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hurried" {
				// The HTTP server detects a closed connection only after reading the body.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			endpoint.ServeHTTP(w, r)
		})
		m := newTestMeshOn(faultnet.New(), t, endpoint, endpoint, hanging)
		now := time.Now()
		s := selection.New(selection.Config{Domain: "d1", Now: func() time.Time { return now }})
		m.entry.cfg.Selector = s
		state := func() string {
			for _, st := range s.Status() {
				if st.Host == "h2" {
					return st.State
				}
			}
			return ""
		}
		s.Table(m.current.Load())
		for i := 0; i < 200 && state() == "healthy"; i++ {
			m.callWithFault("/hurried", strconv.Itoa(i), "", false)
		}
		So(state(), ShouldEqual, "ejected")
		for i := range 20 {
			So(m.callWithFault("/hurried", "later-"+strconv.Itoa(i), "", false).outcomeAndReason(), ShouldEqual, "executed")
		}
		for range 2 {
			now = now.Add(2 * time.Second)
			m.entry.ProbeOnce(context.Background())
		}
		So(state(), ShouldEqual, "recovering")
	})
}

// Guards against a probe that succeeds although the endpoint does not accept
// connections.
func TestProbe(t *testing.T) {
	Convey("Given a host with an endpoint", t, func() {
		m := newTestMesh(t, http.HandlerFunc(echo))
		address := m.hosts[0].server.Listener.Addr().String()
		probe := func(id mesh.EndpointID) bool { return m.entry.sendProbe(context.Background(), address, id) }
		So(probe("e"), ShouldBeTrue)
		So(probe("other"), ShouldBeFalse)
		m.hosts[0].endpoint.Close()
		So(probe("e"), ShouldBeFalse)
		So(probe(""), ShouldBeTrue)
	})
}
