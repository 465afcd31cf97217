package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/platform"
)

// manyFields is header lines that take many times as much once they are parsed.
var manyFields = func() string {
	var b strings.Builder
	for i := range 400 {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}()

// Guards against memory that grows with the requests that clients send ahead, and against
// requests of one client that are refused because it sends them ahead.
func TestRequestsAheadWaitForMemory(t *testing.T) {
	inBubble(t, "a client sends ten requests with many fields, and there is memory for three", func() {
		const limit = 300 << 10
		b := newBlockingEndpoint()
		ts := newLimitedServer(b.serve, limit)
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		go func() {
			for i := range 10 {
				_, _ = io.WriteString(c, request("GET", strconv.Itoa(i), "/read/"+strconv.Itoa(i), manyFields)) // The client checks the responses.
			}
		}()
		time.Sleep(time.Second)
		So(len(b.started), ShouldBeBetween, 0, 5)
		So(ts.memory.Usage().Used, ShouldBeBetween, 0, limit)
		close(b.release)
		for i := range 10 {
			status, body, _ := readResponse(r)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "/read/"+strconv.Itoa(i))
		}
		synctest.Wait()
		So(ts.memory.Usage().Used, ShouldEqual, 0)
	})
}

// Guards against responses that wait for clients which do not read, and against other callers
// that get none meanwhile.
func TestUnreadResponsesGiveWay(t *testing.T) {
	inBubble(t, "eight clients send 16 requests each for 50 KiB and read nothing", func() {
		const limit = 2 << 20
		ts := newLimitedServer(func(out http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(out, strings.Repeat("x", 50<<10)) // The client checks the response.
		}, limit)
		defer ts.close()
		done := make(chan struct{})
		defer close(done)
		go func() {
			for {
				select {
				case <-ts.finished:
				case <-done:
					return
				}
			}
		}()
		ts.plan.Activate(testPlan(1))
		for range 8 {
			c, _ := ts.dial()
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Time{}) // No deadline.
			go func() {
				for i := range 16 {
					_, _ = io.WriteString(c, get(strconv.Itoa(i), "/read/1")) // The server may close the connection.
				}
			}()
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			So(ts.memory.Usage().Used, ShouldBeBetweenOrEqual, 0, limit)
		}
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("ordinary", "/read/1"))
		So(err, ShouldBeNil)
		status, body, _ := readResponse(r)
		So(status, ShouldEqual, http.StatusOK)
		So(len(body), ShouldEqual, 50<<10)
		So(ts.memory.Usage().GaveWay, ShouldBeGreaterThan, 0) // There was no room for the call.
	})
}

// Guards against a refusal without the ID of the request or without a time to come back, and
// against an endpoint that executes a request which is refused.
func TestRequestsWithoutMemoryAreRejected(t *testing.T) {
	for name, lines := range map[string]string{"few fields": "", "many fields": manyFields} {
		inBubble(t, "others hold all memory and do not give way: "+name, func() {
			const limit = 100 << 10
			ts := newLimitedServer(func(http.ResponseWriter, *http.Request) { t.Error("executed") }, limit)
			defer ts.close()
			ts.plan.Activate(testPlan(1))
			others := ts.memory.NewHolder(nil)
			others.Take(limit)
			c, r := ts.dial()
			defer func() { _ = c.Close() }()
			go func() { _, _ = io.WriteString(c, request("GET", "7", "/read/1", lines)) }() // The server may not read all of it.
			began := time.Now()
			status, _, h := readResponse(r)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(h.Get("Retry-After"), ShouldNotBeEmpty)
			if lines == "" {
				So(platform.Headers{}.ReadResponse(status, h).RequestID, ShouldEqual, "7")
			}
			So(time.Since(began), ShouldBeLessThanOrEqualTo, heldmemory.GrowTimeout)
			_, err := r.ReadByte()
			So(err, ShouldEqual, io.EOF)
			others.Close()
			So(ts.memory.NewHolder(nil).Grow(context.Background(), limit*3/4), ShouldBeTrue)
		})
	}
}

// Guards against a head that counts as more the smaller the pieces are in which it arrives.
func TestHeadInSmallPieces(t *testing.T) {
	inBubble(t, "a head arrives byte by byte, and there is memory for one", func() {
		ts := newLimitedServer(func(http.ResponseWriter, *http.Request) {}, 128<<10)
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		go func() {
			for _, b := range []byte(request("GET", "1", "/read/1", "")) {
				_, _ = c.Write([]byte{b}) // The client checks the response.
			}
		}()
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, http.StatusOK)
	})
}

// Guards against a connection on which all requests are refused because memory was short once.
func TestMemoryThatWasShortOnce(t *testing.T) {
	inBubble(t, "a request without a route, while others hold all memory, and one after that", func() {
		const limit = 128 << 10
		ts := newLimitedServer(func(http.ResponseWriter, *http.Request) {}, limit)
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		others := ts.memory.NewHolder(nil)
		others.Take(limit)
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		for _, expected := range []struct {
			path   string
			status int
		}{{"/unknown/1", http.StatusNotFound}, {"/read/1", http.StatusOK}} {
			_, err := io.WriteString(c, get("1", expected.path))
			So(err, ShouldBeNil)
			status, _, _ := readResponse(r)
			So(status, ShouldEqual, expected.status)
			others.Close()
		}
	})
}
