package selection

import (
	"net/http"
	"slices"
	"time"
)

// The number of consecutive results of one kind that ejects an endpoint.
const (
	// maxFailures counts broken connections, truncated responses and responses to
	// another call.
	maxFailures = 3
	// maxErrors counts responses with status 500 and above. It is higher than
	// maxFailures because a faulty request can cause them at any endpoint.
	maxErrors = 10
	// maxConnectFailures counts connect failures.
	maxConnectFailures = 2
	// maxHangs counts attempts that had no response within the hang time.
	maxHangs = 3
)

const (
	// slowFactor is the ratio of an endpoint's latency to the median of its peers
	// above which it is ejected. Below it the endpoint only gets fewer calls, because
	// its capacity still counts when little is spare. The averages vary by a quarter,
	// so a lower factor would by chance eject endpoints at half that factor.
	slowFactor = 8.0
	// hangFactor is the multiple of the service's average latency after which an
	// attempt without a response counts as a hang.
	hangFactor = 8
	// minSlowSeconds is the minimum latency, and the minimum difference to the
	// median, in seconds, for which an endpoint is ejected as slow, so that fast
	// services do not eject on noise.
	minSlowSeconds = 0.020
	// minLatencySamples is the number of responses of an endpoint before its latency
	// is compared with that of its peers.
	minLatencySamples = 20
	// nearAverageFactor is the ratio to the service's average latency below which an
	// endpoint's latency is not compared with that of its peers.
	nearAverageFactor = 1.5
	// minHangTime is the minimum time without a response that counts as a hang.
	minHangTime = 100 * time.Millisecond
	// defaultHangTime is the hang time while no latency of the service is known.
	defaultHangTime = time.Second
)

// observe records the result of an attempt and ejects the endpoint when it failed
// too often in a row.
func (s *Selector) observe(c *candidate, r Result) {
	now := s.cfg.Now()
	c.stats.updateFailureRate(r, now.UnixNano())
	if r.HasReport {
		c.stats.recordReport(r.Report, now.UnixNano())
	}
	switch r.Class {
	case ClassAnswered:
		s.recordResponse(c, r, now)
	case ClassRejected:
		s.recordReachable(c, now)
	case ClassDraining:
		s.recordReachable(c, now)
		c.stats.drainingUntil.Store(now.Add(drainExclusionTime).UnixNano())
	case ClassUnreachable:
		s.recordConnectFailure(c, now)
		s.countFailure(c, &c.stats.connectFailures, maxConnectFailures, causeConnect, now)
	case ClassDown:
		s.recordReachable(c, now)
		s.countFailure(c, &c.stats.connectFailures, maxConnectFailures, causeConnect, now)
	case ClassBroken:
		s.countFailure(c, &c.stats.failures, maxFailures, causeFailure, now)
	case ClassHung:
		s.recordReachable(c, now)
		s.countFailure(c, &c.stats.hangs, maxHangs, causeHang, now)
	case ClassTimedOut:
		if r.Waited < c.hangTime() {
			return
		}
		s.countFailure(c, &c.stats.hangs, maxHangs, causeHang, now)
	}
}

// hangTime returns how long an attempt waits without a response until it counts as
// a hang. An attempt that a short deadline ends earlier says nothing about the
// endpoint.
func (c *candidate) hangTime() time.Duration {
	usual := time.Duration(c.service.latency.load() * float64(time.Second))
	if usual == 0 {
		return defaultHangTime
	}
	return max(minHangTime, hangFactor*usual)
}

// recordReachable records that the host could be reached, whatever the endpoint's
// result.
func (s *Selector) recordReachable(c *candidate, now time.Time) {
	s.recordDomainReachable(c.domain, now)
}

// recordResponse records a complete response. It clears the counters of other
// consecutive failures and counts server errors.
func (s *Selector) recordResponse(c *candidate, r Result, now time.Time) {
	s.recordReachable(c, now)
	c.stats.connectFailures.Store(0)
	c.stats.hangs.Store(0)
	c.stats.failures.Store(0)
	if r.Status >= http.StatusInternalServerError {
		s.countFailure(c, &c.stats.errors, maxErrors, causeErrors, now)
		return
	}
	c.stats.errors.Store(0)
	if c.stats.state.Load() == stateRecovering {
		s.endRecovery(c, now)
	}
	if r.Latency > 0 {
		s.recordLatency(c, r.Latency, now)
	}
}

// recordLatency adds a latency sample and ejects the endpoint when it is far slower
// than its peers. It must not be called for server errors, so that an endpoint that
// fails fast does not appear fast.
func (s *Selector) recordLatency(c *candidate, sample time.Duration, now time.Time) {
	seconds := sample.Seconds()
	c.stats.latency.add(seconds)
	c.stats.latencyAt.Store(now.UnixNano())
	c.service.latency.add(seconds)
	if c.stats.latencySamples.Add(1) < minLatencySamples {
		return
	}
	latency := c.stats.latency.load()
	// An endpoint near the average of its service is no outlier, whatever the
	// median. This saves computing the median for nearly all responses.
	if latency < minSlowSeconds || latency < nearAverageFactor*c.service.latency.load() {
		return
	}
	median := c.service.medianPeerLatency(c)
	if median > 0 && latency > slowFactor*median && latency-median > minSlowSeconds {
		s.eject(c, causeSlow, now)
	}
}

// medianPeerLatency returns the median of the average latencies of the service's
// other endpoints in seconds, or 0 when none is known.
func (svc *service) medianPeerLatency(c *candidate) float64 {
	var peers []float64
	for _, other := range *svc.members.Load() {
		if other.stats != c.stats && other.stats.latencySamples.Load() > 0 {
			peers = append(peers, other.stats.latency.load())
		}
	}
	if len(peers) == 0 {
		return 0
	}
	slices.Sort(peers)
	return peers[len(peers)/2]
}
