package gate

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// bulkShare is the fraction that bulk calls keep of the slots of the ranks below
// urgent while standard calls alone could use all of them.
const bulkShare = 0.1

// reservation keeps a reserved share of slots for less urgent ranks while more
// urgent ones are served first. It is a credit account of slot time.
type reservation struct {
	// credit is the slot time in seconds that the less urgent ranks may use before
	// the more urgent ones. It is bounded above and below, so that neither of the
	// two can save up for a long burst.
	credit float64
}

// covers reports whether the credit suffices for a call of the given cost.
// Requiring the cost of a whole call keeps the more urgent ranks first in short
// bursts.
func (r *reservation) covers(cost float64) bool { return r.credit >= cost }

// add changes the credit, between -limit and limit.
func (r *reservation) add(seconds, limit float64) {
	r.credit = min(max(r.credit+seconds, -limit), limit)
}

// reservedMargin makes up for the time in which the ranks below urgent have credit
// but no waiting call.
const reservedMargin = 1.05

// creditReservations credits both reservations with their share of the slots, less
// the slots held without a charge, for the time since creditedUntil if calls of
// the more urgent ranks wait. Other time does not count: an unused share is not
// saved, and idle slots may be used freely.
func (g *Gate) creditReservations(now time.Time) {
	elapsed := now.Sub(g.creditedUntil).Seconds()
	g.creditedUntil = now
	isPresent := func(rank mesh.Rank) bool { return g.queue.byRank[rank]+g.rankInUse[rank] > 0 }
	othersSlots := reservedMargin * g.limits.OtherShare * float64(g.limit())
	if g.queue.byRank[mesh.RankUrgent] > 0 && (isPresent(mesh.RankStandard) || isPresent(mesh.RankBulk)) {
		g.othersReserved.add(elapsed*(othersSlots-float64(g.uncharged.others)), g.maxCredit())
	}
	if g.queue.byRank[mesh.RankStandard] > 0 && isPresent(mesh.RankBulk) {
		available := max(othersSlots, float64(g.limit())-g.usage[mesh.RankUrgent].meanSlots)
		g.bulkReserved.add(elapsed*(bulkShare*available-float64(g.uncharged.bulk)), g.maxCredit())
	}
}

// maxCredit is the expected slot time of one call on each slot.
func (g *Gate) maxCredit() float64 {
	return float64(max(g.slots, 2)) * max(g.maxCost(), defaultCost)
}

// charge debits the expected slot time of a call that starts while calls of more
// urgent ranks wait, and returns what it debited.
func (g *Gate) charge(rank mesh.Rank, isLong bool) charge {
	var c charge
	cost := g.cost(rank)
	if rank != mesh.RankUrgent && g.queue.byRank[mesh.RankUrgent] > 0 {
		c.others = cost
	}
	if rank == mesh.RankBulk && g.queue.byRank[mesh.RankStandard] > 0 {
		c.bulk = cost
	}
	g.debit(c)
	g.countUncharged(rank, c, isLong, 1)
	return c
}

// uncharged counts the running short calls below urgent that were not charged to
// each reservation.
type uncharged struct{ others, bulk int }

func (g *Gate) countUncharged(rank mesh.Rank, c charge, isLong bool, n int) {
	if isLong || rank == mesh.RankUrgent {
		return
	}
	if c.others == 0 {
		g.uncharged.others += n
	}
	if c.bulk == 0 && rank == mesh.RankBulk {
		g.uncharged.bulk += n
	}
}

// charge is the slot time in seconds that a call was charged to each reservation.
type charge struct{ others, bulk float64 }

func (g *Gate) debit(c charge) {
	if c.others != 0 {
		g.othersReserved.add(-c.others, g.maxCredit())
	}
	if c.bulk != 0 {
		g.bulkReserved.add(-c.bulk, g.maxCredit())
	}
}

// correctCharge replaces the expected slot time in the charge of a short call by
// the time that it held the slot. Long calls keep the charge of a short one,
// because long-share bounds the slots that they hold.
func (g *Gate) correctCharge(s *Slot, held time.Duration) {
	c := s.charge
	g.countUncharged(s.rank, c, s.long, -1)
	if s.long {
		return
	}
	if c.others != 0 {
		c.others = held.Seconds() - c.others
	}
	if c.bulk != 0 {
		c.bulk = held.Seconds() - c.bulk
	}
	g.debit(c)
}

