package rollout

import (
	"slices"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// maxMessageDelay is how long a message may have been on its way that says how old a
	// read of the orders is.
	maxMessageDelay = 500 * time.Millisecond
	// holdLimit is how long a version waits for the orders to be read after it was heard of.
	// It then gets the share of calls that a version under an order gets.
	holdLimit = 4 * time.Second
	// forgetAfter is how long a version without endpoints is remembered.
	forgetAfter = 30 * time.Second
	// maxCredit is the number of calls that may go to a version in a row when it got none
	// for some time.
	maxCredit = 3
)

// SeenVersion is a version of a service that has an endpoint.
type SeenVersion struct {
	Service  mesh.ServiceName
	Software string
	// StartedAtMs is the start of its first endpoint.
	StartedAtMs int64
}

// Table holds what a host knows about the versions of the services, and decides for each of
// its calls which of them it may go to. It is safe for concurrent use.
type Table struct {
	bounds    Bounds
	clock     boottime.Clock
	createdAt boottime.Time
	// initialCredit returns the credit with which a host begins.
	initialCredit func() float64

	mu       sync.Mutex
	services map[mesh.ServiceName]*service
	// readAt is when the latest read of all orders began that the states reflect.
	readAt boottime.Time
}

type service struct {
	// state is nil without an order.
	state    *State
	versions map[string]*version
	// credit is the number of calls that may go to the target version. It grows by the share
	// with each call of the service that is sent, so that the version never gets more than
	// its share of the calls of any host, nor of all, beyond the credit at the beginning.
	credit float64
	sent   int64
	// exposed counts the calls that went to the target version first.
	exposed int64
}

type version struct {
	heardAt, seenAt boottime.Time
	// established is set when the orders were read after it was heard of.
	established bool
}

// NewTable returns a table without versions. Hosts returns the number of hosts, and random
// numbers in [0, 1).
func NewTable(bounds Bounds, clock boottime.Clock, hosts func() int, random func() float64) *Table {
	return &Table{bounds: bounds, clock: clock, createdAt: clock(), services: map[mesh.ServiceName]*service{}, initialCredit: func() float64 {
		return random() * min(1, slackUse*bounds.Slack/float64(max(1, hosts())))
	}}
}

// slackUse is the part of the accepted slack that all hosts together begin with. Hosts send
// few calls each, so that without it the first calls would reach the version late. The rest
// is for calls in flight when a version is withdrawn.
const slackUse = 0.6

func (t *Table) service(name mesh.ServiceName) *service {
	s := t.services[name]
	if s == nil {
		s = &service{versions: map[string]*version{}}
		t.services[name] = s
	}
	return s
}

// Observe records the versions that have endpoints now. It returns the ones that are new for
// their service and reports whether a service has several versions.
func (t *Table) Observe(seen []SeenVersion) (added []SeenVersion, mixed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	// Of several versions that a host hears of at its start the first is the earlier one.
	seen = slices.Clone(seen)
	slices.SortFunc(seen, func(a, b SeenVersion) int { return int(min(max(a.StartedAtMs-b.StartedAtMs, -1), 1)) })
	for _, v := range seen {
		s := t.service(v.Service)
		known := s.versions[v.Software]
		if known == nil {
			known = &version{heardAt: now, established: len(s.versions) == 0}
			s.versions[v.Software] = known
			added = append(added, v)
		}
		known.seenAt = now
	}
	for name, s := range t.services {
		for software, v := range s.versions {
			if now-v.seenAt > forgetAfter {
				delete(s.versions, software)
			}
		}
		mixed = mixed || len(s.versions) > 1
		if len(s.versions) == 0 && s.state == nil {
			delete(t.services, name)
		}
	}
	t.establish()
	return added, mixed
}

// RecordRead records that the states reflect a read of all orders that began at a time.
func (t *Table) RecordRead(began boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = max(t.readAt, began)
	t.establish()
}

func (t *Table) establish() {
	for _, s := range t.services {
		for _, v := range s.versions {
			v.established = v.established || v.heardAt < t.readAt
		}
	}
}

// ReadAge returns the time since the latest read of all orders, 0 when there was none.
func (t *Table) ReadAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAt == 0 {
		return 0
	}
	return max(1, t.clock()-t.readAt)
}

// RecordMessage applies the states that another host knows. It returns the ones that
// changed.
func (t *Table) RecordMessage(m *Message) []State {
	now := t.clock()
	var changed []State
	for _, s := range m.Import(now) {
		if merged, differs := t.Merge(s); differs {
			changed = append(changed, merged)
		}
	}
	if m.ReadAge > 0 && m.ReadAge < now {
		t.RecordRead(now - m.ReadAge - maxMessageDelay)
	}
	return changed
}

// Merge applies a state and returns the one that follows, and whether that is another one.
func (t *Table) Merge(s State) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.service(s.Service)
	if known.state == nil || known.state.Order.Before(s.Order) {
		known.credit = 0
		// A process that began after the order replaces one that has used its credit.
		if t.createdAt < s.Started {
			known.credit = t.initialCredit()
		}
	}
	if known.state == nil {
		known.state = &s
		return s, true
	}
	merged := Merge(*known.state, s)
	differs := merged.Order != known.state.Order || merged.Phase != known.state.Phase || merged.Step != known.state.Step || merged.Stored != known.state.Stored
	known.state = &merged
	return merged, differs
}

