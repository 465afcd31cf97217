package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// liveHosts returns the hosts of the failure domain that may be a quota
// coordinator, sorted. Suspect hosts are included, because most suspicions are
// refuted and each change of a coordinator costs a grant period. The node itself is
// always included.
func liveHosts(view *membership.View, domain mesh.FailureDomain, self mesh.HostID) []mesh.HostID {
	hosts := []mesh.HostID{self}
	for id, r := range view.Hosts {
		alive := r.State == membership.StateAlive || r.State == membership.StateSuspect
		if r.Domain == domain && alive && id != self {
			hosts = append(hosts, id)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// coordinatorOf returns the quota coordinator of the customer by rendezvous
// hashing: the host with the highest hash of the customer and the host.
func coordinatorOf(customer mesh.CustomerID, hosts []mesh.HostID) mesh.HostID {
	var coordinator mesh.HostID
	var highest uint64
	for _, h := range hosts {
		d := xxhash.New()
		_, _ = d.WriteString(string(customer))
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(h))
		if sum := d.Sum64(); coordinator == "" || sum > highest {
			coordinator, highest = h, sum
		}
	}
	return coordinator
}

// hostHistory holds the sets of live hosts during the last grant period. A host
// that has become the coordinator of a customer must not grant shares until the
// grants of the previous coordinator have expired.
type hostHistory struct {
	sets []hostSet
	// generation counts the changes.
	generation int
}

type hostSet struct {
	hosts []mesh.HostID
	since time.Time
}

func newHostHistory(now time.Time) hostHistory {
	return hostHistory{sets: []hostSet{{since: now}}}
}

func (h *hostHistory) current() []mesh.HostID { return h.sets[len(h.sets)-1].hosts }

func (h *hostHistory) set(hosts []mesh.HostID, now time.Time) {
	if slices.Equal(hosts, h.current()) {
		return
	}
	h.sets = append(h.sets, hostSet{hosts: hosts, since: now})
	h.generation++
	// A set is kept until all grants made under it have expired.
	for len(h.sets) > 2 && now.Sub(h.sets[1].since) > coordinatorHandover {
		h.sets = h.sets[1:]
	}
}

// coordinatorHandover is the time after which no grant of a previous coordinator
// is valid.
const coordinatorHandover = GrantValidity + viewConvergence

// grantsFrom returns the time from which self may grant shares of the customer's
// limits: coordinatorHandover after another host was last the coordinator.
func (h *hostHistory) grantsFrom(customer mesh.CustomerID, self mesh.HostID) time.Time {
	for i := len(h.sets) - 2; i >= 0; i-- {
		if coordinatorOf(customer, h.sets[i].hosts) != self {
			return h.sets[i+1].since.Add(coordinatorHandover)
		}
	}
	return time.Time{}
}
