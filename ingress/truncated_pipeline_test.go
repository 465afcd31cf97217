package ingress_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection reset that discards a complete response, because a later
// response of the connection was truncated and the client had sent further requests.
func TestTruncatedResponseDoesNotDiscardTheOneBefore(t *testing.T) {
	Convey("a slow client, a long response, a truncated one and an unread request", t, func() {
		content := bytes.Repeat([]byte("0123456789abcdef"), 1<<20/16)
		ts := newTestServer(func(out http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read/1" {
				_, _ = out.Write(content) // The client checks the body.
				return
			}
			_, _ = out.Write(content[:300<<10]) // The handler aborts next.
			out.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		const unread = 100_000
		_, err := io.WriteString(c, get("1", "/read/1")+get("2", "/read/2")+
			request("POST", "3", "/order/3", "Content-Length: 100000\r\n"))
		So(err, ShouldBeNil)
		_, err = c.Write(make([]byte, unread))
		So(err, ShouldBeNil)
		So(ts.waitForExchange("2").Reason, ShouldEqual, "answer_truncated")
		status, body, _ := readResponse(r)
		So(status, ShouldEqual, 200)
		So(len(body), ShouldEqual, len(content))
		response, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		_, err = io.ReadAll(response.Body)
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
	})
}
