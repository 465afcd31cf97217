package localendpoint_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// orderedConn is a connection on which no read begins after the first response bytes until
// a write has failed, and on which the failed write returns after the last read, if holdsWrite
// is set. The kernel reports a reset once: here to the write.
type orderedConn struct {
	net.Conn
	holdsWrite bool
	mu         sync.Mutex
	hasRead    bool
	// mayRead is closed when reads may begin, ended when one has found the end.
	mayRead, ended  chan struct{}
	release, finish func()
}

func newOrderedConn(conn net.Conn, holdsWrite bool) *orderedConn {
	c := &orderedConn{Conn: conn, holdsWrite: holdsWrite, mayRead: make(chan struct{}), ended: make(chan struct{})}
	c.release, c.finish = sync.OnceFunc(func() { close(c.mayRead) }), sync.OnceFunc(func() { close(c.ended) })
	return c
}

func (c *orderedConn) Close() error {
	c.release()
	c.finish()
	return c.Conn.Close()
}

func (c *orderedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	waits := c.hasRead
	c.hasRead = true
	c.mu.Unlock()
	if waits {
		<-c.mayRead
	}
	n, err := c.Conn.Read(b)
	if err != nil {
		c.finish()
	}
	return n, err
}

func (c *orderedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.release()
		if c.holdsWrite {
			<-c.ended
		}
	}
	return n, err
}

// endlessBody is a request body that goes on until its end is closed.
type endlessBody struct{ end <-chan struct{} }

func (b endlessBody) Read(p []byte) (int, error) {
	select {
	case <-b.end:
		return 0, io.EOF
	default:
		clear(p)
		return len(p), nil
	}
}

func (endlessBody) Rewind() (call.Body, bool) { return nil, false }

// Guards against a part of a response that is taken for the whole one: a response without a
// length ends with its connection, and the reset that cut it off was reported to the writer
// of the request.
func TestResetIsNotTheEndOfAResponse(t *testing.T) {
	// The long response fits the buffers of both ends, but not that of the receiver.
	const short, long = 1000, 200_000
	for _, c := range []struct {
		name     string
		bytes    int
		finish   func(conn *net.TCPConn, ordered *orderedConn)
		complete bool
	}{
		{"a short response and a reset", short, reset, false},
		{"a long response and a reset", long, reset, false},
		{"a short response and its end", short, endInOrder, true},
		{"a long response and its end", long, endInOrder, true},
		{"a short response, its end, and a reset of the rest of the request", short, endAndReset, true},
		// The reset drops what has not been sent of the response and its end.
		{"a long response, its end, and a reset of the rest of the request", long, endAndReset, false},
	} {
		for _, holdsWrite := range []bool{true, false} {
			Convey(fmt.Sprint(c.name, ", read before the writer goes on: ", holdsWrite), t, func() {
				ordered := make(chan *orderedConn, 1)
				end, finished := make(chan struct{}), make(chan struct{})
				e := newStubEndpoint(func(conn net.Conn, r *http.Request) bool {
					defer close(finished)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), strings.Repeat("x", c.bytes)) // The test checks what arrives.
					c.finish(conn.(*net.TCPConn), <-ordered)
					return false
				})
				defer e.close()
				g, registration := newGate(e)
				registration.Dial = localendpoint.DialFunc(func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					wrapped := newOrderedConn(conn, holdsWrite)
					ordered <- wrapped
					return wrapped, nil
				})
				a := announcement("a", 200, 1)
				a.Address = e.listener.Addr().String()
				registration.Announce(a)
				upload := newCall(routeplan.Upload)
				upload.Method, upload.BodyBytes, upload.Body = "POST", -1, endlessBody{end}
				upload.Header.Set("Id", upload.ID)
				result := g.Run(context.Background(), upload)
				defer close(end)
				body, err := readAll(result)
				<-finished
				if !c.complete {
					So(err, ShouldNotBeNil)
					return
				}
				So(err, ShouldBeNil)
				So(len(body), ShouldEqual, c.bytes)
			})
		}
	}
}

