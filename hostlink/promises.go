package hostlink

import (
	"slices"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// deliveryMargin is the time that a response takes from this host's link to its
	// caller: a few times the usual round trip, and maxAhead.
	deliveryMargin = 30 * time.Millisecond
	// maxTargetFraction is the part of the time to the latency target in which a response
	// must be expected to leave, unless it is very long. The lengths of responses vary by
	// half around their mean.
	maxTargetFraction = 0.85
	// maxLateFraction bounds how long a response that misses its latency target may take
	// to leave, as a fraction of the time to its deadline. Such responses leave after the
	// others, which may become more meanwhile.
	maxLateFraction = 0.5
	// minRetryAfterFraction and maxRetryAfterFraction bound the retry-after of a rejected
	// call, as fractions of the time to its deadline. Clients follow a retry-after of at
	// most a third of that time.
	minRetryAfterFraction = 0.15
	maxRetryAfterFraction = 0.33
	// retryAfterSpread is added to the retry-after at random, as a fraction of it, so that
	// calls that were rejected together are not retried together.
	retryAfterSpread = 0.3
)

// promise is a long response that is to leave by the link.
type promise struct {
	need Need
	// bytes is what has not left yet, by expectation until the response is ready.
	bytes float64
	// readyAt is when the endpoint is expected to have answered.
	readyAt boottime.Time
}

// promises are the long responses that this host has begun. Their number is bounded by the
// calls that the gate accepts.
type promises []*promise

// remove removes a promise, if it is there.
func (p *promises) remove(x *promise) {
	if i := slices.Index(*p, x); i >= 0 {
		*p = slices.Delete(*p, i, i+1)
	}
}

// finish returns when a response would have left, by the promises that leave before it.
func (p promises) finish(x *promise, rate float64, now boottime.Time) boottime.Time {
	ahead := make(promises, 0, len(p)+1)
	for _, other := range p {
		if other != x && other.bytes > 0 && !x.need.before(other.need) {
			ahead = append(ahead, other)
		}
	}
	slices.SortFunc(ahead, func(a, b *promise) int { return int(a.readyAt - b.readyAt) })
	t, begun := now, false
	for _, other := range ahead {
		if !begun && other.readyAt > x.readyAt {
			t, begun = max(t, x.readyAt)+transferTime(x.bytes, rate), true
		}
		if begun && other.readyAt >= t {
			break
		}
		t = max(t, other.readyAt) + transferTime(other.bytes, rate)
	}
	if !begun {
		t = max(t, x.readyAt) + transferTime(x.bytes, rate)
	}
	return t
}

// drained returns when all promises have left.
func (p promises) drained(rate float64, now boottime.Time) boottime.Time {
	bytes := 0.0
	for _, other := range p {
		bytes += other.bytes
	}
	return now + transferTime(bytes, rate)
}

// admit decides whether a response that is expected at x.readyAt is begun, and sets its place
// in the order. If not, it
// returns after which time the link is expected to have room, within what clients honour.
// Its load: long responses worth more than the link carries.
func (p promises) admit(x *promise, rate float64, now boottime.Time, random func() float64) (time.Duration, bool) {
	target := x.need.TargetBy
	if x.need.Nested {
		// Without the response the call that waits for it fails.
		target = x.need.DeadlineBy
	}
	alone := max(now, x.readyAt) + transferTime(x.bytes, rate) + deliveryMargin
	limit := max(now+time.Duration(maxTargetFraction*float64(target-now)), (alone+target)/2)
	if alone <= target && p.finish(x, rate, now)+deliveryMargin <= limit {
		return 0, true
	}
	remaining := x.need.DeadlineBy - now
	if alone > target {
		// The call misses its target anyhow and gets the room that is left over. One that
		// misses it only for the responses before it would make the next ones late, too.
		late := *x
		late.need.TargetBy = late.need.DeadlineBy
		if left := p.finish(&late, rate, now) + deliveryMargin; float64(left-now) <= maxLateFraction*float64(remaining) {
			x.need = late.need
			return 0, true
		}
	}
	wait := float64(p.drained(rate, now)-now) * (1 + retryAfterSpread*random())
	least := minRetryAfterFraction * (1 + retryAfterSpread*random()) * float64(remaining)
	return time.Duration(min(max(wait, least), maxRetryAfterFraction*float64(max(0, remaining)))), false
}
