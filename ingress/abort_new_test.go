package ingress_test

import (
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a call on a connection that is accepted after the calls in flight were
// ended, which would be executed while the process ends.
func TestCallsAfterAnAbortAreRejected(t *testing.T) {
	Convey("a connection is opened after the calls in flight were ended", t, func() {
		b := newBlockingEndpoint()
		ts := newTestServer(b.serve)
		defer ts.close()
		close(b.release)
		ts.plan.Activate(testPlan(1))
		ts.server.Abort()
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/order/1"))
		So(err, ShouldBeNil)
		status, _, h := readResponse(r)
		So(status, ShouldEqual, 503)
		So(h.Get("Retry-After"), ShouldNotBeEmpty)
		So(len(b.started), ShouldEqual, 0)
	})
}
