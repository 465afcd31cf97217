package peers_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
)

// runStreamed sends a call and returns its outcome and the length of its response.
func runStreamed(h *host, size int) (call.AttemptOutcome, int, error) {
	r := h.ByService("s")[0].Run(context.Background(), newCall(bytes.Repeat([]byte("x"), size)))
	if r.Response == nil {
		return r.Outcome, 0, nil
	}
	defer r.Response.Close()
	if r.Response.Stream == nil {
		return r.Outcome, len(r.Response.Body), nil
	}
	body, err := io.ReadAll(r.Response.Stream)
	return r.Outcome, len(body), err
}

// Guards against a link that is closed with the calls on it because its queue has no room
// for a status report.
func TestFullQueueDoesNotEndTheLink(t *testing.T) {
	inBubble(t, "many responses on a slow link", func(_ C, n *testNetwork) {
		const calls, size = 60, 64 << 10
		respond := func(context.Context, *call.Call) call.Result {
			body := io.NopCloser(bytes.NewReader(make([]byte, size)))
			return call.Result{Outcome: call.Answered, Sent: true, Response: &call.Response{Status: 200, BodyBytes: size, Stream: body}}
		}
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, respond)
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		n.Delay(b.record.Address, a.record.Address, 5*time.Millisecond)
		errs := make(chan error, calls)
		for range calls {
			go func() {
				outcome, length, err := runStreamed(a, 0)
				if err == nil && (outcome != call.Answered || length != size) {
					err = fmt.Errorf("outcome %d with %d bytes", outcome, length)
				}
				errs <- err
			}()
		}
		for range calls {
			So(<-errs, ShouldBeNil)
		}
	})
}

// Guards against a link that is closed with the calls on it because its queue has no room
// for a plan that the peer requests.
func TestPlanRequestOnAFullQueueDoesNotEndTheLink(t *testing.T) {
	inBubble(t, "a plan is requested on a slow link with many responses", func(_ C, n *testNetwork) {
		const calls, size = 60, 64 << 10
		respond := func(context.Context, *call.Call) call.Result {
			body := io.NopCloser(bytes.NewReader(make([]byte, size)))
			return call.Result{Outcome: call.Answered, Sent: true, Response: &call.Response{Status: 200, BodyBytes: size, Stream: body}}
		}
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, respond)
		closed := make(chan struct{})
		defer close(closed)
		go func() {
			for {
				select {
				case <-a.plans:
				case <-closed:
					return
				}
			}
		}()
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		link := a.Manager().Link("b")
		n.Delay(b.record.Address, a.record.Address, 5*time.Millisecond)
		errs := make(chan error, calls)
		for range calls {
			go func() {
				_, _, err := runStreamed(a, 0)
				errs <- err
			}()
		}
		for range calls {
			So(<-errs, ShouldBeNil)
			So(a.RequestPlan("b", 4), ShouldBeNil)
			So(a.Manager().Link("b") == link, ShouldBeTrue)
		}
	})
}

// Guards against a stopping host that ends while a result waits to be written to a slow
// link.
func TestQueuedResultsAreServing(t *testing.T) {
	inBubble(t, "a host stops once it serves no call", func(_ C, n *testNetwork) {
		const size = 200_000
		started := make(chan struct{})
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(context.Context, *call.Call) call.Result {
			close(started)
			body := io.NopCloser(bytes.NewReader(make([]byte, size)))
			return call.Result{Outcome: call.Answered, Sent: true, Response: &call.Response{Status: 200, BodyBytes: size, Stream: body}}
		})
		defer a.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		n.Delay(b.record.Address, a.record.Address, 100*time.Millisecond)
		go func() {
			<-started
			for b.Serving() > 0 {
				time.Sleep(time.Millisecond)
			}
			b.close()
		}()
		outcome, length, err := runStreamed(a, 0)
		So(err, ShouldBeNil)
		So(outcome, ShouldEqual, call.Answered)
		So(length, ShouldEqual, size)
		<-b.ended
	})
}
