package experiments

import (
	"context"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// hostStore is the store as one host reaches it. Its connection can be cut, and
// the results of watches can be delayed, as they are on a paused host.
type hostStore struct {
	store kvstore.Store

	mu      sync.Mutex
	linkCtx context.Context
	cutLink context.CancelFunc
	paused  chan struct{}
}

func newHostStore(store kvstore.Store) *hostStore {
	s := &hostStore{store: store}
	s.linkCtx, s.cutLink = context.WithCancel(context.Background())
	return s
}

// cut makes all calls fail, including those in flight.
func (s *hostStore) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutLink()
}

func (s *hostStore) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linkCtx.Err() != nil {
		s.linkCtx, s.cutLink = context.WithCancel(context.Background())
	}
}

// pause delays the results of watches until the returned function is called.
func (s *hostStore) pause() (resume func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	paused := make(chan struct{})
	s.paused = paused
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.paused = nil
		close(paused)
	}
}

func (s *hostStore) linkState() (context.Context, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linkCtx, s.paused
}

// callStore calls the store. It fails with ErrUnavailable when the store is cut
// off, and with cutErr when the cut interrupts the call.
func callStore[T any](ctx context.Context, s *hostStore, cutErr error, call func(context.Context) (T, error)) (T, error) {
	var zero T
	linkCtx, _ := s.linkState()
	if linkCtx.Err() != nil {
		return zero, kvstore.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(linkCtx, cancel)()
	value, err := call(ctx)
	if linkCtx.Err() != nil {
		return zero, cutErr
	}
	return value, err
}

func callStoreNoValue(ctx context.Context, s *hostStore, call func(context.Context) error) error {
	_, err := callStore(ctx, s, kvstore.ErrUnknown, func(ctx context.Context) (struct{}, error) { return struct{}{}, call(ctx) })
	return err
}

func (s *hostStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	return callStore(ctx, s, kvstore.ErrUnavailable, func(ctx context.Context) (kvstore.Entry, error) { return s.store.Get(ctx, key) })
}

func (s *hostStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	return callStore(ctx, s, kvstore.ErrUnknown, func(ctx context.Context) (kvstore.Revision, error) {
		return s.store.CompareAndSwap(ctx, key, value, expected)
	})
}

func (s *hostStore) Watch(ctx context.Context, key string, after kvstore.Revision) (kvstore.Entry, error) {
	entry, err := callStore(ctx, s, kvstore.ErrUnavailable, func(ctx context.Context) (kvstore.Entry, error) {
		return s.store.Watch(ctx, key, after)
	})
	if _, paused := s.linkState(); paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
	return entry, err
}

func (s *hostStore) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	return callStore(ctx, s, kvstore.ErrUnavailable, func(ctx context.Context) ([]string, error) { return s.store.List(ctx, prefix, limit) })
}

func (s *hostStore) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	return callStore(ctx, s, kvstore.ErrUnknown, func(ctx context.Context) (kvstore.Lease, error) {
		return s.store.AcquireLease(ctx, name, holder, ttl)
	})
}

func (s *hostStore) RenewLease(ctx context.Context, lease kvstore.Lease) error {
	return callStoreNoValue(ctx, s, func(ctx context.Context) error { return s.store.RenewLease(ctx, lease) })
}

func (s *hostStore) ReleaseLease(ctx context.Context, lease kvstore.Lease) error {
	return callStoreNoValue(ctx, s, func(ctx context.Context) error { return s.store.ReleaseLease(ctx, lease) })
}
