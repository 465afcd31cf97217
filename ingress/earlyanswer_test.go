package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that is executed behind a response with "Connection: close",
// because the body of the request before it ended after that was announced.
func TestNoRequestBehindAnAnnouncedClose(t *testing.T) {
	inBubble(t, "an endpoint of a draining node answers before it has read a long body", func() {
		const bodyBytes, sentBefore, responseBytes = 1_500_000, 1_200_000, 200_000
		var executed atomic.Int32
		ts := newBubbleServer(func(out http.ResponseWriter, r *http.Request) {
			executed.Add(1)
			_ = http.NewResponseController(out).EnableFullDuplex()           // The server supports it.
			_, _ = io.WriteString(out, strings.Repeat("x", responseBytes/2)) // The client checks the response.
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(out, strings.Repeat("x", responseBytes/2))
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		now := ts.clock()
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		body := strings.Repeat("b", bodyBytes)
		ts.server.Drain(now+time.Minute, now+2*time.Minute)
		answered := make(chan struct{})
		go func() {
			_, _ = io.WriteString(c, request("POST", "1", "/order/1", "Content-Length: 1500000\r\n")+body[:sentBefore]) // The client checks the response.
			<-answered
			_, _ = io.WriteString(c, body[sentBefore:]+request("POST", "2", "/order/2", "Content-Length: 0\r\n"))
		}()
		_, err := r.Peek(1)
		So(err, ShouldBeNil)
		close(answered)
		status, got, h := readResponse(r)
		So(status, ShouldEqual, http.StatusOK)
		So(len(got), ShouldEqual, responseBytes)
		So(h.Get("Connection"), ShouldEqual, "close")
		rest, err := io.ReadAll(r)
		So(err, ShouldBeNil)
		So(len(rest), ShouldEqual, 0)
		So(executed.Load(), ShouldEqual, 1)
	})
}
