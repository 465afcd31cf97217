// Package claims grants each idempotency key at most once. A claim is an entry
// in a segment in the platform's store, written by compare-and-swap, so a grant
// depends neither on leases nor on clocks. A rejection may depend on a clock.
//
// Claims of a shard are batched: each Claimer has at most one compare-and-swap
// per shard in flight and keeps a minimum interval between two of them.
package claims

import (
	"context"
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Defaults of Config. The batch interval keeps the 64 shards of one failure
// domain below 256 writes per second; the store sustains several hundred, shared
// with other users. A shard that is used less often writes without waiting.
const (
	DefaultMinBatchInterval = 250 * time.Millisecond
	DefaultMaxWait          = 2 * time.Second
	DefaultCallTimeout      = time.Second
	DefaultCompleteDelay    = time.Second
	DefaultReleaseWait      = 30 * time.Second
	DefaultRetention        = 24 * time.Hour
	DefaultMaxFuture        = time.Minute
	DefaultMaxSegmentBytes  = 512 << 10
	DefaultMaxSegments      = 16
	DefaultCacheBytes       = 16 << 20
	DefaultMaxPending       = 4096
)

// maxBackoff bounds the delay after failed calls to the store.
const maxBackoff = time.Second

// Config configures a Claimer. All fields but Store have defaults for zero values.
type Config struct {
	Store kvstore.Store
	// MinBatchInterval is the minimum time between two writes of a shard.
	MinBatchInterval time.Duration
	// MaxWait is the maximum time that a claim waits for the store.
	MaxWait time.Duration
	// CallTimeout is the timeout of one call to the store.
	CallTimeout time.Duration
	// CompleteDelay is how long a completion waits to join another write of its shard.
	CompleteDelay time.Duration
	// ReleaseWait is how long the worker tries to write a release or a completion.
	ReleaseWait time.Duration
	// Retention is how long a key is valid after its time of issue.
	Retention time.Duration
	// MaxFuture is how far in the future a key's time of issue may lie.
	MaxFuture time.Duration
	// MaxSegmentBytes is the size at which a segment is sealed and the next segment
	// of its bucket begins. It is at most half of kvstore.MaxValueBytes.
	MaxSegmentBytes int
	// MaxSegments is the maximum number of segments of a bucket.
	MaxSegments int
	// CacheBytes bounds the memory of the cached segments of all shards together. The
	// bucket that each shard used last stays cached beyond it.
	CacheBytes int
	// MaxPending bounds the operations of a shard that wait for the store.
	MaxPending int
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// Random is the source of nonces and must be safe for concurrent use. Nil means
	// crypto/rand.
	Random io.Reader
	// Jitter returns random numbers from 0 to 1 that spread the delays after failed
	// calls to the store. It must be safe for concurrent use. Nil means math/rand/v2.
	Jitter func() float64
	Logger hclog.Logger
	// Meter creates the metrics. Nil disables them.
	Meter metric.Meter
}

// ErrConfig means that a Config is not valid.
var ErrConfig = errors.New("claims: invalid configuration")

// ErrClosed means that the Claimer has been closed.
var ErrClosed = errors.New("claims: closed")

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.MinBatchInterval, DefaultMinBatchInterval)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.CompleteDelay, DefaultCompleteDelay)
	setDefault(&c.ReleaseWait, DefaultReleaseWait)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.MaxFuture, DefaultMaxFuture)
	setDefault(&c.MaxSegmentBytes, DefaultMaxSegmentBytes)
	setDefault(&c.MaxSegments, DefaultMaxSegments)
	setDefault(&c.CacheBytes, DefaultCacheBytes)
	setDefault(&c.MaxPending, DefaultMaxPending)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Reader
	}
	if c.Jitter == nil {
		c.Jitter = mathrand.Float64
	}
}

func (c *Config) validate() error {
	switch {
	case c.Store == nil:
		return errors.Wrap(ErrConfig, "no store")
	case c.MaxSegmentBytes < headerBytes+entryBytes, c.MaxSegmentBytes > kvstore.MaxValueBytes/2:
		return errors.Wrapf(ErrConfig, "segment size %d, want at most %d bytes", c.MaxSegmentBytes, kvstore.MaxValueBytes/2)
	}
	return nil
}

