// Package slotqueue decides which calls an endpoint runs, which wait, and which
// are refused at once. The caller of the package is the only sender to the
// endpoint, so slot use is exact. The package does no I/O and takes the time as
// an argument.
//
// Load that it answers: an endpoint with a fixed number of slots that is offered
// more calls than it can run within their targets. It keeps the slots busy with
// calls whose answers still have their full worth, and refuses the rest while
// the caller has time to come back.
package slotqueue

import (
	"math/rand/v2"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// leastRun is the part of the mean run time that a call needs at least. Run
	// times spread by about a third around the mean on the users' services.
	leastRun = 0.6
	// targetMargin is the part of its mean run time that a call needs within its
	// target to be taken for one that meets it. Run times spread around the mean.
	targetMargin = 1.25
	// lateShare bounds the calls that wait past their target, in parts of the
	// slots, so that they cannot hold the callers of a long queue.
	lateShare = 0.5
	// retryLeast and retryMost are the parts of the caller's remaining time after
	// which a refused caller is told to return. Callers follow at most a third;
	// the spread keeps those refused together from returning together.
	retryLeast = 0.15
	retryMost  = 0.33
	// otherShare is the share of the slots that nested calls leave to calls of
	// clients which can meet their target. The brief keeps a floor of 0.2 for other
	// work beside urgent work.
	otherShare = 0.2
	// smoothing is the weight of a new run time in the mean.
	smoothing = 0.1
	// forgetAfter is the time without samples after which a mean is not used. A
	// gate that refused everything after a slow phase then tries again.
	forgetAfter = 5 * time.Second
	// staleSamples is the weight, in samples, of a mean that was not used for a
	// while, so that one unusual run time does not take its place.
	staleSamples = 2
	// leastSamples is the number of run times from which a mean is reported. Some
	// answers need no work and take a hundredth of the others.
	leastSamples = 5
)

// Class groups calls with similar run times.
type Class struct {
	Kind   routeplan.Kind
	Rank   uint8
	Nested bool
}

// Work is a call that asks for a slot.
type Work struct {
	Class Class
	// TargetBy is when the answer loses its full worth, DeadlineBy when the
	// caller gives up.
	TargetBy   boottime.Time
	DeadlineBy boottime.Time
	// Preparing is set for a call that cannot start yet, such as one whose body is
	// still at another host. It takes its place in the queue and holds no slot
	// until Prepared. ReadyBy is when that is expected.
	Preparing bool
	ReadyBy   boottime.Time
}

// Ticket is a call that waits for a slot or holds one.
type Ticket struct {
	work Work
	// number orders tickets by their arrival.
	number uint64
	// ready receives true with a slot and false with a refusal.
	ready     chan bool
	waiting   bool
	preparing bool
	holds     bool
	reason    string
}

// Ready delivers one value: true when the call got a slot, false when it was
// refused for Reason.
func (t *Ticket) Ready() <-chan bool { return t.ready }

// Reason says why a waiting call was refused. It is set before Ready delivers.
func (t *Ticket) Reason() string { return t.reason }

// Refusal is the reason of a refusal and the time after which the caller may
// find room.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Queue is the queue of one endpoint. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	slots   int
	running int
	nested  int
	waiting []*Ticket
	closed  string
	// arrivals counts the calls offered.
	arrivals uint64
	means    map[Class]*mean
	overall  mean
	random   func() float64
}

type mean struct {
	value   float64
	samples int
	at      boottime.Time
}

func (m *mean) add(run time.Duration, now boottime.Time) {
	if now-m.at > forgetAfter {
		m.samples = min(m.samples, staleSamples)
	}
	m.samples++
	weight := max(smoothing, 1/float64(m.samples))
	m.value += weight * (float64(run) - m.value)
	m.at = now
}

func (m *mean) read(now boottime.Time) time.Duration {
	if m.samples == 0 || now-m.at > forgetAfter {
		return 0
	}
	return time.Duration(m.value)
}

// New returns the queue of an endpoint with the given number of slots.
func New(slots int) *Queue {
	return &Queue{slots: slots, means: map[Class]*mean{}, random: rand.Float64}
}

// Offer asks for a slot. It returns a ticket that holds a slot or waits, or a
// refusal. A ticket with a slot must be given back with Done.
func (q *Queue) Offer(w Work, now boottime.Time) (*Ticket, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != "" {
		return nil, &Refusal{Reason: q.closed}
	}
	run := q.mean(w.Class, now)
	if w.DeadlineBy-now < time.Duration(leastRun*float64(run)) || w.DeadlineBy <= now {
		return nil, &Refusal{Reason: call.ReasonTooLate}
	}
	q.arrivals++
	t := &Ticket{work: w, number: q.arrivals, ready: make(chan bool, 1), preparing: w.Preparing}
	if q.running < q.slots && !w.Preparing && q.next(now) < 0 {
		q.start(t)
		return t, nil
	}
	if refusal := q.judge(t, run, now); refusal != nil {
		return nil, refusal
	}
	t.waiting = true
	q.waiting = append(q.waiting, t)
	q.dispatch(now)
	return t, nil
}

// judge refuses a call that would wait too long for its purpose.
func (q *Queue) judge(t *Ticket, run time.Duration, now boottime.Time) *Refusal {
	ahead, late := 0, 0
	for _, other := range q.waiting {
		if q.before(other, t, now) {
			ahead++
		}
		if q.late(other, now) {
			late++
		}
	}
	start := max(now+q.wait(ahead, now), t.work.ReadyBy)
	if start+run > t.work.DeadlineBy {
		return q.full(t, now)
	}
	if t.work.Class.Nested {
		return nil
	}
	if q.late(t, now) {
		if ahead > late || float64(late) >= lateShare*float64(q.slots) {
			return q.full(t, now)
		}
		return nil
	}
	if start+time.Duration(targetMargin*float64(run)) > t.work.TargetBy {
		return q.full(t, now)
	}
	return nil
}

