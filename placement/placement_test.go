package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/placement"
)

const ms = time.Millisecond

func even() float64 { return 0.5 }

// Guards against calls that leave their failure domain without need, and against
// calls that stay where they cannot be answered in time.
func TestOwnDomainWhileItServesWell(t *testing.T) {
	near := placement.Candidate{SameDomain: true, Slots: 10, MeanRun: 100 * ms}
	far := placement.Candidate{Slots: 10, MeanRun: 90 * ms}
	choose := func(near placement.Candidate, target time.Duration) int {
		return placement.Choose([]placement.Candidate{near, far}, placement.Call{TargetLeft: target}, even)
	}
	Convey("room at home", t, func() { So(choose(near, 500*ms), ShouldEqual, 0) })
	for name, change := range map[string]func(*placement.Candidate){
		"all slots in use": func(c *placement.Candidate) { c.Occupied = 20 },
		"failing":          func(c *placement.Candidate) { c.FailShare = 0.5 },
		"too slow":         func(c *placement.Candidate) { c.MeanRun = 400 * ms },
		"silent":           func(c *placement.Candidate) { c.Doubtful = true },
		"tried before":     func(c *placement.Candidate) { c.Tried = true },
		"no slots":         func(c *placement.Candidate) { c.Slots = 0 },
	} {
		Convey("home is "+name, t, func() {
			c := near
			change(&c)
			So(choose(c, 500*ms), ShouldEqual, 1)
		})
	}
	Convey("a call past its target goes where it ends first", t, func() {
		slow := near
		slow.MeanRun = 300 * ms
		So(choose(slow, -100*ms), ShouldEqual, 1)
	})
	Convey("nothing is left to try", t, func() {
		So(placement.Choose([]placement.Candidate{{Slots: 1, Tried: true}}, placement.Call{TargetLeft: time.Second}, even), ShouldEqual, -1)
		So(placement.Choose(nil, placement.Call{}, even), ShouldEqual, -1)
	})
}

// Guards against an endpoint that gets more than it can run while others are
// idle, when eleven hosts choose and each knows the calls of the others only from
// reports.
func TestCallsAreSpreadBySpeed(t *testing.T) {
	const (
		slots, hosts = 18, 11
		report       = 500 * ms
		target       = 500 * ms
	)
	runs := []time.Duration{112 * ms, 112 * ms, 256 * ms}
	Convey("endpoints of speeds 1, 1 and 0.44 at 70 % of their capacity for 20 s", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		type running struct {
			end  time.Duration
			host int
		}
		active := make([][]running, len(runs))
		var view [hosts][3]int
		capacity := 0.0
		for _, r := range runs {
			capacity += slots / r.Seconds()
		}
		gap := time.Duration(float64(time.Second) / (0.7 * capacity))
		taken, late, calls, waiting := make([]int, len(runs)), 0, 0, 0.0
		lastReport := time.Duration(0)
		for now := time.Duration(0); now < 20*time.Second; now += gap {
			for i := range runs {
				left := active[i][:0]
				var answered []int
				for _, r := range active[i] {
					if r.end > now {
						left = append(left, r)
					} else {
						answered = append(answered, r.host)
					}
				}
				active[i] = left
				for _, h := range answered {
					// Each answer carries the load of its gate.
					view[h][i] = len(left)
				}
			}
			if now-lastReport >= report {
				lastReport = now
				for h := range view {
					for i := range runs {
						view[h][i] = len(active[i])
					}
				}
			}
			host := random.IntN(hosts)
			var candidates []placement.Candidate
			for i, r := range runs {
				candidates = append(candidates, placement.Candidate{SameDomain: true, Slots: slots, Occupied: view[host][i], MeanRun: r})
			}
			i := placement.Choose(candidates, placement.Call{TargetLeft: target}, random.Float64)
			view[host][i]++
			calls++
			taken[i]++
			active[i] = append(active[i], running{now + runs[i], host})
			wait := time.Duration(max(0, len(active[i])-slots)) * runs[i] / slots
			if wait+runs[i] > target {
				late++
			}
			waiting += float64(wait) / float64(runs[i])
		}
		for i := range runs {
			So(taken[i], ShouldBeGreaterThan, calls/20)
		}
		// 0.995 of a calm day are to be served in time.
		So(float64(late)/float64(calls), ShouldBeLessThan, 0.005)
		// A slot that is free elsewhere is worth little more than a short wait.
		So(waiting/float64(calls), ShouldBeLessThan, 0.01)
	})
}
