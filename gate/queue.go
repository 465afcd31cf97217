package gate

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// waiter is a call in the queue. The gate's lock guards it.
type waiter struct {
	call    Call
	arrived time.Time
	// latestStart is the time after which Acquire rejects the call; zero means never.
	latestStart time.Time
	// result receives the result of Acquire. Its buffer holds one, so that sending
	// never blocks. For Submit, deliver is called instead, without the lock.
	result  chan acquireResult
	deliver func(*Slot, error)
	// flow is the flow in which the call waits; nil when it no longer waits.
	flow       *flow
	prev, next *waiter
}

// flow holds the waiting calls of one customer in a lane, oldest first. It exists
// while calls of it wait or hold slots.
type flow struct {
	lane       *lane
	customer   mesh.CustomerID
	head, tail *waiter
	length     int
	running    int
	// deficit is the deficit counter of the round robin: the slot time that the flow
	// may use before its next turn, in units of the lane's expected service time.
	// Calls that took longer than expected make it negative, a debt.
	deficit    float64
	prev, next *flow
}

// lane schedules the calls of one rank, class and length by deficit round robin
// over the customers.
type lane struct {
	flows map[mesh.CustomerID]*flow
	// front is the flow whose turn it is, in a ring of the flows with waiting calls.
	front  *flow
	active int
	queued int
}

// quantum is the slot time that a flow receives with each turn: the expected
// service time of one call.
const quantum = 1.0

// maxDebt is the largest debt of a flow in quanta, so that one call of minutes does
// not exclude the customer for long.
const maxDebt = 50.0

func (l *lane) flowOf(customer mesh.CustomerID) *flow {
	if f, ok := l.flows[customer]; ok {
		return f
	}
	if l.flows == nil {
		l.flows = map[mesh.CustomerID]*flow{}
	}
	f := &flow{lane: l, customer: customer}
	l.flows[customer] = f
	return f
}

func (l *lane) push(w *waiter) {
	f := l.flowOf(w.call.Customer)
	w.flow, w.prev = f, f.tail
	if f.tail != nil {
		f.tail.next = w
	} else {
		f.head = w
		l.activate(f)
	}
	f.tail = w
	f.length++
	l.queued++
}

func (l *lane) remove(w *waiter) {
	f := w.flow
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		f.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		f.tail = w.prev
	}
	w.flow, w.prev, w.next = nil, nil, nil
	f.length--
	l.queued--
	if f.length == 0 {
		l.deactivate(f)
	}
}

// activate puts f at the end of the ring. A flow that had no waiting calls loses
// its credit but keeps its debt.
func (l *lane) activate(f *flow) {
	f.deficit = min(f.deficit, 0)
	l.active++
	if l.front == nil {
		f.prev, f.next = f, f
		l.front = f
		return
	}
	last := l.front.prev
	f.prev, f.next = last, l.front
	last.next, l.front.prev = f, f
}

func (l *lane) deactivate(f *flow) {
	l.active--
	if l.active == 0 {
		l.front = nil
	} else {
		f.prev.next, f.next.prev = f.next, f.prev
		if l.front == f {
			l.front = f.next
		}
	}
	f.prev, f.next = nil, nil
	l.dropIfUnused(f)
}

// dropIfUnused drops a flow without waiting or running calls.
func (l *lane) dropIfUnused(f *flow) {
	if f.length == 0 && f.running == 0 {
		delete(l.flows, f.customer)
	}
}

// first returns the call whose turn it is, or nil. It adds credit to flows but
// removes no call, so calling it again returns the same call.
func (l *lane) first() *waiter {
	if l.front == nil {
		return nil
	}
	for range l.active {
		if f := l.front; f.deficit < quantum {
			f.deficit += quantum
		}
		if l.front.deficit >= quantum {
			return l.front.head
		}
		l.front = l.front.next
	}
	l.skipRounds()
	return l.first()
}

// skipRounds gives all flows the quanta that the least indebted one needs. It
// replaces many rounds of the ring by one.
func (l *lane) skipRounds() {
	quanta := maxDebt
	for f, n := l.front, 0; n < l.active; f, n = f.next, n+1 {
		quanta = min(quanta, -f.deficit)
	}
	for f, n := l.front, 0; n < l.active; f, n = f.next, n+1 {
		f.deficit += max(quanta, 0)
	}
}

// dequeue removes w, the call that first returned, and charges its flow.
func (l *lane) dequeue(w *waiter) *flow {
	f := w.flow
	f.deficit -= quantum
	f.running++
	if f.deficit < quantum && l.front == f {
		l.front = f.next
	}
	l.remove(w)
	return f
}

// complete ends a call of f that used the given number of quanta.
func (f *flow) complete(quanta float64) {
	f.running--
	f.deficit = max(f.deficit-(quanta-quantum), -maxDebt)
	f.lane.dropIfUnused(f)
}

// longest returns the flow with the most waiting calls, or nil.
func (l *lane) longest() *flow {
	var longest *flow
	for f, n := l.front, 0; n < l.active; f, n = f.next, n+1 {
		if longest == nil || f.length > longest.length {
			longest = f
		}
	}
	return longest
}

// Classes of calls within a rank; the lengths below subdivide each class.
const (
	nested = iota
	root
	classes
)

const (
	short = iota
	long
	lengths
)

// queue holds the waiting calls of an endpoint.
type queue struct {
	lanes  [mesh.RankCount][classes][lengths]lane
	byRank [mesh.RankCount]int
	queued int
}

func classOf(call *Call) int {
	if call.Depth > 0 {
		return nested
	}
	return root
}

func lengthOf(call *Call) int {
	if call.Long {
		return long
	}
	return short
}

func (q *queue) laneOf(call *Call) *lane {
	return &q.lanes[call.Rank][classOf(call)][lengthOf(call)]
}

func (q *queue) push(w *waiter) {
	q.laneOf(&w.call).push(w)
	q.byRank[w.call.Rank]++
	q.queued++
}

func (q *queue) remove(w *waiter) {
	w.flow.lane.remove(w)
	q.byRank[w.call.Rank]--
	q.queued--
}

func (q *queue) dequeue(w *waiter) *flow {
	f := w.flow.lane.dequeue(w)
	q.byRank[w.call.Rank]--
	q.queued--
	return f
}

// first returns the next call of the rank: nested calls before roots, because a
// rejected nested call wastes the work already done for its root. If longAllowed
// is set, the first long call goes before the first short one when it arrived
// earlier.
func (q *queue) first(rank mesh.Rank, longAllowed bool) *waiter {
	if q.byRank[rank] == 0 {
		return nil
	}
	for class := range classes {
		w := q.lanes[rank][class][short].first()
		if longAllowed {
			l := q.lanes[rank][class][long].first()
			if w == nil || (l != nil && l.arrived.Before(w.arrived)) {
				w = l
			}
		}
		if w != nil {
			return w
		}
	}
	return nil
}

// newest returns the newest call of the flow with the most waiting calls in the
// class, or nil.
func (q *queue) newest(rank mesh.Rank, class int) *waiter {
	s, l := q.lanes[rank][class][short].longest(), q.lanes[rank][class][long].longest()
	if s == nil || (l != nil && l.length > s.length) {
		s = l
	}
	if s == nil {
		return nil
	}
	return s.tail
}
