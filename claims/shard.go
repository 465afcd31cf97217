package claims

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// ErrQueueFull means that too many operations of a shard wait for the store.
var ErrQueueFull = errors.New("claims: too many operations wait for the store")

// shard batches the operations of one shard. A worker goroutine runs only while there
// are operations; it alone uses the state that the mutex does not guard.
type shard struct {
	claimer *Claimer
	id      ShardID

	mu    sync.Mutex
	queue []*operation
	// lazy operations join the next batch; a batch of their own starts only after
	// Config.CompleteDelay.
	lazy          []*operation
	activeCount   int
	workerRunning bool
	timer         *time.Timer
	// lazyDue means that the lazy operations may start a batch of their own.
	lazyDue bool
	closed  bool

	// The fields below are used by the worker alone.
	active       []*operation
	chains       map[Bucket]*chain
	useCount     uint64
	lowWatermark Bucket
	lastWrite    time.Time
	backoff      time.Duration
	retryAt      time.Time
	storeFailing bool
}

func newShard(c *Claimer, id ShardID) *shard {
	return &shard{claimer: c, id: id, chains: map[Bucket]*chain{}}
}

// submit queues an operation for the next batch.
func (s *shard) submit(op *operation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkCapacity(); err != nil {
		return err
	}
	s.queue = append(s.queue, op)
	s.startWorker()
	return nil
}

// submitLazy queues an operation that joins the next batch, or starts one after
// Config.CompleteDelay.
func (s *shard) submitLazy(op *operation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkCapacity(); err != nil {
		return err
	}
	s.lazy = append(s.lazy, op)
	s.scheduleFlush()
	return nil
}

// checkCapacity returns an error when the shard accepts no operation. The mutex must
// be held.
func (s *shard) checkCapacity() error {
	if s.closed {
		return ErrClosed
	}
	if s.activeCount+len(s.queue)+len(s.lazy) >= s.claimer.config.MaxPending {
		return ErrQueueFull
	}
	return nil
}

// startWorker starts the worker if it does not run. The mutex must be held.
func (s *shard) startWorker() {
	if s.workerRunning {
		return
	}
	s.workerRunning = true
	s.claimer.workers.Add(1)
	go s.work()
}

// scheduleFlush sets the timer for the lazy operations if no worker runs. The mutex
// must be held.
func (s *shard) scheduleFlush() {
	if s.workerRunning || s.timer != nil || len(s.lazy) == 0 {
		return
	}
	s.timer = time.AfterFunc(s.claimer.config.CompleteDelay, s.flush)
}

func (s *shard) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = nil
	if len(s.lazy) > 0 && !s.closed {
		s.lazyDue = true
		s.startWorker()
	}
}

func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.lazy) > 0 {
		s.lazyDue = true
		s.startWorker()
	}
}

func (s *shard) work() {
	defer s.claimer.workers.Done()
	for {
		s.throttle()
		if !s.collect() {
			return
		}
		s.processBucket()
	}
}

// collect moves the queued operations to the active ones and drops expired ones. It
// reports false when none is left; the worker must end then.
func (s *shard) collect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.takeQueued()
	s.active = append(s.active, taken...)
	s.dropExpired()
	s.activeCount = len(s.active)
	for _, op := range taken {
		if ch := s.chains[op.ticket.Bucket]; ch != nil {
			ch.clearConfirmed()
		}
	}
	s.workerRunning = len(s.active) > 0
	s.scheduleFlush()
	return s.workerRunning
}

// takeQueued empties the queue and returns its operations, with the lazy ones when
// there is a batch anyway. The mutex must be held.
func (s *shard) takeQueued() []*operation {
	taken := s.queue
	s.queue = nil
	if len(taken)+len(s.active) > 0 || s.lazyDue || s.closed {
		taken = append(taken, s.lazy...)
		s.lazy, s.lazyDue = nil, false
	}
	return taken
}

// dropExpired drops expired operations and cancelled claims. A release stays active
// when its caller no longer waits.
func (s *shard) dropExpired() {
	now := s.claimer.config.Now()
	var releases []*operation
	s.active = slices.DeleteFunc(s.active, func(op *operation) bool {
		expired := !now.Before(op.expires) || s.claimer.ctx.Err() != nil
		if !expired && (op.kind != opClaim || !op.isCancelled()) {
			return false
		}
		op.resolve(reject(mesh.ReasonStoreUnavailable, errStoreTimeout))
		releases = append(releases, s.followUpRelease(op, now)...)
		return true
	})
	s.active = append(s.active, releases...)
}

// followUpRelease returns the release that follows a dropped operation: that of a
// claim which the store may hold and nobody uses.
func (s *shard) followUpRelease(op *operation, now time.Time) []*operation {
	if op.kind == opRelease && op.originator {
		eventReleaseFailed.Log(s.claimer.config.Logger, "shard", s.id, "bucket", op.ticket.Bucket)
	}
	if !op.needsRelease() || s.claimer.ctx.Err() != nil {
		return nil
	}
	return []*operation{{
		kind: opRelease, ticket: op.ticket, originator: true,
		expires: now.Add(s.claimer.config.ReleaseWait),
		finish:  func(opResult) {},
	}}
}

// resolve delivers a result. A claim that nobody waits for any more is released.
func (s *shard) resolve(op *operation, result opResult) {
	if op.resolve(result) || op.kind != opClaim {
		return
	}
	s.active = append(s.active, s.followUpRelease(op, s.claimer.config.Now())...)
}

// throttle waits until the shard may call the store again: after the minimum batch
// interval and the backoff.
func (s *shard) throttle() {
	next := s.lastWrite.Add(s.claimer.config.MinBatchInterval)
	if s.retryAt.After(next) {
		next = s.retryAt
	}
	wait := next.Sub(s.claimer.config.Now())
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.claimer.ctx.Done():
	}
}

// recordStoreFailure records a failed call to the store and sets the time of the next
// one by exponential backoff with jitter.
func (s *shard) recordStoreFailure(err error) {
	if !s.storeFailing {
		s.storeFailing = true
		eventStoreFailed.Log(s.claimer.config.Logger, "shard", s.id, "error", err)
	}
	s.backoff = min(max(2*s.backoff, s.claimer.config.MinBatchInterval), maxBackoff)
	pause := time.Duration((1 + s.claimer.config.Jitter()) / 2 * float64(s.backoff))
	s.retryAt = s.claimer.config.Now().Add(pause)
}

func (s *shard) recordStoreSuccess() {
	s.backoff = 0
	if s.storeFailing {
		s.storeFailing = false
		eventStoreRecovered.Log(s.claimer.config.Logger, "shard", s.id)
	}
}

// callStore makes one call to the store with Config.CallTimeout.
func (s *shard) callStore(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(s.claimer.ctx, s.claimer.config.CallTimeout)
	defer cancel()
	return f(ctx)
}
