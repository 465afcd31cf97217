package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/placement"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

// simulation runs hosts that place calls at the gates of one failure domain, on a
// simulated clock. Each host knows the gates from status reports twice a second and
// from its own calls.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	events eventHeap
	gates  []*gate
	// views holds what each host knows of each gate.
	views [][]placement.Candidate
	slots int
	calls int
	// failed counts the calls without a good answer in time.
	failed int
	// choose replaces placement.Choose, and answered is called with each answer, where they
	// are set.
	answered func(host, gate int)
	choose   func(host int, candidates []placement.Candidate, targetRemaining time.Duration) int
}

type gate struct {
	queue       *slotqueue.Queue
	serviceTime time.Duration
	served      int
	// failureRatio is the fraction of answers that are failures.
	failureRatio float64
}

// eventHeap orders the events to come by their time.
type eventHeap []event

type event struct {
	at     time.Duration
	action func()
}

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(hosts, slots int, serviceTimes []time.Duration) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(5, 6)), slots: slots}
	for _, serviceTime := range serviceTimes {
		s.gates = append(s.gates, &gate{queue: slotqueue.New(slots, s.random.Float64), serviceTime: serviceTime})
	}
	for range hosts {
		s.views = append(s.views, make([]placement.Candidate, len(serviceTimes)))
	}
	return s
}

func (s *simulation) after(d time.Duration, action func()) {
	heap.Push(&s.events, event{s.now + d, action})
}

// every runs the action repeatedly until the end of the simulation.
func (s *simulation) every(d time.Duration, action func()) {
	s.after(d, func() {
		action()
		s.every(d, action)
	})
}

func (s *simulation) runUntil(end time.Duration) {
	for s.events.Len() > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
}

// report sends the status of a gate to all hosts.
func (s *simulation) report(i int) {
	g := s.gates[i]
	load := g.queue.Load()
	for _, view := range s.views {
		view[i] = placement.Candidate{
			SameDomain: true, Slots: s.slots, Occupied: load.Running + load.Waiting,
			MeanServiceTime: g.queue.MeanServiceTime(s.now), FailureRatio: g.failureRatio,
		}
	}
}

// call simulates one call from a host until its answer. A call that is rejected is
// sent to up to two other gates. Service times vary by a third around their mean.
func (s *simulation) call(host int, target time.Duration) {
	s.calls++
	s.attempt(host, s.now+target, nil)
}

func (s *simulation) attempt(host int, targetBy time.Duration, excluded []int) {
	candidates := slices.Clone(s.views[host])
	for _, i := range excluded {
		candidates[i].Excluded = true
	}
	i := s.chooseGate(host, candidates, targetBy-s.now)
	if i < 0 {
		s.failed++
		return
	}
	g := s.gates[i]
	serviceTime := time.Duration(float64(g.serviceTime) * (0.67 + 0.66*s.random.Float64()))
	s.views[host][i].Occupied++
	s.offer(g, targetBy, serviceTime, func(answered bool) {
		// Rejections and answers carry the load of the gate.
		load := g.queue.Load()
		s.views[host][i].Occupied = load.Running + load.Waiting
		switch {
		case answered:
			g.served++
			if s.answered != nil {
				s.answered(host, i)
			}
			if s.now > targetBy || s.random.Float64() < g.failureRatio {
				s.failed++
			}
		case len(excluded) < 2:
			s.attempt(host, targetBy, append(excluded, i))
		default:
			s.failed++
		}
	})
}

func (s *simulation) chooseGate(host int, candidates []placement.Candidate, targetRemaining time.Duration) int {
	if s.choose != nil {
		return s.choose(host, candidates, targetRemaining)
	}
	return placement.Choose(candidates, placement.Call{TargetRemaining: targetRemaining}, s.random.Float64)
}

// offer sends a call to a gate and calls ended with whether it was answered.
func (s *simulation) offer(g *gate, targetBy, serviceTime time.Duration, ended func(answered bool)) {
	ticket, rejection := g.queue.Offer(newCall(targetBy), s.now)
	if rejection != nil {
		ended(false)
		return
	}
	var poll func()
	poll = func() {
		select {
		case ok := <-ticket.Ready():
			if !ok {
				ended(false)
				return
			}
			s.after(serviceTime, func() {
				g.queue.Release(ticket, serviceTime, s.now)
				ended(true)
			})
		default:
			s.after(5*time.Millisecond, poll)
		}
	}
	poll()
}

