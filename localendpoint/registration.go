// Package localendpoint manages the endpoint on the node's own host: its
// announcements, its queue and slots, and the connections to it. The node is the
// only sender of calls to it.
package localendpoint

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

// Announcement is what an endpoint states about itself.
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
	Draining bool
	// ColdRemaining is the remaining time during which the endpoint is slow after its
	// start.
	ColdRemaining time.Duration
}

// Endpoint is one incarnation of the endpoint, with its queue and health.
type Endpoint struct {
	Announcement
	ColdUntil boottime.Time
	Queue     *slotqueue.Queue
	Health    *Health
	pool      *pool
}

// AnnounceResult is the result of an announcement.
type AnnounceResult string

// Results of an announcement.
const (
	// NewIncarnation means that the announcement is of a new incarnation, which is now
	// current.
	NewIncarnation AnnounceResult = "began"
	// Renewed means that the current incarnation was updated.
	Renewed AnnounceResult = "renewed"
	// DrainStarted means that the endpoint has begun to drain and gets no further calls.
	DrainStarted AnnounceResult = "left"
	// Stale means that the announcement is older than a known one.
	Stale AnnounceResult = "stale"
	// Mismatched means that the announcement does not match the configured identity.
	Mismatched AnnounceResult = "foreign"
	// Deferred means that the announcement is applied once it is confirmed that its endpoint
	// had not left when this process started.
	Deferred AnnounceResult = "deferred"
)

// Identity is the configured identity of the local endpoint.
type Identity struct {
	Service       mesh.ServiceName
	Address       string
	FailureDomain mesh.FailureDomain
}

// Registration holds the current incarnation of the endpoint. It is safe for
// concurrent use.
type Registration struct {
	// Dial opens the connections to the endpoint; nil means net.Dialer. It must be set
	// before the first announcement.
	Dial DialFunc
	// TimeOfDay returns the time of day of the endpoint's machine; nil means time.Now.
	// It must be set before the first announcement.
	TimeOfDay func() time.Time

	clock boottime.Clock

	mu       sync.Mutex
	identity Identity
	current  *Endpoint
	// lastDeregistered is the latest incarnation that has deregistered, so that a
	// late announcement does not register it again.
	lastDeregistered Announcement
	// departed are the latest endpoints that have left, whether or not they are or were
	// current.
	departed departures.List
	// confirmations is nil if no earlier process of the host can have acknowledged that an
	// endpoint leaves.
	confirmations *confirmations
	// expected is the rate that an endpoint named before this process started.
	expected ExpectedRate
	onChange func(*Endpoint)
}

// ExpectedRate is a rate of calls that an endpoint has named, as other hosts know it.
type ExpectedRate struct {
	ID             mesh.EndpointID
	CallsPerSecond float64
}

// maxDeparted bounds the departures that are kept. Announcements are seconds late at most,
// in which an address changes hands only a few times.
const maxDeparted = 64

// maxStartAhead is how far the start of an endpoint may lie in the future, because times of
// day jump by seconds. An endpoint with a later one would make every real one look older.
const maxStartAhead = time.Hour

// NewRegistration returns a registration without an endpoint. It calls onChange with
// the endpoint after each change of its identity or state, with nil when there is
// none; onChange must not block.
func NewRegistration(identity Identity, clock boottime.Clock, onChange func(*Endpoint)) *Registration {
	return &Registration{identity: identity, clock: clock, onChange: onChange}
}

func (r *Registration) timeOfDay() time.Time {
	if r.TimeOfDay == nil {
		return time.Now()
	}
	return r.TimeOfDay()
}

// ExpectRate applies a rate to the endpoint that is registered or will be, until its first
// response.
func (r *Registration) ExpectRate(rate ExpectedRate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = rate
	if r.current != nil && r.current.ID == rate.ID {
		r.current.Queue.ExpectStartLimit(rate.CallsPerSecond, r.clock())
	}
}

// SetIdentity replaces the configured identity. A current endpoint that does not
// match it is removed.
func (r *Registration) SetIdentity(identity Identity) {
	r.mu.Lock()
	if r.identity == identity {
		r.mu.Unlock()
		return
	}
	r.identity = identity
	var removed *Endpoint
	if r.current != nil && !identity.matches(r.current.Announcement) {
		removed, r.current = r.current, nil
	}
	r.mu.Unlock()
	if removed != nil {
		removed.close()
		r.onChange(nil)
	}
}

