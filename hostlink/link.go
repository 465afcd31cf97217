package hostlink

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/events"
)

const (
	// LongBytes is the length from which a response counts as a long one. It is the
	// longest body that leaves in one frame while there is no order.
	LongBytes = 16 << 10
	// ChunkBytes is the length of the chunks of a long body. One of them occupies a link of
	// 12 Mbit/s for 6 ms.
	ChunkBytes = 8 << 10
	// defaultResponseBytes is assumed of a long response until the first one.
	defaultResponseBytes = 64 << 10
	// newSizeWeight is the weight of a new length in its moving average.
	newSizeWeight = 0.05
	// readyWeight is the weight of a new time until a response is ready in its moving
	// average.
	readyWeight = 0.1
)

// Log events of the link of a host.
var (
	eventEnabled   = events.Define(2550, hclog.Info, "long responses are ordered on the host's link", "None; the route plan has routes of kind download, and link-mbps is set.")
	eventDisabled  = events.Define(2551, hclog.Info, "long responses are no longer ordered on the host's link", "None; the route plan has no route of kind download any more.")
	eventSlow      = events.Define(2552, hclog.Warn, "the host's link carries less than its setting", "Compare link-mbps with the network; the measured rate is used meanwhile. See docs/OPERATIONS.md.")
	eventRecovered = events.Define(2553, hclog.Info, "the host's link carries what its setting says again", "None.")
)

// slowFraction and recoveredFraction are the fractions of the rate of the settings at which
// a link is reported as slow and as recovered. They differ so that a link at the bound is
// not reported all the time.
const (
	slowFraction      = 0.6
	recoveredFraction = 0.95
)

// Config configures a Link.
type Config struct {
	// Mbps is the bandwidth by the settings in Mbit/s, 0 when it is unknown.
	Mbps   float64
	Clock  boottime.Clock
	Logger hclog.Logger
	// OnWait is called with the time that each chunk waited; nil ignores it.
	OnWait func(need Need, waited time.Duration)
}

// Link is the network link of this host. It is safe for concurrent use.
type Link struct {
	config Config

	// enabled is written with the lock held.
	enabled atomic.Bool

	mu    sync.Mutex
	slow  bool
	rate  rateEstimate
	pacer pacer
	// timerSet is set while a timer calls dispatch.
	timerSet bool
	promises promises
	// incoming are the long responses of other hosts that calls of this host wait for. Their
	// number is bounded by the calls of its clients and of its endpoint.
	incoming promises
	// meanBytes is the mean length of long responses, meanReady the mean time until they
	// are ready; 0 when unknown.
	meanBytes float64
	meanReady float64
	refused   int64
}

// New returns a link that orders nothing until it is enabled.
func New(config Config) *Link { return &Link{config: config, rate: newRateEstimate(config.Mbps)} }

// SetEnabled has long responses ordered or not. Without a bandwidth they never are.
func (l *Link) SetEnabled(enabled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	enabled = enabled && l.config.Mbps > 0
	if l.enabled.Swap(enabled) == enabled {
		return
	}
	if enabled {
		eventEnabled.Log(l.config.Logger, "link_mbps", l.config.Mbps)
		return
	}
	eventDisabled.Log(l.config.Logger)
	for _, c := range l.pacer.waiting {
		close(c.granted)
	}
	l.pacer.waiting = nil
}

// Enabled reports whether long responses are ordered.
func (l *Link) Enabled() bool {
	return l != nil && l.enabled.Load()
}

// RecordShort records a frame that left without waiting.
func (l *Link) RecordShort(bytes int) {
	if !l.Enabled() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock()
	l.rate.observeShort(bytes, now)
	l.pacer.account(bytes, l.rate.usable, now)
}

// Status is what other hosts need to know of the link.
type Status struct {
	// Wait is the time that a further long response is expected to wait.
	Wait time.Duration
	// BytesPerSecond is the rate that is left for long responses.
	BytesPerSecond float64
}

// Status returns the state of the link. It reports false while nothing is ordered.
func (l *Link) Status() (Status, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.enabled.Load() {
		return Status{}, false
	}
	now := l.config.Clock()
	l.updateRate(now)
	ready := now + time.Duration(l.meanReady)
	last := promise{need: Need{Rank: maxRank, TargetBy: maxTime}, readyAt: ready}
	return Status{Wait: l.promises.finish(&last, l.rate.long(), now) - ready, BytesPerSecond: l.rate.long()}, true
}

// maxRank and maxTime are the need of a response that leaves after all others within their
// latency target.
const (
	maxRank = 255
	maxTime = boottime.Time(1<<63 - 1)
)

// Stats are the figures of the link for metrics.
type Stats struct {
	WaitingBytes, PromisedBytes, Refused int64
	BytesPerSecond                       float64
}

// Stats returns the figures of the link.
func (l *Link) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Refused: l.refused}
	if l.enabled.Load() {
		s.BytesPerSecond = l.rate.usable
	}
	for _, c := range l.pacer.waiting {
		s.WaitingBytes += int64(c.bytes)
	}
	for _, p := range l.promises {
		s.PromisedBytes += int64(p.bytes)
	}
	return s
}

func (l *Link) updateRate(now boottime.Time) {
	l.rate.update(now)
	switch {
	case !l.slow && l.rate.usable < slowFraction*l.rate.limit:
		l.slow = true
		eventSlow.Log(l.config.Logger, "link_mbps", l.config.Mbps, "bytes_per_s", int64(l.rate.usable))
	case l.slow && l.rate.usable > recoveredFraction*l.rate.limit:
		l.slow = false
		eventRecovered.Log(l.config.Logger, "link_mbps", l.config.Mbps)
	}
}

