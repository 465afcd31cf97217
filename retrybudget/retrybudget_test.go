package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/retrybudget"
)

// Guards against hosts that together retry more calls in any window than the bound
// allows. Half of the bound is left for the nested calls of retried calls.
func TestHostsTogetherStayWithinTheBound(t *testing.T) {
	const ratio, slack, hosts = 0.2, 58, 11
	window := 10 * time.Second
	Convey("eleven hosts try to retry every call for 60 s, at a load that varies", t, func() {
		now := time.Duration(0)
		clock := func() time.Duration { return now }
		budgets := make([]*retrybudget.Budget, hosts)
		for i := range budgets {
			budgets[i] = retrybudget.New(retrybudget.Bound{Ratio: ratio, Slack: slack, Window: window}, clock, func() int { return hosts })
		}
		random := rand.New(rand.NewPCG(1, 2))
		var calls, retries [60]int
		for second := range 60 {
			rate := 400
			if second%20 >= 12 {
				rate = 20
			}
			for range rate {
				now = time.Duration(second)*time.Second + time.Duration(random.Int64N(int64(time.Second)))
				b := budgets[random.IntN(hosts)]
				b.Deposit("s")
				calls[second]++
				if b.Withdraw("s") {
					retries[second]++
				}
			}
		}
		maxUsage := 0.0
		for start := 0; start+10 <= 60; start++ {
			windowCalls, windowRetries := 0, 0
			for i := start; i < start+10; i++ {
				windowCalls, windowRetries = windowCalls+calls[i], windowRetries+retries[i]
			}
			previousCalls := 0
			for i := max(0, start-10); i < start; i++ {
				previousCalls += calls[i]
			}
			maxUsage = max(maxUsage, float64(windowRetries)/(ratio*float64(max(windowCalls, previousCalls))+slack))
		}
		So(maxUsage, ShouldBeLessThanOrEqualTo, 1)
		So(maxUsage, ShouldBeGreaterThan, 0.2)
	})
	Convey("a host that was idle for an hour has its share of the slack", t, func() {
		now := time.Duration(0)
		b := retrybudget.New(retrybudget.Bound{Ratio: ratio, Slack: slack, Window: window}, func() time.Duration { return now }, func() int { return hosts })
		So(b.Withdraw("s"), ShouldBeTrue)
		now = time.Hour
		n := 0
		for b.Withdraw("s") {
			n++
		}
		So(n, ShouldEqual, 2)
	})
}
