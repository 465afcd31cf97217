// Package slotqueue is the queue in front of one endpoint. It decides which calls
// the endpoint executes, which wait, and which are rejected immediately. The user
// of the package is the only sender to the endpoint, so the count of slots in use
// is exact. The package does no I/O and takes the time as an argument.
//
// It is made for an endpoint with a fixed number of slots that gets more calls
// than it can execute within their latency targets. It keeps the slots busy with
// calls that can still meet their target and rejects the others early enough for
// a client retry.
package slotqueue

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// minServiceTimeFraction times the mean service time is the shortest time in
	// which a call is expected to finish. Service times vary by about a third
	// around their mean on the users' services.
	minServiceTimeFraction = 0.6
	// targetMargin times the mean service time must fit into what remains of the
	// latency target for a call to count as one that meets it, because service
	// times vary by about a third around their mean.
	targetMargin = 4.0 / 3
	// maxLateFraction limits the waiting calls that miss their latency target, as a
	// fraction of the slots, so that a long queue of late calls does not keep its
	// callers waiting.
	maxLateFraction = 0.5
	// minRetryAfterFraction and maxRetryAfterFraction bound the retry-after of a
	// rejected call, as fractions of the time to its deadline. Clients follow a
	// retry-after of at most a third of that time; the random spread keeps calls
	// that were rejected together from being retried together.
	minRetryAfterFraction = 0.15
	maxRetryAfterFraction = 0.33
	// maxExpectedRetryFraction bounds the part of the retry-after that is the expected
	// queueing delay. What remains up to maxRetryAfterFraction is the random spread.
	maxExpectedRetryFraction = (minRetryAfterFraction + maxRetryAfterFraction) / 2
	// minClientShare is the share of the slots that nested calls leave to calls of
	// clients which can meet their latency target. The requirements reserve a
	// minimum share of 0.2 for other calls beside urgent ones.
	minClientShare = 0.2
	// newSampleWeight is the weight of a new service time in the exponential
	// moving average.
	newSampleWeight = 0.1
	// meanMaxAge is the time without samples after which a mean is not used any
	// more, so that a gate that rejected all calls after a slow phase tries again.
	meanMaxAge = 5 * time.Second
	// staleMeanSamples is the number of samples that a mean older than meanMaxAge
	// still counts for, so that one unusual service time does not replace it.
	staleMeanSamples = 2
	// minMeanSamples is the number of service times from which a mean is reported.
	// Some responses need no work and take a hundredth of the time of the others.
	minMeanSamples = 5
)

// Class groups calls with similar service times.
type Class struct {
	Kind routeplan.Kind
	// Rank is that of the route, whoever makes the call.
	Rank   uint8
	Nested bool
}

// Call is a call that asks for a slot.
type Call struct {
	Class Class
	// Rank orders the calls; Workspace is the workspace whose share of the slots the call
	// uses, empty if there is none.
	Rank      uint8
	Workspace mesh.WorkspaceName
	// TargetBy is when the latency target ends, after which the answer no longer
	// has its full value; DeadlineBy is when the caller stops waiting.
	TargetBy   boottime.Time
	DeadlineBy boottime.Time
	// Preparing is set for a call that cannot start yet, such as one whose body is
	// still at another host. It takes its place in the queue but gets no slot
	// before MarkPrepared is called, which is expected at ReadyBy.
	Preparing bool
	ReadyBy   boottime.Time
}

// Ticket is a call that waits for a slot or has one.
type Ticket struct {
	call Call
	// arrival is the position of the call in the order of arrival.
	arrival uint64
	share   *share
	// ready receives true with a slot and false with a rejection.
	ready     chan bool
	waiting   bool
	preparing bool
	hasSlot   bool
	reason    string
	// retryAfter is set with the reason of a call that others have overtaken.
	retryAfter time.Duration
}

// Ready delivers one value: true when the call got a slot, false when it was
// rejected for Reason.
func (t *Ticket) Ready() <-chan bool { return t.ready }

// Reason says why a waiting call was rejected. It is set before Ready delivers.
func (t *Ticket) Reason() string { return t.reason }

// RetryAfter is the time after which a client retry of a rejected call may find a free
// slot, 0 when unknown.
func (t *Ticket) RetryAfter() time.Duration { return t.retryAfter }

