// Package gate limits the concurrent calls to one endpoint. A gate counts the
// endpoint's slots exactly, queues calls by rank and customer, and rejects those
// that cannot be served in time. It does no I/O. One lock guards each gate; the
// load is read without it.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Gate is the concurrency limit and the queue in front of one endpoint. Its
// methods are safe for concurrent use.
type Gate struct {
	config  Config
	clock   func() time.Time
	metrics metric.Registration

	mu       sync.Mutex
	limits   lists.Service
	slots    int
	inUse    int
	draining bool
	drained  chan struct{}
	// longInUse and rankInUse are the parts of inUse held by long calls and by the
	// calls of each rank.
	longInUse int
	rankInUse [mesh.RankCount]int

	queue          queue
	othersReserved reservation
	// creditedUntil is the time up to which othersReserved and bulkReserved are
	// credited.
	creditedUntil time.Time
	uncharged     uncharged
	bulkReserved  reservation
	headroom      headroom
	shed          shedding
	// shedLimit is the number of slots to use while the endpoint sheds load.
	shedLimit int

	// serviceTimes holds the estimates by rank and length of calls.
	serviceTimes [mesh.RankCount][lengths]serviceEstimate
	delays       [mesh.RankCount]delayAverage
	usage        [mesh.RankCount]rankUsage
	// windowStart is the start of the current window of usage.
	windowStart time.Time
	counters    counters
	// afterUnlock holds functions to call after the lock is released.
	afterUnlock []func()

	published publishedLoad
}

// New returns a gate without calls.
func New(config Config) *Gate {
	g := &Gate{config: config, clock: config.Clock, limits: config.Service, slots: config.Slots, drained: make(chan struct{})}
	if g.clock == nil {
		g.clock = time.Now
	}
	if g.config.TargetDelay == 0 {
		g.config.TargetDelay = DefaultTargetDelay
	}
	g.counters.rejected = map[mesh.Reason]int64{}
	now := g.clock()
	g.windowStart, g.creditedUntil = now, now
	g.publish(now)
	g.register()
	return g
}

// Close removes the gate's metrics.
func (g *Gate) Close() error {
	if g.metrics == nil {
		return nil
	}
	return errors.Wrap(g.metrics.Unregister(), "gate: remove metrics")
}

type acquireResult struct {
	slot *Slot
	err  error
}

// Acquire waits for a slot until the call can no longer meet its deadline or ctx
// is done. The error is always a *Rejection; the call was not executed then.
func (g *Gate) Acquire(ctx context.Context, call Call) (*Slot, error) {
	now := g.clock()
	g.mu.Lock()
	if reason := contextReason(ctx); reason != "" {
		call.Rank = min(call.Rank, mesh.RankCount-1)
		return nil, g.rejectAndUnlock(&call, reason, now)
	}
	slot, w, err := g.admit(call, now)
	if w == nil {
		return slot, err
	}
	var deadline <-chan time.Time
	if !w.latestStart.IsZero() {
		timer := time.NewTimer(w.latestStart.Sub(now))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case o := <-w.result:
		return o.slot, o.err
	case <-deadline:
		return nil, g.cancel(w, mesh.ReasonDeadline)
	case <-ctx.Done():
		return nil, g.cancel(w, contextReason(ctx))
	}
}

func contextReason(ctx context.Context) mesh.Reason {
	switch err := ctx.Err(); {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return mesh.ReasonDeadline
	}
	return mesh.ReasonCancelled
}

// admit returns a slot that is free now, the waiter that it queued, or the
// rejection. The caller holds the lock; admit releases it.
func (g *Gate) admit(call Call, now time.Time) (*Slot, *waiter, error) {
	g.prepare(&call, now)
	if reason := g.rejectReason(&call, now); reason != "" {
		return nil, nil, g.rejectAndUnlock(&call, reason, now)
	}
	if g.queue.queued == 0 && g.canStart(&call) {
		slot := g.start(&call, nil, now, now)
		g.publishAndUnlock(now)
		return slot, nil, nil
	}
	w := &waiter{call: call, arrived: now, latestStart: g.latestStart(&call, now), result: make(chan acquireResult, 1)}
	if !g.enqueue(w, now) {
		return nil, nil, g.rejectAndUnlock(&call, mesh.ReasonQueueFull, now)
	}
	g.publishAndUnlock(now)
	return nil, w, nil
}

