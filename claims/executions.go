package claims

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// maxCachedExecutions is the number of executions in the cache of a shard. The caches
// of 64 shards take about 2 MB.
const maxCachedExecutions = 256

// maxWaiters bounds the duplicates of a shard that wait for the end of a call.
const maxWaiters = 256

// executionCache holds the latest executions that were reported to this host, so that
// duplicates are answered before the completion is in the store, and without a call
// to the store. An executed call stays executed, so entries are never invalidated.
type executionCache struct {
	mu       sync.Mutex
	byKey    map[KeyHash]execution
	ring     [maxCachedExecutions]KeyHash
	ringNext int
	// waiters holds a channel for each duplicate that waits for the end of a call.
	waiters     map[KeyHash][]chan struct{}
	waiterCount int
}

type execution struct {
	body   BodyHash
	status uint16
}

func newExecutionCache() *executionCache {
	return &executionCache{byKey: map[KeyHash]execution{}, waiters: map[KeyHash][]chan struct{}{}}
}

// add adds an execution and wakes the duplicates that wait for it. A full cache evicts
// its oldest entry.
func (e *executionCache) add(ticket Ticket, status uint16) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.byKey[ticket.Key]; known {
		return
	}
	if len(e.byKey) == maxCachedExecutions {
		delete(e.byKey, e.ring[e.ringNext])
	}
	e.byKey[ticket.Key] = execution{ticket.Body, status}
	e.ring[e.ringNext] = ticket.Key
	e.ringNext = (e.ringNext + 1) % maxCachedExecutions
	for _, done := range e.waiters[ticket.Key] {
		close(done)
	}
	delete(e.waiters, ticket.Key)
}

// awaitExecution waits up to limit for an execution of the key and returns the result
// of a claim of it, or fallback if no execution was reported to this host.
func (e *executionCache) awaitExecution(ctx context.Context, ticket Ticket, limit time.Duration, fallback opResult) opResult {
	done, added := e.addWaiter(ticket.Key)
	if !added {
		return fallback
	}
	defer e.removeWaiter(ticket.Key, done)
	// The execution may have been added before addWaiter.
	if result, ok := e.result(ticket); ok {
		return result
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
	if result, ok := e.result(ticket); ok {
		return result
	}
	return fallback
}

func (e *executionCache) addWaiter(key KeyHash) (chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiterCount >= maxWaiters {
		return nil, false
	}
	e.waiterCount++
	done := make(chan struct{})
	e.waiters[key] = append(e.waiters[key], done)
	return done, true
}

func (e *executionCache) removeWaiter(key KeyHash, done chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiterCount--
	if rest := lo.Without(e.waiters[key], done); len(rest) > 0 {
		e.waiters[key] = rest
	} else {
		delete(e.waiters, key)
	}
}

// result returns the result of a claim of a key that was executed, and false when no
// execution is cached.
func (e *executionCache) result(ticket Ticket) (opResult, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.byKey[ticket.Key]
	switch {
	case !ok:
		return opResult{}, false
	case found.body != ticket.Body:
		return opResult{reason: mesh.ReasonKeyConflict, final: true}, true
	}
	return opResult{reason: mesh.ReasonAlreadyExecuted, status: found.status, final: true}, true
}
