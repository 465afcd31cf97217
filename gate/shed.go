package gate

import (
	"time"
)

// shedding lowers the number of slots that the gate uses after the endpoint shed
// calls.
type shedding struct {
	limit float64
	last  time.Time
}

const (
	// shedFactor times the calls in flight is the new limit after a shed call.
	shedFactor = 0.9
	// shedInterval is the shortest time between two reductions: calls that were in
	// flight together and are shed count as one sign of overload, not as many.
	shedInterval = 100 * time.Millisecond
	// shedHold is the time without a shed call before the limit rises again.
	shedHold = 500 * time.Millisecond
	// shedRecovery is the time in which the limit would rise from zero to all slots.
	shedRecovery = 5 * time.Second
)

// reduce lowers the limit and reports whether it changed.
func (s *shedding) reduce(inUse, limit int, now time.Time) bool {
	if !s.last.IsZero() && now.Sub(s.last) < shedInterval {
		return false
	}
	s.limit = max(float64(min(max(inUse, 1), limit))*shedFactor, 1)
	s.last = now
	return true
}

// limitAt returns the limit at the given time and whether it has just reached
// all slots again.
func (s *shedding) limitAt(slots int, now time.Time) (limit int, recovered bool) {
	if s.limit == 0 {
		return slots, false
	}
	rise := max(now.Sub(s.last)-shedHold, 0)
	l := s.limit + float64(slots)*float64(rise)/float64(shedRecovery)
	if l >= float64(slots) {
		s.limit = 0
		return slots, true
	}
	return int(l), false
}

// limit is the number of slots that the gate uses. It leaves at least one slot
// beyond those that long calls hold, as far as the endpoint has one.
func (g *Gate) limit() int {
	if g.shed.limit == 0 {
		return g.slots
	}
	return max(g.shedLimit, min(g.slots, g.longInUse+1))
}

// recoverShed raises the limit according to the time since the last reduction.
func (g *Gate) recoverShed(now time.Time) {
	if g.shed.limit == 0 {
		return
	}
	limit, recovered := g.shed.limitAt(g.slots, now)
	g.shedLimit = limit
	if recovered {
		g.log(eventShedRecovered, "slots", g.slots)
	}
}

// ReportShed tells the gate that the endpoint shed a call. The gate uses fewer
// slots for a time; the caller must still release its slot.
func (g *Gate) ReportShed() {
	now := g.clock()
	g.mu.Lock()
	g.counters.shed++
	if g.shed.reduce(g.inUse, g.limit(), now) {
		g.shedLimit = int(g.shed.limit)
		g.log(eventShed, "limit", g.shedLimit, "slots", g.slots)
	}
	g.publishAndUnlock(now)
}
