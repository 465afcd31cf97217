// Package responsesize estimates how long the responses of routes are, from those seen.
// The sender of a call needs it before it chooses a host, because bytes between failure
// domains have a price. The package does no I/O and reads no clock.
package responsesize

import (
	"sync"

	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// maxRoutes bounds the state. Routes beyond it share the estimate of their kind.
	maxRoutes = 512
	// newSampleWeight is the weight of a new size in the exponential moving average.
	newSampleWeight = 0.1
	// defaultDownloadBytes and defaultBytes are assumed until the first response of a
	// kind.
	defaultDownloadBytes = 64 << 10
	defaultBytes         = 1 << 10
)

// Estimator holds the mean response size of each route and of each kind of call. It is
// safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*mean
	kinds  map[routeplan.Kind]*mean
}

// mean is an exponential moving average that begins as an arithmetic one.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(bytes int64) {
	m.samples++
	m.value += max(newSampleWeight, 1/float64(m.samples)) * (float64(bytes) - m.value)
}

// New returns an estimator that has seen no response.
func New() *Estimator {
	return &Estimator{routes: map[string]*mean{}, kinds: map[routeplan.Kind]*mean{}}
}

// Observe records the size of a response.
func (e *Estimator) Observe(r *routeplan.Route, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addTo(e.kinds, r.Kind, bytes)
	if e.routes[r.Name] != nil || len(e.routes) < maxRoutes {
		addTo(e.routes, r.Name, bytes)
	}
}

func addTo[K comparable](means map[K]*mean, key K, bytes int64) {
	m := means[key]
	if m == nil {
		m = &mean{}
		means[key] = m
	}
	m.add(bytes)
}

// Seen reports whether a response of the route has been seen.
func (e *Estimator) Seen(r *routeplan.Route) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.routes[r.Name] != nil
}

// Expected returns the expected size of a response of the route.
func (e *Estimator) Expected(r *routeplan.Route) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.routes[r.Name]; m != nil {
		return int64(m.value)
	}
	if m := e.kinds[r.Kind]; m != nil {
		return int64(m.value)
	}
	if r.Kind == routeplan.Download {
		return defaultDownloadBytes
	}
	return defaultBytes
}

// Routes returns the number of routes with an estimate of their own.
func (e *Estimator) Routes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.routes)
}

// Retain removes the state of routes that are not in the plan.
func (e *Estimator) Retain(p *routeplan.Plan) {
	names := make(map[string]bool, len(p.Routes))
	for i := range p.Routes {
		names[p.Routes[i].Name] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.routes {
		if !names[name] {
			delete(e.routes, name)
		}
	}
}
