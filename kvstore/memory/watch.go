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
			entry, found = s.entryAfter(key, after)
			wait = s.changeChannel(key)
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

// entryAfter returns the entry of key if its revision is higher than after. The
// caller holds s.mu.
func (s *Store) entryAfter(key string, after kvstore.Revision) (kvstore.Entry, bool) {
	r := s.records[key]
	if r.revision <= after {
		return kvstore.Entry{}, false
	}
	return kvstore.Entry{Key: key, Value: r.value, Revision: r.revision}, true
}

// changeChannel returns the channel that is closed when key changes. The caller
// holds s.mu.
func (s *Store) changeChannel(key string) <-chan struct{} {
	if s.changed[key] == nil {
		s.changed[key] = make(chan struct{})
	}
	return s.changed[key]
}

// wake makes the watches of key check the store again. The caller holds s.mu.
func (s *Store) wake(key string) {
	if c := s.changed[key]; c != nil {
		close(c)
		delete(s.changed, key)
	}
}

// wakeAll wakes the watches of all keys. The caller holds s.mu.
func (s *Store) wakeAll() {
	for key := range s.changed {
		s.wake(key)
	}
}
