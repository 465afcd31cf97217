package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// minLevelInterval is the shortest time over which pressure is averaged before
	// a level changes. It is extended to the mean duration of a root, because a
	// change affects the pressure only after that time, and to minLevelSamples
	// responses on a node with few roots; both up to maxLevelInterval.
	minLevelInterval = 100 * time.Millisecond
	minLevelSamples  = 10
	maxLevelInterval = 500 * time.Millisecond
	// pressureTarget is the average pressure that a level is controlled to,
	// pressureRecovery the one below which it recovers. A target at the limit and
	// not below keeps the slots of the service in use.
	pressureTarget   = 1.0
	pressureRecovery = 0.6
	// pressureOverload is the pressure at which a level that admits all roots is
	// first reduced. Short queues also form below the capacity, and the gate
	// absorbs them.
	pressureOverload = 1.5
	// levelGain and levelDamping are the proportional and the derivative gain: the
	// relative decrease per unit by which the pressure exceeds pressureTarget, and
	// per unit by which it has risen since the previous interval. The queue
	// integrates the admitted roots, so without damping the level oscillates around
	// its target.
	levelGain    = 0.02
	levelDamping = 0.15
	// levelExcessCut is the additional decrease for each minLevelInterval and unit
	// of pressure beyond twice the limit, unless the pressure fell by
	// pressureFalling or more: then the level is already low enough and the queue
	// is getting shorter.
	levelExcessCut  = 0.06
	pressureFalling = 0.1
	// significantCut is the relative decrease after which the next interval starts
	// only when the roots in flight have ended.
	significantCut = 0.02
	// maxRootDuration bounds that wait, because long calls run for minutes.
	maxRootDuration = 2 * time.Second
	// maxLevelCut is the largest relative decrease of one interval.
	maxLevelCut = 0.4
	// recoveryStep is the increase of the first interval of a recovery. It is small
	// against a level of 0.1, so that a level does not oscillate under a flood. Each
	// further interval increases the step by recoveryGrowth of recoveryStep: the
	// level gets from none to all roots in 4.3 s.
	recoveryStep   = 0.005
	recoveryGrowth = 0.2
	// pressureBusy is the pressure of a service that uses nearly all slots. Above
	// it each change adds a single recoveryStep, because an excess appears in the
	// queue only after the duration of a root.
	pressureBusy = 0.45
	// maxRecoverySteps bounds the steps that are made up for after a pause; they
	// suffice to admit all roots again.
	maxRecoverySteps = 50
	// minLevel admits a few roots under any pressure, because their responses
	// report the pressure.
	minLevel = 0.005
)

// levels holds the admission levels of one service.
type levels [mesh.RankCount]level

// level is the fraction of the roots of a rank that is admitted to a service, 0
// to 1.
type level struct {
	// customers holds *customerLevel by mesh.CustomerID; defaultThreshold is the
	// threshold of a customer that it does not hold yet.
	customers        sync.Map
	defaultThreshold atomic.Uint64
	// meanRootDuration is the exponential moving average of the duration of roots
	// in nanoseconds. An update lost between two roots that end at the same time
	// is acceptable.
	meanRootDuration atomic.Int64

	mu       sync.Mutex
	fraction float64
	// intervalStart may be in the future; pressure observed before it is ignored.
	intervalStart time.Time
	pressureSum   float64
	samples       int
	// lastPressure is the mean pressure of the previous interval, at least
	// pressureRecovery.
	lastPressure float64
	// recoverySteps counts the steps of the current recovery.
	recoverySteps float64
}

// rootHash returns the hash that is compared with the threshold of a level: a
// root that one level admits is admitted by all higher levels.
func rootHash(call mesh.CallID) uint64 { return xxhash.Sum64String(string(call)) }

func newLevels(now time.Time) *levels {
	l := &levels{}
	for i := range l {
		l[i].fraction, l[i].intervalStart, l[i].lastPressure = 1, now, pressureRecovery
		l[i].defaultThreshold.Store(math.MaxUint64)
	}
	return l
}

func (c *Controller) levelFor(service mesh.ServiceName, rank mesh.Rank, now time.Time) *level {
	v, ok := c.services.Load(service)
	if !ok {
		v, _ = c.services.LoadOrStore(service, newLevels(now))
	}
	return &v.(*levels)[min(rank, mesh.RankCount-1)]
}

