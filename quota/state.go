package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// TickInterval is the interval at which Tick is called. It bounds how much later than
	// its limit a call that waits is rejected.
	TickInterval = 50 * time.Millisecond
	// answerTimeout is the time after which an owner is asked again. It exceeds the round
	// trip between failure domains under load.
	answerTimeout = 60 * time.Millisecond
	// MaxWait bounds the time for which a call waits for a token: two demands. It is an
	// eighth of a latency target of a second.
	MaxWait = 125 * time.Millisecond
	// maxGap is the time without a call after which the process was suspended for longer
	// than other hosts keep a silent link.
	maxGap = 1500 * time.Millisecond
	// noOwnerRetry is the retry-after while the owner is not agreed on or does not answer,
	// the time in which a changed owner starts to grant.
	noOwnerRetry = 250 * time.Millisecond
	// minRetry keeps clients from coming back within the hold of an empty bucket.
	minRetry = 2 * maxHold
	// refundInterval is the longest time for which refunds wait for a demand that tells
	// the owner.
	refundInterval = 100 * time.Millisecond
	// viewWait is the time after which a host that has sent no view is asked for it. It is
	// twice viewInterval where that is longer.
	viewWait = 200 * time.Millisecond
	// viewIntervalPerHost times the number of known hosts is the shortest time between two
	// views of a host. While a mesh forms, each link changes the views of its hosts, which
	// all others get: without a limit their bytes grow with the third power of the hosts.
	// At 64 hosts it is a quarter of a second, an eighth of the time for which a host that
	// starts waits for others; at 300 hosts, views take 0.4 MB/s a host while links change
	// (calculated).
	viewIntervalPerHost = 4 * time.Millisecond
)

// State decides about the calls of workspaces at one host, and owns the quotas of some
// workspaces for all. It does no I/O and is not safe for concurrent use.
type State struct {
	bound  Bound
	random *rand.Rand
	hosts  hosts
	limits map[mesh.WorkspaceName]Limit
	owners map[mesh.WorkspaceName]mesh.HostID
	// owned holds the buckets of the workspaces that this host owns in its own view.
	owned map[mesh.WorkspaceName]*ownedBucket
	hands map[mesh.WorkspaceName]*hand
	// order holds the keys of hands, sorted, so that a State repeats what it does.
	order  []mesh.WorkspaceName
	calls  uint64
	lastAt boottime.Time
	// wantedAt is when views were last asked for.
	wantedAt boottime.Time
	// viewsSentAt is when views were last sent, if viewsSent is set.
	viewsSentAt boottime.Time
	viewsSent   bool
	out         Output
	Counters    Counters
}

// ownedBucket is a bucket and the hosts that precede this one as its owner.
type ownedBucket struct {
	*bucket
	preferred []uint64
}

// Counters counts what a State has decided.
type Counters struct {
	// Admitted and Rejected count calls; Waited those that waited for an answer, NoAnswer
	// rejected ones whose owner did not answer.
	Admitted, Rejected, Waited, NoAnswer int64
	// Granted counts the tokens that this host has granted as an owner, Refunded the
	// refunds that it has received.
	Granted, Refunded int64
	// Emptied counts the suspensions after which buckets were emptied.
	Emptied int64
}

// New returns the state of a host. Number must rise with each start of the host.
func New(self mesh.HostID, bound Bound, number int64, random *rand.Rand, now boottime.Time) *State {
	s := &State{
		bound: bound, random: random, hosts: newHosts(self, number), lastAt: now,
		limits: map[mesh.WorkspaceName]Limit{}, owned: map[mesh.WorkspaceName]*ownedBucket{}, hands: map[mesh.WorkspaceName]*hand{},
	}
	s.SetHosts(Hosts{}, now)
	return s
}

// SetPlan replaces the quotas of the workspaces.
func (s *State) SetPlan(limits map[mesh.WorkspaceName]Limit, now boottime.Time) {
	s.advance(now)
	s.limits = limits
	s.order = slices.DeleteFunc(s.order, func(w mesh.WorkspaceName) bool {
		if _, ok := limits[w]; ok {
			return false
		}
		s.reject(s.hands[w], s.hands[w].waiting, noOwnerRetry)
		delete(s.hands, w)
		return true
	})
	s.assignOwners(now)
}

// SetHosts replaces the hosts of the mesh.
func (s *State) SetHosts(hosts Hosts, now boottime.Time) {
	s.advance(now)
	if s.hosts.set(hosts, now) {
		s.assignOwners(now)
		s.sendViews(now)
	}
}

// assignOwners computes the owners. The bucket of a workspace that this host begins to own
// is empty.
func (s *State) assignOwners(now boottime.Time) {
	s.owners = make(map[mesh.WorkspaceName]mesh.HostID, len(s.limits))
	for w, limit := range s.limits {
		s.owners[w] = s.hosts.owner(w)
		if s.owners[w] != s.hosts.self {
			continue
		}
		o := s.owned[w]
		if o == nil {
			o = &ownedBucket{bucket: newBucket(limit, now)}
			s.owned[w] = o
		}
		o.preferred = s.hosts.preferred(w)
	}
	for w := range s.owned {
		if s.owners[w] != s.hosts.self {
			delete(s.owned, w)
		}
	}
	s.updateParts(now)
}

