package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/retrybudget"
)

// Guards against hosts that together repeat more than the bound allows, in any
// window. Half of the bound is left for calls that repeated calls make.
func TestHostsTogetherStayWithinTheBound(t *testing.T) {
	const ratio, slack, hosts = 0.2, 58, 11
	window := 10 * time.Second
	Convey("every call of eleven hosts wants a repeat for 60 s, with a load that comes and goes", t, func() {
		now := time.Duration(0)
		clock := func() time.Duration { return now }
		budgets := make([]*retrybudget.Budget, hosts)
		for i := range budgets {
			budgets[i] = retrybudget.New(retrybudget.Bound{Ratio: ratio, Slack: slack, Window: window}, clock, func() int { return hosts })
		}
		random := rand.New(rand.NewPCG(1, 2))
		var calls, spent [60]int
		for second := range 60 {
			rate := 400
			if second%20 >= 12 {
				rate = 20
			}
			for range rate {
				now = time.Duration(second)*time.Second + time.Duration(random.Int64N(int64(time.Second)))
				b := budgets[random.IntN(hosts)]
				b.Earn("s")
				calls[second]++
				if b.Spend("s") {
					spent[second]++
				}
			}
		}
		worst := 0.0
		for from := 0; from+10 <= 60; from++ {
			c, r := 0, 0
			for i := from; i < from+10; i++ {
				c, r = c+calls[i], r+spent[i]
			}
			before := 0
			for i := max(0, from-10); i < from; i++ {
				before += calls[i]
			}
			worst = max(worst, float64(r)/(ratio*float64(max(c, before))+slack))
		}
		So(worst, ShouldBeLessThanOrEqualTo, 1)
		So(worst, ShouldBeGreaterThan, 0.2)
	})
	Convey("a host that was idle for long starts with its part of the slack", t, func() {
		now := time.Duration(0)
		b := retrybudget.New(retrybudget.Bound{Ratio: ratio, Slack: slack, Window: window}, func() time.Duration { return now }, func() int { return hosts })
		So(b.Spend("s"), ShouldBeTrue)
		now = time.Hour
		n := 0
		for b.Spend("s") {
			n++
		}
		So(n, ShouldEqual, 2)
	})
}
