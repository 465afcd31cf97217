package selection

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	simCalls       = 8000
	simServiceTime = 10 * time.Millisecond
	// simUtilization is the offered load as a fraction of the capacity of all endpoints.
	simUtilization = 0.7
)

// simEndpoint is an endpoint with testSlots slots and a first-in-first-out queue.
type simEndpoint struct {
	slowdown float64
	// freeAt is the time at which each slot becomes free.
	freeAt [testSlots]time.Time
}

// run executes a call that arrives now, and returns when it starts and ends.
func (e *simEndpoint) run(now time.Time, serviceTime time.Duration) (start, end time.Time) {
	slot := 0
	for i := range e.freeAt {
		if e.freeAt[i].Before(e.freeAt[slot]) {
			slot = i
		}
	}
	start = now
	if e.freeAt[slot].After(now) {
		start = e.freeAt[slot]
	}
	end = start.Add(time.Duration(float64(serviceTime) * e.slowdown))
	e.freeAt[slot] = end
	return start, end
}

func (e *simEndpoint) busy(now time.Time) int {
	n := 0
	for _, f := range e.freeAt {
		if f.After(now) {
			n++
		}
	}
	return n
}

type simCall struct {
	choice     Choice
	start, end time.Time
}

// simulate returns the sorted response times of all calls, and the share of calls that
// the slow endpoint got. There are four endpoints; the first takes four times as long
// as the others.
func simulate(policy Policy) (times []time.Duration, slowShare float64) {
	h := newHarness(policy, "a0", "a1", "a2", "a3")
	random := rand.New(rand.NewPCG(3, 4))
	servers := map[mesh.HostID]*simEndpoint{"a0": {slowdown: 4}, "a1": {slowdown: 1}, "a2": {slowdown: 1}, "a3": {slowdown: 1}}
	const capacity = testSlots * (3 + 0.25)
	gap := float64(simServiceTime) / (capacity * simUtilization)
	var inFlight []simCall
	for range simCalls {
		h.now = h.now.Add(time.Duration(random.ExpFloat64() * gap))
		inFlight = slices.DeleteFunc(inFlight, func(c simCall) bool {
			if c.end.After(h.now) {
				return false
			}
			busy := servers[c.choice.Target.Host].busy(c.end)
			c.choice.Done(Result{
				Class: ClassAnswered, Status: 200, Latency: c.end.Sub(c.start),
				HasReport: true, Report: Report{InUse: busy, Slots: testSlots},
			})
			return true
		})
		c := simCall{choice: h.pick()}
		server := servers[c.choice.Target.Host]
		c.start, c.end = server.run(h.now, time.Duration(random.ExpFloat64()*float64(simServiceTime)))
		inFlight = append(inFlight, c)
		times = append(times, c.end.Sub(h.now))
		if server.slowdown > 1 {
			slowShare += 1.0 / simCalls
		}
	}
	slices.Sort(times)
	return times, slowShare
}

// Guards against a policy that is no better than round-robin when an endpoint is slow:
// calls would queue there while other endpoints are free.
func TestAgainstRoundRobin(t *testing.T) {
	Convey("With one endpoint of four at a quarter of the speed", t, func() {
		adaptive, adaptiveShare := simulate(PolicyAdaptive)
		roundRobin, roundRobinShare := simulate(PolicyRoundRobin)
		quantile := func(times []time.Duration, q float64) time.Duration {
			return times[int(q*float64(len(times)))].Round(10 * time.Microsecond)
		}
		for _, q := range []float64{0.5, 0.99} {
			t.Logf("quantile %.2f: adaptive %s, round-robin %s", q, quantile(adaptive, q), quantile(roundRobin, q))
		}
		t.Logf("share of the slow endpoint: adaptive %.3f, round-robin %.3f, of the capacity 0.077", adaptiveShare, roundRobinShare)
		So(quantile(adaptive, 0.99), ShouldBeLessThan, quantile(roundRobin, 0.99)/2)
		So(adaptiveShare, ShouldBeBetween, 0.005, 0.15)
	})
}
