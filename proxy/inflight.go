package proxy

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// inflight counts the calls in flight and lets a drain wait for them.
type inflight struct {
	count    atomic.Int64
	draining atomic.Bool
	// idle receives a value whenever the count reaches zero during a drain.
	idle chan struct{}
}

func newInflight() *inflight { return &inflight{idle: make(chan struct{}, 1)} }

func (f *inflight) begin() { f.count.Add(1) }

func (f *inflight) end() {
	if f.count.Add(-1) > 0 || !f.draining.Load() {
		return
	}
	select {
	case f.idle <- struct{}{}:
	default:
	}
}

// wait waits until no call is in flight or ctx ends. Only one goroutine may wait.
func (f *inflight) wait(ctx context.Context) error {
	for f.count.Load() > 0 {
		select {
		case <-f.idle:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "proxy: %d calls still in flight", f.count.Load())
		}
	}
	return nil
}
