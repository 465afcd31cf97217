package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// recordingEndpoint is an endpoint handler with fault injection. It records the
// calls that it executed.
type recordingEndpoint struct {
	mu         sync.Mutex
	arrived    map[string]int
	executions map[string]int
}

func newRecordingEndpoint() *recordingEndpoint {
	return &recordingEndpoint{arrived: map[string]int{}, executions: map[string]int{}}
}

// ServeHTTP injects the fault of X-Fault into the first request with the label, or
// into all of them if X-Always is set. Otherwise it responds with the label.
func (e *recordingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	label, fault := r.Header.Get("X-Label"), r.Header.Get("X-Fault")
	e.mu.Lock()
	e.arrived[label]++
	faulty := fault != "" && (e.arrived[label] == 1 || r.Header.Get("X-Always") != "")
	e.mu.Unlock()
	if faulty && fault == "shed" {
		w.Header().Set(mesh.HeaderOutcome, string(mesh.OutcomeNotExecuted))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.executions[label]++
	e.mu.Unlock()
	if faulty {
		endpointFaults[fault](w, r)
		return
	}
	w.Header().Set(mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
	_, _ = io.WriteString(w, "answer to "+label)
}

func (e *recordingEndpoint) executionCount(label string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[label]
}

// endpointFaults are the faults of an endpoint after it executed a call.
var endpointFaults = map[string]func(http.ResponseWriter, *http.Request){
	"error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	"crash": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"hang":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	"short": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part of an answer")
		panic(http.ErrAbortHandler)
	},
	"truncated": func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 2*maxBufferedResponseBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	"crossed": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(mesh.HeaderCall, "another-call")
		_, _ = io.WriteString(w, "answer to somebody else")
	},
	"unframed": func(w http.ResponseWriter, _ *http.Request) {
		conn, buf, _ := http.NewResponseController(w).Hijack()
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n\r\npart of an answer")
		_ = buf.Flush()
		_ = conn.Close()
	},
	"status 000":                 writeStatus("000 X"),
	"status 099":                 writeStatus("099 X"),
	"status +20":                 writeStatus("+20 X"),
	"status 101":                 writeStatus("101 Switching Protocols"),
	"status 600":                 writeStatus("600 X"),
	"status 999":                 writeStatus("999 X"),
	"unbounded head":             writeForever("HTTP/1.1 200 OK\r\n", "A: x\r\n"),
	"unbounded interim":          writeForever("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
	"unbounded interim, no head": writeForever("", "HTTP/1.1 102 Processing\r\n\r\n"),
	"unbounded body":             writeForever("HTTP/1.1 200 OK\r\n\r\n", "x"),
	"doubled": func(w http.ResponseWriter, r *http.Request) {
		conn, buf, _ := http.NewResponseController(w).Hijack()
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 6\r\n\r\nanswer", mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
		_, _ = buf.WriteString(one + one)
		_ = buf.Flush()
		_ = conn.Close()
	},
}

// writeStatus returns a fault that answers the call with a status line.
func writeStatus(line string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buf, _ := http.NewResponseController(w).Hijack()
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 17\r\n\r\npart of an answer", line, mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
		_ = buf.Flush()
		_ = conn.Close()
	}
}

// writeForever returns a fault that writes start, and then unit until the connection is
// closed.
func writeForever(start, unit string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		defer func() { _ = conn.Close() }()
		const maxBytes = 16 << 20
		block := []byte(strings.Repeat(unit, 64))
		_, err := io.WriteString(conn, start)
		for written := 0; err == nil && written < maxBytes; written += len(block) {
			_, err = conn.Write(block)
		}
		_, _ = io.Copy(io.Discard, conn) // Waits until the node closes the connection.
	}
}

func (m *testMesh) callWithFault(path, label, fault string, always bool) reply {
	r := m.request(http.MethodPost, path, strings.NewReader("order"))
	r.Header.Set("X-Label", label)
	r.Header.Set("X-Fault", fault)
	r.Header.Set(mesh.HeaderIdempotencyKey, label)
	r.Header.Set(mesh.HeaderIssuedAt, "1000")
	if always {
		r.Header.Set("X-Always", "1")
	}
	return m.do(r)
}