func (i Identity) matches(a Announcement) bool {
	return a.Service == i.Service && a.Address == i.Address && a.FailureDomain == i.FailureDomain
}

// Address returns the address of the configured endpoint.
func (r *Registration) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.identity.Address
}

// Current returns the current endpoint, or nil. It returns a draining endpoint too.
func (r *Registration) Current() *Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Announce applies an announcement. A draining endpoint gets no further calls once
// Announce has returned.
func (r *Registration) Announce(a Announcement) AnnounceResult {
	r.mu.Lock()
	result, old := r.apply(a)
	current := r.current
	r.mu.Unlock()
	switch result {
	case NewIncarnation:
		if old != nil {
			old.close()
		}
		r.onChange(current)
	case DrainStarted:
		current.Queue.Close(reasonDraining)
		r.onChange(current)
	case Renewed, Stale, Mismatched, Deferred:
	}
	return result
}

// RequireConfirmation defers the announcements of endpoints that started before this
// process did, at the time of day startedAt, until it is confirmed that they had not left
// by then. Endpoints that started less than minLifetime before it need none. It must be called before the first announcement.
func (r *Registration) RequireConfirmation(startedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmations = &confirmations{startedAt: r.clock(), startedAtMs: startedAt.UnixMilli()}
}

// Confirm records that an endpoint had not left when this process started. It returns the
// deferred announcement that the caller announces again, if there is one.
func (r *Registration) Confirm(i departures.Incarnation) (Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmations == nil {
		return Announcement{}, false
	}
	return r.confirmations.confirm(i)
}

// Unconfirmed returns the endpoint that started last of those whose announcements are
// deferred.
func (r *Registration) Unconfirmed() (departures.Incarnation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmations == nil {
		return departures.Incarnation{}, false
	}
	return r.confirmations.unconfirmed(func(i departures.Incarnation) bool {
		return r.departed.Covers(i.ID, i.StartedAtMs) || r.current != nil && i.StartedAtMs <= r.current.StartedAtMs
	})
}

// Departures returns the latest endpoints that have left.
func (r *Registration) Departures() departures.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departed.Latest(departures.MaxShared)
}

// RecordDepartures records endpoints that have left as an earlier process of the host
// knew it, and drains the current endpoint if it is one of them. It returns the departures
// that were not known yet.
func (r *Registration) RecordDepartures(known departures.List) departures.List {
	r.mu.Lock()
	added := slices.DeleteFunc(known.Without(r.departed), func(d departures.Departure) bool { return r.startsAhead(d.StartedAtMs) })
	r.departed = r.departed.Add(maxDeparted, added...)
	e := r.current
	if e == nil || e.Draining || !r.departed.Covers(e.ID, e.StartedAtMs) {
		r.mu.Unlock()
		return added
	}
	next := *e
	next.Draining = true
	r.current = &next
	r.mu.Unlock()
	e.Queue.Close(reasonDraining)
	r.onChange(&next)
	return added
}

// isValid reports whether the announcement is one of the configured endpoint.
func (r *Registration) isValid(a Announcement) bool {
	return r.identity.matches(a) && !r.startsAhead(a.StartedAtMs)
}

// startsAhead reports whether a start lies in the future.
func (r *Registration) startsAhead(startedAtMs int64) bool {
	return startedAtMs > r.timeOfDay().Add(maxStartAhead).UnixMilli()
}

// apply updates the current endpoint. It returns the endpoint that was replaced.
func (r *Registration) apply(a Announcement) (AnnounceResult, *Endpoint) {
	if !r.isValid(a) {
		return Mismatched, nil
	}
	old := r.current
	switch {
	case a.StartedAtMs < r.lastDeregistered.StartedAtMs, a.StartedAtMs == r.lastDeregistered.StartedAtMs && a.ID == r.lastDeregistered.ID:
		return Stale, nil
	case old != nil && a.ID == old.ID && a.StartedAtMs == old.StartedAtMs:
		if a.Sequence <= old.Sequence {
			return Stale, nil
		}
		return r.update(a)
	case r.departed.Covers(a.ID, a.StartedAtMs):
		return Stale, nil
	case old == nil:
	case a.StartedAtMs < old.StartedAtMs, a.StartedAtMs == old.StartedAtMs && a.ID != old.ID:
		if a.Draining {
			r.recordDeparture(a.ID, a.StartedAtMs)
		}
		return Stale, nil
	}
	if r.confirmations != nil && !r.confirmations.observe(a, r.clock(), r.timeOfDay().UnixMilli()) {
		if a.Draining {
			r.recordDeparture(a.ID, a.StartedAtMs)
		}
		return Deferred, nil
	}
	e := r.newEndpoint(a)
	r.current = e
	if a.Draining {
		r.recordDeparture(a.ID, a.StartedAtMs)
		e.Queue.Close(reasonDraining)
	}
	return NewIncarnation, old
}