// Submit is Acquire for callers that do not block, such as a simulation. deliver
// receives the slot or the *Rejection once, possibly before Submit returns. cancel
// removes the call from the queue and reports whether it still waited; if so,
// deliver is not called.
func (g *Gate) Submit(call Call, deliver func(*Slot, error)) (cancel func(mesh.Reason) bool) {
	now := g.clock()
	g.mu.Lock()
	g.prepare(&call, now)
	if reason := g.rejectReason(&call, now); reason != "" {
		deliver(nil, g.rejectAndUnlock(&call, reason, now))
		return func(mesh.Reason) bool { return false }
	}
	w := &waiter{call: call, arrived: now, deliver: deliver}
	if !g.enqueue(w, now) {
		deliver(nil, g.rejectAndUnlock(&call, mesh.ReasonQueueFull, now))
		return func(mesh.Reason) bool { return false }
	}
	g.publishAndUnlock(now)
	return func(reason mesh.Reason) bool { return g.cancelWaiting(w, reason) }
}

// prepare brings the time-dependent state of the gate up to date for a new call and
// applies the policy to the call.
func (g *Gate) prepare(call *Call, now time.Time) {
	g.closeWindows(now)
	g.recoverShed(now)
	g.creditReservations(now)
	call.Rank = min(call.Rank, mesh.RankCount-1)
	if g.config.Policy == PolicyFIFO {
		call.Rank, call.Long = 0, false
	}
	if g.isDisabled(CustomerFairness) {
		call.Customer = ""
	}
	if g.isDisabled(NestedFirst) {
		call.Depth = 0
	}
	g.usage[call.Rank].offered++
}

// isDisabled reports whether a mechanism is disabled. PolicyFIFO uses none.
func (g *Gate) isDisabled(m Mechanisms) bool {
	return g.config.Policy == PolicyFIFO || g.config.Disabled&m != 0
}

// rejectReason returns why the call must be rejected now, or an empty reason.
func (g *Gate) rejectReason(call *Call, now time.Time) mesh.Reason {
	if g.draining {
		return mesh.ReasonDraining
	}
	if call.Deadline.IsZero() || g.isDisabled(DeadlineRejection) {
		return ""
	}
	wait := g.expectedWait(call.Rank, call.Long, g.callsAhead(call))
	if g.missesDeadline(call, now.Add(wait)) {
		return mesh.ReasonDeadline
	}
	return ""
}

// missesDeadline reports whether the call would miss its deadline if it started at
// the given time.
func (g *Gate) missesDeadline(call *Call, start time.Time) bool {
	if call.Deadline.IsZero() || g.isDisabled(DeadlineRejection) {
		return false
	}
	remaining := call.Deadline.Sub(start)
	return remaining <= 0 || remaining < g.serviceTimes[call.Rank][lengthOf(call)].lowerBound(start)
}

// latestStart returns the time after which a waiting call is rejected; zero means
// never.
func (g *Gate) latestStart(call *Call, now time.Time) time.Time {
	if call.Deadline.IsZero() || g.isDisabled(DeadlineRejection) {
		return call.Deadline
	}
	return call.Deadline.Add(-g.serviceTimes[call.Rank][lengthOf(call)].lowerBound(now))
}

// canStart reports whether a call may take a slot now if no other call waits.
func (g *Gate) canStart(call *Call) bool {
	if g.inUse >= g.limit() || (call.Long && !g.longAllowed()) {
		return false
	}
	return call.Rank == mesh.RankUrgent || !g.reservedForUrgent(call.Rank)
}

