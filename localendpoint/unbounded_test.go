package localendpoint_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// maxFloodBytes bounds a flood if the caller does not close the connection.
	maxFloodBytes = 64 << 20
	// maxHeadFloodBytes and maxSkippedFloodBytes are the most that a flood may write
	// before the caller closes the connection, socket buffers included.
	maxHeadFloodBytes    = 1 << 20
	maxSkippedFloodBytes = 4 << 20
)

// flood writes start and then unit repeatedly until the connection fails, and returns
// the number of bytes written.
func flood(c net.Conn, start, unit string) int {
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // The bounds allow for larger buffers.
	written, _ := io.WriteString(c, start)
	block := bytes.Repeat([]byte(unit), (16<<10)/max(1, len(unit)))
	for len(block) > 0 && written < maxFloodBytes {
		n, err := c.Write(block)
		if written += n; err != nil {
			return written
		}
	}
	_, _ = io.Copy(io.Discard, c) // Waits until the caller closes the connection.
	return written
}

// Guards against response bytes without end that fill the memory of the node or hold
// the slot until the deadline of the call.
func TestUnboundedResponses(t *testing.T) {
	const malformed, tooLong = call.ReasonResponseMalformed, call.ReasonResponseTooLong
	for name, fault := range map[string]struct {
		start, unit string
		maxBytes    int
		reason      string
	}{
		"status line":             {"HTTP/1.1 200 ", "x", maxHeadFloodBytes, tooLong},
		"header line":             {"HTTP/1.1 200 OK\r\nA: ", "x", maxHeadFloodBytes, tooLong},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "A: x\r\n", maxHeadFloodBytes, tooLong},
		"head of a 1xx response":  {"HTTP/1.1 103 Early Hints\r\n", "A: x\r\n", maxHeadFloodBytes, tooLong},
		"series of 1xx responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadFloodBytes, malformed},
		"series of other answers": {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", maxHeadFloodBytes, malformed},
		"chunked unrelated body":  {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nunwanted\r\n", maxSkippedFloodBytes, tooLong},
		"unrelated body of 1 TB":  {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1099511627776\r\n\r\n", "x", maxSkippedFloodBytes, tooLong},
		"unframed unrelated body": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", maxSkippedFloodBytes, malformed},
		"extension of a chunk":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", maxHeadFloodBytes, malformed},
		"trailer":                 {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n", maxHeadFloodBytes, malformed},
	} {
		Convey("the call fails before its deadline: "+name, t, func() {
			written := make(chan int, 1)
			e := newStubEndpoint(func(c net.Conn, _ *http.Request) bool {
				written <- flood(c, fault.start, fault.unit)
				return false
			})
			defer e.close()
			g, r := newGate(e)
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			c.Remaining = time.Minute
			result := g.Run(context.Background(), c)
			So(result.Outcome, ShouldEqual, call.Broken)
			So(result.Reason, ShouldEqual, fault.reason)
			So(result.Sent, ShouldBeTrue)
			So(<-written, ShouldBeLessThan, fault.maxBytes)
			So(r.Current().Queue.Load(), ShouldResemble, call.Load{})
		})
	}
}

// Guards against a slot that is held until the deadline of the call for bytes that no
// response begins with.
func TestBytesThatAreNoResponse(t *testing.T) {
	for _, start := range []string{"x", "HTXP/1.1 200", "\r\n", "\x00\x01 without a line end"} {
		Convey(fmt.Sprintf("the call fails at once: %q", start), t, func() {
			closed := make(chan struct{})
			e := newStubEndpoint(func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, start)
				_, _ = io.Copy(io.Discard, c) // Waits until the caller closes the connection.
				close(closed)
				return false
			})
			defer e.close()
			g, r := newGate(e)
			c := newCall(routeplan.Idempotent)
			c.Header.Set("Id", c.ID)
			c.Remaining = time.Minute
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			result := g.Run(ctx, c)
			So(result.Outcome, ShouldEqual, call.Broken)
			So(result.Reason, ShouldEqual, call.ReasonResponseMalformed)
			So(result.Sent, ShouldBeTrue)
			<-closed
			So(r.Current().Queue.Load(), ShouldResemble, call.Load{})
		})
	}
}

// Guards against a call that is lost although the endpoint states that it did not execute
// it, because the body of that response does not end.
func TestDeclinedWithUnboundedBody(t *testing.T) {
	for name, fault := range map[string]struct{ head, unit string }{
		"without a length": {"\r\n", "x"},
		"chunked":          {"Transfer-Encoding: chunked\r\n\r\n", "8\r\nunwanted\r\n"},
		"that stops":       {"Content-Length: 10\r\n\r\nhalf", ""},
	} {
		Convey("the call is rejected and the connection closed: a body "+name, t, func() {
			written := make(chan int, 1)
			e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
				start := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\n%s", r.Header.Get("Id"), fault.head)
				written <- flood(c, start, fault.unit)
				return false
			})
			defer e.close()
			g, r := newGate(e)
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			result := g.Run(context.Background(), c)
			So(result.Outcome, ShouldEqual, call.Rejected)
			So(result.Reason, ShouldEqual, call.ReasonDeclined)
			So(result.Sent, ShouldBeTrue)
			So(<-written, ShouldBeLessThan, maxHeadFloodBytes)
			So(r.Current().Queue.Load(), ShouldResemble, call.Load{})
		})
	}
}

