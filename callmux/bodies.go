package callmux

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/call"
)

const (
	// bodyQueueTime bounds the time that request bodies of other hosts may occupy
	// this host's link ahead of anything else. Reports of a host are missed after
	// 1.5 s.
	bodyQueueTime = 250 * time.Millisecond
	bitsPerByte   = 8
)

// Bodies bounds the request bodies that a host receives at the same time by the
// bandwidth of its link. It answers a flood of long bodies on a narrow link, which
// would hold up the calls and reports of all other hosts. The links of a host
// share one value.
type Bodies struct {
	permits chan struct{}
	// bytesPerSecond is the bandwidth of the link, 0 when unknown; pending is the
	// length of the bodies that are being fetched.
	bytesPerSecond float64
	pending        atomic.Int64
}

// expected is the time that a further body of the given length takes.
func (b *Bodies) expected(bytes int64) time.Duration {
	if b.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(b.pending.Load()+bytes) / b.bytesPerSecond * float64(time.Second))
}

// NewBodies returns the bound for a link of the given bandwidth in Mbit/s. Zero
// stands for an unknown bandwidth and bounds nothing.
func NewBodies(linkMbps float64) *Bodies {
	if linkMbps <= 0 {
		return &Bodies{}
	}
	rate := linkMbps * 1e6 / bitsPerByte
	permits := max(1, int(rate*bodyQueueTime.Seconds()/windowBytes))
	return &Bodies{permits: make(chan struct{}, permits), bytesPerSecond: rate}
}

// permit is the right of one call to receive its body.
type permit struct {
	bodies *Bodies
	mu     sync.Mutex
	held   bool
	over   bool
}

// acquire waits for the permit. It reports false when ended is closed first or
// the permit was released before.
func (p *permit) acquire(ended <-chan struct{}) bool {
	if p.bodies.permits == nil {
		return true
	}
	select {
	case p.bodies.permits <- struct{}{}:
	case <-ended:
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		<-p.bodies.permits
		return false
	}
	p.held = true
	return true
}

// release ends the permit. It may be called more than once.
func (p *permit) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	if p.held {
		p.held = false
		<-p.bodies.permits
	}
}

// remoteBody asks for the body only when it is first read.
type remoteBody struct {
	in    *incoming
	bytes int64
	// ended is closed when the call has ended.
	ended <-chan struct{}
	begun bool
}

// Read returns the next bytes. It waits for the other host.
func (b *remoteBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		if !b.in.permit.acquire(b.ended) {
			return 0, ErrBodyBroken
		}
		b.in.body.credit(windowBytes)
	}
	return b.in.body.Read(p)
}

// Rewind reports whether nothing was read yet.
func (b *remoteBody) Rewind() bool { return !b.begun }

// fetchableBody is a body of known length that fits into memory.
type fetchableBody struct{ remoteBody }

// Expected is the time until the body would be here.
func (b *fetchableBody) Expected() time.Duration { return b.in.permit.bodies.expected(b.bytes) }

// Fetch reads the whole body.
func (b *fetchableBody) Fetch(ctx context.Context) (call.Body, error) {
	pending := &b.in.permit.bodies.pending
	pending.Add(b.bytes)
	defer pending.Add(-b.bytes)
	stop := context.AfterFunc(ctx, func() { b.in.body.finish(ErrBodyBroken) })
	defer stop()
	b.ended = ctx.Done()
	whole := make([]byte, b.bytes)
	if _, err := io.ReadFull(b, whole); err != nil {
		return nil, errors.Wrap(err, "callmux: fetch body")
	}
	return call.BytesBody(whole), nil
}
