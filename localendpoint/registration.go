// Package localendpoint is the endpoint that runs beside the node: what it announces of
// itself, the slots that it has, and the connections to it. The node is the only
// sender of calls to it.
package localendpoint

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

// Announcement is what an endpoint says of itself.
type Announcement struct {
	ID            mesh.EndpointID
	Service       mesh.ServiceName
	Address       string
	FailureDomain mesh.FailureDomain
	Software      string
	Slots         int
	// StartedAtMs is the time of day at which the endpoint started. It orders the
	// incarnations of an endpoint.
	StartedAtMs int64
	// Sequence orders the announcements of an incarnation.
	Sequence uint64
	Leaving  bool
	// ColdFor is how much longer the endpoint is slow after its start.
	ColdFor time.Duration
}

// Endpoint is one incarnation of the endpoint with its queue.
type Endpoint struct {
	Announcement
	ColdUntil boottime.Time
	Queue     *slotqueue.Queue
	Health    *Health
	pool      *pool
}

// Verdict says what an announcement changed.
type Verdict string

// The verdicts on an announcement.
const (
	// Began means that a new incarnation is in use.
	Began Verdict = "began"
	// Renewed means that nothing but the sequence changed.
	Renewed Verdict = "renewed"
	// Left means that the endpoint gets no further calls.
	Left Verdict = "left"
	// Stale means that the announcement is older than what is known.
	Stale Verdict = "stale"
	// Foreign means that the announcement is not of the endpoint beside the node.
	Foreign Verdict = "foreign"
)

// Identity is what the settings say of the endpoint beside the node.
type Identity struct {
	Service       mesh.ServiceName
	Address       string
	FailureDomain mesh.FailureDomain
}

// Registration knows the current incarnation of the endpoint. It is safe for
// concurrent use.
type Registration struct {
	clock boottime.Clock

	mu       sync.Mutex
	identity Identity
	current  *Endpoint
	// departed is the latest incarnation that has left, so that a late
	// announcement does not bring it back.
	departed Announcement
	changed  func(*Endpoint)
}

// NewRegistration returns a registration without an endpoint. Changed is called
// with the endpoint after each change of its identity or state, nil when there
// is none; it must not block.
func NewRegistration(identity Identity, clock boottime.Clock, changed func(*Endpoint)) *Registration {
	return &Registration{identity: identity, clock: clock, changed: changed}
}

// SetIdentity replaces what the settings say. An endpoint that does not fit is
// given up.
func (r *Registration) SetIdentity(identity Identity) {
	r.mu.Lock()
	if r.identity == identity {
		r.mu.Unlock()
		return
	}
	r.identity = identity
	var gone *Endpoint
	if r.current != nil && !identity.fits(r.current.Announcement) {
		gone, r.current = r.current, nil
	}
	r.mu.Unlock()
	if gone != nil {
		gone.retire()
		r.changed(nil)
	}
}

func (i Identity) fits(a Announcement) bool {
	return a.Service == i.Service && a.Address == i.Address && a.FailureDomain == i.FailureDomain
}

// Current returns the endpoint in use, or nil. An endpoint that is leaving is
// still returned.
func (r *Registration) Current() *Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Announce takes an announcement. A leaving endpoint gets no further calls once
// Announce has returned.
func (r *Registration) Announce(a Announcement) Verdict {
	r.mu.Lock()
	verdict, old := r.judge(a)
	now := r.current
	r.mu.Unlock()
	switch verdict {
	case Began:
		if old != nil {
			old.retire()
		}
		r.changed(now)
	case Left:
		now.Queue.Close(reasonLeaving)
		r.changed(now)
	case Renewed, Stale, Foreign:
	}
	return verdict
}

// judge updates the current endpoint. It returns the one that was replaced.
func (r *Registration) judge(a Announcement) (Verdict, *Endpoint) {
	if !r.identity.fits(a) {
		return Foreign, nil
	}
	old := r.current
	switch {
	case a.StartedAtMs < r.departed.StartedAtMs, a.StartedAtMs == r.departed.StartedAtMs && a.ID == r.departed.ID:
		return Stale, nil
	case old == nil:
	case a.ID == old.ID && a.StartedAtMs == old.StartedAtMs:
		if a.Sequence <= old.Sequence {
			return Stale, nil
		}
		return r.renew(a)
	case a.StartedAtMs < old.StartedAtMs, a.StartedAtMs == old.StartedAtMs && a.ID != old.ID:
		return Stale, nil
	}
	e := r.begin(a)
	r.current = e
	if a.Leaving {
		e.Queue.Close(reasonLeaving)
	}
	return Began, old
}

func (r *Registration) begin(a Announcement) *Endpoint {
	return &Endpoint{
		Announcement: a, ColdUntil: r.clock() + a.ColdFor,
		Queue: slotqueue.New(a.Slots), Health: NewHealth(r.clock), pool: newPool(a.Address, a.Slots, r.clock),
	}
}

// renew puts a copy in place, because readers hold the old value.
func (r *Registration) renew(a Announcement) (Verdict, *Endpoint) {
	next := *r.current
	wasLeaving := next.Leaving
	if next.Slots != a.Slots {
		next.Queue.SetSlots(a.Slots, r.clock())
	}
	a.Leaving = a.Leaving || wasLeaving
	next.Announcement, next.ColdUntil = a, r.clock()+a.ColdFor
	r.current = &next
	if a.Leaving && !wasLeaving {
		return Left, nil
	}
	return Renewed, nil
}

// Deregister takes the word of an endpoint that it leaves. StartedAtMs is 0 when
// the endpoint does not state it. It reports false when another incarnation is
// in use.
func (r *Registration) Deregister(id mesh.EndpointID, startedAtMs int64) bool {
	r.mu.Lock()
	e := r.current
	if e == nil || e.ID != id || (startedAtMs != 0 && startedAtMs < e.StartedAtMs) {
		r.mu.Unlock()
		return false
	}
	next := *e
	next.Leaving = true
	r.current, r.departed = &next, e.Announcement
	r.mu.Unlock()
	e.Queue.Close(reasonLeaving)
	r.changed(&next)
	return true
}

// Suspect gives up an endpoint that is not at its address any more: nobody listens
// there, or another endpoint. The next announcement brings the endpoint there into
// use. Until then other hosts place no calls at this one.
func (r *Registration) Suspect(e *Endpoint) {
	r.mu.Lock()
	if r.current == nil || r.current.Queue != e.Queue {
		r.mu.Unlock()
		return
	}
	r.current = nil
	r.mu.Unlock()
	e.retire()
	r.changed(nil)
}

func (e *Endpoint) retire() {
	e.Queue.Close(reasonLeaving)
	e.pool.close()
}
