package ingress_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against responses that are lost because the one before them on the connection has no
// length and breaks off.
func TestResponsesBehindABrokenOneArrive(t *testing.T) {
	inBubble(t, "five requests, the first response of 100 KB in chunks breaks off", func() {
		ts := newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/read/0" {
				_, _ = io.WriteString(out, r.URL.Path) // The client checks the body.
				return
			}
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(out, strings.Repeat("x", 100_000))
			panic(http.ErrAbortHandler)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		go func() {
			for i := range 5 {
				_, _ = io.WriteString(c, get(strconv.Itoa(i), "/read/"+strconv.Itoa(i))) // The client checks the responses.
			}
		}()
		for i := range 5 {
			status, body, _ := readResponse(r)
			if i == 0 {
				So(status, ShouldEqual, http.StatusBadGateway)
				continue
			}
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "/read/"+strconv.Itoa(i))
		}
	})
	inBubble(t, "a request behind a response that is being streamed is not executed before its end", func() {
		const chunk = 100 << 10
		var executed atomic.Int32
		ts := newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/read/0" {
				executed.Add(1)
				return
			}
			for range 3 {
				_, _ = io.WriteString(out, strings.Repeat("x", chunk)) // The client checks the body.
				_ = http.NewResponseController(out).Flush()
				time.Sleep(time.Second)
			}
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		go func() {
			_, _ = io.WriteString(c, get("0", "/read/0")) // The client checks the responses.
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(c, get("1", "/read/1"))
		}()
		response, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		_, err = io.CopyN(io.Discard, response.Body, 2*chunk)
		So(err, ShouldBeNil)
		time.Sleep(900 * time.Millisecond)
		So(executed.Load(), ShouldEqual, 0)
		rest, err := io.Copy(io.Discard, response.Body)
		So(err, ShouldBeNil)
		So(rest, ShouldEqual, chunk)
		status, _, _ := readResponse(r)
		So(status, ShouldEqual, http.StatusOK)
		So(executed.Load(), ShouldEqual, 1)
	})
}
