package memory

import (
	"context"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// Watch implements kvstore.Store. A watch that waits while the store becomes
// unavailable ends with ErrUnavailable, as a broken connection would.
func (s *Store) Watch(ctx context.Context, key string, after kvstore.Revision) (kvstore.Entry, error) {
	defer s.counters.Begin(kvstore.CallWatch)()
	first := true
	for {
		var (
			entry kvstore.Entry
			found bool
			wait  <-chan struct{}
		)
		err := s.attempt(ctx, kvstore.CallWatch, first, func() error {
			entry, found = s.newer(key, after)
			wait = s.waiter(key)
			return nil
		})
		if err != nil || found {
			return entry, err
		}
		first = false
		select {
		case <-wait:
		case <-ctx.Done():
			return kvstore.Entry{}, ctx.Err()
		}
	}
}

// newer needs the lock.
func (s *Store) newer(key string, after kvstore.Revision) (kvstore.Entry, bool) {
	r := s.records[key]
	if r.revision <= after {
		return kvstore.Entry{}, false
	}
	return kvstore.Entry{Key: key, Value: r.value, Revision: r.revision}, true
}

// waiter needs the lock.
func (s *Store) waiter(key string) <-chan struct{} {
	if s.changed[key] == nil {
		s.changed[key] = make(chan struct{})
	}
	return s.changed[key]
}

// wake makes the watches of key look again. It needs the lock.
func (s *Store) wake(key string) {
	if c := s.changed[key]; c != nil {
		close(c)
		delete(s.changed, key)
	}
}

// wakeAll needs the lock.
func (s *Store) wakeAll() {
	for key := range s.changed {
		s.wake(key)
	}
}
