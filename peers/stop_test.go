package peers_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
)

// Guards against results that a stopping host has not yet sent to its peers when it
// closes the links.
func TestStoppingHostSendsItsLastResults(t *testing.T) {
	for _, size := range []int{10, 200_000} {
		inBubble(t, "a host stops while it executes a call", func(_ C, n *testNetwork) {
			var b *host
			a := n.newHost("a", 1, echo)
			b = n.newHost("b", 2, func(ctx context.Context, c *call.Call) call.Result {
				r := echo(ctx, c)
				b.stop()
				time.Sleep(10 * time.Millisecond) // Lets the host act on it.
				return r
			})
			defer a.close()
			defer b.close()
			a.AddRecords(b.record)
			a.waitForPeers(1)
			r := a.ByService("s")[0].Run(context.Background(), newCall(bytes.Repeat([]byte("x"), size)))
			So(r.Outcome, ShouldEqual, call.Answered)
			defer r.Response.Close()
			body := r.Response.Body
			if r.Response.Stream != nil {
				var err error
				body, err = io.ReadAll(r.Response.Stream)
				So(err, ShouldBeNil)
			}
			So(len(body), ShouldEqual, size)
		})
	}
	inBubble(t, "a call that does not end does not delay the end of its host", func(_ C, n *testNetwork) {
		started := make(chan struct{})
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(ctx context.Context, _ *call.Call) call.Result {
			close(started)
			<-ctx.Done()
			return call.Result{Outcome: call.Expired, Sent: true}
		})
		defer a.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		result := make(chan call.Result, 1)
		go func() { result <- a.ByService("s")[0].Run(context.Background(), newCall(nil)) }()
		<-started
		began := time.Now()
		b.close()
		So(time.Since(began), ShouldBeLessThan, 200*time.Millisecond)
		So((<-result).Outcome, ShouldEqual, call.Broken)
	})
}
