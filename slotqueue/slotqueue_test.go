package slotqueue_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const ms = time.Millisecond

func class(rank uint8, nested bool) slotqueue.Class {
	return slotqueue.Class{Kind: routeplan.Idempotent, Rank: rank, Nested: nested}
}

func work(rank uint8, nested bool, now, target, deadline time.Duration) slotqueue.Work {
	return slotqueue.Work{Class: class(rank, nested), TargetBy: now + target, DeadlineBy: now + deadline}
}

func granted(t *slotqueue.Ticket) bool {
	select {
	case ok := <-t.Ready():
		return ok
	default:
		return false
	}
}

// busy returns a queue whose slots are all in use and whose mean run time is run.
func busy(slots int, run time.Duration, now time.Duration) (*slotqueue.Queue, []*slotqueue.Ticket) {
	q := slotqueue.New(slots)
	for _, nested := range []bool{false, true} {
		for rank := range uint8(3) {
			t, _ := q.Offer(work(rank, nested, now, time.Second, time.Minute), now)
			q.Done(t, run, now)
		}
	}
	var held []*slotqueue.Ticket
	for range slots {
		t, _ := q.Offer(work(0, false, now, time.Second, time.Minute), now)
		held = append(held, t)
	}
	return q, held
}

// Guards against an endpoint that gets more calls than it has slots, and against
// slots that are lost.
func TestSlotsAreExact(t *testing.T) {
	Convey("three slots", t, func() {
		q, held := busy(3, 100*ms, 0)
		So(q.Load(), ShouldResemble, call.Load{Running: 3})
		waiting, refusal := q.Offer(work(0, false, 0, time.Second, time.Second), 0)
		So(refusal, ShouldBeNil)
		So(granted(waiting), ShouldBeFalse)
		q.Done(held[0], 100*ms, 0)
		q.Done(held[0], 100*ms, 0)
		So(granted(waiting), ShouldBeTrue)
		So(q.Load(), ShouldResemble, call.Load{Running: 3})
		Convey("a withdrawn call takes no slot", func() {
			other, _ := q.Offer(work(0, false, 0, time.Second, time.Second), 0)
			So(q.Withdraw(other), ShouldBeTrue)
			So(q.Withdraw(other), ShouldBeFalse)
			q.Done(held[1], 0, 0)
			So(q.Load(), ShouldResemble, call.Load{Running: 2})
		})
		Convey("a closed queue refuses those that wait and those that come", func() {
			other, _ := q.Offer(work(0, false, 0, time.Second, time.Second), 0)
			q.Close(call.ReasonLeaving)
			So(<-other.Ready(), ShouldBeFalse)
			So(other.Reason(), ShouldEqual, call.ReasonLeaving)
			_, refusal := q.Offer(work(0, false, 0, time.Second, time.Second), 0)
			So(refusal.Reason, ShouldEqual, call.ReasonLeaving)
		})
	})
}

// Guards against slots that are held by calls which cannot start yet, and against
// such calls that lose their place or are accepted in vain.
func TestCallThatIsNotReadyHoldsNoSlot(t *testing.T) {
	Convey("one slot, runs of 100 ms", t, func() {
		q, held := busy(1, 100*ms, 0)
		preparing := func(readyBy, target time.Duration) (*slotqueue.Ticket, *slotqueue.Refusal) {
			w := work(0, false, 0, target, 2*time.Second)
			w.Preparing, w.ReadyBy = true, readyBy
			return q.Offer(w, 0)
		}
		first, refusal := preparing(300*ms, time.Second)
		So(refusal, ShouldBeNil)
		So(q.Load(), ShouldResemble, call.Load{Running: 1, Waiting: 1})
		Convey("others start while it is prepared", func() {
			q.Done(held[0], 100*ms, 0)
			other, refusal := q.Offer(work(2, false, 0, time.Second, time.Second), 0)
			So(refusal, ShouldBeNil)
			So(granted(other), ShouldBeTrue)
			q.Done(other, 100*ms, 0)
			So(granted(first), ShouldBeFalse)
			q.Prepared(first, 0)
			So(granted(first), ShouldBeTrue)
		})
		Convey("it keeps its place", func() {
			other, refusal := q.Offer(work(0, false, 0, time.Second, time.Second), 0)
			So(refusal, ShouldBeNil)
			q.Prepared(first, 0)
			q.Done(held[0], 100*ms, 0)
			So(granted(first), ShouldBeTrue)
			So(granted(other), ShouldBeFalse)
		})
		Convey("it is refused at once when it would be ready too late", func() {
			_, refusal := preparing(950*ms, time.Second)
			So(refusal.Reason, ShouldEqual, call.ReasonFull)
		})
		Convey("it is refused when the endpoint leaves", func() {
			q.Close(call.ReasonLeaving)
			q.Prepared(first, 0)
			So(<-first.Ready(), ShouldBeFalse)
		})
	})
}

