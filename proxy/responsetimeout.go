package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoResponse is the cause of a context that was cancelled because the endpoint
// sent no response within the response timeout.
var errNoResponse = errors.New("proxy: no response from the endpoint for far longer than usual")

// responseTimeout cancels a call whose endpoint does not send the first byte of a
// response in time. It does not expire while nested calls of the call are in
// flight: they may cause the delay, and retries at every level above would
// multiply.
type responseTimeout struct {
	timeout time.Duration
	running *runningCall
	cancel  context.CancelCauseFunc
	// decided is set by whichever comes first, the response or the timeout.
	decided atomic.Bool
}

// startResponseTimeout returns the context for the call, and a function that the
// caller must call once the response has started or the call has failed. A
// timeout of zero never expires.
func startResponseTimeout(ctx context.Context, timeout time.Duration, running *runningCall) (context.Context, func()) {
	if timeout == 0 {
		return ctx, func() {}
	}
	t := &responseTimeout{timeout: timeout, running: running}
	ctx, t.cancel = context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, t.expire)
	return ctx, func() {
		timer.Stop()
		t.decided.CompareAndSwap(false, true)
	}
}

func (t *responseTimeout) expire() {
	if t.running.nestedInFlight.Load() > 0 && !t.decided.Load() {
		time.AfterFunc(t.timeout, t.expire)
		return
	}
	if t.decided.CompareAndSwap(false, true) {
		t.cancel(errNoResponse)
	}
}
