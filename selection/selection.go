// Package selection is the load balancer: it chooses the endpoint of a call. It
// prefers the local failure domain, compares two random candidates by score, and
// ejects endpoints that fail or are far slower than their peers. It does no I/O;
// the clock and the random source are injected. Calls read immutable tables and
// update atomic counters, so that they share no lock.
package selection

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routing"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
)

// Policy is the load-balancing policy.
type Policy uint8

// The policies. PolicyRoundRobin is the baseline of the benchmarks: it uses the
// endpoints of a service in turn and ignores all results.
const (
	PolicyAdaptive Policy = iota
	PolicyRoundRobin
)

// Config configures a Selector. The zero value of every field but Domain has a
// default.
type Config struct {
	// Domain is the failure domain of this node.
	Domain mesh.FailureDomain
	Policy Policy
	// MaxEjectedShare is the maximum fraction of a service's endpoints that may be
	// ejected for their results; zero means DefaultMaxEjectedShare.
	MaxEjectedShare float64
	Now             func() time.Time
	// Rand returns uniform random bits and is called from many goroutines.
	Rand   func() uint64
	Logger hclog.Logger
	// Meter creates the metrics; nil disables them.
	Meter metric.Meter
}

// Selector holds the statistics and the health of every endpoint, as observed by
// this node. It is safe for concurrent use.
type Selector struct {
	cfg     Config
	current atomic.Pointer[Table]
	metrics instruments

	// mu serializes rebuilds of the table. Calls lock it only for the first use of a
	// new snapshot.
	mu       sync.Mutex
	stats    map[routing.Key]*stats
	services map[mesh.ServiceName]*service
	domains  map[mesh.FailureDomain]*domain
}

// New returns a Selector without endpoints.
func New(cfg Config) *Selector {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Uint64
	}
	return &Selector{
		cfg:      cfg,
		metrics:  newInstruments(cfg.Meter),
		stats:    map[routing.Key]*stats{},
		services: map[mesh.ServiceName]*service{},
		domains:  map[mesh.FailureDomain]*domain{},
	}
}

// Table returns the candidates of the snapshot, or of a newer snapshot that another
// call has passed in the meantime. A call keeps its table, and the table's snapshot,
// until it ends.
func (s *Selector) Table(snapshot *routing.Snapshot) *Table {
	if t := s.current.Load(); t.isCurrentFor(snapshot) {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.current.Load(); t.isCurrentFor(snapshot) {
		return t
	}
	t := s.rebuild(snapshot)
	s.current.Store(t)
	return t
}

// Choice is a chosen endpoint. Done must be called once.
type Choice struct {
	Target *routing.Target

	selector  *Selector
	candidate *candidate
}

// Report is the load that a response reported. All fields but EndpointLoad are counted
// by the endpoint's gate.
type Report struct {
	InUse, Slots, Queued int
	// EndpointLoad is the load that the endpoint itself reports, 1 meaning full.
	// Unlike the counts of the gate it may be wrong, so it never causes calls to go to
	// a remote domain.
	EndpointLoad float64
}

// Class tells how an attempt ended, as far as it concerns the endpoint's health.
type Class uint8

// The classes of results.
const (
	// ClassAnswered is a complete response of the endpoint, with any status.
	ClassAnswered Class = iota + 1
	// ClassRejected is a definite rejection because of load, by the gate or the
	// endpoint.
	ClassRejected
	// ClassDraining is a rejection because the endpoint or its host drains, or because
	// the host no longer has the endpoint.
	ClassDraining
	// ClassUnreachable is a connect failure to the host.
	ClassUnreachable
	// ClassDown is a connect failure between the host's gate and the endpoint.
	ClassDown
	// ClassBroken is a broken connection, a truncated response or a response to
	// another call.
	ClassBroken
	// ClassTimedOut is an attempt that had no response when its deadline passed or the
	// caller cancelled it. It counts against the endpoint when it waited at least
	// HangTime.
	ClassTimedOut
	// ClassHung is an attempt that the endpoint held for HangTime without a response.
	ClassHung
	// ClassNeutral says nothing about the endpoint, such as a call that the caller
	// cancelled.
	ClassNeutral
)

// Result is what was observed of an attempt.
type Result struct {
	Class Class
	// Status is the HTTP status of a response.
	Status int
	// Latency is the time from dispatch to the first byte of the response, without the
	// queueing delay at the gate. Zero means not observed.
	Latency time.Duration
	// Waited is the time from the start of the attempt to its end.
	Waited time.Duration
	// Report is valid when HasReport is set.
	Report    Report
	HasReport bool
}

// HangTime returns the time without a response after which an attempt at an endpoint
// of this service counts as a hang.
func (c Choice) HangTime() time.Duration { return c.candidate.hangTime() }

// Done records the result of the attempt.
func (c Choice) Done(r Result) {
	if c.candidate == nil {
		return
	}
	c.candidate.stats.outstanding.Add(-1)
	if c.selector.cfg.Policy == PolicyRoundRobin {
		return
	}
	c.selector.observe(c.candidate, r)
}
