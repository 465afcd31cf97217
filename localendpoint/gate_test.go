package localendpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

// headers are names of the test's own; the platform's are tested with the adapter.
type headers struct{}

func (headers) Request(h http.Header) (string, time.Duration, error) { return h.Get("Id"), 0, nil }

func (headers) ForEndpoint(h http.Header, left time.Duration, endpoint mesh.EndpointID, caller mesh.ServiceName) {
	h.Set("Left", left.String())
	h.Set("Expect-Endpoint", string(endpoint))
	h.Set("Caller", string(caller))
}

func (headers) Answer(status int, h http.Header) call.AnswerFacts {
	return call.AnswerFacts{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}
func (headers) SetRetryAfter(http.Header, time.Duration) {}
func (headers) SetRequestID(http.Header, string)         {}

// endpoint is a stand-in that answers each request by a script. It counts
// connections and requests.
type endpoint struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
	mu          sync.Mutex
	open        []net.Conn
}

// script answers a request on a connection and reports whether the connection
// goes on.
type script func(c net.Conn, r *http.Request) bool

func newEndpoint(answer script) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &endpoint{listener: l}
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
			go e.serve(c, answer)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn, answer script) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		e.requests.Add(1)
		if !answer(c, request) {
			return
		}
	}
}

func (e *endpoint) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.open {
		_ = c.Close()
	}
}

func reply(c net.Conn, id, extra, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
	return err == nil
}

type noObserver struct{}

func (noObserver) Attempted(*call.Call, *localendpoint.Endpoint, call.Result, time.Duration, time.Duration) {
}

// gateOf returns a gate whose endpoint is the stand-in, with two slots.
func gateOf(e *endpoint) (*localendpoint.Gate, *localendpoint.Registration) {
	address := e.listener.Addr().String()
	r := localendpoint.NewRegistration(localendpoint.Identity{Service: "s", Address: address, FailureDomain: "d"}, boottime.Now, func(*localendpoint.Endpoint) {})
	a := announcement("a", 100, 1)
	a.Address = address
	r.Announce(a)
	return localendpoint.NewGate(r, headers{}, boottime.Now, noObserver{}), r
}

var lastID atomic.Int64

func newCall(kind routeplan.Kind) *call.Call {
	return &call.Call{
		ID: fmt.Sprint("c", lastID.Add(1)), Method: "GET", URI: "/x?y", Host: "h", Header: http.Header{}, Service: "s", Kind: kind,
		Left: 2 * time.Second, TargetLeft: time.Second,
	}
}

// Guards against answers that reach another call, and against connections that
// are used after a fault.
func TestFaultyAnswers(t *testing.T) {
	ctx := context.Background()
	Convey("an endpoint that answers well keeps its connection", t, func() {
		e := newEndpoint(func(c net.Conn, r *http.Request) bool { return reply(c, r.Header.Get("Id"), "", r.RequestURI) })
		defer e.close()
		g, _ := gateOf(e)
		for range 5 {
			c := newCall(routeplan.Idempotent)
			c.Header.Set("Id", c.ID)
			r := g.Run(ctx, c)
			So(r.Fate, ShouldEqual, call.Answered)
			So(string(r.Answer.Body), ShouldEqual, "/x?y")
		}
		So(e.connections.Load(), ShouldEqual, 1)
	})
	Convey("a late answer to an earlier call is skipped", t, func() {
		n := 0
		e := newEndpoint(func(c net.Conn, r *http.Request) bool {
			if n++; n == 2 {
				reply(c, "earlier", "", "wrong")
			}
			return reply(c, r.Header.Get("Id"), "", "right")
		})
		defer e.close()
		g, _ := gateOf(e)
		for range 2 {
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			r := g.Run(ctx, c)
			So(r.Fate, ShouldEqual, call.Answered)
			So(string(r.Answer.Body), ShouldEqual, "right")
		}
	})
	Convey("bytes after a complete answer end the connection", t, func() {
		e := newEndpoint(func(c net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", r.Header.Get("Id"))
			return err == nil
		})
		defer e.close()
		g, _ := gateOf(e)
		for range 2 {
			c := newCall(routeplan.Idempotent)
			c.Header.Set("Id", c.ID)
			So(string(g.Run(ctx, c).Answer.Body), ShouldEqual, "ok")
		}
		So(e.connections.Load(), ShouldEqual, 2)
	})
	for name, fault := range map[string]struct {
		answer string
		reason string
	}{
		"broken off in the body": {"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", call.ReasonTruncated},
		"no answer":              {"%.0s", call.ReasonNoAnswer},
		"no protocol":            {"\x00\x01garbage %s\r\n\r\n", call.ReasonGarbage},
		"chunk without an end":   {"HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", call.ReasonTruncated},
	} {
		Convey("an answer "+name+" is broken and may have run", t, func() {
			e := newEndpoint(func(c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, fault.answer, r.Header.Get("Id")) // The fault is the close that follows.
				return false
			})
			defer e.close()
			g, r := gateOf(e)
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			result := g.Run(ctx, c)
			So(result.Fate, ShouldEqual, call.Broken)
			So(result.Sent, ShouldBeTrue)
			So(result.Reason, ShouldEqual, fault.reason)
			So(e.requests.Load(), ShouldEqual, 1)
			So(r.Current().Queue.Load(), ShouldResemble, call.Load{})
		})
	}
	Convey("an answer without a length ends with its connection", t, func() {
		e := newEndpoint(func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nall of it", r.Header.Get("Id")) // The close ends the answer.
			return false
		})
		defer e.close()
		g, _ := gateOf(e)
		c := newCall(routeplan.Idempotent)
		c.Header.Set("Id", c.ID)
		So(string(g.Run(ctx, c).Answer.Body), ShouldEqual, "all of it")
	})
}

