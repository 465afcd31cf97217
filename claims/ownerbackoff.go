package claims

import (
	"maps"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// maxOwnerBackoff bounds the time for which no request is sent to a failed owner, and
// so the time that requesters need to notice that it has recovered.
const maxOwnerBackoff = 30 * time.Second

// ownerBackoff holds the owners that failed to reply. After each backoff a single
// request tries the owner again, and the backoff doubles when that fails: a partition
// lasts minutes, and each try costs a caller the owner timeout.
type ownerBackoff struct {
	initial time.Duration

	mu    sync.Mutex
	hosts map[mesh.HostID]backoffState
}

// backoffState is the end and the length of the current backoff.
type backoffState struct {
	until  time.Time
	length time.Duration
}

func newOwnerBackoff(initial time.Duration) *ownerBackoff {
	return &ownerBackoff{initial: initial, hosts: map[mesh.HostID]backoffState{}}
}

// canAsk reports whether a request may be sent to an owner. For a failed owner it
// permits one request and begins the next backoff, which ends early when the owner
// replies.
func (b *ownerBackoff) canAsk(host mesh.HostID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, failed := b.hosts[host]
	if !failed {
		return true
	}
	if now.Before(state.until) {
		return false
	}
	state.length = min(2*state.length, maxOwnerBackoff)
	state.until = now.Add(state.length)
	b.hosts[host] = state
	return true
}

// recordFailure records that an owner failed and reports whether this is the first
// failure since it last replied.
func (b *ownerBackoff) recordFailure(host mesh.HostID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.hosts[host]; known {
		return false
	}
	// Hosts that were replaced are not asked again, so their entries would never be
	// removed by a reply.
	maps.DeleteFunc(b.hosts, func(_ mesh.HostID, state backoffState) bool { return now.Sub(state.until) > 2*maxOwnerBackoff })
	b.hosts[host] = backoffState{until: now.Add(b.initial), length: b.initial}
	return true
}

func (b *ownerBackoff) recordSuccess(host mesh.HostID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.hosts, host)
}
