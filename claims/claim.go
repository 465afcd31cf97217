package claims

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// finisher writes the operation that ends a claim to the store.
type finisher interface {
	release(ctx context.Context, ticket Ticket) error
	complete(ctx context.Context, ticket Ticket, status int) error
}

// ErrFinished means that a claim was already released or completed.
var ErrFinished = errors.New("claims: claim already finished")

// Claim is the right to execute a call once. It may be used for several attempts
// as long as each earlier one ended with the outcome not_executed.
type Claim struct {
	ticket   Ticket
	finisher finisher
	finished atomic.Bool
}

// Release makes the key usable again. It is allowed only when the outcome of the
// call is not_executed. After an error the release may still take effect, so the
// call must not be attempted again with this claim; if the release does not take
// effect, the key stays in use until it expires.
func (c *Claim) Release(ctx context.Context) error {
	if c.finished.Swap(true) {
		return ErrFinished
	}
	return c.finisher.release(ctx, c.ticket)
}

// Complete records that the call was executed and answered with an HTTP status.
// It does not wait for the write, which joins a later batch. Afterwards this host
// and the owner of the shard answer duplicates from memory. Other hosts see the
// key as in progress until the write.
func (c *Claim) Complete(ctx context.Context, status int) error {
	if c.finished.Swap(true) {
		return ErrFinished
	}
	return c.finisher.complete(ctx, c.ticket, status)
}
