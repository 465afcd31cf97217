package peers_test

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
)

// Guards against calls that are lost when two hosts dial each other and one of the links
// replaces the other.
func TestCrossedDialKeepsCallsInFlight(t *testing.T) {
	inBubble(t, "a call is executed when the host with the lower ID dials too", func(_ C, n *testNetwork) {
		started, release := make(chan struct{}), make(chan struct{})
		block := func(ctx context.Context, c *call.Call) call.Result {
			close(started)
			<-release
			return echo(ctx, c)
		}
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, block)
		defer a.close()
		defer b.close()
		_, err := b.Manager().Dial(context.Background(), a.record.Address)
		So(err, ShouldBeNil)
		a.waitForPeers(1)
		former := a.Manager().Link("b")
		result := make(chan call.Result, 1)
		go func() { result <- a.ByService("s")[0].Run(context.Background(), newCall(nil)) }()
		<-started
		_, err = a.Manager().Dial(context.Background(), b.record.Address)
		So(err, ShouldBeNil)
		waitFor(func() bool { return a.Manager().Link("b") != former })
		close(release)
		So((<-result).Outcome, ShouldEqual, call.Answered)
		<-former.Closed()
		So(a.ByService("s"), ShouldHaveLength, 1)
		So(a.Manager().Link("b") != nil, ShouldBeTrue)
	})
}
