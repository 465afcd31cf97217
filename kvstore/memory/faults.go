package memory

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// Faults are the faults in force. The zero value means none.
type Faults struct {
	// Unavailable makes every call fail with ErrUnavailable, waiting watches
	// included. A write that took effect just before fails with ErrUnknown.
	Unavailable bool `json:"unavailable"`
	// Latency is added to each call: half before it takes effect, half after.
	Latency time.Duration `json:"latencyNs"`
	// LostAnswerRatio is the share of successful writes, 0 to 1, that take effect
	// and fail with ErrUnknown.
	LostAnswerRatio float64 `json:"lostAnswerRatio"`
	// LostRequestRatio is the share of writes, 0 to 1, that fail with ErrUnknown
	// and do not take effect.
	LostRequestRatio float64 `json:"lostRequestRatio"`
	// LeasesLapse makes every lease lapse as soon as it is given.
	LeasesLapse bool `json:"leasesLapse"`
	// ReadsPerSecond and WritesPerSecond limit the calls; those above the limit
	// fail with ErrRateLimited. Zero means no limit.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.UpdateFaults(func(current *Faults) { *current = f })
}

// UpdateFaults changes some of the faults in force. The function runs under the
// store's lock, so that concurrent updates of different faults all hold.
func (s *Store) UpdateFaults(update func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	update(&f)
	s.setFaults(f)
}

// setFaults needs the lock, except before the store is shared.
func (s *Store) setFaults(f Faults) {
	if s.readLimiter == nil || f.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.readLimiter = limiter(f.ReadsPerSecond)
	}
	if s.writeLimiter == nil || f.WritesPerSecond != s.faults.WritesPerSecond {
		s.writeLimiter = limiter(f.WritesPerSecond)
	}
	s.faults = f
	if f.Unavailable {
		s.wakeAll()
	}
}

// limiter allows bursts of one second's calls.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}

// LoseNextAnswers makes the next n successful compare-and-swaps take effect and
// fail with ErrUnknown. Lease calls are not affected, so that renewals in the
// background do not use up the count.
func (s *Store) LoseNextAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// DelayNextWrites makes the next n compare-and-swaps fail with ErrUnknown at
// once and reach the store only after d, as packets held up in the network do.
func (s *Store) DelayNextWrites(n int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayWrites, s.writeDelay = n, d
}

// delayWrite schedules write for later if the fault is due. It needs the lock.
func (s *Store) delayWrite(write func()) bool {
	if s.delayWrites == 0 {
		return false
	}
	s.delayWrites--
	time.AfterFunc(s.writeDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		write()
	})
	return true
}

// call counts a call and makes one attempt.
func (s *Store) call(ctx context.Context, kind kvstore.CallKind, effect func() error) error {
	defer s.counters.Begin(kind)()
	return s.attempt(ctx, kind, true, effect)
}

// attempt runs effect under the lock, subject to the faults in force. Only a
// limited attempt counts against the rate.
func (s *Store) attempt(ctx context.Context, kind kvstore.CallKind, limited bool, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, kvstore.ErrUnavailable)
	}
	half := s.Faults().Latency / 2
	if err := sleep(ctx, half); err != nil {
		return interrupted(kind, err)
	}
	if err := s.apply(kind, limited, effect); err != nil {
		return err
	}
	if err := sleep(ctx, half); err != nil {
		return interrupted(kind, err)
	}
	if half > 0 && s.Faults().Unavailable {
		return cutOff(kind)
	}
	return nil
}

// interrupted is the error of a call whose context ended while it was under way.
func interrupted(kind kvstore.CallKind, err error) error {
	if kind.IsWrite() {
		return errors.Mark(err, kvstore.ErrUnknown)
	}
	return err
}

// cutOff is the error of a call whose answer the store could not send.
func cutOff(kind kvstore.CallKind) error {
	if kind.IsWrite() {
		return kvstore.ErrUnknown
	}
	return kvstore.ErrUnavailable
}

func (s *Store) apply(kind kvstore.CallKind, limited bool, effect func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		return kvstore.ErrUnavailable
	}
	if limited && !s.allow(kind) {
		return kvstore.ErrRateLimited
	}
	if kind.IsWrite() && s.chance(s.faults.LostRequestRatio) {
		return kvstore.ErrUnknown
	}
	if err := effect(); err != nil {
		return err
	}
	if kind.IsWrite() && s.loseAnswer(kind) {
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

func (s *Store) loseAnswer(kind kvstore.CallKind) bool {
	if kind == kvstore.CallCompareAndSwap && s.loseAnswers > 0 {
		s.loseAnswers--
		return true
	}
	return s.chance(s.faults.LostAnswerRatio)
}

func (s *Store) chance(ratio float64) bool {
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
