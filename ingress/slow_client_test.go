package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
)

// Guards against a response that is cut because a client that reads all the time needs long
// for it.
func TestResponseToASlowClientIsComplete(t *testing.T) {
	inBubble(t, "a client reads 4 KiB a second", func() {
		content := strings.Repeat("x", 60<<10)
		ts := newBubbleServer(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(out, content) // The client checks the response.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, _ := ts.dial()
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(time.Minute)) // The next read returns the error.
		_, err := io.WriteString(c, get("1", "/read/1"))
		So(err, ShouldBeNil)
		var got strings.Builder
		buffer := make([]byte, 4<<10)
		for !strings.HasSuffix(got.String(), "\r\n\r\n"+content) {
			time.Sleep(time.Second)
			n, err := c.Read(buffer)
			So(err, ShouldBeNil)
			got.Write(buffer[:n])
		}
	})
	inBubble(t, "a client that does not read", func() {
		ts := newBubbleServer(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(out, "x") // The client does not read it.
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, _ := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/read/1"))
		So(err, ShouldBeNil)
		began := time.Now()
		So(ts.waitForExchange("1").Reason, ShouldEqual, call.ReasonResponseTruncated)
		So(time.Since(began), ShouldBeBetween, 10*time.Second, 11*time.Second)
	})
}
