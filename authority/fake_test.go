package authority

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// fault is a fault that the fake store injects into one call.
type fault int

const (
	none fault = iota
	unavailable
	// lostBefore and lostAfter return ErrUnknown without and with the write.
	lostBefore
	lostAfter
	// delayed returns ErrUnknown immediately; the write takes effect when
	// applyDelayedWrite is called, if the revision still matches.
	delayed
)

// fakeStore is a linearizable store in memory. fault, when set, is called before
// every call, outside the lock, and returns the fault to inject.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]kvstore.Entry
	revision kvstore.Revision
	changed  chan struct{}
	fault    func(ctx context.Context, op, key string) fault
	calls    map[string]int
	// onWrite, when set, is called for every write under the lock.
	onWrite       func(key string, value []byte)
	delayedWrites []func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]kvstore.Entry{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// beginCall counts a call and returns its fault. It returns with the lock held.
func (s *fakeStore) beginCall(ctx context.Context, op, key string) (fault, error) {
	f := none
	if s.fault != nil {
		f = s.fault(ctx, op, key)
	}
	s.mu.Lock()
	s.calls[op]++
	if f == unavailable {
		return f, kvstore.ErrUnavailable
	}
	return f, nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	_, err := s.beginCall(ctx, "get", key)
	defer s.mu.Unlock()
	if err != nil {
		return kvstore.Entry{}, err
	}
	if e := s.entries[key]; e.Value != nil {
		return e, ctx.Err()
	}
	return kvstore.Entry{}, kvstore.ErrNotFound
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	f, err := s.beginCall(ctx, "cas", key)
	defer s.mu.Unlock()
	if err != nil || ctx.Err() != nil {
		return 0, kvstore.ErrUnavailable
	}
	if len(value) > kvstore.MaxValueBytes {
		return 0, kvstore.ErrTooLarge
	}
	switch f {
	case delayed:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.write(key, value, expected) })
		return 0, kvstore.ErrUnknown
	case lostBefore:
		return 0, kvstore.ErrUnknown
	}
	revision, err := s.write(key, value, expected)
	if f == lostAfter && err == nil {
		return 0, kvstore.ErrUnknown
	}
	return revision, err
}

// applyDelayedWrite carries out the oldest delayed write.
func (s *fakeStore) applyDelayedWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.delayedWrites[0]
	s.delayedWrites = s.delayedWrites[1:]
	next()
}

func (s *fakeStore) write(key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	current := s.entries[key]
	if current.Value == nil {
		current.Revision = 0
	}
	if current.Revision != expected {
		return 0, kvstore.ErrConflict
	}
	s.revision++
	s.entries[key] = kvstore.Entry{Key: key, Value: value, Revision: s.revision}
	if s.onWrite != nil {
		s.onWrite(key, value)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, after kvstore.Revision) (kvstore.Entry, error) {
	for {
		_, err := s.beginCall(ctx, "watch", key)
		e, changed := s.entries[key], s.changed
		s.mu.Unlock()
		if err != nil || e.Revision > after {
			return e, err
		}
		select {
		case <-ctx.Done():
			return kvstore.Entry{}, ctx.Err()
		case <-changed:
		}
	}
}

func (s *fakeStore) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	_, err := s.beginCall(ctx, "list", prefix)
	defer s.mu.Unlock()
	var keys []string
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.Value != nil {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys[:min(limit, len(keys))], err
}

func (s *fakeStore) AcquireLease(context.Context, string, string, time.Duration) (kvstore.Lease, error) {
	return kvstore.Lease{}, kvstore.ErrLeaseHeld
}

func (s *fakeStore) RenewLease(context.Context, kvstore.Lease) error   { return kvstore.ErrLeaseLost }
func (s *fakeStore) ReleaseLease(context.Context, kvstore.Lease) error { return nil }
