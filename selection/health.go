package selection

import (
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/events"

	"github.com/hashicorp/go-hclog"
)

// States of an endpoint as observed by this node.
const (
	stateHealthy int32 = iota
	stateEjected
	stateRecovering
)

const (
	// baseEjectionTime is the time from a first ejection to its first probe, and
	// between the probes that follow while they succeed.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the time until the next probe after repeated ejections
	// and failed probes.
	maxEjectionTime = 30 * time.Second
	// DefaultMaxEjectedShare is the maximum fraction of a service's endpoints that may
	// be ejected for their results. An endpoint to which connections fail is ejected
	// beyond it, because that loses no capacity.
	DefaultMaxEjectedShare = 0.5
	// cappedLogInterval is the minimum time between two log lines about a service
	// that has reached its maximum of ejected endpoints.
	cappedLogInterval = 10 * time.Second
	// minHealthyEndpoints is the minimum number of endpoints of a service that stay
	// in use, whatever their results.
	minHealthyEndpoints = 1
	// probesToRecover is the number of successful probes that end an ejection.
	probesToRecover = 2
	// recoverySlowStart is the duration of the slow start after an ejection.
	recoverySlowStart = 5 * time.Second
	// recoveryPeriod is the time after an ejection from which a response makes the
	// endpoint healthy and resets its count of ejections. Until then a single failure
	// ejects it again, for a longer time.
	recoveryPeriod = 15 * time.Second
)

// Events of selection.
var (
	eventEjected = events.Define(1900, hclog.Warn, "endpoint ejected",
		"The endpoint failed, hung or was far slower than its peers. It gets no calls until probes succeed. Look at the endpoint's own log.")
	eventRecovered = events.Define(1901, hclog.Info, "endpoint recovered after ejection",
		"Probes of the ejected endpoint succeeded. It gets a growing share of the calls again.")
	eventEjectionCapped = events.Define(1902, hclog.Warn, "endpoint not ejected, maximum of ejected endpoints reached",
		"More endpoints of the service fail than may be ejected. The fault is probably in the service itself.")
	eventDomainUnreachable = events.Define(1903, hclog.Warn, "failure domain unreachable",
		"Connections to several hosts of the failure domain failed. It gets no calls until a probe succeeds. Check the network between the domains.")
	eventDomainReachable = events.Define(1904, hclog.Info, "failure domain reachable again",
		"A host of the failure domain answered. It gets calls again.")
)

// ejectionCause is the reason for an ejection, a label value of the ejections metric.
type ejectionCause string

const (
	causeFailure ejectionCause = "failures"
	causeErrors  ejectionCause = "errors"
	causeConnect ejectionCause = "connect"
	causeHang    ejectionCause = "hang"
	causeSlow    ejectionCause = "slow"
)

// countFailure ejects the endpoint when the counter of consecutive failures
// reaches the limit. A recovering endpoint is ejected by the first failure.
func (s *Selector) countFailure(c *candidate, counter *atomic.Int32, limit int32, cause ejectionCause, now time.Time) {
	n := counter.Add(1)
	if n >= limit || c.stats.state.Load() == stateRecovering {
		s.eject(c, cause, now)
	}
}

// eject ejects the endpoint, unless too many endpoints of its service already are.
func (s *Selector) eject(c *candidate, cause ejectionCause, now time.Time) {
	svc := c.service
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if c.stats.state.Load() == stateEjected {
		return
	}
	if !svc.canEject(c, cause, s.cfg.MaxEjectedShare) {
		c.stats.clearCounters()
		s.logCapped(c, cause, now)
		return
	}
	c.stats.ejections++
	c.stats.successfulProbes = 0
	c.stats.retryAt.Store(now.Add(ejectionTime(c.stats.ejections)).UnixNano())
	c.stats.state.Store(stateEjected)
	s.metrics.recordEjection(cause)
	eventEjected.Log(s.cfg.Logger, "service", svc.name, "host", c.target.Host, "endpoint", c.target.Endpoint.ID, "cause", cause)
}

// logCapped logs that a failing endpoint is not ejected. The service's mutex must
// be held.
func (s *Selector) logCapped(c *candidate, cause ejectionCause, now time.Time) {
	if now.Before(c.service.nextCappedLog) {
		return
	}
	c.service.nextCappedLog = now.Add(cappedLogInterval)
	eventEjectionCapped.Log(s.cfg.Logger, "service", c.service.name, "host", c.target.Host, "endpoint", c.target.Endpoint.ID, "cause", cause)
}

// canEject reports whether the endpoint may be ejected in addition to those that
// already are. The service's mutex must be held.
func (svc *service) canEject(c *candidate, cause ejectionCause, maxFraction float64) bool {
	members := *svc.members.Load()
	ejected := 0
	for _, other := range members {
		if other.stats != c.stats && other.stats.state.Load() == stateEjected {
			ejected++
		}
	}
	if len(members)-ejected-1 < minHealthyEndpoints {
		return false
	}
	return cause == causeConnect || float64(ejected+1) <= maxFraction*float64(len(members))
}

// ejectionTime returns the time until the next probe. It doubles with each
// ejection and failed probe since the endpoint was last healthy.
func ejectionTime(ejections int) time.Duration {
	const doublings = 5
	return min(baseEjectionTime<<min(ejections-1, doublings), maxEjectionTime)
}

// endRecovery makes a recovering endpoint healthy, and resets its count of
// ejections, when recoveryPeriod has passed.
func (s *Selector) endRecovery(c *candidate, now time.Time) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if c.stats.state.Load() != stateRecovering || now.Sub(c.stats.recoveredAt) < recoveryPeriod {
		return
	}
	c.stats.ejections = 0
	c.stats.state.Store(stateHealthy)
}

// startRecovery ends the ejection of an endpoint with a slow start and fresh
// statistics. The service's mutex must be held.
func (s *Selector) startRecovery(c *candidate, now time.Time) {
	c.stats.clearCounters()
	c.stats.latency.bits.Store(0)
	c.stats.lastFailureAt.Store(0)
	c.stats.failureRate.bits.Store(0)
	c.stats.latencySamples.Store(0)
	c.stats.beginSlowStart(now, recoverySlowStart)
	c.stats.recoveredAt = now
	c.stats.state.Store(stateRecovering)
	eventRecovered.Log(s.cfg.Logger, "service", c.service.name, "host", c.target.Host, "endpoint", c.target.Endpoint.ID)
}

func (st *stats) clearCounters() {
	st.failures.Store(0)
	st.connectFailures.Store(0)
	st.hangs.Store(0)
	st.errors.Store(0)
}
