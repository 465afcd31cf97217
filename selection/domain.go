package selection

import (
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// unreachableMinHosts is the number of hosts to which connections must fail
	// before their domain counts as unreachable. In a domain with fewer known hosts
	// they must fail to all of them.
	unreachableMinHosts = 2
	// unreachableMinFailures is the minimum number of connect failures, over all
	// hosts of the domain, before it counts as unreachable.
	unreachableMinFailures = 3
	// domainProbeInterval is the time between two probes of an unreachable domain.
	domainProbeInterval = time.Second
)

// domain holds what this node observed of a failure domain.
type domain struct {
	name        mesh.FailureDomain
	local       bool
	unreachable atomic.Bool
	// failures counts connect failures since a host of the domain last answered.
	failures atomic.Int32

	mu          sync.Mutex
	hosts       int
	failedHosts map[mesh.HostID]struct{}
	nextProbe   time.Time
}

func (s *Selector) ensureDomain(name mesh.FailureDomain) *domain {
	if known := s.domains[name]; known != nil {
		return known
	}
	created := &domain{name: name, local: name == s.cfg.Domain, failedHosts: map[mesh.HostID]struct{}{}}
	s.domains[name] = created
	return created
}

// countHosts records how many hosts of each domain the table can choose.
func (s *Selector) countHosts(t *Table) {
	hosts := map[*domain]map[mesh.HostID]struct{}{}
	for _, g := range t.groups {
		for _, c := range g.all {
			if hosts[c.domain] == nil {
				hosts[c.domain] = map[mesh.HostID]struct{}{}
			}
			hosts[c.domain][c.target.Host] = struct{}{}
		}
	}
	for _, d := range s.domains {
		d.mu.Lock()
		d.hosts = len(hosts[d])
		d.mu.Unlock()
	}
}

// recordConnectFailure records a connect failure to a host and marks its domain
// unreachable when enough hosts failed. The local domain is never marked as a
// whole; its endpoints are ejected one by one.
func (s *Selector) recordConnectFailure(c *candidate, now time.Time) {
	d := c.domain
	failures := d.failures.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedHosts[c.target.Host] = struct{}{}
	enough := len(d.failedHosts) >= min(unreachableMinHosts, d.hosts) && failures >= unreachableMinFailures
	if d.local || !enough || d.unreachable.Load() {
		return
	}
	d.nextProbe = now.Add(domainProbeInterval)
	d.unreachable.Store(true)
	eventDomainUnreachable.Log(s.cfg.Logger, "domain", d.name, "hosts", len(d.failedHosts))
}

// recordDomainReachable records that a host of the domain answered, and makes an
// unreachable domain reachable again.
func (s *Selector) recordDomainReachable(d *domain, _ time.Time) {
	if d.failures.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures.Store(0)
	clear(d.failedHosts)
	if d.unreachable.CompareAndSwap(true, false) {
		eventDomainReachable.Log(s.cfg.Logger, "domain", d.name)
	}
}
