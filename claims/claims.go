// Package claims grants each idempotency key at most once. A claim is an entry
// in a segment in the platform's store, written by compare-and-swap, so a grant
// depends neither on leases nor on clocks. A refusal may be based on a clock.
//
// Claims of a shard are batched: each Claimer has at most one compare-and-swap
// per shard in flight and keeps a minimum interval between them.
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
// domain below 256 writes per second; the store takes several hundred, shared
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

// maxBackoff bounds the pause after failed calls to the store.
const maxBackoff = time.Second

// Config configures a Claimer. Zero values mean the defaults.
type Config struct {
	Store kvstore.Store
	// MinBatchInterval is the shortest time between two writes of a shard.
	MinBatchInterval time.Duration
	// MaxWait is the longest time that a claim waits for the store.
	MaxWait time.Duration
	// CallTimeout ends a call to the store that does not answer.
	CallTimeout time.Duration
	// CompleteDelay is how long a completion waits for another write to join.
	CompleteDelay time.Duration
	// ReleaseWait is how long a release is tried in the background.
	ReleaseWait time.Duration
	// Retention is how long after its issue a key is valid.
	Retention time.Duration
	// MaxFuture is how far in the future a key's time of issue may lie.
	MaxFuture time.Duration
	// MaxSegmentBytes is the size at which a segment is sealed and the next one
	// of its bucket begins. It must leave room below kvstore.MaxValueBytes.
	MaxSegmentBytes int
	// MaxSegments is the number of segments of a bucket.
	MaxSegments int
	// CacheBytes bounds the cached segments of all shards together, apart from
	// the one bucket that each shard used last.
	CacheBytes int
	// MaxPending bounds the operations of a shard that wait for the store.
	MaxPending int
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// Random gives nonces and is safe for concurrent use. Nil means crypto/rand.
	Random io.Reader
	// Jitter returns numbers from 0 to 1 that spread retries and is safe for
	// concurrent use. Nil means a random source of its own.
	Jitter func() float64
	Logger hclog.Logger
	// Meter makes the metrics. Nil means none.
	Meter metric.Meter
}

// ErrConfig means that a Config is not valid.
var ErrConfig = errors.New("claims: invalid configuration")

// ErrClosed means that the Claimer has been closed.
var ErrClosed = errors.New("claims: closed")

func orDefault[T ~int | ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

func (c *Config) setDefaults() {
	orDefault(&c.MinBatchInterval, DefaultMinBatchInterval)
	orDefault(&c.MaxWait, DefaultMaxWait)
	orDefault(&c.CallTimeout, DefaultCallTimeout)
	orDefault(&c.CompleteDelay, DefaultCompleteDelay)
	orDefault(&c.ReleaseWait, DefaultReleaseWait)
	orDefault(&c.Retention, DefaultRetention)
	orDefault(&c.MaxFuture, DefaultMaxFuture)
	orDefault(&c.MaxSegmentBytes, DefaultMaxSegmentBytes)
	orDefault(&c.MaxSegments, DefaultMaxSegments)
	orDefault(&c.CacheBytes, DefaultCacheBytes)
	orDefault(&c.MaxPending, DefaultMaxPending)
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
	// executed belongs to the shards by number.
	executed [ShardCount]*executed
	// ctx ends the calls to the store when the Claimer is closed.
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
		c.executed[i] = newExecuted()
	}
	return c, nil
}

// Close writes what is pending, for at most as long as ctx lasts. Later calls
// fail.
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

// Claim claims the key of request for one execution. The error is a *Refusal.
func (c *Claimer) Claim(ctx context.Context, request Request) (*Claim, error) {
	ticket, err := c.newTicket(request)
	if err != nil {
		return nil, err
	}
	if err := c.claim(ctx, ticket, false).err(); err != nil {
		return nil, err
	}
	return &Claim{ticket: ticket, path: c}, nil
}

// claim writes a claim that this node originated. The claim may have been
// written already when it was sent to the owner before.
func (c *Claimer) claim(ctx context.Context, ticket Ticket, sent bool) verdict {
	if v, known := c.executed[ticket.Shard].verdict(ticket); known {
		c.metrics.claimed(v)
		return v
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.config.MaxWait, errStoreTimeout)
	defer cancel()
	op := &operation{
		kind: opClaim, ticket: ticket, originator: true, written: sent,
		expires: c.config.Now().Add(c.config.MaxWait),
	}
	v := c.run(ctx, op)
	c.metrics.claimed(v)
	return v
}

// run submits op and waits for its verdict.
func (c *Claimer) run(ctx context.Context, op *operation) verdict {
	result := make(chan verdict, 1)
	op.finish = func(v verdict) { result <- v }
	if err := c.shards[op.ticket.Shard].submit(op); err != nil {
		return refuse(mesh.ReasonQueueFull, err)
	}
	select {
	case v := <-result:
		return v
	case <-ctx.Done():
		if op.abandon() {
			return refuse(reasonOf(ctx), context.Cause(ctx))
		}
		return <-result
	}
}

// release implements path.
func (c *Claimer) release(ctx context.Context, ticket Ticket) error {
	op := &operation{
		kind: opRelease, ticket: ticket, originator: true,
		expires: c.config.Now().Add(c.config.ReleaseWait),
	}
	return c.run(ctx, op).err()
}

// complete implements path.
func (c *Claimer) complete(_ context.Context, ticket Ticket, status int) error {
	return c.completeThen(ticket, status, func(verdict) {})
}

// completeThen queues a completion and calls finish when it is settled.
func (c *Claimer) completeThen(ticket Ticket, status int, finish func(verdict)) error {
	c.executed[ticket.Shard].add(ticket, uint16(status))
	return c.shards[ticket.Shard].submitLazy(&operation{
		kind: opComplete, ticket: ticket, status: uint16(status),
		expires: c.config.Now().Add(c.config.ReleaseWait),
		finish:  finish,
	})
}
