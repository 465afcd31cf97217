package localendpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// stubHeaders uses header names of its own; the platform's are tested with their
// adapter.
type stubHeaders struct{}

func (stubHeaders) ReadRequest(h http.Header) (string, time.Duration, error) {
	return h.Get("Id"), 0, nil
}

func (stubHeaders) SetForEndpoint(h http.Header, remaining time.Duration, endpoint mesh.EndpointID, caller mesh.ServiceName) {
	h.Set("Left", remaining.String())
	h.Set("Expect-Endpoint", string(endpoint))
	h.Set("Caller", string(caller))
}

func (stubHeaders) ReadResponse(status int, h http.Header) call.ResponseInfo {
	return call.ResponseInfo{RequestID: h.Get("Id"), NotExecuted: h.Get("Not-Run") != "", Stamped: h.Get("No-Stamp") == ""}
}
func (stubHeaders) SetRetryAfter(http.Header, time.Duration) {}
func (stubHeaders) SetRequestID(http.Header, string)         {}

// stubEndpoint is an HTTP server that responds to each request by a function. It
// counts connections and requests.
type stubEndpoint struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
	mu          sync.Mutex
	open        []net.Conn
}

// responder responds to a request on a connection and reports whether the connection
// stays open.
type responder func(c net.Conn, r *http.Request) bool

func newStubEndpoint(respond responder) *stubEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return serveStubEndpoint(l, respond)
}

func serveStubEndpoint(l net.Listener, respond responder) *stubEndpoint {
	e := &stubEndpoint{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			e.mu.Lock()
			e.open = append(e.open, c)
			e.mu.Unlock()
			go e.serve(c, respond)
		}
	}()
	return e
}

func (e *stubEndpoint) serve(c net.Conn, respond responder) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		e.requests.Add(1)
		if !respond(c, request) {
			return
		}
	}
}

func (e *stubEndpoint) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.open {
		_ = c.Close()
	}
}

func writeResponse(c net.Conn, id, extra, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
	return err == nil
}

type nopObserver struct{}

func (nopObserver) RateNamed(*localendpoint.Endpoint, float64) {}

func (nopObserver) Leaving(*localendpoint.Endpoint) {}

func (nopObserver) Attempted(*call.Call, *localendpoint.Endpoint, call.Result, time.Duration, time.Duration) {
}

// newGate returns a gate in front of the stub endpoint, with two slots.
func newGate(e *stubEndpoint) (*localendpoint.Gate, *localendpoint.Registration) {
	return newGateAt(e.listener.Addr().String())
}

func newGateAt(address string) (*localendpoint.Gate, *localendpoint.Registration) {
	r := localendpoint.NewRegistration(localendpoint.Identity{Service: "s", Address: address, FailureDomain: "d"}, boottime.Now, func(*localendpoint.Endpoint) {})
	a := announcement("a", 100, 1)
	a.Address = address
	r.Announce(a)
	return localendpoint.NewGate(r, stubHeaders{}, boottime.Now, nopObserver{}, call.NewBuffers(0)), r
}

var lastID atomic.Int64

func newCall(kind routeplan.Kind) *call.Call {
	return &call.Call{
		ID: fmt.Sprint("c", lastID.Add(1)), Method: "GET", URI: "/x?y", Host: "h", Header: http.Header{}, Service: "s", Kind: kind,
		Remaining: 2 * time.Second, TargetRemaining: time.Second,
	}
}

