package slotqueue

import (
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// startLimitBurst is the time for which unused starts are kept, so that calls which
	// arrive unevenly can use the whole rate.
	startLimitBurst = 500 * time.Millisecond
	// minStartsPerSecond is the lowest rate. The responses to these calls show when the
	// endpoint takes more.
	minStartsPerSecond = 0.5
	// maxStartsPerSecond is the highest rate, which is no limit for any endpoint.
	maxStartsPerSecond = 1e6
	// startLimitHold is how long a rate stays in force after the last response that named
	// it. Responses that were made before and after a change may arrive in either order.
	startLimitHold = 500 * time.Millisecond
	// nestedStartWeight is the weight of a start in the moving average of the share of
	// nested calls: about the last twenty starts count.
	nestedStartWeight = 0.05
)

// startLimit is a token bucket for the starts of calls at an endpoint that has named the
// rate that it takes.
type startLimit struct {
	perSecond float64
	tokens    float64
	updatedAt boottime.Time
	namedAt   boottime.Time
	// nestedShare is the moving average of the share of nested calls in the starts.
	nestedShare float64
}

func (l *startLimit) burst() float64 { return 1 + l.perSecond*startLimitBurst.Seconds() }

// refill adds the starts that have become available.
func (l *startLimit) refill(now boottime.Time) {
	l.tokens = min(l.burst(), l.tokens+l.perSecond*max(0, now-l.updatedAt).Seconds())
	l.updatedAt = max(l.updatedAt, now)
}

// delay returns the time until the given number of starts is available.
func (l *startLimit) delay(starts int) time.Duration {
	return max(0, time.Duration((float64(starts)-l.tokens)/l.perSecond*float64(time.Second)))
}

// spend withdraws a start.
func (l *startLimit) spend(nested bool) {
	l.tokens--
	sample := 0.0
	if nested {
		sample = 1
	}
	l.nestedShare += nestedStartWeight * (sample - l.nestedShare)
}

// RecordStartLimit limits the starts of calls to the rate that the endpoint has named, per
// second. The limit ends when later responses name none; see RecordNoStartLimit. It reports
// whether the rate has changed.
func (q *Queue) RecordStartLimit(perSecond float64, now boottime.Time) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hasResponse = true
	return q.setStartLimit(perSecond, now)
}

// ExpectStartLimit limits the starts to a rate that the endpoint has named before, until
// its first response.
func (q *Queue) ExpectStartLimit(perSecond float64, now boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.hasResponse {
		q.setStartLimit(perSecond, now)
	}
}

func (q *Queue) setStartLimit(perSecond float64, now boottime.Time) (changed bool) {
	if perSecond = min(perSecond, maxStartsPerSecond); !(perSecond >= minStartsPerSecond) {
		perSecond = minStartsPerSecond // Also for NaN, which a peer may have sent.
	}
	if q.limit == nil {
		q.limit = &startLimit{tokens: 1, updatedAt: now}
	}
	changed = q.limit.perSecond != perSecond
	q.limit.refill(now)
	q.limit.perSecond, q.limit.namedAt = perSecond, now
	q.limit.tokens = min(q.limit.tokens, q.limit.burst())
	q.dispatch(now)
	return changed
}

// RecordNoStartLimit records a response that names no rate. It reports whether the limit
// ended with it.
func (q *Queue) RecordNoStartLimit(now boottime.Time) (ended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hasResponse = true
	if q.limit == nil || now-q.limit.namedAt < startLimitHold {
		return false
	}
	q.limit = nil
	q.dispatch(now)
	return true
}

// StartsPerSecond returns the rate of starts that the endpoint takes, 0 when it has named
// none.
func (q *Queue) StartsPerSecond() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limit == nil {
		return 0
	}
	return q.limit.perSecond
}

// Dispatch gives free slots to waiting calls.
func (q *Queue) Dispatch(now boottime.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeAt = 0
	q.dispatch(now)
}

// mayStart reports whether a call may start now: a slot and a start are available.
func (q *Queue) mayStart(now boottime.Time) bool {
	if q.running >= q.slots {
		return false
	}
	if q.limit == nil {
		return true
	}
	q.limit.refill(now)
	return q.limit.tokens >= 1
}

// wakeForStart has Dispatch called when the next start is available, if a call waits only
// for that.
func (q *Queue) wakeForStart(now boottime.Time) {
	if q.limit == nil || q.wake == nil || q.running >= q.slots || q.nextToStart(now) < 0 {
		return
	}
	// The margin keeps a rounded time from coming before the start is available.
	after := q.limit.delay(1) + time.Microsecond
	if q.wakeAt > now && q.wakeAt <= now+after {
		return
	}
	q.wakeAt = now + after
	q.wake(after)
}