func (r *Registration) recordDeparture(id mesh.EndpointID, startedAtMs int64) {
	r.departed = r.departed.Add(maxDeparted, departures.Departure{ID: id, StartedAtMs: startedAtMs})
}

func (r *Registration) newEndpoint(a Announcement) *Endpoint {
	queue := slotqueue.New(a.Slots, rand.Float64)
	queue.SetWake(func(after time.Duration) {
		time.AfterFunc(after, func() { queue.Dispatch(r.clock()) })
	})
	if r.expected.ID == a.ID && a.ID != "" {
		queue.ExpectStartLimit(r.expected.CallsPerSecond, r.clock())
	}
	return &Endpoint{
		Announcement: a, ColdUntil: r.clock() + a.ColdRemaining,
		Queue: queue, Health: NewHealth(r.clock), pool: newPool(a.Address, a.Slots, r.clock, r.Dial),
	}
}

// update replaces the current endpoint by a changed copy, because readers hold the
// old value.
func (r *Registration) update(a Announcement) (AnnounceResult, *Endpoint) {
	next := *r.current
	wasDraining := next.Draining
	if next.Slots != a.Slots {
		next.Queue.SetSlots(a.Slots, r.clock())
	}
	a.Draining = a.Draining || wasDraining
	next.Announcement, next.ColdUntil = a, r.clock()+a.ColdRemaining
	r.current = &next
	if a.Draining && !wasDraining {
		r.recordDeparture(a.ID, a.StartedAtMs)
		return DrainStarted, nil
	}
	return Renewed, nil
}

// Deregister drains the endpoint at its own request. The parameter startedAtMs is 0
// when the endpoint does not state it. Deregister reports false when another
// incarnation or none is current; late announcements do not register the endpoint in
// that case either. It reports false and changes nothing when the start is in the future.
func (r *Registration) Deregister(id mesh.EndpointID, startedAtMs int64) bool {
	r.mu.Lock()
	if r.startsAhead(startedAtMs) {
		r.mu.Unlock()
		return false
	}
	e := r.current
	if e == nil || e.ID != id || (startedAtMs != 0 && startedAtMs < e.StartedAtMs) {
		if startedAtMs == 0 {
			startedAtMs = r.timeOfDay().UnixMilli() // It has started before that.
		}
		r.recordDeparture(id, startedAtMs)
		r.mu.Unlock()
		return false
	}
	r.recordDeparture(id, max(startedAtMs, e.StartedAtMs))
	next := *e
	next.Draining = true
	r.current, r.lastDeregistered = &next, e.Announcement
	r.mu.Unlock()
	e.Queue.Close(reasonDraining)
	r.onChange(&next)
	return true
}

// Leave drains an endpoint that has stated in a response that it leaves. It reports false
// when the endpoint has drained before or is not current.
func (r *Registration) Leave(e *Endpoint) bool {
	r.mu.Lock()
	r.recordDeparture(e.ID, e.StartedAtMs)
	if r.current == nil || r.current.Queue != e.Queue || r.current.Draining {
		r.mu.Unlock()
		return false
	}
	next := *r.current
	next.Draining = true
	r.current = &next
	r.mu.Unlock()
	next.Queue.Close(reasonDraining)
	r.onChange(&next)
	return true
}

// RejectWaiting rejects the calls that wait for the current endpoint, and all further
// ones, because the node stops.
func (r *Registration) RejectWaiting() {
	if e := r.Current(); e != nil {
		e.Queue.Close(reasonDraining)
	}
}

// Remove removes an endpoint that is no longer at its address: nothing listens
// there, or another endpoint does. The next announcement registers the endpoint
// that is there, unless that endpoint has drained. Until then other hosts send no
// calls to this host.
func (r *Registration) Remove(e *Endpoint) {
	r.mu.Lock()
	if r.current == nil || r.current.Queue != e.Queue {
		r.mu.Unlock()
		return
	}
	r.current = nil
	r.mu.Unlock()
	e.close()
	r.onChange(nil)
}

func (e *Endpoint) close() {
	e.Queue.Close(reasonDraining)
	e.pool.close()
}