// Guards against a response that reaches another call, and against reuse of a
// connection after a fault.
func TestFaultyResponses(t *testing.T) {
	ctx := context.Background()
	Convey("a connection is reused after complete responses", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool { return writeResponse(c, r.Header.Get("Id"), "", r.RequestURI) })
		defer e.close()
		g, _ := newGate(e)
		for range 5 {
			c := newCall(routeplan.Idempotent)
			c.Header.Set("Id", c.ID)
			r := g.Run(ctx, c)
			So(r.Outcome, ShouldEqual, call.Answered)
			So(string(r.Response.Body), ShouldEqual, "/x?y")
		}
		So(e.connections.Load(), ShouldEqual, 1)
	})
	Convey("a late response to an earlier call is skipped", t, func() {
		n := 0
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			if n++; n == 2 {
				writeResponse(c, "earlier", "", "wrong")
			}
			return writeResponse(c, r.Header.Get("Id"), "", "right")
		})
		defer e.close()
		g, _ := newGate(e)
		for range 2 {
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			r := g.Run(ctx, c)
			So(r.Outcome, ShouldEqual, call.Answered)
			So(string(r.Response.Body), ShouldEqual, "right")
		}
	})
	Convey("bytes after a complete response close the connection", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", r.Header.Get("Id"))
			return err == nil
		})
		defer e.close()
		g, _ := newGate(e)
		for range 2 {
			c := newCall(routeplan.Idempotent)
			c.Header.Set("Id", c.ID)
			So(string(g.Run(ctx, c).Response.Body), ShouldEqual, "ok")
		}
		So(e.connections.Load(), ShouldEqual, 2)
	})
	for name, fault := range map[string]struct {
		answer string
		reason string
	}{
		"a success without a stamp":  {"HTTP/1.1 200 OK\r\nId: %s\r\nNo-Stamp: 1\r\nContent-Length: 2\r\n\r\nok", call.ReasonResponseUnstamped},
		"a truncated body":           {"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", call.ReasonResponseTruncated},
		"no response at all":         {"%.0s", call.ReasonNoResponse},
		"a malformed response":       {"\x00\x01garbage %s\r\n\r\n", call.ReasonResponseMalformed},
		"an unfinished chunked body": {"HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", call.ReasonResponseTruncated},
	} {
		Convey("the result for "+name+" is broken and sent", t, func() {
			e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, fault.answer, r.Header.Get("Id")) // The fault is the close that follows.
				return false
			})
			defer e.close()
			g, r := newGate(e)
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			result := g.Run(ctx, c)
			So(result.Outcome, ShouldEqual, call.Broken)
			So(result.Sent, ShouldBeTrue)
			So(result.Reason, ShouldEqual, fault.reason)
			So(e.requests.Load(), ShouldEqual, 1)
			So(r.Current().Queue.Load(), ShouldResemble, call.Load{})
		})
	}
	Convey("a response without a length ends with its connection", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nall of it", r.Header.Get("Id")) // The close ends the response.
			return false
		})
		defer e.close()
		g, _ := newGate(e)
		c := newCall(routeplan.Idempotent)
		c.Header.Set("Id", c.ID)
		So(string(g.Run(ctx, c).Response.Body), ShouldEqual, "all of it")
	})
}

// Guards against a call that is reported as not executed although it was, and
// against a second execution.
func TestRejectedAttempts(t *testing.T) {
	ctx := context.Background()
	Convey("the endpoint states that it did not execute the call", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			return writeResponse(c, r.Header.Get("Id"), "Not-Run: 1\r\n", "")
		})
		defer e.close()
		g, _ := newGate(e)
		c := newCall(routeplan.AtMostOnce)
		c.Header.Set("Id", c.ID)
		r := g.Run(ctx, c)
		So(r.Outcome, ShouldEqual, call.Rejected)
		So(r.Sent, ShouldBeTrue)
	})
	Convey("nothing listens at the address", t, func() {
		e := newStubEndpoint(nil)
		g, registration := newGate(e)
		e.close()
		r := g.Run(ctx, newCall(routeplan.AtMostOnce))
		So(r.Outcome, ShouldEqual, call.Rejected)
		So(r.Reason, ShouldEqual, call.ReasonConnectFailed)
		So(r.Sent, ShouldBeFalse)
		// A refused connection takes no time, so that the endpoint would look idle
		// and attract calls.
		So(registration.Current(), ShouldBeNil)
		again := announcement("a", 100, 2)
		again.Address = e.listener.Addr().String()
		So(registration.Announce(again), ShouldEqual, localendpoint.NewIncarnation)
	})
	Convey("another endpoint listens at the address", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			return err == nil
		})
		defer e.close()
		g, r := newGate(e)
		c := newCall(routeplan.AtMostOnce)
		c.Header.Set("Id", c.ID)
		So(g.Run(ctx, c).Reason, ShouldEqual, call.ReasonOtherEndpoint)
		So(r.Current(), ShouldBeNil)
		So(g.Run(ctx, newCall(routeplan.AtMostOnce)).Reason, ShouldEqual, call.ReasonNoEndpoint)
		So(e.requests.Load(), ShouldEqual, 1)
	})
	Convey("a deregistered endpoint gets no calls", t, func() {
		e := newStubEndpoint(nil)
		defer e.close()
		g, r := newGate(e)
		r.Deregister("a", 0)
		So(g.Run(ctx, newCall(routeplan.Idempotent)).Outcome, ShouldEqual, call.Rejected)
		So(e.connections.Load(), ShouldEqual, 0)
	})
}

