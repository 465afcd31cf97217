package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/ingress"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/placement"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/responsesize"
	"geraniumnotch.example/geraniumnotch/retrybudget"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// testServer is a server with a local endpoint and no peers.
type testServer struct {
	server          *ingress.Server
	plan            routeplan.ActivePlan
	listener        net.Listener
	backend         *http.Server
	backendListener net.Listener
	dialer          localendpoint.DialFunc
	clock           boottime.Clock
	registration    *localendpoint.Registration
	// newerPlan is set while another host has a newer plan.
	newerPlan atomic.Bool
	// memory is what clients may hold; nil limits nothing.
	memory *heldmemory.Account

	finished chan ingress.Exchange
}

// Finished implements ingress.Observer.
func (ts *testServer) Finished(e *ingress.Exchange) {
	ts.finished <- *e
}

// Attempted implements localendpoint.Observer.
func (ts *testServer) RateNamed(*localendpoint.Endpoint, float64) {}

func (ts *testServer) Leaving(*localendpoint.Endpoint) {}

func (ts *testServer) Attempted(*call.Call, *localendpoint.Endpoint, call.Result, time.Duration, time.Duration) {
}

// waitForExchange waits until the exchange of a request has ended.
func (ts *testServer) waitForExchange(id string) ingress.Exchange {
	for e := range ts.finished {
		if e.ID == id {
			return e
		}
	}
	return ingress.Exchange{}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

func testPlan(version uint64) *routeplan.Plan {
	part := []routeplan.WeightedService{{Service: "s", Weight: 1}}
	route := func(name string, kind routeplan.Kind, timeout time.Duration) routeplan.Route {
		return routeplan.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, LatencyTarget: timeout / 2, MaxAttempts: 2, Split: part}
	}
	p := &routeplan.Plan{
		Version: version, Services: []routeplan.Service{{Name: "s"}},
		Routes: []routeplan.Route{
			route("read", routeplan.Idempotent, 5*time.Second), route("order", routeplan.AtMostOnce, 5*time.Second),
			route("short", routeplan.Idempotent, 200*time.Millisecond),
		},
		Limits: routeplan.Limits{HeaderBytes: 4 << 10, BodyBytes: 2 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second},
	}
	if err := p.Compile(); err != nil {
		panic(err)
	}
	return p
}

// inBubble runs a specification in a synctest bubble, in which times do not depend on
// the load of the machine.
func inBubble(t *testing.T, name string, specification func()) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, specification) })
}

// newBubbleServer is newTestServer with an in-memory network and the clock of the
// synctest bubble.
func newBubbleServer(handler http.HandlerFunc) *testServer { return newLimitedServer(handler, 0) }

// newLimitedServer is newBubbleServer with the memory that clients may hold, 0 for any.
func newLimitedServer(handler http.HandlerFunc, memoryBytes int64) *testServer {
	network, began := faultnet.New(), time.Now()
	listen := func(address string) net.Listener {
		l, err := network.Listen(address)
		if err != nil {
			panic(err)
		}
		return l
	}
	const server, backend, dialing = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.2:1"
	// Fake time passes only while all goroutines wait, and a response without end must
	// reach its deadline.
	network.Delay(backend, dialing, time.Millisecond)
	ts := &testServer{listener: listen(server), backendListener: listen(backend), dialer: network.Dialer(dialing)}
	ts.clock = func() boottime.Time { return time.Since(began) }
	if memoryBytes > 0 {
		ts.memory = heldmemory.NewAccount(memoryBytes, ts.clock)
	}
	ts.start(handler)
	return ts
}

func newTestServer(handler http.HandlerFunc) *testServer {
	ts := &testServer{listener: listen(), backendListener: listen(), dialer: (&net.Dialer{}).DialContext, clock: boottime.Now}
	ts.start(handler)
	return ts
}