func newCall(targetBy time.Duration) slotqueue.Call {
	return slotqueue.Call{TargetBy: targetBy, DeadlineBy: targetBy + 2*time.Second}
}

// Guards against hosts that all choose one endpoint because its mean service time
// comes from a single answer that needed no work.
func TestEndpointWithFewServiceTimesIsNotFlooded(t *testing.T) {
	Convey("fifteen endpoints at half of their capacity, two too slow for the target", t, func() {
		const target = time.Second
		serviceTimes := make([]time.Duration, 15)
		rate := 0.0
		for i := range serviceTimes {
			serviceTimes[i] = 400 * ms
			if i < 2 {
				serviceTimes[i] = 900 * ms
			}
			rate += 0.5 * 18 / serviceTimes[i].Seconds()
		}
		s := newSimulation(30, 18, serviceTimes)
		for i := range s.gates {
			s.report(i)
			s.after(time.Duration(i)*33*ms, func() { s.every(500*ms, func() { s.report(i) }) })
			// Some answers need no work; here the first one of each endpoint.
			s.after(time.Duration(i)*10*ms, func() { s.offer(s.gates[i], s.now+target, 4*ms, func(bool) {}) })
		}
		s.every(time.Duration(float64(time.Second)/rate), func() { s.call(s.random.IntN(30), target) })
		s.runUntil(40 * time.Second)
		// 0.995 of the calls must be served in time when nothing fails.
		So(float64(s.failed)/float64(s.calls), ShouldBeLessThan, 0.005)
		for i := range s.gates {
			So(s.gates[i].served, ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against an endpoint of unknown speed that gets more calls than the others,
// or none.
func TestUnknownEndpointIsTriedWithFewCalls(t *testing.T) {
	Convey("fourteen endpoints at half of their slots and one that has just started", t, func() {
		random := rand.New(rand.NewPCG(7, 8))
		candidates := []placement.Candidate{{SameDomain: true, Slots: 18, Cold: true}}
		for range 14 {
			candidates = append(candidates, placement.Candidate{SameDomain: true, Slots: 18, Occupied: 9, MeanServiceTime: 400 * ms})
		}
		unknown := 0
		for range 10000 {
			if placement.Choose(candidates, placement.Call{TargetRemaining: time.Second}, random.Float64) == 0 {
				unknown++
			}
		}
		So(unknown, ShouldBeBetween, 100, 10000/15)
	})
}

// Guards against calls that are rejected or late at full endpoints while slower or
// failing ones, which serve most calls well, have free slots.
func TestWeakerEndpointsServeWhenTheOthersAreFull(t *testing.T) {
	const (
		target    = time.Second
		endpoints = 15
	)
	cases := map[string]struct {
		weakEndpoints int
		serviceTime   time.Duration
		failureRatio  float64
	}{
		"three of fifteen endpoints have a service time of 0.6 of the target": {weakEndpoints: 3, serviceTime: 600 * ms},
		"six of fifteen endpoints fail a tenth of calls":                      {weakEndpoints: 6, serviceTime: 400 * ms, failureRatio: 0.1},
	}
	for name, tc := range cases {
		Convey(name+", and nine tenths of all slots are needed", t, func() {
			serviceTimes := make([]time.Duration, endpoints)
			rate := 0.0
			for i := range serviceTimes {
				serviceTimes[i] = 400 * ms
				if i < tc.weakEndpoints {
					serviceTimes[i] = tc.serviceTime
				}
				rate += 0.9 * 12 / serviceTimes[i].Seconds()
			}
			s := newSimulation(30, 12, serviceTimes)
			for i := range s.gates {
				if i < tc.weakEndpoints {
					s.gates[i].failureRatio = tc.failureRatio
				}
				s.report(i)
				s.after(time.Duration(i)*33*ms, func() { s.every(500*ms, func() { s.report(i) }) })
			}
			s.every(time.Duration(float64(time.Second)/rate), func() { s.call(s.random.IntN(30), target) })
			s.runUntil(30 * time.Second)
			// With one queue in front of all these slots hardly any call would fail
			// beside those that the weaker endpoints fail; 0.03 allows for stale reports.
			failures := tc.failureRatio * float64(tc.weakEndpoints) / endpoints
			So(float64(s.failed)/float64(s.calls), ShouldBeLessThan, failures+0.03)
		})
	}
}