// Request identifies a keyed call. Customer, Key and IssuedAt together are the
// identity; BodyHash is the SHA-256 of the body.
type Request struct {
	Customer mesh.CustomerID
	// Key has 1 to 128 visible ASCII characters.
	Key      string
	IssuedAt time.Time
	BodyHash [32]byte
}

// Claimer claims idempotency keys. It is safe for concurrent use.
type Claimer struct {
	config  Config
	metrics *instruments
	shards  [ShardCount]*shard
	// executions is indexed by shard.
	executions [ShardCount]*executionCache
	// ctx cancels the calls to the store when the Claimer is closed.
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// New returns a Claimer. It makes no call to the store.
func New(config Config) (*Claimer, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	metrics, err := newInstruments(config.Meter)
	if err != nil {
		return nil, err
	}
	c := &Claimer{config: config, metrics: metrics}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i := range c.shards {
		c.shards[i] = newShard(c, ShardID(i))
		c.executions[i] = newExecutionCache()
	}
	return c, nil
}

// Close writes the pending operations and waits for them until ctx ends. Operations
// that are submitted after Close fail with ErrClosed.
func (c *Claimer) Close(ctx context.Context) error {
	for _, s := range c.shards {
		s.close()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.workers.Wait()
	}()
	defer c.cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "claims: close")
	}
}

// Claim claims the key of request for one execution. Its error is a *Rejection.
func (c *Claimer) Claim(ctx context.Context, request Request) (*Claim, error) {
	ticket, err := c.newTicket(request)
	if err != nil {
		return nil, err
	}
	if err := c.claim(ctx, ticket, false).err(); err != nil {
		return nil, err
	}
	return &Claim{ticket: ticket, finisher: c}, nil
}

// claim writes a claim whose nonce this node drew. sent means that the claim was
// sent to an owner before and may already be written.
func (c *Claimer) claim(ctx context.Context, ticket Ticket, sent bool) opResult {
	if result, known := c.executions[ticket.Shard].result(ticket); known {
		c.metrics.recordClaim(result)
		return result
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.config.MaxWait, errStoreTimeout)
	defer cancel()
	op := &operation{
		kind: opClaim, ticket: ticket, originator: true, written: sent,
		expires: c.config.Now().Add(c.config.MaxWait),
	}
	result := c.submitAndWait(ctx, op)
	c.metrics.recordClaim(result)
	return result
}

// submitAndWait submits op and waits for its result. When ctx ends first, it cancels
// op.
func (c *Claimer) submitAndWait(ctx context.Context, op *operation) opResult {
	results := make(chan opResult, 1)
	op.finish = func(result opResult) { results <- result }
	if err := c.shards[op.ticket.Shard].submit(op); err != nil {
		return reject(mesh.ReasonQueueFull, err)
	}
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		if op.cancel() {
			return reject(rejectionReason(ctx), context.Cause(ctx))
		}
		return <-results
	}
}

// release implements finisher.
func (c *Claimer) release(ctx context.Context, ticket Ticket) error {
	op := &operation{
		kind: opRelease, ticket: ticket, originator: true,
		expires: c.config.Now().Add(c.config.ReleaseWait),
	}
	return c.submitAndWait(ctx, op).err()
}

// complete implements finisher.
func (c *Claimer) complete(_ context.Context, ticket Ticket, status int) error {
	return c.queueCompletion(ticket, status, func(opResult) {})
}

// queueCompletion queues a completion and calls finish with its result.
func (c *Claimer) queueCompletion(ticket Ticket, status int, finish func(opResult)) error {
	c.executions[ticket.Shard].add(ticket, uint16(status))
	return c.shards[ticket.Shard].submitLazy(&operation{
		kind: opComplete, ticket: ticket, status: uint16(status),
		expires: c.config.Now().Add(c.config.ReleaseWait),
		finish:  finish,
	})
}