// Guards against executing a call that its caller has cancelled, and against
// disconnecting an at-most-once call while it is executed.
func TestCancelledCalls(t *testing.T) {
	for _, kind := range []routeplan.Kind{routeplan.Idempotent, routeplan.AtMostOnce} {
		Convey(kind.String(), t, func() {
			started, released, disconnected := make(chan struct{}), make(chan struct{}), make(chan struct{})
			e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
				close(started)
				go func() {
					var b [1]byte
					if _, err := c.Read(b[:]); err != nil {
						close(disconnected)
					}
				}()
				<-released
				return writeResponse(c, r.Header.Get("Id"), "", "done")
			})
			defer e.close()
			g, _ := newGate(e)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan call.Result, 1)
			c := newCall(kind)
			c.Header.Set("Id", c.ID)
			go func() { done <- g.Run(ctx, c) }()
			<-started
			cancel()
			if kind == routeplan.Idempotent {
				<-disconnected
				So((<-done).Outcome, ShouldEqual, call.Expired)
				close(released)
				return
			}
			close(released)
			So((<-done).Outcome, ShouldEqual, call.Answered)
		})
	}
	Convey("a waiting call is cancelled and never sent", t, func() {
		released := make(chan struct{})
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			<-released
			return writeResponse(c, r.Header.Get("Id"), "", "")
		})
		defer e.close()
		g, r := newGate(e)
		var running sync.WaitGroup
		for range 2 {
			c := newCall(routeplan.Idempotent)
			c.Header.Set("Id", c.ID)
			running.Go(func() { g.Run(context.Background(), c) })
		}
		waitFor(func() bool { return e.requests.Load() == 2 })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan call.Result, 1)
		go func() { done <- g.Run(ctx, newCall(routeplan.AtMostOnce)) }()
		waitFor(func() bool { return r.Current().Queue.Load().Waiting == 1 })
		cancel()
		So((<-done).Outcome, ShouldEqual, call.Rejected)
		close(released)
		running.Wait()
		So(e.requests.Load(), ShouldEqual, 2)
	})
}

// waitFor polls until the condition holds, and panics after 10 s.
func waitFor(condition func() bool) {
	for end := time.Now().Add(10 * time.Second); !condition(); {
		if time.Now().After(end) {
			panic("condition does not hold after 10 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request body that the endpoint reads as the next request, when it
// responds before it has read the body.
func TestResponseBeforeTheBodyWasRead(t *testing.T) {
	Convey("a long body and an early response", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			if !writeResponse(c, r.Header.Get("Id"), "", "early") {
				return false
			}
			_, err := io.Copy(io.Discard, r.Body)
			return err == nil
		})
		defer e.close()
		g, _ := newGate(e)
		for range 3 {
			c := newCall(routeplan.Upload)
			c.Method = "POST"
			c.Header.Set("Id", c.ID)
			c.BodyBytes = 4 << 20
			c.Body = call.BytesBody([]byte(strings.Repeat("x", 4<<20)))
			r := g.Run(context.Background(), c)
			So(r.Outcome, ShouldEqual, call.Answered)
			So(string(r.Response.Body), ShouldEqual, "early")
		}
		So(e.requests.Load(), ShouldEqual, 3)
	})
}

// Guards against calls of other hosts that wait for the endpoint of a node until it
// ends, although another host could execute them.
func TestWaitingCallsAreRejected(t *testing.T) {
	Convey("two calls are executed and one waits", t, func() {
		started, release := make(chan struct{}, 3), make(chan struct{})
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			started <- struct{}{}
			<-release
			return writeResponse(c, r.Header.Get("Id"), "", "ok")
		})
		defer e.close()
		g, r := newGate(e)
		results := make(chan call.Result, 3)
		run := func() {
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			results <- g.Run(context.Background(), c)
		}
		for range 2 {
			go run()
			<-started
		}
		go run()
		for r.Current().Queue.Load().Waiting == 0 {
			runtime.Gosched()
		}
		r.RejectWaiting()
		rejected := <-results
		So(rejected.Outcome, ShouldEqual, call.Rejected)
		So(rejected.Reason, ShouldEqual, call.ReasonEndpointDraining)
		So(rejected.Sent, ShouldBeFalse)
		close(release)
		for range 2 {
			So((<-results).Outcome, ShouldEqual, call.Answered)
		}
	})
}