// Rejection is the reason of a rejection and the time after which a client retry
// may find a free slot.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
}

// Queue is the queue of one endpoint. It is safe for concurrent use.
type Queue struct {
	mu          sync.Mutex
	slots       int
	running     int
	nested      int
	waiting     []*Ticket
	closeReason string
	// arrivals counts the calls offered.
	arrivals    uint64
	means       map[Class]*movingAverage
	overallMean movingAverage
	fair        fairness
	random      func() float64
	// hasResponse is set when the endpoint has named a rate of starts or none.
	hasResponse bool
	// limit is nil while the endpoint names no rate of starts.
	limit *startLimit
	// wake has Dispatch called after a time; nil means that the user calls it. The next
	// call is due at wakeAt.
	wake   func(after time.Duration)
	wakeAt boottime.Time
}

// movingAverage is the exponential moving average of service times.
type movingAverage struct {
	value     float64
	samples   int
	updatedAt boottime.Time
}

func (m *movingAverage) add(serviceTime time.Duration, now boottime.Time) {
	if now-m.updatedAt > meanMaxAge {
		m.samples = min(m.samples, staleMeanSamples)
	}
	m.samples++
	weight := max(newSampleWeight, 1/float64(m.samples))
	m.value += weight * (float64(serviceTime) - m.value)
	m.updatedAt = now
}

// valueAt returns the mean, 0 when it is unknown or older than meanMaxAge.
func (m *movingAverage) valueAt(now boottime.Time) time.Duration {
	if m.samples == 0 || now-m.updatedAt > meanMaxAge {
		return 0
	}
	return time.Duration(m.value)
}

// New returns the queue of an endpoint with the given number of slots. The function random
// returns numbers from 0 to 1, which spread the retry-after of rejections.
func New(slots int, random func() float64) *Queue {
	return &Queue{slots: slots, means: map[Class]*movingAverage{}, fair: newFairness(), random: random}
}

// SetWake sets the function that has Dispatch called after a time. It must be set before
// the first call is offered, and must not block.
func (q *Queue) SetWake(wake func(after time.Duration)) { q.wake = wake }

// Offer asks for a slot. It returns a ticket that has a slot or waits for one, or
// a rejection. A slot must be released with Release.
func (q *Queue) Offer(c Call, now boottime.Time) (*Ticket, *Rejection) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closeReason != "" {
		return nil, &Rejection{Reason: q.closeReason}
	}
	share := q.fair.offered(&c, now)
	serviceTime := q.classMean(c.Class, now)
	if c.DeadlineBy-now < time.Duration(minServiceTimeFraction*float64(serviceTime)) || c.DeadlineBy <= now {
		return nil, &Rejection{Reason: call.ReasonCannotFinishInTime}
	}
	q.arrivals++
	t := &Ticket{call: c, arrival: q.arrivals, share: share, ready: make(chan bool, 1), preparing: c.Preparing}
	if !c.Preparing && q.nextToStart(now) < 0 && q.mayStart(now) {
		q.grantSlot(t, now)
		return t, nil
	}
	aheadOfOwn, rejection := q.checkDelay(t, serviceTime, now)
	if rejection != nil {
		return nil, rejection
	}
	t.waiting = true
	t.share.waiting++
	if !t.preparing {
		t.share.waitForSlot(aheadOfOwn, now)
	}
	q.waiting = append(q.waiting, t)
	q.dispatch(now)
	return t, nil
}

// checkDelay rejects a call whose expected queueing delay is too long for its
// deadline or its latency target. It returns the number of ready calls of its share
// that start before it.
func (q *Queue) checkDelay(t *Ticket, serviceTime time.Duration, now boottime.Time) (aheadOfOwn int, rejection *Rejection) {
	ahead, aheadOfOwn, late := q.countAhead(t, now)
	delay := q.queueingDelay(ahead, now)
	if t.call.Workspace != "" {
		delay = max(delay, t.share.delay(aheadOfOwn, now))
	}
	start := max(now+delay, t.call.ReadyBy)
	if start+serviceTime > t.call.DeadlineBy {
		return aheadOfOwn, q.rejectFull(t, delay, now)
	}
	if t.call.Class.Nested {
		return aheadOfOwn, nil
	}
	if q.isLate(t, now) {
		if ahead > late || float64(late) >= maxLateFraction*float64(q.slots) {
			return aheadOfOwn, q.rejectFull(t, delay, now)
		}
		return aheadOfOwn, nil
	}
	if start+time.Duration(targetMargin*float64(serviceTime)) > t.call.TargetBy {
		return aheadOfOwn, q.rejectFull(t, delay, now)
	}
	return aheadOfOwn, nil
}

