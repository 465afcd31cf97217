// Package endpoints is the registry of the endpoints on the node's host. Endpoints
// announce themselves over loopback, renew the announcement with a load report,
// drain and withdraw; one that stops renewing is removed after its time to live.
// Each has one gate. Readers never block: the table is immutable and replaced on
// change.
package endpoints

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
)

// Events of the registry.
var (
	eventAnnounced = events.Define(2100, hclog.Info, "endpoint announced",
		"A new endpoint of this host accepts calls.")
	eventReplaced = events.Define(2101, hclog.Info, "endpoint replaced",
		"An endpoint with the same ID announced another address, service or instance. Calls in flight at the old one end normally.")
	eventDraining = events.Define(2102, hclog.Info, "endpoint draining",
		"The endpoint or its host drains and accepts no new calls. Calls in flight end normally.")
	eventWithdrawn = events.Define(2103, hclog.Info, "endpoint withdrawn",
		"The endpoint withdrew its announcement. Calls in flight end normally.")
	eventExpired = events.Define(2104, hclog.Warn, "endpoint expired",
		"The endpoint did not renew its announcement within the time to live. Check whether its process runs.")
	eventUnconfigured = events.Define(2105, hclog.Warn, "endpoint of an unknown service",
		"The lists have no entry for the endpoint's service, so it gets no calls. Add the entry or correct the endpoint.")
)

var eventMetricsNotRemoved = events.Define(2106, hclog.Warn, "metrics of an endpoint not removed",
	"The metrics of a removed endpoint stay visible until the node restarts.")

var eventLate = events.Define(2107, hclog.Info, "late announcement of an endpoint rejected",
	"The process had withdrawn, drained or been replaced. A successor at its address should state another instance.")

// Errors of the registry.
var (
	ErrUnknown  = errors.New("endpoints: no such endpoint")
	ErrDraining = errors.New("endpoints: host is draining")
	// ErrWithdrawn means that the process has withdrawn or was replaced.
	ErrWithdrawn = errors.New("endpoints: process has left")
)

// Config configures a Registry. Zero fields have defaults.
type Config struct {
	Now    func() time.Time
	Logger hclog.Logger
	Meter  metric.Meter
	Policy gate.Policy
	// OnChange receives the endpoints for the host's record, in the order of IDs,
	// whenever they differ from those of the last call. It is called by one goroutine
	// at a time and must not call the registry.
	OnChange func([]membership.Endpoint)
}

// Registry holds the host's endpoints. It is safe for concurrent use.
type Registry struct {
	cfg   Config
	table atomic.Pointer[map[mesh.EndpointID]*Endpoint]

	mu           sync.Mutex
	services     map[mesh.ServiceName]*lists.Service
	draining     bool
	lastNotified []membership.Endpoint
	withdrawals  withdrawals
}

// Endpoint is an announced process and its gate.
type Endpoint struct {
	ID   mesh.EndpointID
	Gate *gate.Gate

	announcement atomic.Pointer[Announcement]
	draining     atomic.Bool
	// announcedAt and expiresAt are guarded by the registry's mutex. announcedAt is
	// the time of the first announcement of the process.
	announcedAt time.Time
	expiresAt   time.Time
}

// Announcement returns the endpoint's latest announcement, which must not be
// modified.
func (e *Endpoint) Announcement() *Announcement { return e.announcement.Load() }

// Draining reports whether the endpoint accepts no new calls.
func (e *Endpoint) Draining() bool { return e.draining.Load() }

// New returns an empty Registry.
func New(cfg Config) *Registry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	r := &Registry{cfg: cfg, services: map[mesh.ServiceName]*lists.Service{}}
	r.table.Store(&map[mesh.EndpointID]*Endpoint{})
	return r
}

// Get returns the endpoint with the ID. It takes no lock.
func (r *Registry) Get(id mesh.EndpointID) (*Endpoint, bool) {
	e, ok := (*r.table.Load())[id]
	return e, ok
}

// All returns the endpoints in the order of IDs.
func (r *Registry) All() []*Endpoint {
	table := *r.table.Load()
	all := make([]*Endpoint, 0, len(table))
	for _, id := range slices.Sorted(maps.Keys(table)) {
		all = append(all, table[id])
	}
	return all
}

// Configure applies the service entries of the active version to all gates.
func (r *Registry) Configure(config *lists.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = config.Services
	for _, e := range *r.table.Load() {
		if service := r.services[e.Announcement().Service]; service != nil {
			e.Gate.Configure(*service)
		}
	}
}

// Announce adds or renews an endpoint and reports whether it is new. An announcement
// of another process replaces the endpoint. A draining endpoint stays draining when
// it renews; a draining registry rejects new endpoints with ErrDraining. An announcement that
// a process sent before it left is rejected with ErrWithdrawn.
func (r *Registry) Announce(id mesh.EndpointID, a Announcement) (created bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	existing, ok := r.Get(id)
	if ok && existing.Announcement().isRenewal(&a) {
		r.renew(existing, a, now)
		return false, nil
	}
	if r.draining {
		return false, ErrDraining
	}
	if refusedFor, isLate := r.withdrawals.isLate(id, &a, now); isLate {
		eventLate.Log(r.cfg.Logger, "endpoint", id, "address", a.Address, "instance", a.Instance)
		return false, &withdrawnError{id: id, retryAfter: refusedFor}
	}
	if ok {
		r.withdrawals.add(existing, now)
		r.remove(existing)
		eventReplaced.Log(r.cfg.Logger, "endpoint", id, "address", a.Address)
	}
	r.register(id, a, now)
	return true, nil
}