// dispatch lets the chunks go that may, and sets a timer for the next one. The caller holds
// the lock.
func (l *Link) dispatch(now boottime.Time) {
	for {
		c, wait := l.pacer.next(l.rate.usable, now)
		if c == nil {
			if wait > 0 && !l.timerSet {
				l.timerSet = true
				time.AfterFunc(wait, l.onTimer)
			}
			return
		}
		close(c.granted)
		if l.config.OnWait != nil {
			l.config.OnWait(c.need, now-c.queued)
		}
	}
}

func (l *Link) onTimer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerSet = false
	now := l.config.Clock()
	l.updateRate(now)
	l.dispatch(now)
}

// Transfer is a response that leaves by the link, from the arrival of its call on. Its
// methods may be called on nil, which waits for nothing.
type Transfer struct {
	link    *Link
	promise promise
	// listed is set while the promise is in the list.
	listed bool
	// sent are the ends of the chunks that no credit covers yet, from sentBytes and
	// creditedBytes.
	sent          []sentMark
	sentBytes     int
	creditedBytes int
}

// sentMark says when the bytes of a body up to an offset were let go.
type sentMark struct {
	end int
	at  boottime.Time
}

// NewTransfer returns a transfer for the response of a call, nil while nothing is ordered.
func (l *Link) NewTransfer(need Need) *Transfer {
	if !l.Enabled() {
		return nil
	}
	return &Transfer{link: l, promise: promise{need: need}}
}

// Reserve decides whether a long response of the expected length, 0 when unknown, that will
// be ready after readyIn can leave in time. If not, the call must not be executed, and
// retryAfter is when the link is expected to have room.
func (t *Transfer) Reserve(expectedBytes int64, readyIn time.Duration) (retryAfter time.Duration, fits bool) {
	if t == nil {
		return 0, true
	}
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.enabled.Load() {
		return 0, true
	}
	now := l.config.Clock()
	l.updateRate(now)
	t.promise.bytes = float64(expectedBytes)
	if expectedBytes <= 0 {
		t.promise.bytes = l.meanBytes
		if l.meanBytes == 0 {
			t.promise.bytes = defaultResponseBytes
		}
	}
	t.promise.readyAt = now + readyIn
	l.meanReady += readyWeight * (float64(readyIn) - l.meanReady)
	if retryAfter, fits = l.promises.admit(&t.promise, l.rate.long(), now, rand.Float64); !fits {
		l.refused++
		return retryAfter, false
	}
	l.list(t)
	return 0, true
}

// list adds the promise. The caller holds the lock.
func (l *Link) list(t *Transfer) {
	if !t.listed {
		t.listed = true
		l.promises = append(l.promises, &t.promise)
	}
}

// Begin records that the response is ready, and its length.
func (t *Transfer) Begin(bytes int64) {
	if t == nil {
		return
	}
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes < 0 {
		bytes = int64(t.promise.bytes)
	}
	if bytes > LongBytes {
		if l.meanBytes == 0 {
			l.meanBytes = float64(bytes)
		}
		l.meanBytes += newSizeWeight * (float64(bytes) - l.meanBytes)
		l.list(t)
	}
	t.promise.bytes, t.promise.readyAt = float64(bytes), l.config.Clock()
}

// Wait waits until the next bytes of the response may leave. It reports false when ended is
// closed first.
func (t *Transfer) Wait(ended <-chan struct{}, bytes int) bool {
	if t == nil {
		return true
	}
	l := t.link
	l.mu.Lock()
	if !l.enabled.Load() {
		l.mu.Unlock()
		return true
	}
	now := l.config.Clock()
	c := &chunk{need: t.promise.need, bytes: bytes, queued: now, granted: make(chan struct{})}
	l.pacer.waiting = append(l.pacer.waiting, c)
	l.updateRate(now)
	l.dispatch(now)
	l.mu.Unlock()
	select {
	case <-c.granted:
	case <-ended:
		l.mu.Lock()
		l.pacer.cancel(c)
		l.mu.Unlock()
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.promise.bytes = max(0, t.promise.bytes-float64(bytes))
	t.sentBytes += bytes
	t.sent = append(t.sent, sentMark{t.sentBytes, l.config.Clock()})
	return true
}

// Credited records that the caller's host has received and read bytes.
func (t *Transfer) Credited(bytes int) {
	if t == nil {
		return
	}
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	t.creditedBytes += bytes
	covered := 0
	for covered < len(t.sent) && t.sent[covered].end <= t.creditedBytes {
		covered++
	}
	if covered == 0 {
		return
	}
	now := l.config.Clock()
	l.rate.observeCredit(bytes, now-t.sent[covered-1].at, now)
	t.sent = t.sent[covered:]
}

// Close ends the transfer, whether the response has left or not.
func (t *Transfer) Close() {
	if t == nil {
		return
	}
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if !t.listed {
		return
	}
	t.listed = false
	l.promises.remove(&t.promise)
}

// ReserveIncoming decides whether a long response of another host, which is expected after
// readyIn, can still arrive by this host's link in time. If not, the call must not be sent,
// and retryAfter is when the link is expected to have room. Release must be called when the
// response has arrived or will not. Its load: clients of one host that ask for more than
// its link carries.
func (l *Link) ReserveIncoming(need Need, bytes int64, readyIn time.Duration) (release func(), retryAfter time.Duration, fits bool) {
	if !l.Enabled() || bytes <= LongBytes {
		return func() {}, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock()
	x := &promise{need: need, bytes: float64(bytes), readyAt: now + readyIn}
	if retryAfter, fits = l.incoming.admit(x, l.rate.limit, now, rand.Float64); !fits {
		l.refused++
		return func() {}, retryAfter, false
	}
	l.incoming = append(l.incoming, x)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.incoming.remove(x)
	}, 0, true
}
