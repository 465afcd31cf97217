package placement_test

import (
	"container/heap"
	"math/rand/v2"
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
	late  int
}

type gate struct {
	queue *slotqueue.Queue
	run   time.Duration
	taken int
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
			SameDomain: true, Slots: f.slots, Occupied: load.Running + load.Waiting, MeanRun: g.queue.MeanRun(f.now),
		}
	}
}

// call plays one call from a host to the answer. Run times spread by a third.
func (f *fleet) call(host int, target time.Duration) {
	i := placement.Choose(f.views[host], target, f.random.Float64)
	g := f.gates[i]
	f.views[host][i].Occupied++
	g.taken++
	f.calls++
	f.offer(g, target, time.Duration(float64(g.run)*(0.67+0.66*f.random.Float64())))
}

// offer runs a call at a gate and counts it when it is refused or late.
func (f *fleet) offer(g *gate, target, run time.Duration) {
	began := f.now
	ticket, refusal := g.queue.Offer(work(f.now+target), f.now)
	if refusal != nil {
		f.late++
		return
	}
	var poll func()
	poll = func() {
		select {
		case ok := <-ticket.Ready():
			if !ok {
				f.late++
				return
			}
			f.after(run, func() {
				g.queue.Done(ticket, run, f.now)
				if f.now-began > target {
					f.late++
				}
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
// rests on an answer that needed no work, after it has had no calls for a while.
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
			f.after(time.Duration(i)*10*ms, func() { f.offer(f.gates[i], target, 4*ms) })
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
			if placement.Choose(candidates, time.Second, random.Float64) == 0 {
				unknown++
			}
		}
		So(unknown, ShouldBeBetween, 100, 10000/15)
	})
}