func (r *Registry) renew(e *Endpoint, a Announcement, now time.Time) {
	before := e.Announcement()
	e.announcement.Store(&a)
	e.expiresAt = now.Add(a.ttl())
	if before.UsableSlots() != a.UsableSlots() {
		e.Gate.Resize(a.UsableSlots())
	}
	r.notifyChange(now)
}

func (r *Registry) register(id mesh.EndpointID, a Announcement, now time.Time) {
	e := &Endpoint{ID: id, announcedAt: now, expiresAt: now.Add(a.ttl())}
	e.announcement.Store(&a)
	e.Gate = gate.New(gate.Config{
		Endpoint: id, Service: r.serviceFor(id, a.Service), Slots: a.UsableSlots(),
		Clock: r.cfg.Now, Meter: r.cfg.Meter, Policy: r.cfg.Policy, Logger: r.cfg.Logger,
	})
	r.updateTable(func(table map[mesh.EndpointID]*Endpoint) { table[id] = e })
	eventAnnounced.Log(r.cfg.Logger, "endpoint", id, "service", a.Service, "address", a.Address, "slots", a.UsableSlots())
	r.notifyChange(now)
}

// serviceFor returns the service entry for a new gate. A service that is not in the
// lists yet gets an entry without a queue; no route leads to it.
func (r *Registry) serviceFor(id mesh.EndpointID, name mesh.ServiceName) lists.Service {
	if service := r.services[name]; service != nil {
		return *service
	}
	eventUnconfigured.Log(r.cfg.Logger, "endpoint", id, "service", name)
	return lists.Service{Name: name, LongShare: 1}
}

// Drain makes the endpoint accept no new calls. Calls in flight are not interrupted.
func (r *Registry) Drain(id mesh.EndpointID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.Get(id)
	if !ok {
		return errors.Wrapf(ErrUnknown, "%s", id)
	}
	r.drain(e)
	r.notifyChange(r.cfg.Now())
	return nil
}

func (r *Registry) drain(e *Endpoint) {
	if e.draining.Swap(true) {
		return
	}
	e.Gate.Drain()
	eventDraining.Log(r.cfg.Logger, "endpoint", e.ID)
}

// DrainAll drains every endpoint and rejects new ones from then on.
func (r *Registry) DrainAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for _, e := range *r.table.Load() {
		r.drain(e)
	}
	r.notifyChange(r.cfg.Now())
}

// WaitIdle waits until no call holds a slot of a draining endpoint, or until ctx ends.
func (r *Registry) WaitIdle(ctx context.Context) error {
	for _, e := range r.All() {
		if !e.Draining() {
			continue
		}
		select {
		case <-e.Gate.Drained():
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "endpoints: wait for calls in flight")
		}
	}
	return nil
}

// Withdraw removes the endpoint. Calls in flight are not interrupted.
func (r *Registry) Withdraw(id mesh.EndpointID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.Get(id)
	if !ok {
		return errors.Wrapf(ErrUnknown, "%s", id)
	}
	r.withdrawals.add(e, r.cfg.Now())
	r.remove(e)
	eventWithdrawn.Log(r.cfg.Logger, "endpoint", id)
	r.notifyChange(r.cfg.Now())
	return nil
}

func (r *Registry) remove(e *Endpoint) {
	e.draining.Store(true)
	e.Gate.Drain()
	if err := e.Gate.Close(); err != nil {
		eventMetricsNotRemoved.Log(r.cfg.Logger, "endpoint", e.ID, "error", err)
	}
	r.updateTable(func(table map[mesh.EndpointID]*Endpoint) { delete(table, e.ID) })
}

// Sweep removes the endpoints whose time to live has passed, and reports those whose
// cold start has ended as ready. Run calls it periodically.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, e := range r.All() {
		if now.Before(e.expiresAt) {
			continue
		}
		if e.Draining() {
			r.withdrawals.add(e, now)
		}
		r.remove(e)
		eventExpired.Log(r.cfg.Logger, "endpoint", e.ID, "ttl", e.Announcement().ttl())
	}
	r.notifyChange(now)
}

// sweepInterval is half of minTTL, so that an expired endpoint is removed soon.
const sweepInterval = 250 * time.Millisecond

// Run sweeps until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.Sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Registry) updateTable(change func(map[mesh.EndpointID]*Endpoint)) {
	next := maps.Clone(*r.table.Load())
	change(next)
	r.table.Store(&next)
}

// notifyChange calls Config.OnChange when the endpoints differ from those of its last
// call. The mutex must be held.
func (r *Registry) notifyChange(now time.Time) {
	records := []membership.Endpoint{}
	for _, e := range r.All() {
		records = append(records, e.Announcement().record(e.ID, e.state(now)))
	}
	if r.cfg.OnChange == nil || r.lastNotified != nil && slices.Equal(records, r.lastNotified) {
		return
	}
	r.lastNotified = records
	r.cfg.OnChange(slices.Clone(records))
}

func (e *Endpoint) state(now time.Time) membership.EndpointState {
	switch {
	case e.draining.Load():
		return membership.EndpointDraining
	case now.Sub(e.announcedAt) < e.Announcement().coldStart():
		return membership.EndpointSlowStart
	}
	return membership.EndpointReady
}