// Guards against a false "not run" and against a second run.
func TestRefusalsOfTheEndpoint(t *testing.T) {
	ctx := context.Background()
	Convey("a statement of the endpoint that it did not run", t, func() {
		e := newEndpoint(func(c net.Conn, r *http.Request) bool { return reply(c, r.Header.Get("Id"), "Not-Run: 1\r\n", "") })
		defer e.close()
		g, _ := gateOf(e)
		c := newCall(routeplan.AtMostOnce)
		c.Header.Set("Id", c.ID)
		r := g.Run(ctx, c)
		So(r.Fate, ShouldEqual, call.Refused)
		So(r.Sent, ShouldBeTrue)
	})
	Convey("nobody listens", t, func() {
		e := newEndpoint(nil)
		g, registration := gateOf(e)
		e.close()
		r := g.Run(ctx, newCall(routeplan.AtMostOnce))
		So(r.Fate, ShouldEqual, call.Refused)
		So(r.Reason, ShouldEqual, call.ReasonConnect)
		So(r.Sent, ShouldBeFalse)
		// A refused connection takes no time, so that the endpoint would look idle
		// and draw calls.
		So(registration.Current(), ShouldBeNil)
		again := announcement("a", 100, 2)
		again.Address = e.listener.Addr().String()
		So(registration.Announce(again), ShouldEqual, localendpoint.Began)
	})
	Convey("another endpoint has the address", t, func() {
		e := newEndpoint(func(c net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			return err == nil
		})
		defer e.close()
		g, r := gateOf(e)
		c := newCall(routeplan.AtMostOnce)
		c.Header.Set("Id", c.ID)
		So(g.Run(ctx, c).Reason, ShouldEqual, call.ReasonMoved)
		So(r.Current(), ShouldBeNil)
		So(g.Run(ctx, newCall(routeplan.AtMostOnce)).Reason, ShouldEqual, call.ReasonNoEndpoint)
		So(e.requests.Load(), ShouldEqual, 1)
	})
	Convey("an endpoint that left gets nothing", t, func() {
		e := newEndpoint(nil)
		defer e.close()
		g, r := gateOf(e)
		r.Deregister("a", 0)
		So(g.Run(ctx, newCall(routeplan.Idempotent)).Fate, ShouldEqual, call.Refused)
		So(e.connections.Load(), ShouldEqual, 0)
	})
}

// Guards against work for a caller that has left, and against an at-most-once
// call that is cut while it runs.
func TestCallersThatLeave(t *testing.T) {
	for _, kind := range []routeplan.Kind{routeplan.Idempotent, routeplan.AtMostOnce} {
		Convey(kind.String(), t, func() {
			started, released, cut := make(chan struct{}), make(chan struct{}), make(chan struct{})
			e := newEndpoint(func(c net.Conn, r *http.Request) bool {
				close(started)
				go func() {
					var b [1]byte
					if _, err := c.Read(b[:]); err != nil {
						close(cut)
					}
				}()
				<-released
				return reply(c, r.Header.Get("Id"), "", "done")
			})
			defer e.close()
			g, _ := gateOf(e)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			done := make(chan call.Result, 1)
			c := newCall(kind)
			c.Header.Set("Id", c.ID)
			go func() { done <- g.Run(ctx, c) }()
			<-started
			leave()
			if kind == routeplan.Idempotent {
				<-cut
				So((<-done).Fate, ShouldEqual, call.Expired)
				close(released)
				return
			}
			close(released)
			So((<-done).Fate, ShouldEqual, call.Answered)
		})
	}
	Convey("a call that waits is withdrawn and never sent", t, func() {
		released := make(chan struct{})
		e := newEndpoint(func(c net.Conn, r *http.Request) bool {
			<-released
			return reply(c, r.Header.Get("Id"), "", "")
		})
		defer e.close()
		g, r := gateOf(e)
		var running sync.WaitGroup
		for range 2 {
			c := newCall(routeplan.Idempotent)
			c.Header.Set("Id", c.ID)
			running.Go(func() { g.Run(context.Background(), c) })
		}
		waitFor(func() bool { return e.requests.Load() == 2 })
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan call.Result, 1)
		go func() { done <- g.Run(ctx, newCall(routeplan.AtMostOnce)) }()
		waitFor(func() bool { return r.Current().Queue.Load().Waiting == 1 })
		leave()
		So((<-done).Fate, ShouldEqual, call.Refused)
		close(released)
		running.Wait()
		So(e.requests.Load(), ShouldEqual, 2)
	})
}

// waitFor waits until a state that other goroutines bring about is there.
func waitFor(state func() bool) {
	for end := time.Now().Add(10 * time.Second); !state(); {
		if time.Now().After(end) {
			panic("state not reached in 10 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a body that is confused with the next request when the endpoint
// answers before it has read it.
func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	Convey("a long body and an early answer", t, func() {
		e := newEndpoint(func(c net.Conn, r *http.Request) bool {
			if !reply(c, r.Header.Get("Id"), "", "early") {
				return false
			}
			_, err := io.Copy(io.Discard, r.Body)
			return err == nil
		})
		defer e.close()
		g, _ := gateOf(e)
		for range 3 {
			c := newCall(routeplan.Upload)
			c.Method = "POST"
			c.Header.Set("Id", c.ID)
			c.BodyBytes = 4 << 20
			c.Body = call.BytesBody([]byte(strings.Repeat("x", 4<<20)))
			r := g.Run(context.Background(), c)
			So(r.Fate, ShouldEqual, call.Answered)
			So(string(r.Answer.Body), ShouldEqual, "early")
		}
		So(e.requests.Load(), ShouldEqual, 3)
	})
}
