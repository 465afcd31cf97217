package connlimit_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/connlimit"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

const (
	maxConnections = 4
	memoryBytes    = 1 << 20
)

// testServer is a limited server on a network in memory.
type testServer struct {
	limiter *connlimit.Limiter
	memory  *heldmemory.Account
	server  *http.Server
	dialer  func(ctx context.Context, network, address string) (net.Conn, error)
	// release and handled are for the handlers.
	release, handled chan struct{}
}

type handlerFunc func(s *testServer, w http.ResponseWriter, r *http.Request)

// inBubble runs a specification with a server in a synctest bubble.
func inBubble(t *testing.T, name string, holdsBodies bool, handler handlerFunc, specification func(s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			began, network := time.Now(), faultnet.New()
			clock := func() time.Duration { return time.Since(began) }
			s := &testServer{memory: heldmemory.NewAccount(memoryBytes, clock), dialer: network.Dialer("10.0.0.2:1"), release: make(chan struct{}), handled: make(chan struct{}, 2)}
			s.limiter = connlimit.New(connlimit.Config{Connections: maxConnections, Memory: s.memory, HoldsBodies: holdsBodies, Clock: clock})
			s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler(s, w, r) }), ReadHeaderTimeout: time.Minute}
			s.limiter.Apply(s.server)
			listener, err := network.Listen("10.0.0.1:1")
			So(err, ShouldBeNil)
			go func() { _ = s.server.Serve(s.limiter.Listener(listener)) }() // Ends below.
			specification(s)
			So(s.server.Close(), ShouldBeNil)
			synctest.Wait()
			So(s.memory.Usage().Used, ShouldEqual, 0)
			So(s.limiter.Usage().Open, ShouldEqual, 0)
		})
	})
}

func (s *testServer) dial() net.Conn {
	c, err := s.dialer(context.Background(), "tcp", "10.0.0.1:1")
	if err != nil {
		panic(err)
	}
	synctest.Wait()
	return c
}

// status sends a request on a new connection and returns the status of its response.
func (s *testServer) status() int {
	c := s.dial()
	defer func() { _ = c.Close() }()
	return statusOf(c)
}

func statusOf(c net.Conn) int {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // The status is what counts.
	return response.StatusCode
}

// isClosed reports whether the server has closed the connection.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // The read returns the error.
	_, err := io.Copy(io.Discard, c)
	netErr, ok := err.(net.Error)
	return !ok || !netErr.Timeout()
}

func ok(*testServer, http.ResponseWriter, *http.Request) {}

// Guards against connections that grow without a bound, and against new callers that are
// turned away while others do nothing.
func TestConnections(t *testing.T) {
	inBubble(t, "the connection that has been idle for longest is closed for a new one", false, ok, func(s *testServer) {
		conns := []net.Conn{}
		for range maxConnections {
			conns = append(conns, s.dial())
			time.Sleep(10 * time.Millisecond)
		}
		So(statusOf(conns[0]), ShouldEqual, http.StatusOK)
		So(s.status(), ShouldEqual, http.StatusOK)
		So(isClosed(conns[1]), ShouldBeTrue)
		So(isClosed(conns[0]), ShouldBeFalse)
		So(s.limiter.Usage().Evicted, ShouldEqual, 1)
	})
	inBubble(t, "one whose client has stopped within a head, after a second", false, ok, func(s *testServer) {
		for range maxConnections {
			_, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\n")
			So(err, ShouldBeNil)
		}
		synctest.Wait()
		So(s.status(), ShouldEqual, 0)
		So(s.limiter.Usage().Refused, ShouldEqual, 1)
		time.Sleep(heldmemory.StallTime)
		So(s.status(), ShouldEqual, http.StatusOK)
	})
	inBubble(t, "none while all requests are handled", false, func(s *testServer, _ http.ResponseWriter, _ *http.Request) { <-s.release }, func(s *testServer) {
		for range maxConnections {
			_, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			So(err, ShouldBeNil)
		}
		time.Sleep(time.Minute)
		So(s.status(), ShouldEqual, 0)
		close(s.release)
		time.Sleep(time.Second)
		So(s.status(), ShouldEqual, http.StatusOK)
	})
}

// Guards against heads and bodies that take more than the memory while they are incomplete,
// and against a head that is read together with the request before it and is not counted.
func TestMemory(t *testing.T) {
	var fields strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&fields, "a%d:\n", i)
	}
	inBubble(t, "heads of short fields", false, ok, func(s *testServer) {
		for range 3 {
			_, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n"+fields.String())
			So(err, ShouldBeNil)
			time.Sleep(2 * heldmemory.StallTime)
			So(s.memory.Usage().Used, ShouldBeBetween, 3000*100, memoryBytes)
		}
		So(s.memory.Usage().GaveWay, ShouldBeGreaterThan, 0)
		So(s.status(), ShouldEqual, http.StatusOK)
	})
	inBubble(t, "a part of a head behind a request", false, ok, func(s *testServer) {
		c := s.dial()
		go func() { _, _ = io.Copy(io.Discard, c) }() // Ends with the connection.
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
		So(err, ShouldBeNil)
		synctest.Wait()
		_, err = io.WriteString(c, "x"+"GET / HTTP/1.1\r\n"+fields.String()[:3000])
		So(err, ShouldBeNil)
		synctest.Wait()
		So(s.memory.Usage().Used, ShouldBeGreaterThan, 400*100)
	})
	inBubble(t, "bodies that a handler holds", true, func(_ *testServer, _ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // The server closes the connection.
	}, func(s *testServer) {
		for range 3 {
			_, err := io.WriteString(s.dial(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n"+strings.Repeat("x", 200_000))
			So(err, ShouldBeNil)
			time.Sleep(2 * heldmemory.StallTime)
			So(s.memory.Usage().Used, ShouldBeBetween, 300_000, memoryBytes)
		}
		So(s.memory.Usage().GaveWay, ShouldBeGreaterThan, 0)
		So(s.status(), ShouldEqual, http.StatusOK)
	})
}

// Guards against a client that does not read and keeps the handler for good, and against one
// that is cut although it reads.
func TestWriteTimeout(t *testing.T) {
	const bytes = 100 << 10
	inBubble(t, "a response of 100 KiB", false, func(s *testServer, w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", bytes)) // The client checks the response.
		s.handled <- struct{}{}
	}, func(s *testServer) {
		_, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		began := time.Now()
		<-s.handled
		So(time.Since(began), ShouldEqual, connlimit.DefaultWriteTimeout)
		c := s.dial()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		response, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
		So(err, ShouldBeNil)
		buffer, read := make([]byte, 4<<10), 0
		for err == nil {
			time.Sleep(time.Second)
			var n int
			n, err = response.Body.Read(buffer)
			read += n
		}
		So(err, ShouldEqual, io.EOF)
		So(read, ShouldEqual, bytes)
	})
	inBubble(t, "a handler with a deadline for its response", false, func(s *testServer, w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second)) // The write returns the error.
		_, _ = io.WriteString(w, strings.Repeat("x", bytes))                            // The client does not read it.
		s.handled <- struct{}{}
	}, func(s *testServer) {
		_, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		began := time.Now()
		<-s.handled
		So(time.Since(began), ShouldEqual, time.Second)
	})
}
