// Package retrybudget limits the retries of a host in proportion to its calls. The
// bound holds for all hosts together; every host keeps to its own share of it,
// so that the hosts share no counter.
package retrybudget

import (
	"math"
	"sync"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// windowBuckets is the number of buckets of a window, which slides by one bucket.
	windowBuckets = 10
	// usedRatioFraction is the fraction of the ratio that a host uses. The rest
	// covers the nested calls of retried calls, which no ingress can tell from
	// others.
	usedRatioFraction = 0.5
	// usedSlackFraction is the fraction of the slack that all hosts use together.
	usedSlackFraction = 0.5
)

// Bound is the bound for all hosts: in any Window, at most Ratio retries for each
// call to a service, and Slack more.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window boottime.Time
}

// Budget is the retry budget of one host. It is safe for concurrent use.
type Budget struct {
	bound     Bound
	clock     boottime.Clock
	hostCount func() int

	mu       sync.Mutex
	services map[mesh.ServiceName]*window
}

// window counts the calls and retries of a service in the last Window. The number
// of the current bucket is time divided by the length of a bucket.
type window struct {
	bucket  int64
	calls   [windowBuckets]int
	retries [windowBuckets]int
}

// New returns a budget. HostCount returns the number of hosts that share the bound.
func New(bound Bound, clock boottime.Clock, hostCount func() int) *Budget {
	return &Budget{bound: bound, clock: clock, hostCount: hostCount, services: map[mesh.ServiceName]*window{}}
}

// Deposit records a call to the service, which adds to its budget of retries.
func (b *Budget) Deposit(service mesh.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.calls[w.bucket%windowBuckets]++
}

// Withdraw withdraws a retry from the budget of the service and reports whether the
// bound allows it.
func (b *Budget) Withdraw(service mesh.ServiceName) bool {
	hosts := max(1, b.hostCount())
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	calls, retries := 0, 0
	for i := range windowBuckets {
		calls += w.calls[i]
		retries += w.retries[i]
	}
	slack := math.Max(1, math.Floor(b.bound.Slack*usedSlackFraction/float64(hosts)))
	if float64(retries+1) > b.bound.Ratio*usedRatioFraction*float64(calls)+slack {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// currentWindow returns the window of the service after dropping the buckets that are
// too old.
func (b *Budget) currentWindow(service mesh.ServiceName) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	now := int64(b.clock() / (b.bound.Window / windowBuckets))
	for ; w.bucket < now && now-w.bucket <= windowBuckets; w.bucket++ {
		w.calls[(w.bucket+1)%windowBuckets], w.retries[(w.bucket+1)%windowBuckets] = 0, 0
	}
	if w.bucket < now {
		*w = window{bucket: now}
	}
	return w
}
