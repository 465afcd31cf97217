package localendpoint

import (
	"math"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// failWeight is the weight of one answer in the share of failures: about the
	// last ten answers count.
	failWeight = 0.1
	// failHalfLife is how fast the share fades without answers, so that an
	// endpoint that was avoided is tried again.
	failHalfLife = 2 * time.Second
)

// Health follows the share of failed answers of an endpoint. It is safe for
// concurrent use.
type Health struct {
	clock boottime.Clock

	mu    sync.Mutex
	share float64
	at    boottime.Time
}

// NewHealth returns the health of an endpoint without failures.
func NewHealth(clock boottime.Clock) *Health { return &Health{clock: clock, at: clock()} }

// Observe counts an answer.
func (h *Health) Observe(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.share = h.faded() * (1 - failWeight)
	if failed {
		h.share += failWeight
	}
	h.at = h.clock()
}

// FailShare returns the recent share of failed answers, 0 to 1.
func (h *Health) FailShare() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faded()
}

func (h *Health) faded() float64 {
	return h.share * math.Exp2(-float64(h.clock()-h.at)/float64(failHalfLife))
}