func (ts *testServer) start(handler http.HandlerFunc) {
	ts.finished = make(chan ingress.Exchange, 100)
	ts.backend = &http.Server{Handler: standin.EndpointHandler(func(out http.ResponseWriter, r *http.Request, _, _ string) { handler(out, r) })}
	go func() { _ = ts.backend.Serve(ts.backendListener) }() // Ends in close.
	identity := localendpoint.Identity{Service: "s", Address: ts.backendListener.Addr().String(), FailureDomain: "d"}
	ts.registration = localendpoint.NewRegistration(identity, ts.clock, func(*localendpoint.Endpoint) {})
	ts.registration.Dial = ts.dialer
	ts.registration.Announce(localendpoint.Announcement{ID: "a", Service: "s", Address: identity.Address, FailureDomain: "d", Slots: 4, StartedAtMs: 1, Sequence: 1})
	buffers := call.NewBuffers(1 << 20)
	gate := localendpoint.NewGate(ts.registration, platform.Headers{}, ts.clock, ts, buffers)
	directory := peers.New(peers.Config{Self: peers.Record{Host: "host", Address: "127.0.0.1:1"}, Clock: ts.clock, Local: gate})
	ts.server = ingress.New(ingress.Config{
		Plan: &ts.plan, Headers: platform.Headers{}, Keys: platform.Headers{}, NewerPlanKnown: ts.newerPlan.Load, Clock: ts.clock, Observer: ts, RunningCalls: gate.RunningCalls,
		LocalService: func() mesh.ServiceName { return "s" }, Memory: ts.memory,
		Forwarder: &ingress.Forwarder{
			Domains: placement.NewDomains(),
			Headers: platform.Headers{},
			Domain:  "d", Peers: directory, LocalGate: gate, Registration: ts.registration, Clock: ts.clock,
			RetryBudget: retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, ts.clock, func() int { return 1 }),
			Sizes:       responsesize.New(), Buffers: buffers,
		},
	})
	go func() { _ = ts.server.Serve(ts.listener) }() // Ends in close.
}

func (ts *testServer) close() {
	_ = ts.listener.Close()
	_ = ts.backend.Close()
}

func (ts *testServer) dial() (net.Conn, *bufio.Reader) {
	c, err := ts.dialer(context.Background(), "tcp", ts.listener.Addr().String())
	if err != nil {
		panic(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // The next read returns the error.
	return c, bufio.NewReader(c)
}

func get(id, path string) string { return request("GET", id, path, "") }

// request returns the head of a request with additional header lines.
func request(method, id, path, lines string) string {
	h := http.Header{}
	platform.Headers{}.SetRequestID(h, id)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", method, path)
	if err := h.Write(&b); err != nil {
		panic(err)
	}
	return b.String() + lines + "\r\n"
}

// requestID returns the ID of a request that an endpoint received.
func requestID(r *http.Request) string {
	id, _, err := platform.Headers{}.ReadRequest(r.Header)
	if err != nil {
		panic(err)
	}
	return id
}

func readResponse(r *bufio.Reader) (int, string, http.Header) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	if response.Close {
		// net/http removes the header.
		response.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err.Error(), response.Header
	}
	return response.StatusCode, string(body), response.Header
}

// Guards against a response that is written for another request of the connection,
// and against an idempotent request that waits for the one before it.
func TestPipelinedRequests(t *testing.T) {
	inBubble(t, "the first response waits until the second request arrives", func() {
		second := make(chan struct{})
		ts := newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read/1" {
				<-second
			} else {
				close(second)
			}
			_, _ = io.WriteString(out, r.URL.Path) // The client checks the body.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/read/1")+get("2", "/read/2"))
		So(err, ShouldBeNil)
		for _, path := range []string{"/read/1", "/read/2"} {
			status, body, _ := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, path)
		}
	})
}

