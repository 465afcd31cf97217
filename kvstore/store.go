// Package kvstore defines the interface to the platform's key-value service,
// the only durable storage of a mesh. The service's real protocol is not known
// yet, so adapters implement Store and nothing else depends on the protocol.
package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Revision orders the writes to one key. A key that was deleted and written
// again has a higher revision than before. Zero means that the key is absent.
// Revisions of different keys are not comparable.
type Revision uint64

// Entry is the value of a key at a revision. Value must not be modified.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Lease is an exclusive claim on a key name that expires unless it is renewed.
// It is a hint only: its holder may be paused past the expiry, so no safety
// property may depend on it.
type Lease struct {
	Name   string
	Holder string
	// Token distinguishes this lease from earlier ones of the same holder.
	Token uint64
	TTL   time.Duration
}

// Store is the platform's key-value service. Every call, and every waiting
// Watch, counts against the service's rate.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's revision is expected (zero: the
	// key must be absent) and returns the new revision. A nil value deletes the
	// key. ErrConflict means that nothing was written; ErrUnknown means that
	// the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	// Watch waits until the key's revision is higher than after and returns the
	// entry. A deleted key is returned with a nil value. It ends with the
	// context's error when the context ends first.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// List returns the keys with the prefix in order, at most limit of them.
	List(ctx context.Context, prefix string, limit int) ([]string, error)
	// AcquireLease acquires the lease called name, or returns ErrLeaseHeld.
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// RenewLease extends the lease, or returns ErrLeaseLost.
	RenewLease(ctx context.Context, lease Lease) error
	// ReleaseLease ends the lease. Releasing a lost lease is not an error.
	ReleaseLease(ctx context.Context, lease Lease) error
}

// Errors of a Store. Adapters mark their errors with one of these.
var (
	ErrNotFound    = errors.New("kvstore: key not found")
	ErrConflict    = errors.New("kvstore: key has another revision, nothing was written")
	ErrUnavailable = errors.New("kvstore: service unavailable, nothing was written")
	ErrUnknown     = errors.New("kvstore: response lost, the write may have taken effect")
	ErrTooLarge    = errors.New("kvstore: value larger than 1 MB")
	ErrLeaseHeld   = errors.New("kvstore: lease held by another holder")
	ErrLeaseLost   = errors.New("kvstore: lease lost")
	ErrRateLimited = errors.New("kvstore: call rate exceeded, nothing was written")
)
