package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Options holds the timeouts of the member table.
type Options struct {
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout time.Duration
	// Retention is how long dead and left records are kept, so that stale records
	// cannot make a host alive again.
	Retention time.Duration
}

// Defaults of Options. The suspicion timeout is long enough for a refutation to
// cross the tree of a domain several times on busy hosts.
const (
	DefaultSuspicionTimeout = 4 * time.Second
	DefaultRetention        = 10 * time.Minute
)

// Refutations per second and their burst. Two nodes that run with the same host
// ID refute each other's records; the limit keeps them from flooding the mesh.
const (
	refutationRate  = 1
	refutationBurst = 5
)

type entry struct {
	record     *Record
	recordHash uint64
	// hostHash is the HostHash of the record's host.
	hostHash   uint64
	stateSince time.Time
	// deadReported is set if a peer reported the suspect as dead.
	deadReported bool
	// declaredDead is set if this node itself declared the host dead.
	declaredDead bool
}

// Table is the member table of a node. Its methods are safe for concurrent
// use. Records that it returns are immutable.
type Table struct {
	options Options
	self    mesh.HostID
	domain  mesh.FailureDomain

	refutations *rate.Limiter

	mu         sync.Mutex
	entries    map[mesh.HostID]*entry
	digests    map[mesh.FailureDomain]uint64
	generation atomic.Uint64
	view       atomic.Pointer[View]
}

// NewTable returns a table that holds the node's own record. An incarnation of
// zero is set from the wall clock.
func NewTable(self Record, options Options, now time.Time) *Table {
	options.SuspicionTimeout = lo.CoalesceOrEmpty(options.SuspicionTimeout, DefaultSuspicionTimeout)
	options.Retention = lo.CoalesceOrEmpty(options.Retention, DefaultRetention)
	if self.Incarnation == 0 {
		self.Incarnation = uint64(max(now.UnixMilli(), 1))
	}
	if self.State == 0 {
		self.State = StateAlive
	}
	t := &Table{
		options: options, self: self.Host, domain: self.Domain,
		entries: map[mesh.HostID]*entry{},
		digests: map[mesh.FailureDomain]uint64{},

		refutations: rate.NewLimiter(refutationRate, refutationBurst),
	}
	t.put(&self, now)
	t.View()
	return t
}

// put stores a record and keeps the digests current. The caller holds mu.
func (t *Table) put(r *Record, now time.Time) *entry {
	e, known := t.entries[r.Host]
	if !known {
		e = &entry{stateSince: now, hostHash: HostHash(r.Host)}
		t.entries[r.Host] = e
	} else {
		t.updateDigest(e, -1)
		if e.record.State != r.State || e.record.Incarnation != r.Incarnation {
			e.stateSince, e.deadReported, e.declaredDead = now, false, false
		}
	}
	e.record, e.recordHash = r, hashRecord(r)
	t.updateDigest(e, 1)
	t.generation.Add(1)
	return e
}

// updateDigest adds a record to the digest of its domain or, if sign is negative,
// subtracts it. Dead and left records are omitted, because hosts remove them at
// different times.
func (t *Table) updateDigest(e *entry, sign int) {
	if e.record.State.DeadOrLeft() {
		return
	}
	if sign < 0 {
		t.digests[e.record.Domain] -= e.recordHash
		return
	}
	t.digests[e.record.Domain] += e.recordHash
}

func (t *Table) removeEntry(h mesh.HostID) {
	if e, ok := t.entries[h]; ok {
		t.updateDigest(e, -1)
		delete(t.entries, h)
		t.generation.Add(1)
	}
}

// View returns a snapshot of the table. It is rebuilt at most once per change
// and otherwise read through an atomic pointer.
func (t *Table) View() *View {
	if v := t.view.Load(); v != nil && v.Generation == t.generation.Load() {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	generation := t.generation.Load()
	if v := t.view.Load(); v != nil && v.Generation == generation {
		return v
	}
	v := &View{Hosts: make(map[mesh.HostID]*Record, len(t.entries)), Generation: generation}
	for h, e := range t.entries {
		v.Hosts[h] = e.record
	}
	t.view.Store(v)
	return v
}

// Self returns the node's own record.
func (t *Table) Self() *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[t.self].record
}

// Record returns the record of a host, or nil.
func (t *Table) Record(h mesh.HostID) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[h]; ok {
		return e.record
	}
	return nil
}

// UpdateSelf changes the node's own record and raises its revision. It reports
// whether the record changed. Changes to host, domain, incarnation and revision
// are ignored.
func (t *Table) UpdateSelf(change func(*Record), now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[t.self].record
	next := *old
	next.Endpoints = append([]Endpoint(nil), old.Endpoints...)
	change(&next)
	next.Host, next.Domain = old.Host, old.Domain
	next.Incarnation, next.Revision = old.Incarnation, old.Revision
	if equal(&next, old) {
		return false
	}
	next.Revision++
	t.put(&next, now)
	return true
}

// Leave marks the node's own record as left. After that, the node may only read
// the table.
func (t *Table) Leave(now time.Time) {
	t.UpdateSelf(func(r *Record) { r.State = StateLeft }, now)
}
