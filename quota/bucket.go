package quota

import (
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

// bucket is the token bucket of a workspace at its owner.
type bucket struct {
	limit Limit
	// part is the fraction of the quota that belongs to the hosts that regard this one as
	// the owner.
	part   float64
	tokens float64
	// refundable is the number of refunds that are accepted now.
	refundable float64
	// backlog is the number of rejected calls that are expected to come back.
	backlog  float64
	filledAt boottime.Time
}

// minWholeTokenPart is the part of the quota from which a bucket holds one token at least.
// At most ten owners have it at a time, and their tokens fit into the slack.
const minWholeTokenPart = 0.1

// maxBacklog is the time that calls which come back are spread over. Clients with a
// timeout of 3 s wait no longer than that.
const maxBacklog = time.Second

// newBucket returns an empty bucket. An earlier owner may have granted all that it had.
func newBucket(limit Limit, now boottime.Time) *bucket { return &bucket{limit: limit, filledAt: now} }

func (b *bucket) capacity(bound Bound) float64 {
	c := bound.capacity(b.limit) * b.part
	if b.part >= minWholeTokenPart {
		c = max(c, 1)
	}
	return c
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(bound Bound, now boottime.Time) {
	elapsed := max(0, now-b.filledAt).Seconds()
	b.filledAt = now
	rate := bound.fillRate(b.limit) * b.part
	b.tokens = min(b.tokens+rate*elapsed, b.capacity(bound))
	b.backlog = max(0, b.backlog-rate*elapsed)
	refundRate := bound.refundRate(b.limit) * b.part
	b.refundable = min(b.refundable+refundRate*elapsed, max(refundRate, 1))
}

// set changes the quota and the part of it. A lower one applies to the tokens that the
// bucket holds.
func (b *bucket) set(bound Bound, limit Limit, part float64, now boottime.Time) {
	b.fill(bound, now)
	b.limit, b.part = limit, part
	b.tokens = min(b.tokens, b.capacity(bound))
}

// grant takes tokens for an ask. It returns the number of calls and the time after which
// there is room for the others.
func (b *bucket) grant(bound Bound, a *Ask, now boottime.Time) (calls uint32, retry time.Duration) {
	b.fill(bound, now)
	refunds := min(float64(a.Refunds), b.refundable)
	b.refundable -= refunds
	b.tokens = min(b.tokens+refunds, b.capacity(bound))
	calls = min(a.Calls, toCalls(b.tokens))
	b.tokens -= float64(calls)
	rate := bound.fillRate(b.limit) * b.part
	b.backlog = min(b.backlog+float64(a.Rejected)+float64(a.Calls-calls), rate*maxBacklog.Seconds())
	if rate <= 0 {
		return calls, noOwnerRetry
	}
	return calls, min(maxBacklog, time.Duration((b.backlog+max(0, 1-b.tokens))/rate*float64(time.Second)))
}