// Guards against urgent work behind other work, and against calls whose callers
// hold slots behind new ones.
func TestOrderOfWaitingCalls(t *testing.T) {
	Convey("one slot, calls of several kinds", t, func() {
		q, held := busy(1, 100*ms, 0)
		offer := func(rank uint8, nested bool, target time.Duration) *slotqueue.Ticket {
			ticket, refusal := q.Offer(work(rank, nested, 0, target, time.Hour), 0)
			So(refusal, ShouldBeNil)
			return ticket
		}
		bulk := offer(2, false, time.Hour)
		urgentLater := offer(0, false, time.Hour)
		urgentSooner := offer(0, false, time.Minute)
		nested := offer(1, true, time.Second)
		last := held[0]
		for _, next := range []*slotqueue.Ticket{nested, urgentSooner, urgentLater, bulk} {
			q.Done(last, 100*ms, 0)
			So(granted(next), ShouldBeTrue)
			last = next
		}
	})
}

// Guards against calls of clients that get no slot while nested calls would fill all
// of them.
func TestNestedCallsLeaveAFloorToOthers(t *testing.T) {
	Convey("ten slots, more nested calls and calls of clients than they run", t, func() {
		q := slotqueue.New(10)
		var running []*slotqueue.Ticket
		got := map[bool]int{}
		kinds := map[*slotqueue.Ticket]bool{}
		for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
			for _, nested := range []bool{true, false} {
				if ticket, refusal := q.Offer(work(0, nested, now, time.Second, 2*time.Second), now); refusal == nil {
					kinds[ticket] = nested
				}
			}
			for ticket, nested := range kinds {
				if granted(ticket) {
					delete(kinds, ticket)
					running = append(running, ticket)
					got[nested]++
				}
			}
			// One call in 10 ms ends: each runs for 100 ms.
			if len(running) == 10 {
				q.Done(running[0], 100*ms, now)
				running = running[1:]
			}
		}
		// The brief's floor for other work is 0.2.
		So(float64(got[false])/float64(got[true]+got[false]), ShouldBeBetween, 0.19, 0.3)
	})
}

// Guards against callers that are held although they cannot be served.
func TestHopelessCallsAreRefusedAtOnce(t *testing.T) {
	Convey("a full endpoint with runs of 100 ms", t, func() {
		q, _ := busy(2, 100*ms, 0)
		Convey("too little time for a run", func() {
			_, refusal := q.Offer(work(0, false, 0, 50*ms, 50*ms), 0)
			So(refusal.Reason, ShouldEqual, call.ReasonTooLate)
		})
		Convey("a queue that is too long for the target names a time to return", func() {
			var refusal *slotqueue.Refusal
			n := 0
			for ; refusal == nil; n++ {
				_, refusal = q.Offer(work(0, false, 0, 400*ms, time.Second), 0)
			}
			So(refusal.Reason, ShouldEqual, call.ReasonFull)
			So(refusal.RetryAfter, ShouldBeBetween, 100*ms, 334*ms)
			So(n, ShouldBeBetween, 3, 8)
		})
		Convey("a mean that is old does not refuse for ever", func() {
			_, refusal := q.Offer(work(0, false, time.Minute, 50*ms, 50*ms), time.Minute)
			So(refusal, ShouldBeNil)
		})
	})
}

// player plays a load against a queue on a simulated clock, with clients that
// return once when refused.
type player struct {
	q       *slotqueue.Queue
	now     time.Duration
	events  []event
	inTime  map[uint8]int
	late    map[uint8]int
	offered map[uint8]int
	held    time.Duration
	failed  int
	// overdue counts the answers after the deadline.
	overdue int
}

type event struct {
	at time.Duration
	do func()
}

func (p *player) at(at time.Duration, do func()) {
	i := len(p.events)
	p.events = append(p.events, event{at, do})
	for i > 0 && p.events[i-1].at > at {
		p.events[i] = p.events[i-1]
		i--
	}
	p.events[i] = event{at, do}
}

