package gate

import (
	"math"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// publishedLoad is the load that readers see without the lock. The counts change
// atomically; pressure and delay may belong to a slightly later change.
type publishedLoad struct {
	counts   atomic.Uint64
	delay    atomic.Int64
	overload [mesh.RankCount]atomic.Uint64
	// reservedUse is the used fraction of the reserved share, as the bits of a
	// float64.
	reservedUse atomic.Uint64
	// lastStored holds the values last stored, so that unchanged ones are not stored
	// again.
	lastStored struct {
		delay    int64
		overload [mesh.RankCount]uint64
	}
}

// counts holds three numbers of countBits each: slots in use, slots, queued calls.
const (
	countBits = 21
	countMask = 1<<countBits - 1
)

const (
	// usedPressure is the pressure of an endpoint whose slots are all in use while
	// no call waits.
	usedPressure = 0.5
	// rejectedPressure is added to 1 when all calls of a rank are rejected, and in
	// proportion when some are.
	rejectedPressure = 4.0
	// minRejectedFraction is the fraction of rejected calls up to which rejections
	// do not count as overload.
	minRejectedFraction = 0.01
)

// targetDelayFactor scales the target delay by rank. Less urgent calls may wait
// longer, so that enough of them are queued to use all slots.
var targetDelayFactor = [mesh.RankCount]float64{1, 2, 4}

// targetWaitingCalls is the number of waiting calls that the target allows in
// addition to the delay, so that a rank with few slots does not run out of calls
// between arrivals.
const targetWaitingCalls = 8

// publish makes the current load visible to readers. The caller holds the lock.
func (g *Gate) publish(now time.Time) {
	g.published.counts.Store(packCount(g.inUse)<<(2*countBits) | packCount(g.slots)<<countBits | packCount(g.queue.queued))
	if g.config.Policy == PolicyFIFO {
		g.publishFIFO(now)
		return
	}
	longest := 0.0
	for i := range g.delays {
		rank := mesh.Rank(i)
		waiting := g.queue.byRank[rank] > 0
		d := g.delays[rank].current(now, waiting)
		longest = max(longest, d)
		g.published.storeOverload(rank, g.overload(rank, waiting))
	}
	g.published.storeDelay(int64(secondsToDuration(longest)))
	g.published.reservedUse.Store(math.Float64bits(g.reservedUse()))
}

// reservedUse returns the used fraction of the reserved share of the ranks below
// urgent; 1 means that they use all of it or that there is none.
func (g *Gate) reservedUse() float64 {
	reserved := g.limits.OtherShare * float64(g.limit())
	if reserved <= 0 {
		return 1
	}
	return min((g.usage[mesh.RankStandard].meanSlots+g.usage[mesh.RankBulk].meanSlots)/reserved, 1)
}

// publishFIFO reports the same pressure for all ranks, which wait together.
func (g *Gate) publishFIFO(now time.Time) {
	waiting := g.queue.queued > 0
	p := g.overload(mesh.RankUrgent, waiting)
	for i := range g.delays {
		g.published.storeOverload(mesh.Rank(i), p)
	}
	g.published.storeDelay(int64(secondsToDuration(g.delays[mesh.RankUrgent].current(now, waiting))))
	g.published.reservedUse.Store(math.Float64bits(1))
}

func packCount(n int) uint64 { return uint64(min(max(n, 0), countMask)) }

// overload returns the pressure on a rank from its waiting and rejected calls. It
// uses the expected wait and not the measured delay, which lags behind by the
// delay itself and would make admission levels oscillate.
func (g *Gate) overload(rank mesh.Rank, waiting bool) float64 {
	p := 0.0
	if waiting {
		mean := g.serviceTimes[rank][short].mean
		target := targetDelayFactor[rank] * max(g.config.TargetDelay.Seconds(), mean)
		target += targetWaitingCalls * mean / g.availableSlots(rank, g.shortSlots())
		p = g.expectedWait(rank, false, g.queue.byRank[rank]).Seconds() / target
	}
	if fraction := g.usage[rank].rejectedFraction; fraction > minRejectedFraction {
		p = max(p, 1+rejectedPressure*fraction)
	}
	return min(p, maxPressure)
}

func (p *publishedLoad) storeOverload(rank mesh.Rank, value float64) {
	if bits := math.Float64bits(value); bits != p.lastStored.overload[rank] {
		p.lastStored.overload[rank] = bits
		p.overload[rank].Store(bits)
	}
}

func (p *publishedLoad) storeDelay(value int64) {
	if value != p.lastStored.delay {
		p.lastStored.delay = value
		p.delay.Store(value)
	}
}

// Load returns the current load without taking the gate's lock.
func (g *Gate) Load() Load {
	counts := g.published.counts.Load()
	l := Load{
		InUse:  int(counts >> (2 * countBits)),
		Slots:  int(counts >> countBits & countMask),
		Queued: int(counts & countMask),
	}
	if l.InUse == 0 && l.Queued == 0 {
		return l
	}
	l.QueueDelay = time.Duration(g.published.delay.Load())
	base := usedPressure
	if l.Slots > 0 {
		base = min(float64(l.InUse)/float64(l.Slots), 1) * usedPressure
	}
	// Slots that urgent calls use are no pressure on other ranks as long as these
	// use less than their reserved share. Otherwise their admission levels would
	// recover as slowly as for a full service, and the reserved share would stay
	// unused.
	reservedUse := math.Float64frombits(g.published.reservedUse.Load())
	for i := range l.ByRank {
		pressure := base
		if mesh.Rank(i) != mesh.RankUrgent {
			pressure = base * reservedUse
		}
		l.ByRank[i] = max(pressure, math.Float64frombits(g.published.overload[i].Load()))
		l.Pressure = max(l.Pressure, l.ByRank[i])
	}
	return l
}
