package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// CallKind is a kind of call to a Store.
type CallKind uint8

// The kinds of calls.
const (
	CallGet CallKind = iota
	CallCompareAndSwap
	CallWatch
	CallList
	CallAcquireLease
	CallRenewLease
	CallReleaseLease
	// CallKindCount is the number of kinds.
	CallKindCount = 7
)

var callKindNames = [CallKindCount]string{
	"get", "compare_and_swap", "watch", "list", "acquire_lease", "renew_lease", "release_lease",
}

// String returns the name of the kind as metrics spell it.
func (k CallKind) String() string { return callKindNames[k] }

// IsWrite reports whether calls of this kind change the store.
func (k CallKind) IsWrite() bool {
	return k == CallCompareAndSwap || k >= CallAcquireLease
}

// Counts is a snapshot of call counters.
type Counts struct {
	// ByKind holds the calls since the start, a watch counted once when it began.
	ByKind [CallKindCount]uint64
	// WaitingWatches is the number of watches that have not returned.
	WaitingWatches int
	// PeakPerSecond is the largest number of calls begun within one second of
	// the Unix clock.
	PeakPerSecond uint64
}

// Reads returns the calls that change nothing.
func (c Counts) Reads() uint64 { return c.Total() - c.Writes() }

// Writes returns the calls that change the store.
func (c Counts) Writes() uint64 {
	var sum uint64
	for kind, n := range c.ByKind {
		if CallKind(kind).IsWrite() {
			sum += n
		}
	}
	return sum
}

// Total returns the calls of all kinds.
func (c Counts) Total() uint64 {
	var sum uint64
	for _, n := range c.ByKind {
		sum += n
	}
	return sum
}

// CallCounters counts calls to a Store. The zero value is ready for use, and
// all methods may be called concurrently.
type CallCounters struct {
	mu            sync.Mutex
	counts        Counts
	second        int64
	callsInSecond uint64
}

// Begin counts a call. The caller runs end when the call has ended.
func (c *CallCounters) Begin(kind CallKind) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.ByKind[kind]++
	c.updatePeak()
	if kind != CallWatch {
		return func() {}
	}
	c.counts.WaitingWatches++
	return c.endWatch
}

// updatePeak counts a call in the current second. The caller holds c.mu.
func (c *CallCounters) updatePeak() {
	now := time.Now().Unix()
	if now != c.second {
		c.second, c.callsInSecond = now, 0
	}
	c.callsInSecond++
	c.counts.PeakPerSecond = max(c.counts.PeakPerSecond, c.callsInSecond)
}

func (c *CallCounters) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.WaitingWatches--
}

// Counts returns the counters at this moment.
func (c *CallCounters) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// CountingStore forwards calls to a Store and counts them.
type CountingStore struct {
	CallCounters
	store Store
}

// NewCountingStore returns a Store that counts the calls to store.
func NewCountingStore(store Store) *CountingStore { return &CountingStore{store: store} }

// Get implements Store.
func (c *CountingStore) Get(ctx context.Context, key string) (Entry, error) {
	defer c.Begin(CallGet)()
	return c.store.Get(ctx, key)
}

// CompareAndSwap implements Store.
func (c *CountingStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	defer c.Begin(CallCompareAndSwap)()
	return c.store.CompareAndSwap(ctx, key, value, expected)
}

// Watch implements Store.
func (c *CountingStore) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	defer c.Begin(CallWatch)()
	return c.store.Watch(ctx, key, after)
}

// List implements Store.
func (c *CountingStore) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	defer c.Begin(CallList)()
	return c.store.List(ctx, prefix, limit)
}

// AcquireLease implements Store.
func (c *CountingStore) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	defer c.Begin(CallAcquireLease)()
	return c.store.AcquireLease(ctx, name, holder, ttl)
}

// RenewLease implements Store.
func (c *CountingStore) RenewLease(ctx context.Context, lease Lease) error {
	defer c.Begin(CallRenewLease)()
	return c.store.RenewLease(ctx, lease)
}

// ReleaseLease implements Store.
func (c *CountingStore) ReleaseLease(ctx context.Context, lease Lease) error {
	defer c.Begin(CallReleaseLease)()
	return c.store.ReleaseLease(ctx, lease)
}

// ExportMetrics registers the counters with meter. With a nil meter it does
// nothing.
func (c *CountingStore) ExportMetrics(meter metric.Meter) error {
	if meter == nil {
		return nil
	}
	calls, err := meter.Int64ObservableCounter("geraniumnotch.store.calls",
		metric.WithDescription("Calls to the platform's key-value service by kind"))
	if err != nil {
		return errors.Wrap(err, "kvstore: metrics")
	}
	watches, err := meter.Int64ObservableGauge("geraniumnotch.store.watches",
		metric.WithDescription("Watches that wait for a change"))
	if err != nil {
		return errors.Wrap(err, "kvstore: metrics")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c.observe(o, calls, watches)
		return nil
	}, calls, watches)
	return errors.Wrap(err, "kvstore: metrics")
}

func (c *CountingStore) observe(o metric.Observer, calls, watches metric.Int64Observable) {
	counts := c.Counts()
	for kind, n := range counts.ByKind {
		label := attribute.String("kind", CallKind(kind).String())
		o.ObserveInt64(calls, int64(n), metric.WithAttributes(label))
	}
	o.ObserveInt64(watches, int64(counts.WaitingWatches))
}