// enqueue adds w to the queue and gives free slots to waiting calls. It returns
// false when the queue is full and w must be rejected.
func (g *Gate) enqueue(w *waiter, now time.Time) bool {
	full := g.queue.queued >= g.limits.MaxQueue
	if full && g.canStart(&w.call) {
		// No waiting call may use the free slot, or it would have it already: w takes
		// the slot immediately and needs no place in the queue.
		full = false
	}
	if full {
		victim := g.victim(&w.call)
		if victim == nil {
			return false
		}
		g.queue.remove(victim)
		g.deliver(victim, nil, g.reject(&victim.call, mesh.ReasonQueueFull))
	}
	g.queue.push(w)
	g.dispatch(now)
	return true
}

// dispatch gives free slots to waiting calls.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.queued > 0 && g.inUse < g.limit() {
		w := g.nextCall()
		if w == nil {
			return
		}
		if g.missesDeadline(&w.call, now) {
			g.queue.remove(w)
			g.deliver(w, nil, g.reject(&w.call, mesh.ReasonDeadline))
			continue
		}
		f := g.queue.dequeue(w)
		g.deliver(w, g.start(&w.call, f, w.arrived, now), nil)
	}
}

// start gives a slot to a call that arrived at the given time.
func (g *Gate) start(call *Call, f *flow, arrived, now time.Time) *Slot {
	g.inUse++
	g.rankInUse[call.Rank]++
	if call.Long {
		g.longInUse++
	}
	g.counters.granted[call.Rank]++
	wait := now.Sub(arrived).Seconds()
	g.delays[call.Rank].observe(wait, now)
	if call.Rank == mesh.RankUrgent && !g.isDisabled(UrgentHeadroom) {
		g.headroom.observe(wait, g.serviceTimes[call.Rank][short].mean, g.limit(), g.allowsHeadroom(), now)
	}
	return &Slot{gate: g, flow: f, charge: g.charge(call.Rank, call.Long), granted: now, rank: call.Rank, long: call.Long}
}

// deliver passes the result to the waiter without blocking.
func (g *Gate) deliver(w *waiter, slot *Slot, err error) {
	if w.result != nil {
		w.result <- acquireResult{slot: slot, err: err}
		return
	}
	g.afterUnlock = append(g.afterUnlock, func() { w.deliver(slot, err) })
}

// reject counts a rejection and returns it as an error.
func (g *Gate) reject(call *Call, reason mesh.Reason) error {
	g.counters.rejected[reason]++
	if reason == mesh.ReasonQueueFull || reason == mesh.ReasonDeadline {
		g.usage[call.Rank].rejected++
	}
	return &Rejection{Reason: reason, Load: g.Load()}
}

// rejectAndUnlock rejects the call, publishes the load and releases the lock.
func (g *Gate) rejectAndUnlock(call *Call, reason mesh.Reason, now time.Time) error {
	g.publish(now)
	err := g.reject(call, reason)
	g.publishAndUnlock(now)
	return err
}

// publishAndUnlock publishes the load, releases the lock and calls the functions in
// afterUnlock.
func (g *Gate) publishAndUnlock(now time.Time) {
	g.publish(now)
	later := g.afterUnlock
	g.afterUnlock = nil
	g.mu.Unlock()
	for _, f := range later {
		f()
	}
}

// cancel removes w from the queue, or releases the slot that w got at the same
// moment.
func (g *Gate) cancel(w *waiter, reason mesh.Reason) error {
	if !g.cancelWaiting(w, reason) {
		if o := <-w.result; o.err != nil {
			return o.err
		} else {
			o.slot.Release(0)
		}
	}
	return &Rejection{Reason: reason, Load: g.Load()}
}

// cancelWaiting removes w from the queue and reports whether it still waited.
func (g *Gate) cancelWaiting(w *waiter, reason mesh.Reason) bool {
	now := g.clock()
	g.mu.Lock()
	isWaiting := w.flow != nil
	if isWaiting {
		g.queue.remove(w)
		g.counters.rejected[reason]++
		if reason == mesh.ReasonDeadline {
			g.usage[w.call.Rank].rejected++
		}
		// If w was the first of its lane, it may have blocked another call that can
		// start now.
		g.dispatch(now)
	}
	g.publishAndUnlock(now)
	return isWaiting
}
