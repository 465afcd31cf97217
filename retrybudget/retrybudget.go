// Package retrybudget bounds how many calls a host sends to a second endpoint. Every
// host keeps to its own part of a bound that holds for all hosts together, so
// that no counter has to be shared.
package retrybudget

import (
	"math"
	"sync"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// buckets is the number of parts of a window; the window slides by one part.
	buckets = 10
	// ratioMargin is the part of the ratio that a host uses. The rest covers
	// calls that repeated calls make, which no entry can tell from others.
	ratioMargin = 0.5
	// slackMargin is the part of the slack that all hosts use together.
	slackMargin = 0.5
)

// Bound is the bound for all hosts: in any Window, at most Ratio repeats for
// each call to a service, and Slack more.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window boottime.Time
}

// Budget decides about repeats of one host. It is safe for concurrent use.
type Budget struct {
	bound Bound
	clock boottime.Clock
	hosts func() int

	mu       sync.Mutex
	services map[mesh.ServiceName]*window
}

// window counts the calls and repeats of a service in the last Window.
type window struct {
	at      int64
	calls   [buckets]int
	repeats [buckets]int
}

// New returns a budget. Hosts returns the number of hosts that share the bound.
func New(bound Bound, clock boottime.Clock, hosts func() int) *Budget {
	return &Budget{bound: bound, clock: clock, hosts: hosts, services: map[mesh.ServiceName]*window{}}
}

// Earn counts a call to the service.
func (b *Budget) Earn(service mesh.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(service)
	w.calls[w.at%buckets]++
}

// Spend counts a repeat and reports true if the bound allows one.
func (b *Budget) Spend(service mesh.ServiceName) bool {
	hosts := max(1, b.hosts())
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(service)
	calls, used := 0, 0
	for i := range buckets {
		calls += w.calls[i]
		used += w.repeats[i]
	}
	share := math.Max(1, math.Floor(b.bound.Slack*slackMargin/float64(hosts)))
	if float64(used+1) > b.bound.Ratio*ratioMargin*float64(calls)+share {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
}

// current returns the window of the service, moved on to the present.
func (b *Budget) current(service mesh.ServiceName) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	now := int64(b.clock() / (b.bound.Window / buckets))
	for ; w.at < now && now-w.at <= buckets; w.at++ {
		w.calls[(w.at+1)%buckets], w.repeats[(w.at+1)%buckets] = 0, 0
	}
	if w.at < now {
		*w = window{at: now}
	}
	return w
}
