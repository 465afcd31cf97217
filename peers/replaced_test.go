package peers_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
)

// crossDials makes b dial a and, once a call of a has started at b, a dial b. It returns the
// result of the call, which stays on the link that b dialed.
func crossDials(a, b *host, started <-chan struct{}) <-chan call.Result {
	_, err := b.Manager().Dial(context.Background(), a.record.Address)
	So(err, ShouldBeNil)
	a.waitForPeers(1)
	former := a.Manager().Link("b")
	result := make(chan call.Result, 1)
	go func() { result <- a.ByService("s")[0].Run(context.Background(), newCall(nil)) }()
	<-started
	_, err = a.Manager().Dial(context.Background(), b.record.Address)
	So(err, ShouldBeNil)
	waitFor(func() bool { return a.Manager().Link("b") != former && b.Manager().Link("a").Dialed() == false })
	return result
}

// Guards against calls that wait for a lost host longer on the replaced link of a crossed
// dial than on other links.
func TestReplacedLinkOfALostHostIsClosed(t *testing.T) {
	inBubble(t, "the network between two hosts fails after their dials crossed", func(_ C, n *testNetwork) {
		started := make(chan struct{})
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(ctx context.Context, _ *call.Call) call.Result {
			close(started)
			<-ctx.Done()
			return call.Result{Outcome: call.Expired, Sent: true}
		})
		defer a.close()
		defer b.close()
		result := crossDials(a, b, started)
		n.CutBoth(a.record.Address, b.record.Address)
		cut := time.Now()
		So((<-result).Outcome, ShouldEqual, call.Broken)
		So(time.Since(cut), ShouldBeLessThan, 2*time.Second)
	})
}

// Guards against a replaced link that is closed while a call on it lasts.
func TestReplacedLinkOutlastsItsCalls(t *testing.T) {
	inBubble(t, "a call lasts longer than the replaced links of other crossed dials", func(_ C, n *testNetwork) {
		started := make(chan struct{})
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(ctx context.Context, c *call.Call) call.Result {
			close(started)
			select {
			case <-ctx.Done():
				return call.Result{Outcome: call.Expired, Sent: true}
			case <-time.After(30 * time.Second):
				return echo(ctx, c)
			}
		})
		defer a.close()
		defer b.close()
		So((<-crossDials(a, b, started)).Outcome, ShouldEqual, call.Answered)
		waitFor(func() bool { return len(a.Manager().OpenLinks()) == 1 && len(b.Manager().OpenLinks()) == 1 })
		So(a.ByService("s"), ShouldHaveLength, 1)
	})
}

// Guards against calls that are lost when a host that already has a link is dialed again.
func TestSecondDialKeepsCallsInFlight(t *testing.T) {
	inBubble(t, "a host dials another one twice", func(_ C, n *testNetwork) {
		started, release := make(chan struct{}), make(chan struct{})
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(ctx context.Context, c *call.Call) call.Result {
			close(started)
			select {
			case <-ctx.Done():
				return call.Result{Outcome: call.Expired, Sent: true}
			case <-release:
				return echo(ctx, c)
			}
		})
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		former := a.Manager().Link("b")
		result := make(chan call.Result, 1)
		go func() { result <- a.ByService("s")[0].Run(context.Background(), newCall(nil)) }()
		<-started
		_, err := a.Manager().Dial(context.Background(), b.record.Address)
		So(err, ShouldBeNil)
		waitFor(func() bool { return a.Manager().Link("b") != former })
		close(release)
		So((<-result).Outcome, ShouldEqual, call.Answered)
		<-former.Closed()
		So(a.ByService("s"), ShouldHaveLength, 1)
	})
}

// Guards against results on a replaced link that a stopping host does not send.
func TestStoppingHostSendsItsLastResultsOnAReplacedLink(t *testing.T) {
	inBubble(t, "a host stops while it executes a call of a replaced link", func(_ C, n *testNetwork) {
		started := make(chan struct{})
		var b *host
		a := n.newHost("a", 1, echo)
		b = n.newHost("b", 2, func(ctx context.Context, c *call.Call) call.Result {
			close(started)
			time.Sleep(100 * time.Millisecond) // The dials cross meanwhile.
			b.stop()
			time.Sleep(10 * time.Millisecond) // Lets the host act on it.
			return echo(ctx, c)
		})
		defer a.close()
		defer b.close()
		So((<-crossDials(a, b, started)).Outcome, ShouldEqual, call.Answered)
		<-b.ended
		So(b.Manager().OpenLinks(), ShouldBeEmpty)
	})
}