// updateParts computes the parts of the quotas that this host fills.
func (s *State) updateParts(now boottime.Time) {
	for w, o := range s.owned {
		o.set(s.bound, s.limits[w], s.hosts.part(o.preferred, now), now)
	}
}

// advance empties the buckets after a suspension: another host may have become the owner
// meanwhile.
func (s *State) advance(now boottime.Time) {
	gap := now - s.lastAt
	s.lastAt = max(s.lastAt, now)
	if gap <= maxGap || len(s.limits) == 0 { // Without limits there is nothing to empty.
		return
	}
	s.Counters.Emptied++
	for w := range s.owned {
		s.owned[w].bucket = newBucket(s.limits[w], now)
	}
	for host := range s.hosts.views {
		if host != s.hosts.self {
			delete(s.hosts.views, host)
		}
	}
	s.updateParts(now)
}

// Acquire asks for a token for a call. The decision is returned if it is known now, else
// it is an output of this or a later call, by the number that is returned.
func (s *State) Acquire(w mesh.WorkspaceName, now boottime.Time) (Decision, bool) {
	s.advance(now)
	s.calls++
	d := Decision{Call: s.calls}
	if _, ok := s.limits[w]; !ok {
		// The plan has just been replaced: the workspace has lost its limit, or gets it now.
		s.Counters.Admitted++
		d.Admitted = true
		return d, true
	}
	h := s.handOf(w)
	h.observe(now)
	if len(h.waiting) == 0 && h.take(now) {
		s.Counters.Admitted++
		d.Admitted = true
		return d, true
	}
	if now < h.emptyUntil {
		s.Counters.Rejected++
		h.rejected++
		d.RetryAfter = s.spread(h.roomAt - now)
		return d, true
	}
	h.waiting = append(h.waiting, waiter{call: d.Call, until: now + MaxWait})
	s.Counters.Waited++
	if h.asked.number == 0 {
		s.ask(w, h, now)
	}
	return d, false
}

func (s *State) handOf(w mesh.WorkspaceName) *hand {
	h := s.hands[w]
	if h == nil {
		h = &hand{}
		s.hands[w] = h
		i, _ := slices.BinarySearch(s.order, w)
		s.order = slices.Insert(s.order, i, w)
	}
	return h
}

// Cancel ends the wait of a call.
func (s *State) Cancel(w mesh.WorkspaceName, call uint64) {
	if h := s.hands[w]; h != nil {
		h.waiting = slices.DeleteFunc(h.waiting, func(x waiter) bool { return x.call == call })
	}
}

// Refund returns the token of a call that no endpoint received.
func (s *State) Refund(w mesh.WorkspaceName, now boottime.Time) {
	if h := s.hands[w]; h != nil {
		if h.refunds == 0 {
			h.refundedAt = now
		}
		h.refunds++
	}
}

// ask asks the owner for tokens.
func (s *State) ask(w mesh.WorkspaceName, h *hand, now boottime.Time) {
	owner := s.owners[w]
	a := h.ask(w, owner, now)
	if owner == s.hosts.self {
		s.receive(w, h, s.grant(&a, now), now)
		return
	}
	s.out.Messages = append(s.out.Messages, Message{To: owner, Demand: &Demand{Version: messageVersion, Asks: []Ask{a}}})
}

// grant answers an ask. A host that is not the owner in its own view grants nothing.
func (s *State) grant(a *Ask, now boottime.Time) GrantEntry {
	e := GrantEntry{Workspace: a.Workspace, Number: a.Number, RetryMs: uint32(noOwnerRetry.Milliseconds())}
	o := s.owned[a.Workspace]
	if o == nil {
		return e
	}
	calls, retry := o.grant(s.bound, a, now)
	s.Counters.Granted += int64(calls)
	s.Counters.Refunded += int64(a.Refunds)
	e.Calls, e.RetryMs = calls, uint32(retry.Milliseconds())
	return e
}

// receive applies the answer of an owner.
func (s *State) receive(w mesh.WorkspaceName, h *hand, g GrantEntry, now boottime.Time) {
	admitted, rejected := h.receive(g, s.bound.tokenLife(), now)
	for _, x := range admitted {
		s.Counters.Admitted++
		s.out.Decisions = append(s.out.Decisions, Decision{Call: x.call, Admitted: true})
	}
	s.reject(h, rejected, h.roomAt-now)
	if len(h.waiting) > 0 {
		s.ask(w, h, now)
	}
}

func (s *State) reject(h *hand, rejected []waiter, room time.Duration) {
	for _, x := range rejected {
		s.Counters.Rejected++
		s.out.Decisions = append(s.out.Decisions, Decision{Call: x.call, RetryAfter: s.spread(room)})
	}
}

