package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// customer is the state of one customer on this node.
type customer struct {
	id   mesh.CustomerID
	plan atomic.Pointer[lists.Plan]

	inFlight atomic.Int64
	// concurrencyLimit is the node's share of the plan's concurrency limit.
	concurrencyLimit atomic.Int64
	limiter          *rate.Limiter
	// validUntil is the expiry of the share in Unix nanoseconds.
	validUntil atomic.Int64

	// offered counts the roots that arrived, and peak is the highest number of
	// roots in flight including the one being admitted; both since the last call
	// of measureDemand.
	offered atomic.Int64
	peak    atomic.Int64

	// nextEarlyDemand is the earliest time, in Unix nanoseconds, at which a rejected
	// root may cause a demand before the next tick.
	nextEarlyDemand atomic.Int64

	// mu guards granted and serial and serializes changes of the share.
	mu      sync.Mutex
	granted share
	serial  uint32
}

// share is a part of a customer's limits.
type share struct {
	rate        float64
	concurrency int
}

// covers reports whether s is at least want. A concurrency of zero covers one,
// because enforce always allows one root in flight.
func (s share) covers(want share) bool {
	return want.rate <= s.rate && want.concurrency <= max(s.concurrency, 1)
}

// limitTo returns the smaller rate and the smaller concurrency of both shares.
func (s share) limitTo(other share) share {
	return share{rate: min(s.rate, other.rate), concurrency: min(s.concurrency, other.concurrency)}
}

// noExpiry is the validUntil of the equal share, which needs no renewal.
const noExpiry = math.MaxInt64

// newCustomer returns a customer with the equal share of one of n hosts and a
// full token bucket.
func newCustomer(id mesh.CustomerID, plan *lists.Plan, n int, now time.Time) *customer {
	equal := equalShare(plan, n)
	c := &customer{id: id, limiter: rate.NewLimiter(rate.Limit(equal.rate), burstFor(plan, equal.rate))}
	c.plan.Store(plan)
	c.useEqualShare(n, now)
	return c
}

// admit admits one root within the node's share, or returns why it is rejected.
func (c *customer) admit(now time.Time) *Rejection {
	c.offered.Add(1)
	n := c.inFlight.Add(1)
	if n > c.peak.Load() {
		c.peak.Store(n)
	}
	if n > c.concurrencyLimit.Load() {
		c.inFlight.Add(-1)
		return &Rejection{Reason: mesh.ReasonConcurrencyLimit, RetryAfter: concurrencyRetryAfter}
	}
	if !c.limiter.AllowN(now, 1) {
		c.inFlight.Add(-1)
		return &Rejection{Reason: mesh.ReasonRateLimit, RetryAfter: c.timeToToken(now)}
	}
	return nil
}

// timeToToken returns the time until the rate limiter admits one more root.
func (c *customer) timeToToken(now time.Time) time.Duration {
	shortfall := 1 - c.limiter.TokensAt(now)
	return clampRetryAfter(secondsToDuration(shortfall / float64(c.limiter.Limit())))
}

// equalShare is the share of one of n hosts that divide the limits equally.
func equalShare(plan *lists.Plan, n int) share {
	n = max(n, 1)
	return share{rate: plan.RatePerSecond / float64(n), concurrency: plan.Concurrency / n}
}

// useEqualShare drops the grant, which has expired or never existed, and applies
// the equal share.
func (c *customer) useEqualShare(n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted, c.serial = share{}, 0
	c.validUntil.Store(noExpiry)
	c.enforce(n, now)
}

// applyGrant applies a granted share until it expires.
func (c *customer) applyGrant(s share, serial uint32, until time.Time, n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted, c.serial = s, serial
	c.validUntil.Store(until.UnixNano())
	c.enforce(n, now)
}

// applyPlan applies a changed plan or number of hosts.
func (c *customer) applyPlan(plan *lists.Plan, n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.Store(plan)
	c.granted.rate = min(c.granted.rate, plan.RatePerSecond)
	c.granted.concurrency = min(c.granted.concurrency, plan.Concurrency)
	c.enforce(n, now)
}

// enforce applies the larger of the grant and the equal share, and allows at
// least one root in flight: a node must be able to serve a customer whose calls
// arrive before the quota coordinator has moved shares to the node. Once the
// grants of a customer are balanced, a host that needs the equal share is granted
// at least that, so the maximum matters only while shares move.
func (c *customer) enforce(n int, now time.Time) {
	plan := c.plan.Load()
	equal := equalShare(plan, n)
	r := max(c.granted.rate, equal.rate)
	c.concurrencyLimit.Store(int64(max(c.granted.concurrency, equal.concurrency, 1)))
	c.limiter.SetLimitAt(now, rate.Limit(r))
	c.limiter.SetBurstAt(now, burstFor(plan, r))
}

// burstFor returns the part of the plan's burst that is proportional to the rate r.
func burstFor(plan *lists.Plan, r float64) int {
	if plan.RatePerSecond <= 0 {
		return 1
	}
	return max(int(float64(plan.Burst)*r/plan.RatePerSecond), 1)
}

// currentSerial returns the serial of the valid grant, zero for none.
func (c *customer) currentSerial(now time.Time) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.UnixNano() > c.validUntil.Load() {
		return 0
	}
	return c.serial
}