// Guards against a wrong outcome after any fault of an endpoint, and against a
// second execution (I4, I5, I6). Executions are counted at the endpoints.
func TestEndpointFaults(t *testing.T) {
	cases := []struct {
		fault, path, outcome string
		always               bool
		executions           int
	}{
		{"error", "/once", "executed", false, 1},
		{"crash", "/once", "unknown broken_connection", false, 1},
		{"crash", "/keyed", "unknown broken_connection", false, 1},
		{"crash", "/lookup", "executed", false, 2},
		{"short", "/once", "unknown broken_connection", false, 1},
		{"short", "/lookup", "executed", false, 2},
		{"crossed", "/once", "unknown crossed_answer", false, 1},
		{"crossed", "/lookup", "executed", false, 2},
		{"unframed", "/once", "unknown broken_connection", false, 1},
		{"status 000", "/once", "unknown broken_connection", false, 1},
		{"status 099", "/lookup", "executed", false, 2},
		{"status +20", "/once", "unknown broken_connection", false, 1},
		{"status 101", "/once", "unknown broken_connection", false, 1},
		{"status 600", "/once", "unknown broken_connection", false, 1},
		{"status 999", "/lookup", "executed", false, 2},
		{"unbounded head", "/once", "unknown broken_connection", false, 1},
		{"unbounded interim", "/once", "unknown broken_connection", false, 1},
		{"unbounded interim", "/lookup", "executed", false, 2},
		{"unbounded interim, no head", "/once", "unknown broken_connection", false, 1},
		{"unbounded body", "/once", "unknown broken_connection", false, 1},
		{"doubled", "/once", "executed", false, 1},
		{"hang", "/hurried", "unknown deadline", false, 1},
		{"hang", "/lookup", "executed", false, 2},
		{"shed", "/once", "executed", false, 1},
		{"shed", "/once", "not_executed endpoint_shed", true, 0},
		{"shed", "/keyed", "not_executed endpoint_shed", true, 0},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("%s on %s, always %v", c.fault, c.path, c.always), t, func() {
			endpoint := newRecordingEndpoint()
			m := newTestMesh(t, endpoint, endpoint, endpoint)
			r := m.callWithFault(c.path, "label", c.fault, c.always)
			So(r.err, ShouldBeNil)
			So(r.outcomeAndReason(), ShouldEqual, c.outcome)
			So(r.body, ShouldNotContainSubstring, "somebody else")
			So(r.body, ShouldNotContainSubstring, "part of")
			So(endpoint.executionCount("label"), ShouldEqual, c.executions)
		})
	}
	Convey("A long response that ends early is aborted towards the caller", t, func() {
		endpoint := newRecordingEndpoint()
		m := newTestMesh(t, endpoint)
		r := m.callWithFault("/once", "label", "truncated", false)
		So(r.status, ShouldEqual, http.StatusOK)
		So(r.err, ShouldNotBeNil)
		So(endpoint.executionCount("label"), ShouldEqual, 1)
	})
}

// Guards against http.Transport sending a request twice (design, section 1.8). The
// endpoint closes every connection at its second request, which has a key and no
// body, so that the transport would send it again by default.
func TestNoReplayOnReusedConnection(t *testing.T) {
	Convey("A reused connection that breaks does not execute a call twice", t, func() {
		endpoint := newRecordingEndpoint()
		m := newTestMesh(t, endpoint)
		for i := range 6 {
			r := m.request(http.MethodGet, "/once", nil)
			label := fmt.Sprint("call-", i)
			r.Header.Set("X-Label", label)
			r.Header.Set(mesh.HeaderIdempotencyKey, label)
			if i%2 == 1 {
				r.Header.Set("X-Fault", "crash")
			}
			outcome := m.do(r).outcomeAndReason()
			So(endpoint.executionCount(label), ShouldEqual, 1)
			So(outcome, ShouldEqual, []string{"executed", "unknown broken_connection"}[i%2])
		}
	})
}

// Guards against responses to other calls, second executions, and executions of
// calls that were rejected, when faults occur during concurrent calls.
func TestFaultsUnderConcurrency(t *testing.T) {
	Convey("Every caller gets its own response and the correct outcome", t, func() {
		endpoint := newRecordingEndpoint()
		m := newTestMesh(t, endpoint, endpoint, endpoint)
		kinds := []string{"", "crash", "short", "crossed", "shed", "doubled", "error", "truncated"}
		paths := []string{"/once", "/lookup"}
		const calls = 320
		replies := make([]reply, calls)
		var wait sync.WaitGroup
		limit := make(chan struct{}, 32)
		for i := range calls {
			wait.Add(1)
			limit <- struct{}{}
			go func() {
				defer wait.Done()
				replies[i] = m.callWithFault(paths[i%2], fmt.Sprint("call-", i), kinds[i/2%len(kinds)], i%3 == 0)
				<-limit
			}()
		}
		wait.Wait()
		for i, r := range replies {
			label := fmt.Sprint("call-", i)
			executions := endpoint.executionCount(label)
			if r.status == http.StatusOK && r.err == nil && kinds[i/2%len(kinds)] != "doubled" && r.body != "answer to "+label {
				t.Errorf("%s got %q", label, r.body)
			}
			if i%2 == 0 && executions > 1 {
				t.Errorf("%s is not repeatable and was executed %d times", label, executions)
			}
			if r.header.Get(mesh.HeaderOutcome) == string(mesh.OutcomeNotExecuted) && executions > 0 {
				t.Errorf("%s was rejected as not executed and was executed %d times", label, executions)
			}
		}
	})
}

// Guards against a late response that is relayed to the next call on the same
// connection.
func TestLateResponse(t *testing.T) {
	inBubble(t, "A response after the deadline is not sent to any caller", func(t *testing.T) {
		release := make(chan struct{})
		m := newTestMeshOn(faultnet.New(), t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hurried" {
				<-release
			}
			echo(w, r)
		}))
		So(m.post("/hurried", "late").outcomeAndReason(), ShouldEqual, "unknown deadline")
		close(release)
		for i := range 20 {
			So(m.post("/once", fmt.Sprint(i)).body, ShouldContainSubstring, fmt.Sprintf("POST /once %q", fmt.Sprint(i)))
		}
	})
}