// nextCall returns the waiting call that gets the next slot, or nil. The caller has
// checked that a slot is free.
func (g *Gate) nextCall() *waiter {
	longAllowed := g.longAllowed()
	if g.config.Policy == PolicyFIFO {
		return g.queue.first(mesh.RankUrgent, true)
	}
	urgent := g.queue.first(mesh.RankUrgent, longAllowed)
	other := g.nextOther(longAllowed)
	switch {
	case other == nil:
		return urgent
	case urgent == nil:
		if g.reservedForUrgent(other.call.Rank) {
			return nil
		}
		return other
	case g.othersReserved.covers(g.cost(other.call.Rank)):
		return other
	}
	return urgent
}

func (g *Gate) nextOther(longAllowed bool) *waiter {
	standard := g.queue.first(mesh.RankStandard, longAllowed)
	bulk := g.queue.first(mesh.RankBulk, longAllowed)
	if standard == nil || (bulk != nil && g.bulkReserved.covers(g.cost(mesh.RankBulk))) {
		return bulk
	}
	return standard
}

// reservedForUrgent reports whether a call of the rank must leave the free slots to
// urgent calls. It never holds while no short call runs, because then
// no release would let the waiting calls proceed.
func (g *Gate) reservedForUrgent(rank mesh.Rank) bool {
	return g.limit()-g.inUse <= g.headroom.slots && g.inUse > g.longInUse && !g.othersReserved.covers(g.cost(rank))
}

// defaultCost is used as the service time in seconds before any is observed.
const defaultCost = 0.001

// cost is the expected slot time in seconds of a short call of the rank, or of
// any rank when none of it has ended yet.
func (g *Gate) cost(rank mesh.Rank) float64 {
	if mean := g.serviceTimes[rank][short].mean; mean > 0 {
		return mean
	}
	if mean := g.maxCost(); mean > 0 {
		return mean
	}
	return defaultCost
}

func (g *Gate) maxCost() float64 {
	longest := 0.0
	for rank := range g.serviceTimes {
		longest = max(longest, g.serviceTimes[rank][short].mean)
	}
	return longest
}

// longLimit is the number of slots that long calls may hold: long-share of the
// slots, at least one, and never the last slot of several.
func (g *Gate) longLimit() int {
	n := g.limit()
	return max(min(int(g.limits.LongShare*float64(n)), n-1), 1)
}

func (g *Gate) longAllowed() bool {
	return g.longInUse < g.longLimit()
}

// headroom is the number of slots that the ranks below urgent leave free. It grows
// when urgent calls wait long, compared with their own service time, until slower
// calls of other ranks release a slot.
type headroom struct {
	slots    int
	meanWait float64
	calls    int
	lastCall time.Time
}

const (
	// maxHeadroomFraction is the largest headroom as a fraction of the slots.
	maxHeadroomFraction = 0.25
	// Urgent calls may wait for an eighth of their service time before the
	// headroom grows, and must wait for less than 1/64 before it shrinks.
	headroomGrowWait   = 1.0 / 8
	headroomShrinkWait = 1.0 / 64
	// The headroom grows by one slot after 16 urgent calls and shrinks after 256.
	headroomGrowCalls   = 16
	headroomShrinkCalls = 256
	// headroomIdle is the time without urgent calls after which there is no headroom.
	headroomIdle = time.Second
	// headroomWeight is the weight of one call in the mean wait.
	headroomWeight = 1.0 / 16
)

// allowsHeadroom reports whether urgent calls use so few slots that a headroom
// leaves the reserved share to other ranks. When urgent calls fill the slots
// themselves, keeping some free only wastes them.
func (g *Gate) allowsHeadroom() bool {
	maxSlots := (1 - g.limits.OtherShare - maxHeadroomFraction) * float64(g.limit())
	return g.usage[mesh.RankUrgent].meanSlots <= maxSlots
}

// observe records the wait of an urgent call and adapts the headroom. allowed is
// the result of allowsHeadroom.
func (h *headroom) observe(wait, serviceTime float64, limit int, allowed bool, now time.Time) {
	h.lastCall = now
	h.calls++
	h.meanWait += (wait - h.meanWait) * headroomWeight
	switch {
	case !allowed:
		h.slots, h.calls = 0, 0
	case h.meanWait > serviceTime*headroomGrowWait && h.calls >= headroomGrowCalls:
		h.slots = min(h.slots+1, int(maxHeadroomFraction*float64(limit)))
		h.calls = 0
	case h.meanWait < serviceTime*headroomShrinkWait && h.calls >= headroomShrinkCalls:
		h.slots = max(h.slots-1, 0)
		h.calls = 0
	}
}

func (h *headroom) dropIfIdle(now time.Time) {
	if h.slots > 0 && now.Sub(h.lastCall) > headroomIdle {
		*h = headroom{lastCall: now}
	}
}
