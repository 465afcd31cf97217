package ingress

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// quietPeriod is the time after the latest rejection by this host after which
	// all calls count as first attempts. Rejected clients retry within a second or
	// two.
	quietPeriod = 3 * time.Second
	// defaultMinFraction is the assumed minimum timeout of first attempts, as a
	// fraction of the maximum, until calls outside a period of rejections show it.
	defaultMinFraction = 0.75
)

// ageEstimator estimates the time since the first attempt of a client. Clients
// state only their remaining timeout. While nothing is rejected, all calls are
// first attempts and show the range of their timeouts; after a rejection, a call
// with a shorter timeout counts as a client retry. It is safe for concurrent use.
type ageEstimator struct {
	mu            sync.Mutex
	lastRejection boottime.Time
	timeouts      map[string]*timeoutRange
}

// timeoutRange is the range of the timeouts of first attempts on a route.
type timeoutRange struct {
	min, max time.Duration
}

// RecordRejection records that a call was rejected.
func (e *ageEstimator) RecordRejection(now boottime.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRejection = now
}

// Observe returns the estimated age of a call with the given remaining timeout, 0
// for a first attempt.
func (e *ageEstimator) Observe(r *routeplan.Route, timeout time.Duration, now boottime.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timeouts == nil {
		e.timeouts = map[string]*timeoutRange{}
	}
	known := e.timeouts[r.Name]
	if known == nil {
		known = &timeoutRange{}
		e.timeouts[r.Name] = known
	}
	known.max = max(known.max, timeout)
	if e.lastRejection == 0 || now-e.lastRejection > quietPeriod {
		if known.min == 0 || timeout < known.min {
			known.min = timeout
		}
		return 0
	}
	shortest := known.min
	if shortest == 0 {
		shortest = time.Duration(defaultMinFraction * float64(known.max))
	}
	if timeout >= shortest {
		return 0
	}
	return (shortest+known.max)/2 - timeout
}

// Prune deletes the routes that the plan does not have.
func (e *ageEstimator) Prune(p *routeplan.Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make(map[string]bool, len(p.Routes))
	for i := range p.Routes {
		names[p.Routes[i].Name] = true
	}
	for name := range e.timeouts {
		if !names[name] {
			delete(e.timeouts, name)
		}
	}
}