func (q *Queue) full(t *Ticket, now boottime.Time) *Refusal {
	left := float64(t.work.DeadlineBy - now)
	part := retryLeast + (retryMost-retryLeast)*q.random()
	return &Refusal{Reason: call.ReasonFull, RetryAfter: time.Duration(left * part)}
}

// wait estimates the time until a call with the given number ahead of it starts.
// Slots of nested calls do not come free for others while nested calls arrive.
func (q *Queue) wait(ahead int, now boottime.Time) time.Duration {
	slots := max(1, q.slots-q.nested)
	free := max(0, q.slots-q.running)
	return time.Duration(float64(max(0, ahead+1-free)) * float64(q.overall.read(now)) / float64(slots))
}

// late reports whether the call would miss its target if it started now.
func (q *Queue) late(t *Ticket, now boottime.Time) bool {
	return now+q.mean(t.work.Class, now) > t.work.TargetBy
}

// before reports whether a goes before b: nested calls first, because their
// callers hold slots, unless they hold their share of the slots; then calls that
// can meet their target; then by rank; then by target, which puts returning
// callers before new ones.
func (q *Queue) before(a, b *Ticket, now boottime.Time) bool {
	if a.work.Class.Nested != b.work.Class.Nested {
		client := a
		if a.work.Class.Nested {
			client = b
		}
		clientFirst := q.floorOwed() && !q.late(client, now)
		return a.work.Class.Nested != clientFirst
	}
	if lateA, lateB := q.late(a, now), q.late(b, now); lateA != lateB {
		return lateB
	}
	if a.work.Class.Rank != b.work.Class.Rank {
		return a.work.Class.Rank < b.work.Class.Rank
	}
	if a.work.TargetBy != b.work.TargetBy {
		return a.work.TargetBy < b.work.TargetBy
	}
	return a.number < b.number
}

// floorOwed reports whether nested calls hold their share of the slots, so that a
// call of a client goes next.
func (q *Queue) floorOwed() bool {
	return float64(q.nested) >= (1-otherShare)*float64(q.slots)
}

func (q *Queue) mean(c Class, now boottime.Time) time.Duration {
	if m := q.means[c]; m != nil {
		return m.read(now)
	}
	return 0
}

func (q *Queue) start(t *Ticket) {
	t.waiting, t.holds = false, true
	q.running++
	if t.work.Class.Nested {
		q.nested++
	}
	t.ready <- true
}

// next returns the index of the waiting call that gets the next slot, -1 when
// none can start.
func (q *Queue) next(now boottime.Time) int {
	best := -1
	for i, t := range q.waiting {
		if !t.preparing && (best < 0 || q.before(t, q.waiting[best], now)) {
			best = i
		}
	}
	return best
}

// Prepared makes a preparing call ready for a slot.
func (q *Queue) Prepared(t *Ticket, now boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t.preparing = false
	q.dispatch(now)
}

func (q *Queue) dispatch(now boottime.Time) {
	for q.running < q.slots {
		best := q.next(now)
		if best < 0 {
			return
		}
		t := q.waiting[best]
		q.remove(best)
		run := q.mean(t.work.Class, now)
		if t.work.DeadlineBy-now < time.Duration(leastRun*float64(run)) {
			q.refuse(t, call.ReasonTooLate)
			continue
		}
		q.start(t)
	}
}

func (q *Queue) remove(i int) {
	last := len(q.waiting) - 1
	q.waiting[i] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
}

func (q *Queue) refuse(t *Ticket, reason string) {
	t.waiting, t.reason = false, reason
	t.ready <- false
}

// Withdraw takes a waiting call back. It reports false when the call does not
// wait any more; a slot that it got must then be given back with Done.
func (q *Queue) Withdraw(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.waiting {
		return false
	}
	for i, other := range q.waiting {
		if other == t {
			q.remove(i)
			break
		}
	}
	t.waiting = false
	return true
}

// Done gives a slot back. Run is the time that the call ran, or 0 when it says
// nothing about run times.
func (q *Queue) Done(t *Ticket, run time.Duration, now boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.holds {
		return
	}
	t.holds = false
	q.running--
	if t.work.Class.Nested {
		q.nested--
	}
	if run > 0 {
		m := q.means[t.work.Class]
		if m == nil {
			m = &mean{}
			q.means[t.work.Class] = m
		}
		m.add(run, now)
		q.overall.add(run, now)
	}
	q.dispatch(now)
}

// LatestStart is the time after which a waiting call cannot finish in time.
func (q *Queue) LatestStart(t *Ticket, now boottime.Time) boottime.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return t.work.DeadlineBy - time.Duration(leastRun*float64(q.mean(t.work.Class, now)))
}

// Close refuses all waiting calls and all later ones for the reason.
func (q *Queue) Close(reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = reason
	for _, t := range q.waiting {
		q.refuse(t, reason)
	}
	q.waiting = nil
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int, now boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.dispatch(now)
}

// Load returns the occupancy.
func (q *Queue) Load() call.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return call.Load{Running: q.running, Waiting: len(q.waiting)}
}

// MeanRun returns the mean run time of all calls, 0 when it is unknown or rests
// on few calls.
func (q *Queue) MeanRun(now boottime.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.overall.samples < leastSamples {
		return 0
	}
	return q.overall.read(now)
}
