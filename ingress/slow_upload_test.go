package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection that is closed without a response because a long body does not
// arrive in time or is malformed.
func TestIncompleteLongBodyIsAnswered(t *testing.T) {
	prefix := strings.Repeat("x", 1_200_000)
	for name, c := range map[string]struct{ header, body string }{
		"the client stalls":                    {"Content-Length: 1500000\r\n", prefix},
		"the client sends a malformed chunk":   {"Transfer-Encoding: chunked\r\n", "124f80\r\n" + prefix + "\r\nno length\r\n"},
		"the client stalls between two chunks": {"Transfer-Encoding: chunked\r\n", "124f80\r\n" + prefix + "\r\n"},
	} {
		inBubble(t, name, func() {
			ts := newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // The body is truncated.
			})
			// net/http closes a connection with a malformed request 500 ms later, and the
			// bubble ends with its last goroutine.
			defer time.Sleep(time.Second)
			defer ts.close()
			ts.plan.Activate(testPlan(1))
			conn, r := ts.dial()
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, request("POST", "1", "/short/1", c.header)+c.body)
			So(err, ShouldBeNil)
			status, body, h := readResponse(r)
			So(body, ShouldBeEmpty)
			So(status, ShouldBeIn, http.StatusBadRequest, http.StatusGatewayTimeout)
			So(h.Get("Connection"), ShouldEqual, "close")
		})
	}
}