// admits reports whether the level admits a root of the customer.
func (l *level) admits(customer mesh.CustomerID, call mesh.CallID, now time.Time) bool {
	c := l.customer(customer)
	c.offered.Add(1)
	h := rootHash(call)
	if h <= c.threshold.Load() {
		return true
	}
	// Without admitted roots no response reports the pressure, so the level must
	// also be able to rise when roots arrive.
	l.advance(now)
	return h <= c.threshold.Load()
}

// Observe records the pressure that a call of the rank met at the service: the
// higher of gate.Load.For(rank) of the response and the pressure that the response
// reports for nested calls. The caller must not pass the pressure of another rank:
// a gate serves urgent calls first, so each rank has its own pressure, which
// rises first for the lowest rank.
func (c *Controller) Observe(service mesh.ServiceName, rank mesh.Rank, pressure float64) {
	if math.IsNaN(pressure) {
		return
	}
	now := c.clock()
	l := c.levelFor(service, rank, now)
	l.mu.Lock()
	if !now.Before(l.intervalStart) {
		l.pressureSum += max(pressure, 0)
		l.samples++
	}
	l.mu.Unlock()
	l.advance(now)
}

// advance changes the level when the interval is over.
func (l *level) advance(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.intervalStart)
	if elapsed < l.interval() {
		return
	}
	mean := 0.0
	if l.samples > 0 {
		mean = l.pressureSum / float64(l.samples)
	}
	l.intervalStart, l.pressureSum, l.samples = now, 0, 0
	l.update(mean, float64(elapsed)/float64(minLevelInterval))
	l.lastPressure = max(mean, pressureRecovery)
	l.fraction = min(max(l.fraction, minLevel), 1)
	l.divideAmongCustomers()
}

// interval is the time until the next change: at least the duration of a root,
// and maxLevelInterval as long as there are few responses.
func (l *level) interval() time.Duration {
	if l.samples < minLevelSamples {
		return maxLevelInterval
	}
	return min(max(minLevelInterval, time.Duration(l.meanRootDuration.Load())), maxLevelInterval)
}

// update changes the level after a period with the given mean pressure; intervals
// is its length in units of minLevelInterval.
func (l *level) update(mean, intervals float64) {
	if l.fraction == 1 && mean < pressureOverload {
		return
	}
	if mean < pressureRecovery {
		l.increase(mean < pressureBusy, int(intervals))
		return
	}
	before := l.fraction
	l.adjust(mean, intervals)
	if l.fraction < before*(1-significantCut) {
		// Roots admitted before the cut still report the pressure from before it.
		l.intervalStart = l.intervalStart.Add(time.Duration(l.meanRootDuration.Load()))
	}
}

// durationDivisor is the reciprocal of the weight of one root in the average
// duration.
const durationDivisor = 16

// recordDuration adds the duration of a root that has ended to the average.
func (l *level) recordDuration(d time.Duration) {
	old := l.meanRootDuration.Load()
	l.meanRootDuration.Store(old + (int64(min(d, maxRootDuration))-old)/durationDivisor)
}

// increase raises the level: by growing steps, one for each interval, while the
// service has free slots, and by a single step otherwise.
func (l *level) increase(hasFreeSlots bool, intervals int) {
	if !hasFreeSlots {
		l.recoverySteps = 0
		l.fraction += recoveryStep
		return
	}
	for range min(intervals, maxRecoverySteps) {
		l.fraction += recoveryStep * (1 + recoveryGrowth*l.recoverySteps)
		l.recoverySteps++
	}
}

// adjust moves the level towards the one at which the pressure is pressureTarget.
func (l *level) adjust(pressure, intervals float64) {
	l.recoverySteps = 0
	excess := pressure - pressureTarget
	trend := min(max(pressure-l.lastPressure, -1), 1)
	cut := levelGain*excess + levelDamping*trend
	if trend > -pressureFalling {
		cut += levelExcessCut * max(excess-1, 0) * intervals
	}
	l.fraction *= 1 - min(cut, maxLevelCut)
}

func threshold(fraction float64) uint64 {
	if fraction >= 1 {
		return math.MaxUint64
	}
	return uint64(fraction * math.MaxUint64)
}

// Level returns the fraction of the roots of the rank that is admitted to the
// service, for status displays and experiments.
func (c *Controller) Level(service mesh.ServiceName, rank mesh.Rank) float64 {
	l := c.levelFor(service, rank, c.clock())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fraction
}