// readAll returns the body of a result, or an error if it has no whole response.
func readAll(r call.Result) ([]byte, error) {
	if r.Outcome != call.Answered {
		return nil, errors.New(r.Reason)
	}
	if r.Response.Stream == nil {
		return r.Response.Body, nil
	}
	defer r.Response.Close()
	return io.ReadAll(r.Response.Stream)
}

// reset resets the connection. The next read begins after a write has failed.
func reset(conn *net.TCPConn, _ *orderedConn) {
	_ = conn.SetLinger(0) // The close resets the connection.
	_ = conn.Close()
}

// endInOrder ends the response and reads the rest of the request.
func endInOrder(conn *net.TCPConn, ordered *orderedConn) {
	_ = conn.CloseWrite() // The test checks what arrives.
	ordered.release()
	_, _ = io.Copy(io.Discard, conn)
}

// endAndReset ends the response, and resets the connection without reading the rest of the
// request.
func endAndReset(conn *net.TCPConn, ordered *orderedConn) {
	_ = conn.CloseWrite() // The test checks what arrives.
	reset(conn, ordered)
}

// Guards against a status that is not one of HTTP (RFC 9110, section 15) and reaches a client.
func TestStatusesOfResponses(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		response string
		status   int
		body     string
	}{
		{"000 X\r\n" + body, 0, ""},
		{"099 X\r\n" + body, 0, ""},
		{"+20 X\r\n" + body, 0, ""},
		{"-20 X\r\n" + body, 0, ""},
		{"20 X\r\n" + body, 0, ""},
		{"2000 X\r\n" + body, 0, ""},
		{"2x0 X\r\n" + body, 0, ""},
		{"600 X\r\n" + body, 0, ""},
		{"999 X\r\n" + body, 0, ""},
		{"101 Switching Protocols\r\n\r\n", 0, ""},
		{"101 Switching Protocols\r\nId: %s\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\n" + body, 0, ""},
		{"199 X\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\n" + body, 200, "ok"},
		{strings.Repeat("103 Early Hints\r\n\r\nHTTP/1.1 ", 5) + "200 OK\r\nId: %s\r\n" + body, 200, "ok"},
		{"200 OK\r\nId: %s\r\n" + body, 200, "ok"},
		{"204 No Content\r\nId: %s\r\n" + body, 204, ""},
		{"304 Not Modified\r\nId: %s\r\n" + body, 304, ""},
		{"299 X\r\nId: %s\r\n" + body, 299, "ok"},
		{"599 X\r\nId: %s\r\n" + body, 599, "ok"},
	} {
		Convey(strings.SplitN(c.response, "\r\n", 2)[0], t, func() {
			e := newStubEndpoint(func(conn net.Conn, r *http.Request) bool {
				text := "HTTP/1.1 " + strings.ReplaceAll(c.response, "%s", r.Header.Get("Id"))
				if !strings.Contains(c.response, "%s") {
					text = strings.Replace(text, "\r\n", "\r\nId: "+r.Header.Get("Id")+"\r\n", 1)
				}
				_, _ = io.WriteString(conn, text) // The test checks what arrives.
				return false
			})
			defer e.close()
			g, _ := newGate(e)
			cl := newCall(routeplan.AtMostOnce)
			cl.Header.Set("Id", cl.ID)
			result := g.Run(context.Background(), cl)
			if c.status == 0 {
				So(result, ShouldResemble, call.Result{Outcome: call.Broken, Reason: call.ReasonResponseMalformed, Sent: true, HasLoad: true})
				return
			}
			So(result.Outcome, ShouldEqual, call.Answered)
			So(result.Response.Status, ShouldEqual, c.status)
			So(string(result.Response.Body), ShouldEqual, c.body)
		})
	}
}
