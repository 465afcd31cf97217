package selection

import (
	"time"

	"geraniumnotch.example/geraniumnotch/routing"
)

// Probe is a target that is due for a probe. Done must be called with the result.
type Probe struct {
	Target *routing.Target

	selector  *Selector
	candidate *candidate
	// probesDomain is set when the probe checks an unreachable failure domain and not
	// the endpoint.
	probesDomain bool
}

// DueProbes returns up to limit probes that are due, of ejected endpoints and of
// unreachable failure domains. The owner of the Selector calls it once a second and
// runs the probes; the limit bounds the traffic that they cause.
func (s *Selector) DueProbes(limit int) []Probe {
	t := s.current.Load()
	if t == nil {
		return nil
	}
	now := s.cfg.Now()
	var due []Probe
	for _, g := range t.groups {
		for _, c := range g.all {
			if len(due) == limit {
				return due
			}
			if p, ok := s.dueProbe(c, now); ok {
				due = append(due, p)
			}
		}
	}
	return due
}

func (s *Selector) dueProbe(c *candidate, now time.Time) (Probe, bool) {
	p := Probe{Target: c.target, selector: s, candidate: c}
	if c.domain.unreachable.Load() {
		p.probesDomain = true
		return p, c.domain.startProbeIfDue(now)
	}
	if c.stats.state.Load() != stateEjected {
		return p, false
	}
	at := c.stats.retryAt.Load()
	if at > now.UnixNano() {
		return p, false
	}
	// Setting the next time immediately keeps a second caller from probing as well.
	next := now.Add(baseEjectionTime).UnixNano()
	return p, c.stats.retryAt.CompareAndSwap(at, next)
}

// startProbeIfDue reports whether the domain is due for a probe, and sets the time
// of the next one.
func (d *domain) startProbeIfDue(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.nextProbe) {
		return false
	}
	d.nextProbe = now.Add(domainProbeInterval)
	return true
}

// Done records whether the target answered the probe.
func (p Probe) Done(ok bool) {
	s, now := p.selector, p.selector.cfg.Now()
	if ok {
		s.recordDomainReachable(p.candidate.domain, now)
	}
	if p.probesDomain {
		return
	}
	st := p.candidate.stats
	p.candidate.service.mu.Lock()
	defer p.candidate.service.mu.Unlock()
	if st.state.Load() != stateEjected {
		return
	}
	if !ok {
		st.successfulProbes = 0
		st.ejections++
		st.retryAt.Store(now.Add(ejectionTime(st.ejections)).UnixNano())
		return
	}
	st.successfulProbes++
	if st.successfulProbes >= probesToRecover {
		s.startRecovery(p.candidate, now)
	}
}
