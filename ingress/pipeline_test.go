package ingress_test

import (
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// blockingEndpoint is an endpoint that responds with the path of the request once it
// is released.
type blockingEndpoint struct {
	started chan string
	release chan struct{}
}

func newBlockingEndpoint() *blockingEndpoint {
	return &blockingEndpoint{started: make(chan string, 10), release: make(chan struct{})}
}

func (b *blockingEndpoint) serve(out http.ResponseWriter, r *http.Request) {
	b.started <- r.URL.Path
	<-b.release
	_, _ = io.WriteString(out, r.URL.Path) // The client checks the body.
}

// Guards against a response that is dropped, or taken for that of another request,
// because a later request of the connection asks to close it.
func TestPipelinedRequestWithConnectionClose(t *testing.T) {
	Convey("the last of two requests has the header Connection: close", t, func() {
		b := newBlockingEndpoint()
		ts := newTestServer(b.serve)
		defer ts.close()
		ts.plan.Activate(testPlan(1))
		c, r := ts.dial()
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, get("1", "/read/1")+request("GET", "2", "/read/2", "Connection: close\r\n"))
		So(err, ShouldBeNil)
		<-b.started
		<-b.started
		close(b.release)
		for i, path := range []string{"/read/1", "/read/2"} {
			status, body, h := readResponse(r)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, path)
			So(h.Get("Connection") == "close", ShouldEqual, i == 1)
		}
		_, err = r.ReadByte()
		So(err, ShouldEqual, io.EOF)
	})
}
