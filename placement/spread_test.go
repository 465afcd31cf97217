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

// fleet plays hosts that place calls at the gates of one failure domain. Each
// host knows the gates from reports twice a second and from its own calls.
type fleet struct {
	now    time.Duration
	random *rand.Rand
	due    schedule
	gates  []*gate
	// views holds for each host what it believes of each gate.
	views [][]placement.Candidate
	slots int
	calls int
	// late counts the calls without a good answer in time.
	late int
}

type gate struct {
	queue *slotqueue.Queue
	run   time.Duration
	taken int
	// failShare is the share of answers that are failures.
	failShare float64
}

// schedule is a heap of what is to happen.
type schedule []event

type event struct {
	at time.Duration
	do func()
}

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at < s[j].at }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newFleet(hosts, slots int, runs []time.Duration) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(5, 6)), slots: slots}
	for _, run := range runs {
		f.gates = append(f.gates, &gate{queue: slotqueue.New(slots), run: run})
	}
	for range hosts {
		f.views = append(f.views, make([]placement.Candidate, len(runs)))
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.due, event{f.now + d, do}) }

// every repeats do until the end of the play.
func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() {
		do()
		f.every(d, do)
	})
}

func (f *fleet) play(duration time.Duration) {
	for f.due.Len() > 0 && f.due[0].at <= duration {
		e := heap.Pop(&f.due).(event)
		f.now = e.at
		e.do()
	}
}

// report tells all hosts of a gate.
func (f *fleet) report(i int) {
	g := f.gates[i]
	load := g.queue.Load()
	for _, view := range f.views {
		view[i] = placement.Candidate{
			SameDomain: true, Slots: f.slots, Occupied: load.Running + load.Waiting,
			MeanRun: g.queue.MeanRun(f.now), FailShare: g.failShare,
		}
	}
}

// call plays one call from a host to the answer. A call that is refused goes to
// two other gates. Run times spread by a third.
func (f *fleet) call(host int, target time.Duration) {
	f.calls++
	f.attempt(host, f.now+target, nil)
}

func (f *fleet) attempt(host int, targetBy time.Duration, tried []int) {
	candidates := slices.Clone(f.views[host])
	for _, i := range tried {
		candidates[i].Tried = true
	}
	i := placement.Choose(candidates, placement.Call{TargetLeft: targetBy - f.now}, f.random.Float64)
	g := f.gates[i]
	run := time.Duration(float64(g.run) * (0.67 + 0.66*f.random.Float64()))
	f.views[host][i].Occupied++
	f.offer(g, targetBy, run, func(answered bool) {
		// Refusals and answers carry the load of the gate.
		load := g.queue.Load()
		f.views[host][i].Occupied = load.Running + load.Waiting
		switch {
		case answered:
			g.taken++
			if f.now > targetBy || f.random.Float64() < g.failShare {
				f.late++
			}
		case len(tried) < 2:
			f.attempt(host, targetBy, append(tried, i))
		default:
			f.late++
		}
	})
}

// offer runs a call at a gate and reports its end.
func (f *fleet) offer(g *gate, targetBy, run time.Duration, ended func(answered bool)) {
	ticket, refusal := g.queue.Offer(work(targetBy), f.now)
	if refusal != nil {
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
			f.after(run, func() {
				g.queue.Done(ticket, run, f.now)
				ended(true)
			})
		default:
			f.after(5*time.Millisecond, poll)
		}
	}
	poll()
}

func work(targetBy time.Duration) slotqueue.Work {
	return slotqueue.Work{TargetBy: targetBy, DeadlineBy: targetBy + 2*time.Second}
}

// Guards against hosts that all turn to one endpoint because its mean run time
// rests on an answer that needed no work.
func TestEndpointWithFewRunTimesIsNotFlooded(t *testing.T) {
	Convey("fifteen endpoints at half of their capacity, two too slow for the target", t, func() {
		const target = time.Second
		runs := make([]time.Duration, 15)
		rate := 0.0
		for i := range runs {
			runs[i] = 400 * ms
			if i < 2 {
				runs[i] = 900 * ms
			}
			rate += 0.5 * 18 / runs[i].Seconds()
		}
		f := newFleet(30, 18, runs)
		for i := range f.gates {
			f.report(i)
			f.after(time.Duration(i)*33*ms, func() { f.every(500*ms, func() { f.report(i) }) })
			// Some answers need no work; here the first one of each endpoint.
			f.after(time.Duration(i)*10*ms, func() { f.offer(f.gates[i], f.now+target, 4*ms, func(bool) {}) })
		}
		f.every(time.Duration(float64(time.Second)/rate), func() { f.call(f.random.IntN(30), target) })
		f.play(40 * time.Second)
		// 0.995 of a calm day are to be served in time.
		So(float64(f.late)/float64(f.calls), ShouldBeLessThan, 0.005)
		for i := range f.gates {
			So(f.gates[i].taken, ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against an endpoint of unknown speed that gets more than the others, and
// one that never gets a call.
func TestUnknownEndpointIsTriedWithFewCalls(t *testing.T) {
	Convey("fourteen endpoints at half of their slots and one that has just started", t, func() {
		random := rand.New(rand.NewPCG(7, 8))
		candidates := []placement.Candidate{{SameDomain: true, Slots: 18, Cold: true}}
		for range 14 {
			candidates = append(candidates, placement.Candidate{SameDomain: true, Slots: 18, Occupied: 9, MeanRun: 400 * ms})
		}
		unknown := 0
		for range 10000 {
			if placement.Choose(candidates, placement.Call{TargetLeft: time.Second}, random.Float64) == 0 {
				unknown++
			}
		}
		So(unknown, ShouldBeBetween, 100, 10000/15)
	})
}

// Guards against calls that are refused or late at full endpoints while others,
// which serve most calls well, have slots to spare.
func TestWeakerEndpointsServeWhenTheOthersAreFull(t *testing.T) {
	const (
		target    = time.Second
		endpoints = 15
	)
	cases := map[string]struct {
		weak  int
		run   time.Duration
		fails float64
	}{
		"three of fifteen endpoints take 0.6 of the target": {weak: 3, run: 600 * ms},
		"six of fifteen endpoints fail a tenth of calls":    {weak: 6, run: 400 * ms, fails: 0.1},
	}
	for name, weak := range cases {
		Convey(name+", and nine tenths of all slots are needed", t, func() {
			runs := make([]time.Duration, endpoints)
			rate := 0.0
			for i := range runs {
				runs[i] = 400 * ms
				if i < weak.weak {
					runs[i] = weak.run
				}
				rate += 0.9 * 12 / runs[i].Seconds()
			}
			f := newFleet(30, 12, runs)
			for i := range f.gates {
				if i < weak.weak {
					f.gates[i].failShare = weak.fails
				}
				f.report(i)
				f.after(time.Duration(i)*33*ms, func() { f.every(500*ms, func() { f.report(i) }) })
			}
			f.every(time.Duration(float64(time.Second)/rate), func() { f.call(f.random.IntN(30), target) })
			f.play(30 * time.Second)
			// Beside the failures of the weaker ones, one line for all of these slots
			// would leave next to nothing; 0.03 allows for reports that are old.
			failures := weak.fails * float64(weak.weak) / endpoints
			So(float64(f.late)/float64(f.calls), ShouldBeLessThan, failures+0.03)
		})
	}
}