// rejectFull returns the rejection by a queue that is too long for the call, with a
// random retry-after. A call of a workspace is not asked back before its share is expected
// to get a slot.
func (q *Queue) rejectFull(t *Ticket, delay time.Duration, now boottime.Time) *Rejection {
	remaining := float64(t.call.DeadlineBy - now)
	lowest := minRetryAfterFraction
	if t.call.Workspace != "" {
		lowest = min(max(lowest, float64(delay)/remaining), maxExpectedRetryFraction)
	}
	fraction := lowest + (maxRetryAfterFraction-lowest)*q.random()
	return &Rejection{Reason: call.ReasonGateFull, RetryAfter: time.Duration(remaining * fraction)}
}

// queueingDelay estimates the time until a call with the given number of calls
// ahead of it starts. Slots in use by nested calls do not count, because further
// nested calls take them while such calls arrive.
func (q *Queue) queueingDelay(ahead int, now boottime.Time) time.Duration {
	slots := max(1, q.slots-q.nested)
	free := max(0, q.slots-q.running)
	delay := time.Duration(float64(max(0, ahead+1-free)) * float64(q.overallMean.valueAt(now)) / float64(slots))
	if q.limit != nil {
		q.limit.refill(now)
		delay = max(delay, q.limit.delay(ahead+1))
	}
	return delay
}

// isLate reports whether the call would miss its latency target if it started now.
func (q *Queue) isLate(t *Ticket, now boottime.Time) bool {
	return now+q.classMean(t.call.Class, now) > t.call.TargetBy
}

// goesBefore reports whether a starts before b. Nested calls go first, because
// their callers hold slots, unless nested calls have reached their limit; then
// calls that can meet their latency target; then by rank; then by the virtual
// times of workspaces; then by target, which puts client retries before new calls.
func (q *Queue) goesBefore(a, b *Ticket, now boottime.Time) bool {
	if a.call.Class.Nested != b.call.Class.Nested {
		client := a
		if a.call.Class.Nested {
			client = b
		}
		clientFirst := q.nestedAtLimit() && !q.isLate(client, now)
		return a.call.Class.Nested != clientFirst
	}
	if lateA, lateB := q.isLate(a, now), q.isLate(b, now); lateA != lateB {
		return lateB
	}
	if a.call.Rank != b.call.Rank {
		return a.call.Rank < b.call.Rank
	}
	if a.share != b.share {
		if startA, startB := a.share.virtualStart(), b.share.virtualStart(); startA != startB {
			return startA < startB
		}
	}
	if a.call.TargetBy != b.call.TargetBy {
		return a.call.TargetBy < b.call.TargetBy
	}
	return a.arrival < b.arrival
}

// nestedAtLimit reports whether nested calls use all slots, or all starts, but the minimum
// share of calls of clients, so that a call of a client goes next.
func (q *Queue) nestedAtLimit() bool {
	if q.limit != nil && q.limit.nestedShare >= 1-minClientShare {
		return true
	}
	return float64(q.nested) >= (1-minClientShare)*float64(q.slots)
}

// classMean returns the mean service time of a class, 0 when it is unknown.
func (q *Queue) classMean(c Class, now boottime.Time) time.Duration {
	if m := q.means[c]; m != nil {
		return m.valueAt(now)
	}
	return 0
}

func (q *Queue) grantSlot(t *Ticket, now boottime.Time) {
	q.recordStart(t, t.waiting, now)
	t.waiting, t.hasSlot = false, true
	q.running++
	if q.limit != nil {
		q.limit.spend(t.call.Class.Nested)
	}
	if t.call.Class.Nested {
		q.nested++
	}
	t.ready <- true
}

// nextToStart returns the index of the waiting call that gets the next slot, or -1
// when none can start.
func (q *Queue) nextToStart(now boottime.Time) int {
	best := -1
	for i, t := range q.waiting {
		if !t.preparing && (best < 0 || q.goesBefore(t, q.waiting[best], now)) {
			best = i
		}
	}
	return q.reservedStart(best, now)
}

