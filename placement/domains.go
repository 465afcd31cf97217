package placement

import (
	"math"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const (
	// leavingTime is the time constant of the share of calls that leave the domain by
	// reported loads. Reports are up to 0.5 s old, and hosts that follow them at once all
	// leave or stay together until the next ones.
	leavingTime = time.Second
	// stayGoneFraction is the fraction of the cost of the bytes that the gain must still
	// have for calls to leave by the share, when leaving does not pay at the moment. With
	// any gain, an eighth more calls leave than their domain has in excess while its load
	// falls (docs/design/domains.md).
	stayGoneFraction = 0.5
	// maxLeavingWeight is the highest weight of one call in that share, so that single
	// calls of a rarely used route do not turn it.
	maxLeavingWeight = 0.2
	// leavingMemory is how long an unused share is kept.
	leavingMemory = time.Minute
	// spareDelayFraction is the part of the time that a call can wait within its target
	// up to which a queue counts as room. Gates of a service that is short have queues
	// close to that time, others only for moments.
	spareDelayFraction = 0.75
	// finishMargin is the number of service times that a call needs within its target, as
	// at the gates.
	finishMargin = 4.0 / 3
)

// Reason says why a call was placed in its failure domain or left it.
type Reason uint8

// Reasons of placements.
const (
	// NoEndpoint means that no endpoint can take the call.
	NoEndpoint Reason = iota
	// LocalFree means that an endpoint of the local domain has free slots.
	LocalFree
	// LocalQueue means that the call waits in the local domain, since that costs its
	// caller less than the bytes do.
	LocalQueue
	// RemoteFull means that the call stays, or is rejected, because no remote domain has
	// free slots.
	RemoteFull
	// LeftByValue means that a call of few bytes left for the endpoint of the highest
	// expected value.
	LeftByValue
	// LeftByLoad means that the call left because of the reported loads of the local
	// endpoints, LeftAsExcess because a local endpoint rejected it.
	LeftByLoad
	LeftAsExcess
	// LeftWithoutLocal means that the local domain has no endpoint that can take the call.
	LeftWithoutLocal
)

// String returns the name of the reason for metrics.
func (r Reason) String() string {
	return [...]string{"no_endpoint", "local_free", "local_queue", "remote_full", "value", "load", "excess", "no_local"}[min(r, LeftWithoutLocal)]
}

// Left reports whether the call left its domain.
func (r Reason) Left() bool { return r >= LeftByValue }

// ServiceClass identifies the calls that share a decision.
type ServiceClass struct {
	Service mesh.ServiceName
	Class   slotqueue.Class
}

// Domains decides which calls leave the failure domain. Calls whose bytes cost little go
// where their expected value is highest. Others leave only as the excess that the local
// endpoints cannot serve in time, and only to endpoints with free slots: if all domains
// are short, a call that leaves displaces another one. It is safe for concurrent use. The
// number of its shares is bounded by the services and classes of the route plan.
type Domains struct {
	mu      sync.Mutex
	shares  map[ServiceClass]*leavingShare
	sweptAt boottime.Time
}

// leavingShare is the moving average of the share of calls for which leaving pays. By it
// calls leave also while the latest report says otherwise, so that hosts which get the same
// reports do not leave and stay together.
type leavingShare struct {
	value     float64
	updatedAt boottime.Time
}

// NewDomains returns the state of a host that has placed no calls.
func NewDomains() *Domains { return &Domains{shares: map[ServiceClass]*leavingShare{}} }

// byteCost returns the cost of the bytes of the call between domains, as a fraction of the
// value of a call. It is bounded because bytes alone do not outweigh a caller that gets no
// answer in the local domain.
func (c Call) byteCost() float64 {
	return min(1-minRemoteDomainFactor, c.RemoteByteCost*float64(max(0, c.Bytes)))
}

// Choose returns the index of the candidate for a call, or -1 if none can take it, and why
// it stays in its domain or leaves. Random returns numbers in [0, 1).
func (d *Domains) Choose(key ServiceClass, candidates []Candidate, call Call, now boottime.Time, random func() float64) (int, Reason) {
	// The random part of the values outweighs lower costs.
	if call.byteCost() <= jitter {
		return chooseByValue(candidates, call, random)
	}
	typical := estimateTypical(candidates)
	local := chooseLocal(candidates, typical, call.TargetRemaining, random)
	if local >= 0 {
		d.update(key, false, now)
		return local, LocalFree
	}
	o := assess(candidates, typical, call, random)
	if !o.hasLocal {
		return chooseByValue(candidates, call, random)
	}
	// Bytes do not outweigh a caller that gets no answer in the local domain.
	gain := o.remoteValue - o.localValue
	pays := o.remote >= 0 && (o.local < 0 || gain > call.byteCost())
	share := d.update(key, pays, now)
	switch {
	case pays && o.rejected:
		return o.remote, LeftAsExcess
	case o.remote >= 0 && gain > stayGoneFraction*call.byteCost() && random() < share:
		return o.remote, LeftByLoad
	case o.local >= 0 && o.remote < 0:
		return o.local, RemoteFull
	case o.local >= 0:
		return o.local, LocalQueue
	}
	return -1, RemoteFull
}

// chooseByValue chooses by expected value, with a factor for remote domains.
func chooseByValue(candidates []Candidate, call Call, random func() float64) (int, Reason) {
	i := Choose(candidates, call, random)
	switch {
	case i < 0:
		return i, NoEndpoint
	case candidates[i].SameDomain:
		return i, LocalFree
	}
	for j := range candidates {
		if candidates[j].SameDomain && candidates[j].isUsable() {
			return i, LeftByValue
		}
	}
	return i, LeftWithoutLocal
}

// isUsable reports whether the endpoint may be able to take a call.
func (c *Candidate) isUsable() bool { return c.Slots > 0 && !c.Stale }

// options holds what a call can expect in its domain and elsewhere.
type options struct {
	// hasLocal is set when the local domain has an endpoint, rejected when one has rejected
	// the call.
	hasLocal, rejected bool
	// local is the best local candidate, remote one of the remote candidates with free
	// slots, -1 if there are none.
	local, remote           int
	localValue, remoteValue float64
}

// assess compares the local domain with the free slots of the others. The remote candidate
// is drawn by the rate at which free slots serve calls, since all hosts of a domain that is
// short would otherwise choose the same one.
func assess(candidates []Candidate, typical estimate, call Call, random func() float64) options {
	o := options{local: -1, remote: -1}
	bestJittered := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.SameDomain && c.isUsable() {
			o.hasLocal = true
			o.rejected = o.rejected || c.Excluded
		}
		if c.Excluded || c.Slots <= 0 || !c.SameDomain {
			continue
		}
		value := c.callerValue(typical, call)
		o.localValue = max(o.localValue, value)
		if jittered := value * (1 - jitter*random()); o.local < 0 || jittered > bestJittered {
			o.local, bestJittered = i, jittered
		}
	}
	total := 0.0
	for i := range candidates {
		total += candidates[i].visitorRate(typical, call, o.local < 0)
	}
	remaining := total * random()
	for i := range candidates {
		c := &candidates[i]
		rate := c.visitorRate(typical, call, o.local < 0)
		if rate <= 0 {
			continue
		}
		o.remote, o.remoteValue = i, c.callerValue(typical, call)
		if remaining -= rate; remaining < 0 {
			break
		}
	}
	return o
}

