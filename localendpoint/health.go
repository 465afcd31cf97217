package localendpoint

import (
	"math"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// failureWeight is the weight of a response in the moving average of failures:
	// about the last ten responses count.
	failureWeight = 0.1
	// failureHalfLife is the half-life of the failure ratio without responses, so
	// that an endpoint that got no calls because of failures gets calls again.
	failureHalfLife = 2 * time.Second
)

// Health is an exponential moving average of the failed responses of an endpoint.
// It is safe for concurrent use.
type Health struct {
	clock boottime.Clock

	mu           sync.Mutex
	failureRatio float64
	updatedAt    boottime.Time
}

// NewHealth returns the health of an endpoint without failures.
func NewHealth(clock boottime.Clock) *Health { return &Health{clock: clock, updatedAt: clock()} }

// Observe records a response.
func (h *Health) Observe(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failureRatio = h.decayedRatio() * (1 - failureWeight)
	if failed {
		h.failureRatio += failureWeight
	}
	h.updatedAt = h.clock()
}

// FailureRatio returns the recent fraction of failed responses, 0 to 1.
func (h *Health) FailureRatio() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.decayedRatio()
}

func (h *Health) decayedRatio() float64 {
	return h.failureRatio * math.Exp2(-float64(h.clock()-h.updatedAt)/float64(failureHalfLife))
}
