// Package quota limits the calls of each workspace over all hosts.
//
// Each workspace has one owner among the hosts that reach each other, which has the
// token bucket of its quota. Hosts ask the owner for tokens, which expire soon after.
// An owner fills a bucket by the part of the rate that belongs to the hosts that regard
// it as the owner, so that owners on both sides of a cut do not exceed the quota
// together. See docs/design/quotas.md.
package quota

import "time"

// Bound is the bound on the calls of a workspace: in each Window, at most
// (rate * Window + burst) * (1 + Overage) + Slack calls are executed.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limited reports whether quotas are enforced.
func (b Bound) Limited() bool { return b.Window > 0 }

// The overage and the slack of a window are divided between what makes calls run later
// than their tokens were filled: of the overage of the rate, half is for tokens in the
// hands of hosts, three tenths for refunds and a tenth for the least capacity of a
// bucket. The rest covers hosts that notice a change of owner at different times.
const (
	tokenLifeShare   = 0.5
	refundShare      = 0.3
	minCapacityShare = 0.1
	// capacitySlackShare is the fraction of the slack by which a bucket holds more than
	// the burst. It serves workspaces of some calls a second, whose calls come unevenly.
	capacitySlackShare = 0.4
)

// minOverageTime is the overage that is divided where a deployment allows less. Its tokens
// live for some round trips between hosts; buckets fill more slowly in return.
const minOverageTime = 200 * time.Millisecond

// allowedOverageTime is the time in which the rate fills the overage of a window.
func (b Bound) allowedOverageTime() time.Duration {
	return time.Duration(b.Overage * float64(b.Window))
}

// overageTime is the overage that is divided.
func (b Bound) overageTime() time.Duration { return max(b.allowedOverageTime(), minOverageTime) }

// fillRate returns the tokens a second with which the buckets of a workspace are filled.
func (b Bound) fillRate(q Limit) float64 {
	return q.CallsPerSecond * float64(b.Window+b.allowedOverageTime()) / float64(b.Window+b.overageTime())
}

// tokenLife is the time after which a token expires, counted from the demand for it. A
// call may run that much later than its token was filled.
func (b Bound) tokenLife() time.Duration {
	return time.Duration(tokenLifeShare * float64(b.overageTime()))
}

// maxRefundDelay is the time after which calls that no endpoint received are refunded in
// the worst case. The refunds that are accepted within it, on top of the rate of a
// window, are calls that were admitted before the window.
const maxRefundDelay = time.Second

// refundRate returns the refunds a second that an owner accepts for a quota.
func (b Bound) refundRate(q Limit) float64 {
	return q.CallsPerSecond * refundShare * b.overageTime().Seconds() / maxRefundDelay.Seconds()
}

// capacity returns the number of tokens that a bucket with the whole quota holds.
func (b Bound) capacity(q Limit) float64 {
	return max(q.Burst+capacitySlackShare*b.Slack, minCapacityShare*q.CallsPerSecond*b.overageTime().Seconds())
}

// Limit is the quota of a workspace over all hosts.
type Limit struct {
	CallsPerSecond, Burst float64
}