// States returns the states of all roll-outs.
func (t *Table) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []State
	for _, s := range t.services {
		if s.state != nil {
			states = append(states, *s.state)
		}
	}
	return states
}

// State returns the state of the roll-out of a service, nil when there is none.
func (t *Table) State(name mesh.ServiceName) *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil && s.state != nil {
		state := *s.state
		return &state
	}
	return nil
}

// Choice says which endpoints a call may go to.
type Choice struct {
	table   *Table
	service mesh.ServiceName
	// state is nil without an order.
	state *State
	// exposed is set when the first attempt goes to the target version, or to one that is
	// held back for long; tookCredit when that has cost credit.
	exposed, tookCredit bool
	// allowed are the established versions.
	allowed []string
	// overdue are the versions that have been held back for long.
	overdue []string
	// known is set when versions of the service are known.
	known bool
}

// Choose decides for the next call to a service.
func (t *Table) Choose(name mesh.ServiceName) *Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return nil
	}
	if s.state == nil && len(s.versions) == 1 {
		return &Choice{table: t, service: name, known: true, allowed: s.established()}
	}
	c := &Choice{table: t, service: name, state: s.state, known: len(s.versions) > 0, allowed: s.established()}
	now := t.clock()
	for software, v := range s.versions {
		if !v.established && now-v.heardAt > holdLimit {
			c.overdue = append(c.overdue, software)
		}
	}
	switch {
	case s.share(t.bounds, c) >= 1:
		c.exposed = true
	case s.credit >= 1 && s.share(t.bounds, c) > 0:
		c.exposed, c.tookCredit = true, true
		s.credit--
	}
	return c
}

func (s *service) established() []string {
	var names []string
	for software, v := range s.versions {
		if v.established {
			names = append(names, software)
		}
	}
	return names
}

// share returns the share of the calls that go to the target version first, or to versions
// that are held back for long.
func (s *service) share(bounds Bounds, c *Choice) float64 {
	switch {
	case s.state != nil && !s.state.IsFinal():
		return s.state.Share
	case s.state == nil && len(c.overdue) > 0:
		return bounds.Share * shareMargin
	}
	return 0
}

// Attempt says which attempt of a call is to be made.
type Attempt uint8

// Attempts of a call.
const (
	// First is the first one.
	First Attempt = iota
	// Again follows an attempt that failed or has no answer yet.
	Again
	// AfterRejection follows an attempt that no endpoint has received.
	AfterRejection
)

// Allows reports whether an attempt may go to an endpoint. Only first attempts try a version
// that is being verified. While all calls move to the target version, those that find no
// slot there may use the earlier ones.
func (c *Choice) Allows(software string, endpoint mesh.EndpointID, attempt Attempt) bool {
	if c.state != nil && software == c.state.Target {
		return c.allowsTarget(endpoint, attempt)
	}
	isOld := c.state != nil && slices.Contains(c.state.Old, software)
	if c.state != nil && c.state.Phase == Completed && isOld {
		return false
	}
	if c.exposed && attempt == First {
		return c.state == nil && slices.Contains(c.overdue, software)
	}
	if c.exposed && attempt == Again && c.state != nil && c.state.Share >= 1 {
		return false
	}
	// A host that has just started may hear of the earlier versions last.
	return !c.known || software == "" || isOld || slices.Contains(c.allowed, software)
}

func (c *Choice) allowsTarget(endpoint mesh.EndpointID, attempt Attempt) bool {
	switch c.state.Phase {
	case Completed:
		return true
	case Verifying, Shifting:
		// The version may have been withdrawn since the call began.
		if now := c.table.State(c.service); now != nil && now.Order == c.state.Order && now.Phase == RolledBack {
			return false
		}
		return c.exposed && (attempt == First || c.state.Share >= 1) && (len(c.state.Trial) == 0 || slices.Contains(c.state.Trial, endpoint))
	}
	return false
}

// TriesVersion reports whether the first attempt is to try a version.
func (c *Choice) TriesVersion() bool { return c != nil && c.exposed }

// Done records that the call has ended: whether an endpoint may have received it, and
// whether its first attempt found no endpoint of the version that it was to try.
func (c *Choice) Done(sent, unavailable bool) {
	if c == nil {
		return
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[c.service]
	if s == nil {
		return
	}
	tried := c.exposed && !unavailable
	if tried {
		s.exposed++
	}
	if sent {
		s.sent++
	}
	if c.tookCredit && unavailable {
		s.credit++
	}
	if share := s.share(t.bounds, c); sent && share < 1 {
		s.credit = min(s.credit+share, maxCredit)
	}
}

// Usage is how many calls of a service this host has sent, and how many of these went to
// the target version first.
type Usage struct{ Sent, Exposed int64 }

// Usage returns the counts of a service since the start of the process.
func (t *Table) Usage(name mesh.ServiceName) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil {
		return Usage{Sent: s.sent, Exposed: s.exposed}
	}
	return Usage{}
}
