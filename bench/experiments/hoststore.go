package experiments

import (
	"context"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// hostStore is the store as one host reaches it: the way to it can be cut, and
// answers to watches can be held back, as a paused host holds them.
type hostStore struct {
	store kvstore.Store

	mu     sync.Mutex
	link   context.Context
	sever  context.CancelFunc
	paused chan struct{}
}

func newHostStore(store kvstore.Store) *hostStore {
	s := &hostStore{store: store}
	s.link, s.sever = context.WithCancel(context.Background())
	return s
}

// cut makes all calls fail, those under way included.
func (s *hostStore) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sever()
}

func (s *hostStore) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link.Err() != nil {
		s.link, s.sever = context.WithCancel(context.Background())
	}
}

// pause holds the answers of watches until the returned function is called.
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

func (s *hostStore) state() (context.Context, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link, s.paused
}

// through makes a call while the way to the store is open. A call that the cut
// interrupts fails with lost.
func through[T any](ctx context.Context, s *hostStore, lost error, call func(context.Context) (T, error)) (T, error) {
	var none T
	link, _ := s.state()
	if link.Err() != nil {
		return none, kvstore.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(link, cancel)()
	value, err := call(ctx)
	if link.Err() != nil {
		return none, lost
	}
	return value, err
}

func throughWrite(ctx context.Context, s *hostStore, call func(context.Context) error) error {
	_, err := through(ctx, s, kvstore.ErrUnknown, func(ctx context.Context) (struct{}, error) { return struct{}{}, call(ctx) })
	return err
}

func (s *hostStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	return through(ctx, s, kvstore.ErrUnavailable, func(ctx context.Context) (kvstore.Entry, error) { return s.store.Get(ctx, key) })
}

func (s *hostStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	return through(ctx, s, kvstore.ErrUnknown, func(ctx context.Context) (kvstore.Revision, error) {
		return s.store.CompareAndSwap(ctx, key, value, expected)
	})
}

func (s *hostStore) Watch(ctx context.Context, key string, after kvstore.Revision) (kvstore.Entry, error) {
	entry, err := through(ctx, s, kvstore.ErrUnavailable, func(ctx context.Context) (kvstore.Entry, error) {
		return s.store.Watch(ctx, key, after)
	})
	if _, paused := s.state(); paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
	return entry, err
}

func (s *hostStore) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	return through(ctx, s, kvstore.ErrUnavailable, func(ctx context.Context) ([]string, error) { return s.store.List(ctx, prefix, limit) })
}

func (s *hostStore) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	return through(ctx, s, kvstore.ErrUnknown, func(ctx context.Context) (kvstore.Lease, error) {
		return s.store.AcquireLease(ctx, name, holder, ttl)
	})
}

func (s *hostStore) RenewLease(ctx context.Context, lease kvstore.Lease) error {
	return throughWrite(ctx, s, func(ctx context.Context) error { return s.store.RenewLease(ctx, lease) })
}

func (s *hostStore) ReleaseLease(ctx context.Context, lease kvstore.Lease) error {
	return throughWrite(ctx, s, func(ctx context.Context) error { return s.store.ReleaseLease(ctx, lease) })
}
