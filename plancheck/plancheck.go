// Package plancheck checks a route plan before it is sent to the hosts: entries that can
// never match, limits that contradict each other, and what differs from the version that is
// active. Errors are found by routeplan.Compile; a plan that is checked here is valid.
package plancheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// Kind says what a finding is about.
type Kind string

// The kinds of findings.
const (
	// NeverMatches is an entry that no call can reach.
	NeverMatches Kind = "never_matches"
	// Contradiction is a limit that makes another one useless or impossible to meet.
	Contradiction Kind = "contradiction"
)

// Finding is a part of a plan that the operator has probably not meant.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry names the entry, such as "route orders".
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// Check returns the findings in a compiled plan, by entry.
func Check(p *routeplan.Plan) []Finding {
	c := checker{plan: p, used: map[mesh.ServiceName]bool{}}
	for i := range p.Routes {
		c.checkRoute(&p.Routes[i])
	}
	for i := range p.Services {
		if name := p.Services[i].Name; !c.used[name] {
			c.add(NeverMatches, "service "+string(name), "no route leads to it")
		}
	}
	c.checkLimits()
	c.checkWorkspaces()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Entry, b.Entry) })
	return c.findings
}

type checker struct {
	plan     *routeplan.Plan
	used     map[mesh.ServiceName]bool
	findings []Finding
}

func (c *checker) add(kind Kind, entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{kind, entry, fmt.Sprintf(format, args...)})
}

func (c *checker) checkRoute(r *routeplan.Route) {
	entry := "route " + r.Name
	for _, part := range r.Split {
		if part.Weight > 0 {
			c.used[part.Service] = true
			continue
		}
		c.add(NeverMatches, entry, "service %s has weight 0", part.Service)
	}
	if strings.ContainsAny(r.Prefix, "?#") || strings.Contains(r.Prefix, " ") {
		c.add(NeverMatches, entry, "prefix %q has a character that no path has", r.Prefix)
	}
	if r.Host != strings.TrimSpace(r.Host) || strings.Contains(r.Host, "/") {
		c.add(NeverMatches, entry, "host %q is not the name of a host", r.Host)
	}
	if r.LatencyTarget > r.Timeout {
		c.add(Contradiction, entry, "latency target %s is after the timeout %s", r.LatencyTarget, r.Timeout)
	}
	if r.MaxAttempts > 1 && !r.Kind.IsIdempotent() {
		c.add(Contradiction, entry, "%d attempts, but calls of kind %s are executed once at most", r.MaxAttempts, r.Kind)
	}
	if r.Public && !c.plan.RequiresKeys() {
		c.add(Contradiction, entry, "public, but there are no workspaces: no route needs a key")
	}
}

func (c *checker) checkLimits() {
	l := c.plan.Limits
	if l.BodyBytes < int64(l.HeaderBytes) {
		c.add(Contradiction, "limits", "a body may have %d bytes and a head %d: calls with a head near its limit can hardly have a body", l.BodyBytes, l.HeaderBytes)
	}
	if l.HeaderTimeout > l.IdleTimeout {
		c.add(Contradiction, "limits", "a head may take %s, longer than a connection may be idle (%s)", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) checkWorkspaces() {
	for i := range c.plan.Workspaces {
		w := &c.plan.Workspaces[i]
		entry := "workspace " + string(w.Name)
		switch {
		case len(w.Keys) == 0:
			c.add(NeverMatches, entry, "it has no key")
		case w.HasQuota() && w.Burst < 1:
			c.add(Contradiction, entry, "a quota of %g calls a second with a burst of %g admits no call", w.CallsPerSecond, w.Burst)
		case !w.HasQuota() && w.Burst > 0:
			c.add(Contradiction, entry, "a burst of %g without a rate limits nothing", w.Burst)
		}
	}
}

// Change is an entry that differs between two plans. Before or After is empty for an entry
// that only one of them has.
type Change struct {
	Entry  string `json:"entry"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the changes from one plan to another, by entry. Keys are shown as
// fingerprints.
func Diff(from, to *routeplan.Plan) []Change {
	before, after := describe(from), describe(to)
	var changes []Change
	for _, entry := range slices.Sorted(maps.Keys(before)) {
		if before[entry] != after[entry] {
			changes = append(changes, Change{entry, before[entry], after[entry]})
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(after)) {
		if before[entry] == "" {
			changes = append(changes, Change{Entry: entry, After: after[entry]})
		}
	}
	return changes
}

// describe returns the text of each entry of a plan.
func describe(p *routeplan.Plan) map[string]string {
	entries := map[string]string{
		"version": fmt.Sprint(p.Version),
		"limits":  fmt.Sprintf("head %d bytes in %s, body %d bytes, idle %s", p.Limits.HeaderBytes, p.Limits.HeaderTimeout, p.Limits.BodyBytes, p.Limits.IdleTimeout),
	}
	for i := range p.Services {
		s := &p.Services[i]
		entries["service "+string(s.Name)] = fmt.Sprintf("health path %s, %d connections", s.HealthPath, s.MaxConnections)
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		parts := make([]string, 0, len(r.Split))
		for _, part := range r.Split {
			parts = append(parts, fmt.Sprintf("%s (%g)", part.Service, part.Weight))
		}
		entries["route "+r.Name] = fmt.Sprintf("%s%s to %s, %s, rank %d, timeout %s, target %s, %d attempts, public %t",
			r.Host, r.Prefix, strings.Join(parts, ", "), r.Kind, r.Rank, r.Timeout, r.LatencyTarget, r.MaxAttempts, r.Public)
	}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		keys := make([]string, 0, len(w.Keys))
		for _, key := range w.Keys {
			keys = append(keys, key.String())
		}
		slices.Sort(keys)
		rank := "of the route"
		if w.HasRank {
			rank = fmt.Sprint(w.Rank)
		}
		entries["workspace "+string(w.Name)] = fmt.Sprintf("keys %s, rank %s, %g calls a second, burst %g", strings.Join(keys, " "), rank, w.CallsPerSecond, w.Burst)
	}
	return entries
}