// Guards against a limit that rejects a complete response.
func TestLongResponses(t *testing.T) {
	ctx := context.Background()
	body := string(bytes.Repeat([]byte("x"), 3<<20))
	head := "A: " + string(bytes.Repeat([]byte("x"), 32<<10)) + "\r\n"
	Convey("long heads, skipped bodies and streamed bodies are read on one connection", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			return writeResponse(c, "earlier", head, body[:256<<10]) && writeResponse(c, r.Header.Get("Id"), head, body)
		})
		defer e.close()
		g, _ := newGate(e)
		for range 3 {
			c := newCall(routeplan.AtMostOnce)
			c.Header.Set("Id", c.ID)
			r := g.Run(ctx, c)
			So(r.Outcome, ShouldEqual, call.Answered)
			got, err := io.ReadAll(r.Response.Stream)
			So(err, ShouldBeNil)
			So(len(got), ShouldEqual, len(body))
			So(r.Response.Stream.Close(), ShouldBeNil)
		}
		So(e.connections.Load(), ShouldEqual, 1)
	})
}

// Guards against a response body without end that looks complete, is buffered without
// limit or holds the slot after the deadline.
func TestUnboundedBody(t *testing.T) {
	Convey("a body without a length or an end is streamed until the caller closes it", t, func() {
		written := make(chan int, 1)
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			written <- flood(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", r.Header.Get("Id")), "x")
			return false
		})
		defer e.close()
		g, r := newGate(e)
		c := newCall(routeplan.AtMostOnce)
		c.Header.Set("Id", c.ID)
		result := g.Run(context.Background(), c)
		So(result.Outcome, ShouldEqual, call.Answered)
		So(result.Response.BodyBytes, ShouldEqual, -1)
		Convey("and fails at the deadline", func() {
			_, err := io.Copy(io.Discard, result.Response.Stream)
			var timeout net.Error
			So(errors.As(err, &timeout) && timeout.Timeout(), ShouldBeTrue)
			So(result.Response.Stream.Close(), ShouldBeNil)
		})
		Convey("and nothing is read ahead of the caller", func() {
			So(result.Response.Stream.Close(), ShouldBeNil)
			So(<-written, ShouldBeLessThan, maxSkippedFloodBytes)
		})
		So(r.Current().Queue.Load(), ShouldResemble, call.Load{})
	})
}