func (p *player) run() {
	for len(p.events) > 0 {
		next := p.events[0]
		p.events = p.events[1:]
		p.now = next.at
		next.do()
	}
}

// ask offers a call of a client that first asked at the time first.
func (p *player) ask(rank uint8, first, target, deadline, run time.Duration, again bool) {
	w := slotqueue.Work{Class: class(rank, false), TargetBy: first + target, DeadlineBy: first + deadline}
	ticket, refusal := p.q.Offer(w, p.now)
	if refusal != nil {
		p.refused(rank, first, target, deadline, run, again, refusal.RetryAfter)
		return
	}
	asked := p.now
	p.wait(ticket, func(ok bool) {
		if !ok {
			p.held = max(p.held, p.now-asked)
			p.refused(rank, first, target, deadline, run, again, 0)
			return
		}
		p.at(p.now+run, func() {
			p.q.Done(ticket, run, p.now)
			switch {
			case p.now <= first+target:
				p.inTime[rank]++
			case p.now <= first+deadline:
				p.late[rank]++
			default:
				p.overdue++
			}
		})
	})
}

func (p *player) refused(rank uint8, first, target, deadline, run time.Duration, again bool, after time.Duration) {
	if again || after == 0 {
		p.failed++
		return
	}
	p.at(p.now+after, func() { p.ask(rank, first, target, deadline, run, true) })
}

// wait polls the ticket, as the simulation has one thread.
func (p *player) wait(t *slotqueue.Ticket, then func(bool)) {
	select {
	case ok := <-t.Ready():
		then(ok)
		return
	default:
	}
	if latest := p.q.LatestStart(t, p.now); p.now >= latest && p.q.Withdraw(t) {
		then(false)
		return
	}
	p.at(p.now+ms, func() { p.wait(t, then) })
}

// play offers calls evenly for the duration and returns the player at the end.
func play(slots int, run time.Duration, load map[uint8]float64, duration time.Duration) *player {
	p := &player{q: slotqueue.New(slots), inTime: map[uint8]int{}, late: map[uint8]int{}, offered: map[uint8]int{}}
	capacity := float64(slots) / run.Seconds()
	for rank, share := range load {
		gap := time.Duration(float64(time.Second) / (share * capacity))
		for i, at := 0, time.Duration(rank)*ms; at < duration; i, at = i+1, at+gap {
			// Run times from 0.6 to 1.4 of the mean, in a fixed pattern.
			r := time.Duration(float64(run) * (0.6 + 0.1*float64((i*7)%9)))
			p.offered[rank]++
			p.at(at, func() { p.ask(rank, p.now, 500*ms, 1200*ms, r, false) })
		}
	}
	p.run()
	return p
}

// Guards against a flood that makes all answers late: at twice the capacity the
// slots must go on to be used for answers within their target. The bound is four
// fifths of the capacity, the floor that the project's gate has to keep.
func TestFloodOfOneKindKeepsAnswersWithinTheirTarget(t *testing.T) {
	Convey("18 slots, runs of 200 ms, twice the capacity for 6 s, then none", t, func() {
		p := play(18, 200*ms, map[uint8]float64{0: 2}, 6*time.Second)
		capacity := 18 * 6 * 5
		So(p.inTime[0], ShouldBeGreaterThanOrEqualTo, capacity*4/5)
		So(p.inTime[0]+p.late[0]+p.failed+p.overdue, ShouldEqual, p.offered[0])
		So(p.overdue, ShouldBeLessThanOrEqualTo, p.offered[0]/100)
	})
	Convey("below the capacity nothing is refused or late", t, func() {
		p := play(18, 200*ms, map[uint8]float64{0: 0.9}, 6*time.Second)
		So(p.inTime[0], ShouldEqual, p.offered[0])
	})
}

// Guards against urgent work that suffers in a flood of less urgent work.
func TestUrgentWorkIsWholeInAFloodOfOtherWork(t *testing.T) {
	Convey("urgent work at 0.6 of the capacity, other work at 1.5", t, func() {
		p := play(18, 200*ms, map[uint8]float64{0: 0.6, 1: 1.5}, 6*time.Second)
		So(p.inTime[0], ShouldBeGreaterThanOrEqualTo, p.offered[0]*99/100)
		// What is left of the capacity, less a fifth.
		So(p.inTime[1]+p.late[1], ShouldBeGreaterThanOrEqualTo, 18*6*5*4/10*4/5)
	})
}
