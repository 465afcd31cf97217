package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/placement"
)

const ms = time.Millisecond

func half() float64 { return 0.5 }

// Guards against calls that go to a remote domain without need, and against calls
// that stay in the local domain when it cannot answer them in time.
func TestLocalDomainWhileItServesWell(t *testing.T) {
	local := placement.Candidate{SameDomain: true, Slots: 10, MeanServiceTime: 100 * ms}
	remote := placement.Candidate{Slots: 10, MeanServiceTime: 90 * ms}
	choose := func(local placement.Candidate, target time.Duration) int {
		return placement.Choose([]placement.Candidate{local, remote}, placement.Call{TargetRemaining: target}, half)
	}
	Convey("the local domain has free slots", t, func() { So(choose(local, 500*ms), ShouldEqual, 0) })
	for name, change := range map[string]func(*placement.Candidate){
		"all slots in use": func(c *placement.Candidate) { c.Occupied = 20 },
		"failing":          func(c *placement.Candidate) { c.FailureRatio = 0.5 },
		"too slow":         func(c *placement.Candidate) { c.MeanServiceTime = 400 * ms },
		"silent":           func(c *placement.Candidate) { c.Stale = true },
		"tried before":     func(c *placement.Candidate) { c.Excluded = true },
		"no slots":         func(c *placement.Candidate) { c.Slots = 0 },
		"at its rate":      func(c *placement.Candidate) { c.CallsPerSecond, c.Occupied = 20, 3 },
	} {
		Convey("the local endpoint: "+name, t, func() {
			c := local
			change(&c)
			So(choose(c, 500*ms), ShouldEqual, 1)
		})
	}
	Convey("a call past its target goes to the faster endpoint", t, func() {
		slow := local
		slow.MeanServiceTime = 300 * ms
		So(choose(slow, -100*ms), ShouldEqual, 1)
	})
	Convey("all endpoints are excluded", t, func() {
		So(placement.Choose([]placement.Candidate{{Slots: 1, Excluded: true}}, placement.Call{TargetRemaining: time.Second}, half), ShouldEqual, -1)
		So(placement.Choose(nil, placement.Call{}, half), ShouldEqual, -1)
	})
}

// Guards against an endpoint that gets more calls than it has slots for while others
// are idle, when eleven hosts choose and each learns of the calls of the others only
// from status reports.
func TestCallsAreSpreadBySpeed(t *testing.T) {
	const (
		slots, hosts   = 18, 11
		reportInterval = 500 * ms
		target         = 500 * ms
	)
	serviceTimes := []time.Duration{112 * ms, 112 * ms, 256 * ms}
	Convey("endpoints of speeds 1, 1 and 0.44 at 70 % of their capacity for 20 s", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		type running struct {
			end  time.Duration
			host int
		}
		active := make([][]running, len(serviceTimes))
		var knownLoad [hosts][3]int
		capacity := 0.0
		for _, r := range serviceTimes {
			capacity += slots / r.Seconds()
		}
		interval := time.Duration(float64(time.Second) / (0.7 * capacity))
		chosen, late, calls, totalDelay := make([]int, len(serviceTimes)), 0, 0, 0.0
		lastReport := time.Duration(0)
		for now := time.Duration(0); now < 20*time.Second; now += interval {
			for i := range serviceTimes {
				remaining := active[i][:0]
				var answeredHosts []int
				for _, r := range active[i] {
					if r.end > now {
						remaining = append(remaining, r)
					} else {
						answeredHosts = append(answeredHosts, r.host)
					}
				}
				active[i] = remaining
				for _, h := range answeredHosts {
					// Each answer carries the load of its gate.
					knownLoad[h][i] = len(remaining)
				}
			}
			if now-lastReport >= reportInterval {
				lastReport = now
				for h := range knownLoad {
					for i := range serviceTimes {
						knownLoad[h][i] = len(active[i])
					}
				}
			}
			host := random.IntN(hosts)
			var candidates []placement.Candidate
			for i, r := range serviceTimes {
				candidates = append(candidates, placement.Candidate{SameDomain: true, Slots: slots, Occupied: knownLoad[host][i], MeanServiceTime: r})
			}
			i := placement.Choose(candidates, placement.Call{TargetRemaining: target}, random.Float64)
			knownLoad[host][i]++
			calls++
			chosen[i]++
			active[i] = append(active[i], running{now + serviceTimes[i], host})
			delay := time.Duration(max(0, len(active[i])-slots)) * serviceTimes[i] / slots
			if delay+serviceTimes[i] > target {
				late++
			}
			totalDelay += float64(delay) / float64(serviceTimes[i])
		}
		for i := range serviceTimes {
			So(chosen[i], ShouldBeGreaterThan, calls/20)
		}
		// 0.995 of the calls must be served in time when nothing fails.
		So(float64(late)/float64(calls), ShouldBeLessThan, 0.005)
		// Some queueing is allowed while other endpoints have free slots: such a slot
		// gains little over a short queueing delay.
		So(totalDelay/float64(calls), ShouldBeLessThan, 0.01)
	})
}
