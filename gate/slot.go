package gate

import (
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Slot is the permission to execute one call at the endpoint.
type Slot struct {
	gate     *Gate
	flow     *flow
	granted  time.Time
	charge   charge
	rank     mesh.Rank
	long     bool
	released atomic.Bool
}

// Release returns the slot to the gate. served is the service time of the call;
// zero means that it is not known, for example because the endpoint did not execute
// the call, and then the estimate of the service time is not updated. Further calls
// have no effect.
func (s *Slot) Release(served time.Duration) {
	if s.released.Swap(true) {
		return
	}
	g := s.gate
	now := g.clock()
	g.mu.Lock()
	g.closeWindows(now)
	g.recoverShed(now)
	g.creditReservations(now)
	g.inUse--
	g.rankInUse[s.rank]--
	if s.long {
		g.longInUse--
	}
	g.recordEnd(s, served, now)
	g.dispatch(now)
	g.closeIfDrained()
	g.publishAndUnlock(now)
}

// recordEnd records the service time and the slot time of a call that has ended.
func (g *Gate) recordEnd(s *Slot, served time.Duration, now time.Time) {
	held := now.Sub(s.granted)
	e := &g.serviceTimes[s.rank][lengthOf(&Call{Long: s.long})]
	if s.flow != nil {
		s.flow.complete(quantaOf(held, e.mean))
	}
	if served > 0 {
		e.observe(served.Seconds(), now)
	}
	if !s.long {
		g.usage[s.rank].slotSeconds += held.Seconds()
	}
	g.correctCharge(s, held)
}

// quantaOf returns the slot time of a call in quanta of the round robin.
func quantaOf(held time.Duration, mean float64) float64 {
	if mean <= 0 {
		return quantum
	}
	return held.Seconds() / mean
}

// Configure applies new limits of the service to waiting and later calls. If the
// queue is longer than a lowered MaxQueue, it shrinks as its calls get slots.
func (g *Gate) Configure(service lists.Service) {
	now := g.clock()
	g.mu.Lock()
	g.limits = service
	g.dispatch(now)
	g.publishAndUnlock(now)
}

// Resize changes the number of slots. When it is lowered, running calls in excess
// of it end normally.
func (g *Gate) Resize(slots int) {
	now := g.clock()
	g.mu.Lock()
	g.slots = slots
	g.recoverShed(now)
	g.dispatch(now)
	g.publishAndUnlock(now)
}

// Drain rejects waiting and later calls with mesh.ReasonDraining. Calls that
// hold a slot are not interrupted.
func (g *Gate) Drain() {
	now := g.clock()
	g.mu.Lock()
	if !g.draining {
		g.draining = true
		g.log(eventDraining, "running", g.inUse, "waiting", g.queue.queued)
		g.rejectWaiting()
		g.closeIfDrained()
	}
	g.publishAndUnlock(now)
}

func (g *Gate) rejectWaiting() {
	for rank := range g.queue.lanes {
		for class := range classes {
			for length := range lengths {
				l := &g.queue.lanes[rank][class][length]
				for l.front != nil {
					w := l.front.head
					g.queue.remove(w)
					g.deliver(w, nil, g.reject(&w.call, mesh.ReasonDraining))
				}
			}
		}
	}
}

// Drained returns a channel that is closed when the gate is draining and no call
// holds a slot.
func (g *Gate) Drained() <-chan struct{} { return g.drained }

func (g *Gate) closeIfDrained() {
	if !g.draining || g.inUse > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
		g.log(eventDrained)
	}
}
