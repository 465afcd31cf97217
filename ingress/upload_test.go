package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a call that is cancelled when the last byte of its body has been read.
func TestLongBodyOfIdempotentCallIsAnswered(t *testing.T) {
	Convey("an endpoint responds to a request with a long body after the next request has arrived", t, func() {
		b := newBlockingEndpoint()
		ts := newTestServer(func(out http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // The client checks the response.
			b.serve(out, r)
		})
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		const size = 1_500_000
		_, err := io.WriteString(c, request("POST", "1", "/read/1", fmt.Sprintf("Content-Length: %d\r\n", size))+strings.Repeat("x", size))
		So(err, ShouldBeNil)
		So(<-b.started, ShouldEqual, "/read/1")
		_, err = io.WriteString(c, get("2", "/read/2"))
		So(err, ShouldBeNil)
		select {
		case path := <-b.started:
			So(path, ShouldEqual, "/read/2")
		case e := <-ts.finished:
			So(e.Reason, ShouldEqual, "finished before the endpoint responded")
		}
		close(b.release)
		for _, path := range []string{"/read/1", "/read/2"} {
			status, body, _ := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, path)
		}
	})
}