// MarkPrepared marks a preparing call as ready to get a slot.
func (q *Queue) MarkPrepared(t *Ticket, now boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.waiting && t.preparing {
		t.share.waitForSlot(t.share.ready, now)
	}
	t.preparing = false
	q.dispatch(now)
}

// dispatch gives the free slots to waiting calls and rejects those that can no
// longer finish before their deadline.
func (q *Queue) dispatch(now boottime.Time) {
	defer q.wakeForStart(now)
	defer q.rejectOvertaken(now)
	for q.mayStart(now) {
		best := q.nextToStart(now)
		if best < 0 {
			return
		}
		t := q.waiting[best]
		q.removeWaiting(best)
		serviceTime := q.classMean(t.call.Class, now)
		if t.call.DeadlineBy-now < time.Duration(minServiceTimeFraction*float64(serviceTime)) {
			q.reject(t, call.ReasonCannotFinishInTime)
			continue
		}
		q.grantSlot(t, now)
	}
}

func (q *Queue) removeWaiting(i int) {
	q.waiting[i].leaveQueue()
	last := len(q.waiting) - 1
	q.waiting[i] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
}

func (q *Queue) reject(t *Ticket, reason string) {
	t.waiting, t.reason = false, reason
	t.ready <- false
}

// Cancel cancels a waiting call. It reports false when the call does not wait any
// more; a slot that it got must then be released with Release.
func (q *Queue) Cancel(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.waiting {
		return false
	}
	for i, other := range q.waiting {
		if other == t {
			q.removeWaiting(i)
			break
		}
	}
	t.waiting = false
	return true
}

// Release releases a slot. ServiceTime is how long the endpoint took to execute the
// call, or 0 when this is no sample of its service time.
func (q *Queue) Release(t *Ticket, serviceTime time.Duration, now boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.hasSlot {
		return
	}
	t.hasSlot = false
	q.running--
	t.share.running--
	if t.call.Class.Nested {
		q.nested--
	}
	if serviceTime > 0 {
		m := q.means[t.call.Class]
		if m == nil {
			m = &movingAverage{}
			q.means[t.call.Class] = m
		}
		m.add(serviceTime, now)
		q.overallMean.add(serviceTime, now)
	}
	q.dispatch(now)
}

// LatestStart returns the time after which a waiting call is not expected to
// finish before its deadline.
func (q *Queue) LatestStart(t *Ticket, now boottime.Time) boottime.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return t.call.DeadlineBy - time.Duration(minServiceTimeFraction*float64(q.classMean(t.call.Class, now)))
}

// Close rejects all waiting calls and all later ones for the reason.
func (q *Queue) Close(reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeReason = reason
	for _, t := range q.waiting {
		t.leaveQueue()
		q.reject(t, reason)
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

// Load returns the numbers of running and waiting calls.
func (q *Queue) Load() call.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return call.Load{Running: q.running, Waiting: len(q.waiting)}
}

// ClassServiceTime is the mean service time of the calls of a class.
type ClassServiceTime struct {
	Class Class
	Mean  time.Duration
}

// ClassServiceTimes returns the mean service times of the classes that are known.
func (q *Queue) ClassServiceTimes(now boottime.Time) []ClassServiceTime {
	q.mu.Lock()
	defer q.mu.Unlock()
	var means []ClassServiceTime
	for class, m := range q.means {
		if mean := m.valueAt(now); mean > 0 && m.samples >= minMeanSamples {
			means = append(means, ClassServiceTime{class, mean})
		}
	}
	return means
}

// ClassServiceTime returns the mean service time of the calls of a class, 0 when it is
// unknown or rests on fewer calls than minMeanSamples.
func (q *Queue) ClassServiceTime(c Class, now boottime.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m := q.means[c]; m != nil && m.samples >= minMeanSamples {
		return m.valueAt(now)
	}
	return 0
}

// MeanServiceTime returns the mean service time of all calls, 0 when it is unknown
// or rests on fewer calls than minMeanSamples.
func (q *Queue) MeanServiceTime(now boottime.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.overallMean.samples < minMeanSamples {
		return 0
	}
	return q.overallMean.valueAt(now)
}
