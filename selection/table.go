package selection

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routing"
)

// maxSlotRatio is the maximum ratio between the weight of an endpoint and the median
// number of slots of its service, in both directions, so that an endpoint that
// announces too many slots does not attract all calls.
const maxSlotRatio = 4

// Table holds the candidates of one snapshot. It is immutable; the statistics that it
// points to are shared with other tables.
type Table struct {
	selector     *Selector
	snapshot     *routing.Snapshot
	groups       map[mesh.ServiceName]*group
	localTargets []*routing.Target
}

// isCurrentFor reports whether the table was built from the snapshot or from a newer
// one. Without the second case a slow call that still holds an old snapshot would
// restore its table, and discard the statistics of new endpoints.
func (t *Table) isCurrentFor(snapshot *routing.Snapshot) bool {
	if t == nil || t.snapshot == snapshot {
		return t != nil
	}
	if snapshot == nil || t.snapshot == nil {
		return false
	}
	return snapshot.Version.Sequence < t.snapshot.Version.Sequence || viewGeneration(snapshot) < viewGeneration(t.snapshot)
}

func viewGeneration(s *routing.Snapshot) uint64 {
	if s.View == nil {
		return 0
	}
	return s.View.Generation
}

// LocalTargets returns one target of each host of the local domain. The slice must not
// be modified.
func (t *Table) LocalTargets() []*routing.Target { return t.localTargets }

// Snapshot returns the snapshot that the table was built from.
func (t *Table) Snapshot() *routing.Snapshot { return t.snapshot }

// group holds the candidates of one service.
type group struct {
	service *service
	local   []*candidate
	remote  []*candidate
	all     []*candidate
	turn    atomic.Uint64
}

// candidate is a target of one snapshot with its statistics.
type candidate struct {
	target *routing.Target
	stats  *stats
	domain *domain
	// service is shared by the candidates of a service in all tables.
	service *service
	// slots is the announced number of slots, at least 1.
	slots float64
	// weight is slots, limited by maxSlotRatio.
	weight float64
}

// service is the state that all endpoints of a service share.
type service struct {
	name mesh.ServiceName
	// latency is the moving average over all endpoints, in seconds.
	latency average
	// members is the candidate list of the newest table.
	members atomic.Pointer[[]*candidate]
	// mu serializes ejections and recoveries within the service.
	mu            sync.Mutex
	nextCappedLog time.Time
}

func (s *Selector) rebuild(snapshot *routing.Snapshot) *Table {
	t := &Table{selector: s, snapshot: snapshot, groups: map[mesh.ServiceName]*group{}}
	next := make(map[routing.Key]*stats, len(s.stats))
	initial := s.current.Load() == nil
	if snapshot != nil {
		for name, targets := range snapshot.Targets {
			t.groups[name] = s.buildGroup(snapshot, name, targets, next, initial)
		}
	}
	s.stats = next
	s.countHosts(t)
	t.collectLocalTargets()
	return t
}

func (t *Table) collectLocalTargets() {
	seen := map[mesh.HostID]bool{}
	for _, g := range t.groups {
		for _, c := range g.local {
			if !seen[c.target.Host] {
				seen[c.target.Host] = true
				t.localTargets = append(t.localTargets, c.target)
			}
		}
	}
}

func (s *Selector) buildGroup(snapshot *routing.Snapshot, name mesh.ServiceName, targets []*routing.Target, next map[routing.Key]*stats, initial bool) *group {
	g := &group{service: s.ensureService(name)}
	median := medianSlots(targets)
	for _, target := range targets {
		st := s.statsFor(snapshot, target, initial)
		next[target.Key()] = st
		c := &candidate{target: target, stats: st, domain: s.ensureDomain(target.Domain), service: g.service}
		c.slots = max(1, float64(target.Endpoint.Slots))
		c.weight = min(max(c.slots, median/maxSlotRatio), median*maxSlotRatio)
		g.add(c, s.cfg.Domain)
	}
	g.service.members.Store(&g.all)
	return g
}

func (g *group) add(c *candidate, localDomain mesh.FailureDomain) {
	g.all = append(g.all, c)
	if c.target.Domain == localDomain {
		g.local = append(g.local, c)
		return
	}
	g.remote = append(g.remote, c)
}

func medianSlots(targets []*routing.Target) float64 {
	slots := make([]uint16, len(targets))
	for i, t := range targets {
		slots[i] = t.Endpoint.Slots
	}
	slices.Sort(slots)
	return max(1, float64(slots[len(slots)/2]))
}

func (s *Selector) ensureService(name mesh.ServiceName) *service {
	if known := s.services[name]; known != nil {
		return known
	}
	created := &service{name: name}
	s.services[name] = created
	return created
}

// statsFor returns the statistics of a target from the last table. They are new for
// a new incarnation of the host, and for an endpoint that was not in the last table.
// A new endpoint begins with a slow start; in the initial table only one that its host
// reports as cold does.
func (s *Selector) statsFor(snapshot *routing.Snapshot, target *routing.Target, initial bool) *stats {
	incarnation := incarnationOf(snapshot, target.Host)
	if old := s.stats[target.Key()]; old != nil && old.incarnation == incarnation {
		return old
	}
	created := &stats{incarnation: incarnation}
	inSlowStart := target.Endpoint.State == membership.EndpointSlowStart
	if inSlowStart || !initial {
		created.beginSlowStart(s.cfg.Now(), time.Duration(target.Endpoint.ColdStartMs)*time.Millisecond)
	}
	return created
}

func incarnationOf(snapshot *routing.Snapshot, host mesh.HostID) uint64 {
	if snapshot.View == nil || snapshot.View.Hosts[host] == nil {
		return 0
	}
	return snapshot.View.Hosts[host].Incarnation
}