// Guards against a wrong status for a request that is not forwarded.
func TestRequestsThatAreNotForwarded(t *testing.T) {
	Convey("a server", t, func() {
		ts := newTestServer(func(out http.ResponseWriter, _ *http.Request) {})
		defer ts.close()
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		send := func(request string) (int, http.Header) {
			_, err := io.WriteString(c, request)
			So(err, ShouldBeNil)
			status, _, h := readResponse(r)
			return status, h
		}
		Convey("without a plan rejects the call with a Retry-After header", func() {
			status, h := send(get("1", "/read/1"))
			So(status, ShouldEqual, 503)
			So(h.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("with a plan", func() {
			ts.plan.Activate(testPlan(1))
			for name, bad := range map[string]struct {
				text   string
				status int
			}{
				"no route":   {get("1", "/unknown/"), 404},
				"no ID":      {"GET /read/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
				"no HTTP":    {"nonsense\r\n\r\n", 400},
				"long head":  {request("GET", "1", "/read/", "X: "+strings.Repeat("x", 8<<10)+"\r\n"), 431},
				"long body":  {request("POST", "1", "/order/", "Content-Length: 99999999\r\n"), 413},
				"two bodies": {request("POST", "1", "/order/", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd", 400},
			} {
				Convey(name, func() {
					status, _ := send(bad.text)
					So(status, ShouldEqual, bad.status)
				})
			}
		})
	})
}

// Guards against a body that changes on its way, for each framing and length.
func TestBodies(t *testing.T) {
	Convey("an endpoint that returns the body", t, func() {
		ts := newTestServer(func(out http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = out.Write(body) // The client checks the body.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		for _, size := range []int{0, 1, 5000, 70_000, 1_500_000} {
			for _, chunked := range []bool{false, true} {
				Convey(fmt.Sprint(size, " bytes, chunked ", chunked), func() {
					body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
					var reader io.Reader = bytes.NewReader(body)
					if chunked {
						reader = io.MultiReader(reader)
					}
					request, err := http.NewRequest("POST", "http://"+ts.listener.Addr().String()+"/order/x?q=1", reader)
					So(err, ShouldBeNil)
					request.Host = "h"
					platform.Headers{}.SetRequestID(request.Header, "b")
					transport := &http.Transport{}
					defer transport.CloseIdleConnections()
					response, err := transport.RoundTrip(request)
					So(err, ShouldBeNil)
					got, err := io.ReadAll(response.Body)
					So(err, ShouldBeNil)
					So(len(got), ShouldEqual, size)
					So(bytes.Equal(got, body), ShouldBeTrue)
				})
			}
		}
		Convey("a body over the limit is rejected while it arrives", func() {
			request, err := http.NewRequest("POST", "http://"+ts.listener.Addr().String()+"/order/x", io.MultiReader(bytes.NewReader(make([]byte, 3<<20))))
			So(err, ShouldBeNil)
			request.Host = "h"
			platform.Headers{}.SetRequestID(request.Header, "b")
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			if response, err := transport.RoundTrip(request); err == nil {
				So(response.StatusCode, ShouldBeGreaterThanOrEqualTo, 400)
			}
		})
	})
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponse(t *testing.T) {
	inBubble(t, "a long response that the endpoint truncates", func() {
		ts := newBubbleServer(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = out.Write(make([]byte, 300<<10)) // The handler aborts next.
			out.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/order/1"))
		So(err, ShouldBeNil)
		response, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		_, err = io.ReadAll(response.Body)
		So(err, ShouldNotBeNil)
	})
	inBubble(t, "a short response that the endpoint truncates is replaced by a 502", func() {
		ts := newBubbleServer(func(out http.ResponseWriter, _ *http.Request) {
			out.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(out, "part") // The handler aborts next.
			panic(http.ErrAbortHandler)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/order/1"))
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, 502)
	})
}

// Guards against a 400 for a request head over the limit when the limit falls within
// the name of a header.
func TestRequestHeadOverTheLimit(t *testing.T) {
	Convey("every head over the limit is rejected with 431", t, func() {
		ts := newTestServer(func(http.ResponseWriter, *http.Request) {})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		lines := strings.Repeat("Abc: x\r\n", 1<<10)
		for padding := range len("Abc: x\r\n") {
			c, r := ts.dial()
			_, err := io.WriteString(c, request("GET", "1", "/read/"+strings.Repeat("x", padding), lines))
			So(err, ShouldBeNil)
			status, _, _ := readResponse(r)
			So(status, ShouldEqual, 431)
			So(c.Close(), ShouldBeNil)
		}
	})
}

// Guards against a call that lasts beyond the route's timeout, or is still executed
// afterwards, and against an at-most-once call that is executed twice.
func TestTimeoutsAndRetries(t *testing.T) {
	inBubble(t, "an endpoint that does not respond in time", func() {
		cancelled := make(chan struct{})
		ts := newBubbleServer(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(cancelled)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		began := time.Now()
		_, err := io.WriteString(c, get("1", "/short/1"))
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, 504)
		So(time.Since(began), ShouldBeBetween, 190*time.Millisecond, 700*time.Millisecond)
		<-cancelled
	})
	inBubble(t, "an at-most-once call whose response is lost is not retried", func() {
		var mu sync.Mutex
		runs := map[string]int{}
		ts := newBubbleServer(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			runs[requestID(r)]++
			mu.Unlock()
			panic(http.ErrAbortHandler)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/order/1"))
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, 502)
		mu.Lock()
		defer mu.Unlock()
		So(runs["1"], ShouldEqual, 1)
	})
	inBubble(t, "a call that may have been executed is not reported as rejected when no endpoint is left", func() {
		ts := newBubbleServer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/read/1"))
		So(err, ShouldBeNil)
		status, _, h := readResponse(r)
		So(status, ShouldEqual, 502)
		So(h.Get("Retry-After"), ShouldBeEmpty)
	})
	inBubble(t, "the client disconnects while its call is executed", func() {
		started, cancelled := make(chan struct{}), make(chan struct{})
		ts := newBubbleServer(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, _ := ts.dial()
		_, err := io.WriteString(c, get("1", "/read/1"))
		So(err, ShouldBeNil)
		<-started
		So(c.Close(), ShouldBeNil)
		<-cancelled
	})
}

// writeForever takes over the connection of a response and writes start, and then unit
// until the connection is closed.
func writeForever(out http.ResponseWriter, start, unit string) {
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	const maxBytes = 64 << 20 // The bytes that net/http would buffer without a limit.
	block := bytes.Repeat([]byte(unit), 4<<10)
	_, err = io.WriteString(c, start)
	for written := 0; err == nil && written < maxBytes; written += len(block) {
		_, err = c.Write(block)
	}
	_, _ = io.Copy(io.Discard, c) // Waits until the node closes the connection.
}

// Guards against a response head without end that holds a call until its deadline, and
// against a response body without end that looks complete.
func TestUnboundedResponses(t *testing.T) {
	for _, path := range []string{"/order/1", "/read/1"} {
		inBubble(t, "a head without end is replaced by a 502: "+path, func() {
			var runs atomic.Int64
			ts := newBubbleServer(func(out http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				writeForever(out, "HTTP/1.1 200 OK\r\n", "A: x\r\n")
			})
			defer ts.close()
			ts.plan.Activate(testPlan(1))
			c, r := ts.dial()
			defer func() { _ = c.Close() }()
			_, err := io.WriteString(c, get("1", path))
			So(err, ShouldBeNil)
			status, _, h := readResponse(r)
			So(status, ShouldEqual, 502)
			So(h.Get("Retry-After"), ShouldBeEmpty)
			So(runs.Load(), ShouldEqual, 1)
			So(ts.waitForExchange("1").Reason, ShouldEqual, call.ReasonResponseTooLong)
		})
	}
	inBubble(t, "a body without end is cut off at the deadline", func() {
		ts := newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
			var head strings.Builder
			h := http.Header{}
			platform.Headers{}.SetRequestID(h, requestID(r))
			standin.SetStamp(h)
			if err := h.Write(&head); err != nil {
				panic(err)
			}
			writeForever(out, "HTTP/1.1 200 OK\r\n"+head.String()+"\r\n", "x")
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/short/1"))
		So(err, ShouldBeNil)
		status, body, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(body, ShouldEqual, io.ErrUnexpectedEOF.Error())
	})
}

// Guards against a draining node that aborts a call in flight, or accepts one that
// it cannot finish.
func TestDrain(t *testing.T) {
	inBubble(t, "a call is in flight when the drain starts", func() {
		started, release := make(chan struct{}), make(chan struct{})
		ts := newBubbleServer(func(out http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			_, _ = io.WriteString(out, "done") // The client checks the body.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/read/1"))
		So(err, ShouldBeNil)
		<-started
		now := ts.clock()
		ts.server.Drain(now, now+time.Second)
		ts.server.CloseIdle()
		Convey("a call that may outlast the node is rejected immediately", func() {
			other, otherReader := ts.dial()
			defer func() { _ = other.Close() }()
			_, err := io.WriteString(other, get("2", "/read/2"))
			So(err, ShouldBeNil)
			status, _, h := readResponse(otherReader)
			So(status, ShouldEqual, 503)
			So(h.Get("Connection"), ShouldEqual, "close")
			close(release)
		})
		Convey("the response is complete and closes the connection", func() {
			close(release)
			status, body, h := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, "done")
			So(h.Get("Connection"), ShouldEqual, "close")
			_, err = r.ReadByte()
			So(err, ShouldEqual, io.EOF)
			So(ts.server.Active(), ShouldEqual, 0)
		})
	})
}

// Guards against a request that is lost at the end of the process, because the node
// sees no pending request while the head is still being read.
func TestDrainWaitsForRequestBeingRead(t *testing.T) {
	inBubble(t, "the first bytes of a request have been read", func() {
		ts := newBubbleServer(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(out, "done") // The client checks the body.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		request := get("1", "/read/1")
		_, err := io.WriteString(c, request[:10])
		So(err, ShouldBeNil)
		synctest.Wait()
		now := ts.clock()
		ts.server.Drain(now, now+time.Minute)
		So(ts.server.Active(), ShouldEqual, 0)
		So(ts.server.CloseIdle(), ShouldEqual, 1)
		_, err = io.WriteString(c, request[10:])
		So(err, ShouldBeNil)
		status, body, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(body, ShouldEqual, "done")
		_, err = r.ReadByte()
		So(err, ShouldEqual, io.EOF)
		for end := time.Now().Add(time.Second); ts.server.CloseIdle() != 0; time.Sleep(time.Millisecond) {
			So(time.Now(), ShouldHappenBefore, end)
		}
	})
}

// Guards against a retry after a failed nested call: it would only make the nested
// call again.
func TestNestedFailureIsNotRetried(t *testing.T) {
	inBubble(t, "an endpoint whose nested call finds no route", func() {
		var ts *testServer
		var mu sync.Mutex
		runs := 0
		ts = newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
			mu.Lock()
			runs++
			mu.Unlock()
			c, nestedReader := ts.dial()
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, get(requestID(r)+".n", "/unknown/")) // readResponse returns the error.
			if status, _, _ := readResponse(nestedReader); status != 200 {
				out.WriteHeader(http.StatusInternalServerError)
			}
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("p", "/read/1"))
		So(err, ShouldBeNil)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, 500)
		mu.Lock()
		So(runs, ShouldEqual, 1)
		mu.Unlock()
		So(ts.waitForExchange("p.n").Nested, ShouldBeTrue)
	})
}
