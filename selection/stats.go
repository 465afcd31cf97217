package selection

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the exponential moving averages
	// of latency.
	latencyWeight = 0.1
	// reportLifetime is how long a load report counts; after it the report is stale.
	reportLifetime = 2 * time.Second
	// maxReportFactor is the maximum factor by which a load report raises a score.
	maxReportFactor = 3.0
	// maxLatencyFactor is the maximum factor by which latency raises a score.
	maxLatencyFactor = 3.0
	// latencyFadeTime is the time in which the effect of the latency on the score
	// fades to none while no new sample arrives. Without it an endpoint that was slow
	// once would get no calls, and so no samples, for as long as others are free.
	latencyFadeTime = 10 * time.Second
	// failureRateWeight is the weight of a new result in the exponential moving
	// average of the failure rate.
	failureRateWeight = 0.3
	// maxFailureFactor is the factor by which a failure rate of 1 raises a score.
	maxFailureFactor = 10.0
	// failureFadeTime is the time after the last failure in which the effect of
	// failures on the score fades to none, also when the endpoint is not chosen.
	failureFadeTime = 20 * time.Second
	// slowStartMinShare is the share of its usual calls that an endpoint gets at the
	// beginning of its slow start.
	slowStartMinShare = 0.1
	// drainExclusionTime is how long an endpoint gets no calls after it rejected one
	// because of a drain. It bridges the time until its membership record arrives.
	drainExclusionTime = 5 * time.Second
)

// average is an exponential moving average that many goroutines may update.
type average struct{ bits atomic.Uint64 }

func (a *average) load() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) add(sample float64) { a.addWeighted(sample, latencyWeight) }

func (a *average) addWeighted(sample, weight float64) {
	for {
		old := a.bits.Load()
		next := sample
		if old != 0 {
			before := math.Float64frombits(old)
			next = before + weight*(sample-before)
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// stats holds what this node observed of one endpoint in one incarnation of its
// host. Integer times are nanoseconds since the Unix epoch.
type stats struct {
	incarnation uint64
	outstanding atomic.Int64
	latency     average
	// latencyAt is the time of the last latency sample.
	latencyAt      atomic.Int64
	latencySamples atomic.Int64

	// gateLoad is (in use + queued) / slots of the last report, as the bits of a
	// float64.
	gateLoad atomic.Uint64
	// endpointLoad is the load that the endpoint itself reported, as the bits of a
	// float64.
	endpointLoad atomic.Uint64
	reportAt     atomic.Int64

	// failureRate is the moving average of failures, from 0 to 1. lastFailureAt is the
	// time of the last one.
	failureRate   average
	lastFailureAt atomic.Int64

	slowStartBegin, slowStartEnd atomic.Int64
	drainingUntil                atomic.Int64

	// The counters hold consecutive failures of each kind. A response below status 500
	// clears all of them, a server error all but errors.
	failures, connectFailures, hangs, errors atomic.Int32

	// state and the fields below are changed with the service's mutex held, except that
	// DueProbes advances retryAt without it.
	state            atomic.Int32
	retryAt          atomic.Int64
	ejections        int
	successfulProbes int
	recoveredAt      time.Time
}

func (st *stats) beginSlowStart(now time.Time, length time.Duration) {
	if length <= 0 {
		return
	}
	st.slowStartBegin.Store(now.UnixNano())
	st.slowStartEnd.Store(now.Add(length).UnixNano())
}

// slowStartShare returns the fraction of its usual calls that the endpoint gets, less
// than 1 during a slow start.
func (st *stats) slowStartShare(now int64) float64 {
	end := st.slowStartEnd.Load()
	if now >= end {
		return 1
	}
	begin := st.slowStartBegin.Load()
	return slowStartMinShare + (1-slowStartMinShare)*float64(now-begin)/float64(end-begin)
}

// recordReport stores the load report of a response.
func (st *stats) recordReport(r Report, now int64) {
	load := float64(r.InUse+r.Queued) / float64(max(1, r.Slots))
	st.gateLoad.Store(math.Float64bits(load))
	st.endpointLoad.Store(math.Float64bits(r.EndpointLoad))
	st.reportAt.Store(now)
}

// reportedLoad returns the load that the gate reported, and false when the report
// is stale.
func (st *stats) reportedLoad(now int64) (load float64, fresh bool) {
	if now-st.reportAt.Load() > int64(reportLifetime) {
		return 0, false
	}
	return math.Float64frombits(st.gateLoad.Load()), true
}

// load estimates the utilization of the endpoint's slots: 1 means that all are in
// use, more that calls are queued.
func (c *candidate) load(now int64) float64 {
	outstanding := float64(c.stats.outstanding.Load()) / c.slots
	reported, fresh := c.stats.reportedLoad(now)
	if !fresh {
		return outstanding
	}
	return max(outstanding, reported)
}

// score orders candidates; lower is better. The calls that this node has outstanding
// count in full; reports, latency and failures count by a bounded factor each.
func (c *candidate) score(now int64) float64 {
	score := float64(c.stats.outstanding.Load()+1) / c.weight
	return score * c.reportFactor(now) * c.latencyFactor(now) * c.stats.failureFactor(now)
}

// updateFailureRate adds a result to the failure rate. The rate affects the score
// from the first failure on, so that an endpoint that fails some of its calls gets
// fewer of them long before it is ejected, if it ever is.
func (st *stats) updateFailureRate(r Result, now int64) {
	switch {
	case r.Class == ClassBroken, r.Class == ClassHung, r.Class == ClassDown, r.Class == ClassUnreachable,
		r.Class == ClassAnswered && r.Status >= http.StatusInternalServerError:
		st.lastFailureAt.Store(now)
		st.failureRate.addWeighted(1, failureRateWeight)
	case r.Class == ClassAnswered && st.failureRate.load() > 0:
		st.failureRate.addWeighted(0, failureRateWeight)
	}
}

// failureFactor returns 1 for an endpoint without recent failures, and up to
// maxFailureFactor for one that fails all calls.
func (st *stats) failureFactor(now int64) float64 {
	at := st.lastFailureAt.Load()
	if at == 0 || now-at >= int64(failureFadeTime) {
		return 1
	}
	fresh := 1 - float64(now-at)/float64(failureFadeTime)
	return 1 + (maxFailureFactor-1)*st.failureRate.load()*min(fresh, 1)
}

// reportFactor returns 1 for an idle endpoint and 2 for a full one. With a stale
// report the endpoint counts as idle, so that it gets calls and reports again.
func (c *candidate) reportFactor(now int64) float64 {
	reported, fresh := c.stats.reportedLoad(now)
	if !fresh {
		return 1
	}
	endpointLoad := math.Float64frombits(c.stats.endpointLoad.Load())
	return min(1+max(reported, endpointLoad), maxReportFactor)
}

// latencyFactor returns 1 for an endpoint that is not slower than the average of its
// service, and otherwise the ratio to it, up to maxLatencyFactor.
func (c *candidate) latencyFactor(now int64) float64 {
	latency, mean := c.stats.latency.load(), c.service.latency.load()
	if latency <= 0 || mean <= 0 {
		return 1
	}
	fresh := 1 - float64(now-c.stats.latencyAt.Load())/float64(latencyFadeTime)
	if fresh <= 0 {
		return 1
	}
	return 1 + (min(max(latency/mean, 1), maxLatencyFactor)-1)*min(fresh, 1)
}
