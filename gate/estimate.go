package gate

import (
	"math"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// serviceEstimate is the exponential moving average and the mean deviation of
// service times in seconds.
type serviceEstimate struct {
	mean, deviation float64
	updated         time.Time
}

const (
	// Weights of one observation, as in TCP's estimate of the round-trip time.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// estimateHalfLife is the time in which the lower bound halves without new
	// observations, so that a gate that rejected all calls after a slow phase
	// accepts some again.
	estimateHalfLife = 5 * time.Second
)

func (e *serviceEstimate) observe(seconds float64, now time.Time) {
	if e.updated.IsZero() {
		e.mean, e.deviation = seconds, seconds/2
	} else {
		diff := seconds - e.mean
		e.mean += diff * meanWeight
		e.deviation += (math.Abs(diff) - e.deviation) * deviationWeight
	}
	e.updated = now
}

// lowerBound returns a service time that few calls stay below. A call that has
// less time left is taken to miss its deadline.
func (e *serviceEstimate) lowerBound(now time.Time) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	bound := max(e.mean-2*e.deviation, e.mean/4)
	age := float64(now.Sub(e.updated)) / float64(estimateHalfLife)
	return time.Duration(bound * math.Exp2(-age) * float64(time.Second))
}

// delayAverage is a time-weighted exponential moving average of queueing delays in
// seconds.
type delayAverage struct {
	value   float64
	updated time.Time
}

// delayWindow is the time constant of the average.
const delayWindow = 100 * time.Millisecond

func (d *delayAverage) observe(seconds float64, now time.Time) {
	if seconds == 0 && d.value == 0 {
		d.updated = now
		return
	}
	d.value += (seconds - d.value) * (1 - math.Exp(-float64(now.Sub(d.updated))/float64(delayWindow)))
	d.updated = now
}

// current returns the average. It decays while no call of the rank waits.
func (d *delayAverage) current(now time.Time, waiting bool) float64 {
	if d.value == 0 || waiting {
		return d.value
	}
	return d.value * math.Exp(-float64(now.Sub(d.updated))/float64(delayWindow))
}

// rankUsage holds the counts of a rank in the current window, and averages over
// past windows.
type rankUsage struct {
	offered, rejected int
	slotSeconds       float64
	// rejectedFraction is the average fraction of rejected calls.
	rejectedFraction float64
	// meanSlots is the average number of slots that short calls of the rank used.
	meanSlots float64
}

// usageWindow is the length of a window, usageWeight the weight of the newest one
// in the averages.
const (
	usageWindow = 100 * time.Millisecond
	usageWeight = 0.5
)

func (r *rankUsage) closeWindow(windows float64) {
	fraction := 0.0
	if r.offered > 0 {
		fraction = min(float64(r.rejected)/float64(r.offered), 1)
	}
	r.rejectedFraction += (fraction - r.rejectedFraction) * usageWeight
	r.meanSlots += (r.slotSeconds/usageWindow.Seconds() - r.meanSlots) * usageWeight
	if windows > 1 {
		decay := math.Pow(1-usageWeight, windows-1)
		r.rejectedFraction *= decay
		r.meanSlots *= decay
	}
	r.offered, r.rejected, r.slotSeconds = 0, 0, 0
}

// closeWindows closes the window when it is over.
func (g *Gate) closeWindows(now time.Time) {
	elapsed := now.Sub(g.windowStart)
	if elapsed < usageWindow {
		return
	}
	for i := range g.usage {
		g.usage[i].closeWindow(float64(elapsed / usageWindow))
	}
	g.windowStart = now
	g.headroom.dropIfIdle(now)
}

// expectedWait estimates the time until a new call of the rank gets a slot. ahead
// is the number of waiting calls of its rank that are served before it.
func (g *Gate) expectedWait(rank mesh.Rank, isLong bool, ahead int) time.Duration {
	if ahead == 0 && g.queue.queued == 0 {
		return 0
	}
	if isLong {
		workAhead := float64(ahead) * g.serviceTimes[rank][long].mean
		return secondsToDuration(workAhead / float64(g.longLimit()))
	}
	higher := 0.0
	for q := range rank {
		higher += float64(g.queue.byRank[q]) * g.serviceTimes[q][short].mean
	}
	slots := g.shortSlots()
	workAhead := float64(ahead) * g.serviceTimes[rank][short].mean
	return secondsToDuration(workAhead/g.availableSlots(rank, slots) + higher*g.urgentPrecedence(rank)/slots)
}

// shortSlots is the number of slots that long calls do not hold.
func (g *Gate) shortSlots() float64 {
	return float64(max(g.limit()-g.longInUse, 1))
}

// availableSlots estimates the number of slots that calls of the rank get.
func (g *Gate) availableSlots(rank mesh.Rank, slots float64) float64 {
	if rank == mesh.RankUrgent {
		if g.queue.queued > g.queue.byRank[mesh.RankUrgent] {
			return slots * (1 - g.limits.OtherShare)
		}
		return slots
	}
	used := 0.0
	for q := range rank {
		used += g.usage[q].meanSlots
	}
	return max(slots-used, slots*g.reservedFraction(rank), minAvailableSlots)
}

// minAvailableSlots keeps the expected wait finite for a rank without a reserved
// share.
const minAvailableSlots = 0.05

// reservedFraction is the fraction of the slots that the rank keeps under any load
// of more urgent ranks.
func (g *Gate) reservedFraction(rank mesh.Rank) float64 {
	switch rank {
	case mesh.RankStandard:
		return g.limits.OtherShare * (1 - bulkShare)
	case mesh.RankBulk:
		return g.limits.OtherShare * bulkShare
	}
	return 1 - g.limits.OtherShare
}

// urgentPrecedence is the fraction of the waiting calls of more urgent ranks that
// are served before a call of the rank.
func (g *Gate) urgentPrecedence(rank mesh.Rank) float64 { return 1 - g.reservedFraction(rank) }

// callsAhead estimates how many waiting calls of the rank are served before a new
// call of the customer. With round robin a customer with few waiting calls
// overtakes one with many.
func (g *Gate) callsAhead(call *Call) int {
	l := g.queue.laneOf(call)
	own := 0
	if f, ok := l.flows[call.Customer]; ok {
		own = f.length
	}
	n := min(l.queued, (own+1)*l.active)
	if call.Depth == 0 {
		n += g.queue.lanes[call.Rank][nested][lengthOf(call)].queued
	}
	return n
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
