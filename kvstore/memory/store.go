// Package memory is an in-memory kvstore.Store whose faults are set at run
// time. It replaces the platform's service in tests, experiments and the
// development mesh. All methods are safe for concurrent use; writes to one key
// are linearizable except after RewindWrites.
package memory

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// record is the state of a key that exists or existed. A deleted key keeps its
// record, so that its revisions continue when it is written again.
type record struct {
	value    []byte
	revision kvstore.Revision
}

func (r record) exists() bool { return r.value != nil }

// current returns the revision that a compare-and-swap must expect, zero for an
// absent key.
func (r record) current() kvstore.Revision {
	if !r.exists() {
		return 0
	}
	return r.revision
}

// Store implements kvstore.Store in memory.
type Store struct {
	counters kvstore.CallCounters

	mu        sync.Mutex
	records   map[string]record
	undo      []undoRecord
	undoBytes int
	leases    map[string]leaseRecord
	// tokens is the lease token issued last.
	tokens uint64
	// changed holds a channel for each watched key; it is closed when the
	// watches of the key must check the store again.
	changed map[string]chan struct{}

	faults          Faults
	random          *rand.Rand
	responsesToLose int
	writesToDelay   int
	writeDelay      time.Duration
	readLimiter     *rate.Limiter
	writeLimiter    *rate.Limiter
}

// Option configures a new Store.
type Option func(*Store)

// WithSeed seeds the random source that decides which calls fail.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithFaults sets the faults that are active from the start.
func WithFaults(f Faults) Option {
	return func(s *Store) { s.setFaults(f) }
}

// New returns an empty store without faults.
func New(options ...Option) *Store {
	s := &Store{
		records: map[string]record{},
		leases:  map[string]leaseRecord{},
		changed: map[string]chan struct{}{},
	}
	WithSeed(1)(s)
	s.setFaults(Faults{})
	for _, option := range options {
		option(s)
	}
	return s
}

// Counts returns the calls that reached the store, failed ones included.
func (s *Store) Counts() kvstore.Counts { return s.counters.Counts() }

// Get implements kvstore.Store.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	var entry kvstore.Entry
	err := s.call(ctx, kvstore.CallGet, func() error {
		r := s.records[key]
		if !r.exists() {
			return kvstore.ErrNotFound
		}
		entry = kvstore.Entry{Key: key, Value: r.value, Revision: r.revision}
		return nil
	})
	return entry, err
}

// CompareAndSwap implements kvstore.Store. Deleting an absent key changes
// nothing and returns revision zero.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	if len(value) > kvstore.MaxValueBytes {
		return 0, kvstore.ErrTooLarge
	}
	value = bytes.Clone(value)
	var revision kvstore.Revision
	swap := func() (err error) {
		revision, err = s.swap(key, value, expected)
		return err
	}
	err := s.call(ctx, kvstore.CallCompareAndSwap, func() error {
		if s.delayWrite(func() { _, _ = s.swap(key, value, expected) }) {
			return kvstore.ErrUnknown
		}
		return swap()
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// swap writes value if the key's revision is expected. The caller holds s.mu.
func (s *Store) swap(key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	old := s.records[key]
	if old.current() != expected {
		return 0, kvstore.ErrConflict
	}
	if value == nil && !old.exists() {
		return 0, nil
	}
	s.recordUndo(key, old)
	updated := record{value: value, revision: old.revision + 1}
	s.records[key] = updated
	s.wake(key)
	return updated.revision, nil
}

// List implements kvstore.Store.
func (s *Store) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	var keys []string
	err := s.call(ctx, kvstore.CallList, func() error {
		keys = s.keys(prefix)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return keys[:min(max(limit, 0), len(keys))], nil
}

// keys returns the existing keys with the prefix in order. The caller holds s.mu.
func (s *Store) keys(prefix string) []string {
	keys := []string{}
	for key, r := range s.records {
		if r.exists() && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
