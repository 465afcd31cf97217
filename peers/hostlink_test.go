package peers_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const longBytes = 200 << 10

// respondLong answers downloads with a long response that is reserved on the host's link,
// and other calls with a short one.
func respondLong(_ context.Context, c *call.Call) call.Result {
	body := make([]byte, 100)
	if c.Kind == routeplan.Download {
		if c.Transfer != nil {
			if after, fits := c.Transfer.Reserve(longBytes, 0); !fits {
				return call.Result{Outcome: call.Rejected, Reason: call.ReasonLinkFull, RetryAfter: after}
			}
		}
		body = make([]byte, longBytes)
	}
	return call.Result{Outcome: call.Answered, Sent: true, Response: &call.Response{Status: 200, BodyBytes: int64(len(body)), Body: body}}
}

// download makes a call with a long response and returns its result and the bytes read.
func download(ctx context.Context, h *host, target time.Duration) (call.Result, int) {
	c := newCall(nil)
	c.Kind, c.TargetRemaining = routeplan.Download, target
	r := h.ByService("s")[0].Run(ctx, c)
	if r.Response == nil {
		return r, 0
	}
	defer r.Response.Close()
	body, _ := io.ReadAll(r.Response.Stream) // The length shows whether it is complete.
	return r, len(body)
}

// Guards against short responses that wait behind long ones on a slow link, and against
// long ones that are begun and come too late.
func TestShortResponsesPassLongOnes(t *testing.T) {
	inBubble(t, "more downloads than a link carries in their target", func(_ C, n *testNetwork) {
		const calls, target = 30, 2 * time.Second
		n.linkMbps = 8
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, respondLong)
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		n.Delay(b.record.Address, a.record.Address, 2*time.Millisecond)
		var wait sync.WaitGroup
		var mu sync.Mutex
		begun, refused := 0, 0
		var problems []string
		for range calls {
			wait.Go(func() {
				began := time.Now()
				r, length := download(context.Background(), a, target)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.Reason == call.ReasonLinkFull && r.RetryAfter > 0:
					refused++
				case length == longBytes && time.Since(began) <= target:
					begun++
				default:
					problems = append(problems, r.Outcome.String()+" after "+time.Since(began).String())
				}
			})
		}
		time.Sleep(300 * time.Millisecond) // The network delays each of the many first frames.
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			r := a.ByService("s")[0].Run(context.Background(), newCall(nil))
			So(r.Outcome, ShouldEqual, call.Answered)
			So(time.Since(began), ShouldBeLessThan, 60*time.Millisecond)
		}
		wait.Wait()
		So(problems, ShouldBeEmpty)
		So(begun, ShouldBeGreaterThanOrEqualTo, 7)
		So(begun+refused, ShouldEqual, calls)
		So(b.link.Stats().PromisedBytes, ShouldEqual, 0)
	})
}

// Guards against callers that hold the link: one that reads nothing, and one that leaves in
// the middle of its response.
func TestCallersThatDoNotReadHoldNothing(t *testing.T) {
	inBubble(t, "a stalled caller, one that leaves, and one that reads", func(_ C, n *testNetwork) {
		n.linkMbps = 8
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, respondLong)
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		stalled := newCall(nil)
		stalled.Kind = routeplan.Download
		r := a.ByService("s")[0].Run(context.Background(), stalled)
		So(r.Outcome, ShouldEqual, call.Answered)
		leaving, leave := context.WithCancel(context.Background())
		go func() {
			time.Sleep(50 * time.Millisecond)
			leave()
		}()
		go download(leaving, a, time.Second)
		began := time.Now()
		_, length := download(context.Background(), a, time.Second)
		So(length, ShouldEqual, longBytes)
		So(time.Since(began), ShouldBeLessThan, 700*time.Millisecond)
		r.Response.Close()
		waitFor(func() bool { s := b.link.Stats(); return s.PromisedBytes == 0 && s.WaitingBytes == 0 })
	})
}

// Guards against hosts that do not learn that a link is full, and against a report that
// lasts longer than the wait.
func TestHostsReportTheirLinks(t *testing.T) {
	inBubble(t, "a link with and without a long response", func(_ C, n *testNetwork) {
		n.linkMbps = 8
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, respondLong)
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		p := a.ByService("s")[0]
		const idle = 116 * time.Millisecond // 100 kB at 0.86 MB/s.
		So(p.LinkDelay(0), ShouldEqual, 0)
		So(p.LinkDelay(100_000).Truncate(time.Millisecond), ShouldEqual, idle)
		t := b.link.NewTransfer(hostlink.Need{TargetBy: now() + time.Minute, DeadlineBy: now() + time.Minute})
		_, fits := t.Reserve(1_000_000, 0)
		So(fits, ShouldBeTrue)
		waitFor(func() bool { return p.LinkDelay(100_000) > time.Second })
		t.Close()
		waitFor(func() bool { return p.LinkDelay(100_000).Round(10*time.Millisecond) == 120*time.Millisecond })
		Convey("and calls count until the next report", func() {
			b.pauseReports()
			synctest.Wait() // A report that is being sent arrives.
			c := newCall(nil)
			c.ResponseBytes = 100_000
			So(p.Run(context.Background(), c).Outcome, ShouldEqual, call.Answered)
			So(p.LinkDelay(100_000), ShouldBeGreaterThan, 200*time.Millisecond)
		})
	})
}
