package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// viewDelay is the time after which a view counts. The host has sent the view to its
	// former owner as well, or that one is gone or has noticed that it lost the host. It
	// exceeds the interval at which hosts look at their links.
	viewDelay = 200 * time.Millisecond
	// maxViews bounds the views of a host that are kept. It exceeds the changes that a host
	// sends in viewDelay; the quota of one with more belongs to no owner.
	maxViews = 8
)

// hostViews holds the views of a host that were valid in the last viewDelay.
type hostViews struct {
	number int64
	known  int
	// firstAt is when the first view was received.
	firstAt boottime.Time
	// unstableUntil is set when there were more than maxViews changes.
	unstableUntil boottime.Time
	views         []timedView
}

// timedView is a view and the time from which it was valid.
type timedView struct {
	unreached []uint64 // sorted
	from      boottime.Time
}

// add records a view and reports whether it is newer than those before.
func (h *hostViews) add(v *View, now boottime.Time) bool {
	if len(h.views) > 0 && v.Number <= h.number {
		return false
	}
	if len(h.views) == 0 {
		h.firstAt = now
	}
	h.prune(now)
	if len(h.views) >= maxViews {
		h.unstableUntil = now + viewDelay
		h.views = h.views[1:]
	}
	unreached := slices.Clone(v.Unreached)
	slices.Sort(unreached)
	h.number, h.known = v.Number, v.Known
	h.views = append(h.views, timedView{unreached: unreached, from: now})
	return true
}

// prune drops the views that were replaced before viewDelay.
func (h *hostViews) prune(now boottime.Time) {
	for len(h.views) > 1 && now-h.views[1].from >= viewDelay {
		h.views = h.views[1:]
	}
}

// lacks reports whether the host has reached none of the given hosts for
// viewDelay.
func (h *hostViews) lacks(hosts []uint64, now boottime.Time) bool {
	if len(h.views) == 0 || now-h.firstAt < viewDelay || now < h.unstableUntil {
		return false
	}
	h.prune(now)
	for _, v := range h.views {
		for _, host := range hosts {
			if _, isUnreached := slices.BinarySearch(v.unreached, host); !isUnreached {
				return false
			}
		}
	}
	return true
}

// Hosts are the other hosts of the mesh. The lists are sorted, and not changed once they
// are in use.
type Hosts struct {
	// Known holds those that have not stopped, whether reachable or not, Reached those
	// with a link that know quotas, and Silent those whose link went silent and that may
	// not have noticed it yet.
	Known, Reached, Silent []mesh.HostID
	// Listed is set once the hosts of the mesh have been listed.
	Listed bool
}

func (h Hosts) equal(other Hosts) bool {
	return h.Listed == other.Listed && slices.Equal(h.Known, other.Known) && slices.Equal(h.Reached, other.Reached) && slices.Equal(h.Silent, other.Silent)
}

// hostEntry is a known host.
type hostEntry struct {
	id      mesh.HostID
	hash    uint64
	reached bool
}

// hosts is what a State knows of the hosts of the mesh.
type hosts struct {
	self mesh.HostID
	// known holds the hosts of the mesh, whether reachable or not, and reached those with
	// a link; both hold this host.
	known, reached map[mesh.HostID]bool
	// silent holds the hosts whose link went silent, which may not have noticed it.
	silent map[mesh.HostID]bool
	// last are the hosts that these were made of.
	last Hosts
	// list holds the known hosts, sorted.
	list   []hostEntry
	views  map[mesh.HostID]*hostViews
	number int64
	// unsent are the reached hosts that do not have the latest view of this host.
	unsent map[mesh.HostID]bool
}

func newHosts(self mesh.HostID, number int64) hosts {
	return hosts{
		self: self, number: number, known: map[mesh.HostID]bool{}, reached: map[mesh.HostID]bool{},
		views: map[mesh.HostID]*hostViews{self: {}}, unsent: map[mesh.HostID]bool{},
	}
}

// set replaces the hosts and reports whether they have changed.
func (h *hosts) set(next Hosts, now boottime.Time) bool {
	if len(h.views[h.self].views) > 0 && next.equal(h.last) {
		return false
	}
	nextKnown, nextReached := toSet(h.self, next.Known), toSet(h.self, next.Reached)
	for host := range nextReached {
		nextKnown[host] = true
	}
	h.last, h.known, h.reached, h.silent = next, nextKnown, nextReached, toSet(h.self, next.Silent)
	h.list = make([]hostEntry, 0, len(nextKnown))
	for host := range nextKnown {
		h.list = append(h.list, hostEntry{id: host, hash: membership.HostHash(host), reached: nextReached[host]})
	}
	slices.SortFunc(h.list, func(a, b hostEntry) int { return strings.Compare(string(a.id), string(b.id)) })
	for host := range h.views {
		if !nextReached[host] {
			delete(h.views, host)
		}
	}
	h.number++
	h.views[h.self].add(h.view(), now)
	h.unsent = map[mesh.HostID]bool{}
	for host := range nextReached {
		if host != h.self {
			h.unsent[host] = true
		}
	}
	return true
}

// view returns the view of this host. A host whose link went silent is not stated as
// unreached before it has noticed that: until then it counts this one.
func (h *hosts) view() *View {
	v := &View{Number: h.number, Known: len(h.known)}
	for _, e := range h.list {
		if !e.reached && !h.silent[e.id] {
			v.Unreached = append(v.Unreached, e.hash)
		}
	}
	slices.Sort(v.Unreached)
	return v
}

// owner returns the owner of a workspace in the view of this host.
func (h *hosts) owner(w mesh.WorkspaceName) mesh.HostID {
	item := xxhash.Sum64String(string(w))
	var best mesh.HostID
	var bestWeight uint64
	for i := range h.list {
		e := &h.list[i]
		if !e.reached {
			continue
		}
		weight := membership.RendezvousWeight(item, e.hash)
		if best == "" || weight > bestWeight || weight == bestWeight && e.id > best {
			best, bestWeight = e.id, weight
		}
	}
	return best
}

// preferred returns the hashes of the known hosts that precede this one as owner.
func (h *hosts) preferred(w mesh.WorkspaceName) []uint64 {
	item := xxhash.Sum64String(string(w))
	own := membership.RendezvousWeight(item, membership.HostHash(h.self))
	var preferred []uint64
	for _, e := range h.list {
		if weight := membership.RendezvousWeight(item, e.hash); weight > own || weight == own && e.id > h.self {
			preferred = append(preferred, e.hash)
		}
	}
	return preferred
}

// part returns the fraction of the known hosts that regard this one as the owner, given
// the hosts that precede it. It is 0 while the number of hosts is not known.
func (h *hosts) part(preferred []uint64, now boottime.Time) float64 {
	known, lenders := len(h.known), 0
	for host, v := range h.views {
		if !h.reached[host] {
			continue
		}
		known = max(known, v.known)
		if v.lacks(preferred, now) {
			lenders++
		}
	}
	if !h.last.Listed && len(h.views) == 1 {
		return 0
	}
	return float64(lenders) / float64(known)
}

func toSet(self mesh.HostID, list []mesh.HostID) map[mesh.HostID]bool {
	set := map[mesh.HostID]bool{self: true}
	for _, host := range list {
		set[host] = true
	}
	return set
}