// visitorRate returns the rate at which the free slots of a remote endpoint serve calls, 0
// if it has none. The slots above maxPreferredOccupancy are left for calls of its domain,
// but not from a call that all endpoints of its own domain have rejected: that one may also
// wait for a while.
func (c *Candidate) visitorRate(typical estimate, call Call, rejected bool) float64 {
	if c.SameDomain || c.Excluded || c.Stale || c.Slots <= 0 || c.FailureRatio >= minFailingFraction {
		return 0
	}
	serviceTime, slots := c.serviceTime(typical), c.usableSlots(typical)
	if free := maxPreferredOccupancy*slots - float64(c.Occupied); free >= 1 {
		return free / serviceTime
	}
	delay := max(0, (float64(c.Occupied)+1)/slots-1) * c.meanServiceTime(typical)
	if delay > spareDelayFraction*max(0, float64(call.TargetRemaining)-finishMargin*serviceTime) {
		return 0
	}
	return 1 / serviceTime
}

// update records whether leaving pays for a call, and returns the share of calls that leave.
func (d *Domains) update(key ServiceClass, pays bool, now boottime.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now-d.sweptAt >= leavingMemory {
		d.sweptAt = now
		for k, s := range d.shares {
			if now-s.updatedAt >= leavingMemory {
				delete(d.shares, k)
			}
		}
	}
	s := d.shares[key]
	if s == nil {
		if !pays {
			return 0
		}
		s = &leavingShare{updatedAt: now}
		d.shares[key] = s
	}
	weight := min(maxLeavingWeight, 1-math.Exp(-float64(max(0, now-s.updatedAt))/float64(leavingTime)))
	sample := 0.0
	if pays {
		sample = 1
	}
	s.value += weight * (sample - s.value)
	s.updatedAt = max(now, s.updatedAt)
	return s.value
}
