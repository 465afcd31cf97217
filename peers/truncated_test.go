package peers_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
)

// Guards against a body that an endpoint or a client truncates and that arrives at the
// other host as a complete one.
func TestTruncatedBodyIsNotCompleteAtTheOtherHost(t *testing.T) {
	truncated := func() io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), errorReader{io.ErrUnexpectedEOF})
	}
	inBubble(t, "a response", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(context.Context, *call.Call) call.Result {
			return call.Result{Outcome: call.Answered, Sent: true, Response: &call.Response{
				Status: 200, Header: http.Header{}, BodyBytes: -1, Stream: io.NopCloser(truncated()),
			}}
		})
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		r := a.ByService("s")[0].Run(context.Background(), newCall(nil))
		So(r.Outcome, ShouldEqual, call.Answered)
		defer r.Response.Close()
		body, err := io.ReadAll(r.Response.Stream)
		So(len(body), ShouldEqual, 100_000)
		So(err, ShouldNotBeNil)
	})
	inBubble(t, "a request", func(_ C, n *testNetwork) {
		read := make(chan error, 1)
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(_ context.Context, c *call.Call) call.Result {
			_, err := io.ReadAll(c.Body)
			read <- err
			return call.Result{Outcome: call.Broken, Sent: true}
		})
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		c := newCall(nil)
		c.Body, c.BodyBytes = unbufferedBody{truncated()}, -1
		a.ByService("s")[0].Run(context.Background(), c)
		So(<-read, ShouldNotBeNil)
	})
}

// errorReader fails each read.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// unbufferedBody is a body that can be read once.
type unbufferedBody struct{ io.Reader }

func (unbufferedBody) Rewind() (call.Body, bool) { return nil, false }
