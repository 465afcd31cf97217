package callmux

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/heldmemory"

	"geraniumnotch.example/geraniumnotch/call"
)

const (
	// maxBodyQueueTime bounds the time for which request bodies of other hosts may
	// delay other traffic on this host's network link. A host without status reports
	// for 1.5 s counts as unreachable.
	maxBodyQueueTime = 250 * time.Millisecond
	bitsPerByte      = 8
)

// BodyLimiter limits the number of request bodies that a host receives concurrently,
// by the bandwidth of its network link. Without the limit, many long bodies on a slow
// network link delay the calls and status reports of all other hosts. All mesh links
// of a host share one BodyLimiter.
type BodyLimiter struct {
	permits chan struct{}
	// bytesPerSecond is the bandwidth of the network link, 0 when unknown.
	// pendingBytes is the total length of the bodies that are being fetched.
	bytesPerSecond float64
	pendingBytes   atomic.Int64
	// memory is what the calls of peers may hold; nil limits nothing.
	memory *heldmemory.Account
}

// SetMemory bounds the memory of the calls of peers: their heads, the bodies that are
// fetched, and responses that have not been sent. It must be called before the first call.
func (b *BodyLimiter) SetMemory(account *heldmemory.Account) { b.memory = account }

// expectedTime returns the expected time to fetch another body of the given length.
func (b *BodyLimiter) expectedTime(bytes int64) time.Duration {
	if b.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(b.pendingBytes.Load()+bytes) / b.bytesPerSecond * float64(time.Second))
}

// NewBodyLimiter returns a limiter for a network link with the given bandwidth in Mbit/s.
// Zero means that the bandwidth is unknown and nothing is limited.
func NewBodyLimiter(linkMbps float64) *BodyLimiter {
	if linkMbps <= 0 {
		return &BodyLimiter{}
	}
	rate := linkMbps * 1e6 / bitsPerByte
	permits := max(1, int(rate*maxBodyQueueTime.Seconds()/windowBytes))
	return &BodyLimiter{permits: make(chan struct{}, permits), bytesPerSecond: rate}
}

// permit allows one call to receive its request body.
type permit struct {
	limiter  *BodyLimiter
	mu       sync.Mutex
	held     bool
	released bool
}

// acquire waits for the permit. It reports false when ended is closed first or
// the permit was released before.
func (p *permit) acquire(ended <-chan struct{}) bool {
	if p.limiter.permits == nil {
		return true
	}
	select {
	case p.limiter.permits <- struct{}{}:
	case <-ended:
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released {
		<-p.limiter.permits
		return false
	}
	p.held = true
	return true
}

// release returns the permit and cancels a later acquire. It may be called more than
// once.
func (p *permit) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
	if p.held {
		p.held = false
		<-p.limiter.permits
	}
}

// remoteBody is a request body at another host. It gives the first credit for it only
// when it is first read.
type remoteBody struct {
	in    *incoming
	bytes int64
	// ended is closed when the call has ended.
	ended   <-chan struct{}
	started bool
}

// Read returns the next bytes. It blocks until the other host has sent some.
func (b *remoteBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		if !b.in.permit.acquire(b.ended) {
			return 0, ErrBodyIncomplete
		}
		b.in.body.sendCredit(windowBytes)
	}
	return b.in.body.Read(p)
}

// Rewind reports whether nothing has been read yet.
func (b *remoteBody) Rewind() (call.Body, bool) { return b, !b.started }

// fetchableBody is a body of known length that may be buffered in memory.
type fetchableBody struct{ remoteBody }

// ExpectedFetchTime returns the expected time to fetch the body.
func (b *fetchableBody) ExpectedFetchTime() time.Duration {
	return b.in.permit.limiter.expectedTime(b.bytes)
}

// Fetch reads the whole body into memory.
func (b *fetchableBody) Fetch(ctx context.Context) (call.Body, error) {
	pending := &b.in.permit.limiter.pendingBytes
	pending.Add(b.bytes)
	defer pending.Add(-b.bytes)
	stop := context.AfterFunc(ctx, func() { b.in.body.closeWithError(ErrBodyIncomplete) })
	defer stop()
	b.ended = ctx.Done()
	if b.in.held != nil && !b.in.held.Grow(ctx, b.bytes) {
		return nil, heldmemory.ErrNoMemory
	}
	whole := make([]byte, b.bytes)
	if _, err := io.ReadFull(b, whole); err != nil {
		return nil, errors.Wrap(err, "callmux: fetch body")
	}
	return call.BytesBody(whole), nil
}