// spread returns a retry-after around the time until there is room, so that rejected
// clients do not come back together.
func (s *State) spread(room time.Duration) time.Duration {
	return lo.Clamp(time.Duration(float64(room)*(0.75+0.5*s.random.Float64())), minRetry, maxBacklog)
}

// HandleDemand handles the message of a host. It must be valid.
func (s *State) HandleDemand(from mesh.HostID, d *Demand, now boottime.Time) {
	s.advance(now)
	if d.View != nil {
		v := s.hosts.views[from]
		if v == nil {
			v = &hostViews{}
			s.hosts.views[from] = v
		}
		v.add(d.View, now) // Tick updates the parts, well before the view counts elsewhere.
	}
	if d.WantsView {
		s.hosts.unsent[from] = true
		s.sendViews(now)
	}
	if len(d.Asks) == 0 {
		return
	}
	g := &Grant{Version: messageVersion}
	for i := range d.Asks {
		g.Grants = append(g.Grants, s.grant(&d.Asks[i], now))
	}
	s.out.Messages = append(s.out.Messages, Message{To: from, Grant: g})
}

// HandleGrant handles the answer of an owner. It must be valid. An answer to an earlier
// demand than the latest is ignored, and its tokens expire.
func (s *State) HandleGrant(from mesh.HostID, g *Grant, now boottime.Time) {
	s.advance(now)
	for _, e := range g.Grants {
		h := s.hands[e.Workspace]
		if h != nil && h.asked.to == from && h.asked.number == e.Number && e.Number != 0 {
			s.receive(e.Workspace, h, e, now)
		}
	}
}

// Unsent records that a view could not be sent.
func (s *State) Unsent(to mesh.HostID) {
	if s.hosts.reached[to] {
		s.hosts.unsent[to] = true
	}
}

// Tick asks again for what was not answered, rejects calls that have waited for too long
// and tells other hosts what they lack. It is called at each TickInterval.
func (s *State) Tick(now boottime.Time) {
	s.advance(now)
	s.updateParts(now)
	for _, w := range s.order {
		s.tickHand(w, s.hands[w], now)
	}
	s.sendViews(now)
	if now-s.wantedAt >= max(viewWait, 2*s.viewInterval()) {
		s.wantedAt = now
		for _, e := range s.hosts.list {
			if e.reached && s.hosts.views[e.id] == nil {
				s.out.Messages = append(s.out.Messages, Message{To: e.id, Demand: &Demand{Version: messageVersion, WantsView: true}})
			}
		}
	}
}

func (s *State) tickHand(w mesh.WorkspaceName, h *hand, now boottime.Time) {
	expired := lo.CountBy(h.waiting, func(x waiter) bool { return now >= x.until })
	if expired > 0 { // The calls wait in the order of their arrival.
		s.Counters.NoAnswer += int64(expired)
		s.reject(h, h.waiting[:expired], noOwnerRetry)
		h.waiting = h.waiting[expired:]
	}
	isLost := h.asked.number != 0 && (now-h.asked.sentAt >= answerTimeout || h.asked.to != s.owners[w])
	if isLost {
		h.asked = demand{}
	}
	isRefundDue := h.refunds > 0 && now-h.refundedAt >= refundInterval
	if h.asked.number == 0 && (len(h.waiting) > 0 || isRefundDue) {
		s.ask(w, h, now)
	}
}

// viewInterval returns the shortest time between two views.
func (s *State) viewInterval() time.Duration {
	return time.Duration(len(s.hosts.known)) * viewIntervalPerHost
}

// sendViews sends the view of this host to those that lack it, once viewInterval has passed.
// All of them get it at the same time: an owner that the view adds must not learn of it
// before the one that it takes away.
func (s *State) sendViews(now boottime.Time) {
	if len(s.hosts.unsent) == 0 || s.viewsSent && now-s.viewsSentAt < s.viewInterval() {
		return
	}
	s.viewsSentAt, s.viewsSent = now, true
	view := s.hosts.view()
	unsent := lo.Keys(s.hosts.unsent)
	slices.Sort(unsent)
	for _, host := range unsent {
		s.out.Messages = append(s.out.Messages, Message{To: host, Demand: &Demand{Version: messageVersion, View: view}})
	}
	clear(s.hosts.unsent)
}

// TakeOutput returns what is to be done since the last call.
func (s *State) TakeOutput() Output {
	out := s.out
	s.out = Output{}
	return out
}

// Owned returns the number of workspaces whose quota this host owns.
func (s *State) Owned() int { return len(s.owned) }

// HasQuota reports whether the plan limits the workspace.
func (s *State) HasQuota(w mesh.WorkspaceName) bool {
	_, ok := s.limits[w]
	return ok
}

// Owner returns the owner of the quota of a workspace in the view of this host.
func (s *State) Owner(w mesh.WorkspaceName) mesh.HostID { return s.owners[w] }

// SmallestPart returns the smallest part of an owned quota that is filled, 1 without any.
func (s *State) SmallestPart() float64 {
	smallest := 1.0
	for _, o := range s.owned {
		smallest = min(smallest, o.part)
	}
	return smallest
}
