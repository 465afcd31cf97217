package memory

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// Faults are the faults that a store injects. The zero value means none.
type Faults struct {
	// Unavailable makes every call fail with ErrUnavailable, waiting watches
	// included. A write that took effect just before fails with ErrUnknown.
	Unavailable bool `json:"unavailable"`
	// Latency is added to each call: half before it takes effect, half after.
	Latency time.Duration `json:"latencyNs"`
	// LostAnswerRatio is the fraction of successful writes, 0 to 1, that take
	// effect and fail with ErrUnknown.
	LostAnswerRatio float64 `json:"lostAnswerRatio"`
	// LostRequestRatio is the fraction of writes, 0 to 1, that fail with
	// ErrUnknown and do not take effect.
	LostRequestRatio float64 `json:"lostRequestRatio"`
	// LeasesLapse makes every lease expire as soon as it is acquired.
	LeasesLapse bool `json:"leasesLapse"`
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; calls above the
	// limit fail with ErrRateLimited. Zero means no limit.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// Faults returns the active faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.UpdateFaults(func(current *Faults) { *current = f })
}

// UpdateFaults changes some of the active faults. update runs under the store's
// lock, so that concurrent updates of different faults do not undo each other.
func (s *Store) UpdateFaults(update func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	update(&f)
	s.setFaults(f)
}

// setFaults replaces the active faults. The caller holds s.mu, except before the
// store is shared.
func (s *Store) setFaults(f Faults) {
	if s.readLimiter == nil || f.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.readLimiter = newLimiter(f.ReadsPerSecond)
	}
	if s.writeLimiter == nil || f.WritesPerSecond != s.faults.WritesPerSecond {
		s.writeLimiter = newLimiter(f.WritesPerSecond)
	}
	s.faults = f
	if f.Unavailable {
		s.wakeAll()
	}
}

// newLimiter returns a limiter that allows bursts of one second's calls. Zero
// means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}

// LoseNextResponses makes the next n successful compare-and-swaps take effect and
// fail with ErrUnknown. Lease calls are not affected, so that renewals in the
// background do not use up the count.
func (s *Store) LoseNextResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// DelayNextWrites makes the next n compare-and-swaps fail with ErrUnknown
// immediately and take effect only after d, as requests delayed in the network do.
func (s *Store) DelayNextWrites(n int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writesToDelay, s.writeDelay = n, d
}

// delayWrite schedules write for later and reports true if DelayNextWrites asked
// for it. The caller holds s.mu.
func (s *Store) delayWrite(write func()) bool {
	if s.writesToDelay == 0 {
		return false
	}
	s.writesToDelay--
	time.AfterFunc(s.writeDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		write()
	})
	return true
}

// call counts a call and makes one attempt at it.
func (s *Store) call(ctx context.Context, kind kvstore.CallKind, effect func() error) error {
	defer s.counters.Begin(kind)()
	return s.attempt(ctx, kind, true, effect)
}

// attempt runs effect under the lock, subject to the active faults. Only a
// limited attempt counts against the rate limit.
func (s *Store) attempt(ctx context.Context, kind kvstore.CallKind, limited bool, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, kvstore.ErrUnavailable)
	}
	half := s.Faults().Latency / 2
	if err := sleep(ctx, half); err != nil {
		return interruptedError(kind, err)
	}
	if err := s.apply(kind, limited, effect); err != nil {
		return err
	}
	if err := sleep(ctx, half); err != nil {
		return interruptedError(kind, err)
	}
	if half > 0 && s.Faults().Unavailable {
		return lostResponseError(kind)
	}
	return nil
}

// interruptedError returns the error of a call whose context ended while the call
// was in flight.
func interruptedError(kind kvstore.CallKind, err error) error {
	if kind.IsWrite() {
		return errors.Mark(err, kvstore.ErrUnknown)
	}
	return err
}

// lostResponseError returns the error of a call whose response the store could
// not send because it became unavailable.
func lostResponseError(kind kvstore.CallKind) error {
	if kind.IsWrite() {
		return kvstore.ErrUnknown
	}
	return kvstore.ErrUnavailable
}

// apply runs effect under the lock, with all faults except the latency.
func (s *Store) apply(kind kvstore.CallKind, limited bool, effect func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		return kvstore.ErrUnavailable
	}
	if limited && !s.allow(kind) {
		return kvstore.ErrRateLimited
	}
	if kind.IsWrite() && s.drawFault(s.faults.LostRequestRatio) {
		return kvstore.ErrUnknown
	}
	if err := effect(); err != nil {
		return err
	}
	if kind.IsWrite() && s.shouldLoseResponse(kind) {
		return kvstore.ErrUnknown
	}
	return nil
}

func (s *Store) allow(kind kvstore.CallKind) bool {
	if kind.IsWrite() {
		return s.writeLimiter.Allow()
	}
	return s.readLimiter.Allow()
}

// shouldLoseResponse decides whether a successful write fails with ErrUnknown. The
// caller holds s.mu.
func (s *Store) shouldLoseResponse(kind kvstore.CallKind) bool {
	if kind == kvstore.CallCompareAndSwap && s.responsesToLose > 0 {
		s.responsesToLose--
		return true
	}
	return s.drawFault(s.faults.LostAnswerRatio)
}

// drawFault reports true with probability ratio. The caller holds s.mu.
func (s *Store) drawFault(ratio float64) bool {
	return ratio > 0 && s.random.Float64() < ratio
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
