package localendpoint

import (
	"strings"
	"sync"
)

// RunningCalls tracks the calls that the endpoint is executing, to distinguish the
// nested calls that it makes from calls of clients. An endpoint derives the ID of a
// nested call from the ID of its parent: the parent's ID, a separator and a suffix.
// It is safe for concurrent use.
type RunningCalls struct {
	mu    sync.Mutex
	calls map[string]*runningCall
}

// runningCall is a call that the endpoint is executing.
type runningCall struct {
	rank uint8
	// nestedFailed is set when a nested call of it had no successful response.
	nestedFailed bool
}

// NewRunningCalls returns an empty registry.
func NewRunningCalls() *RunningCalls { return &RunningCalls{calls: map[string]*runningCall{}} }

func (r *RunningCalls) add(id string, rank uint8) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[id] = &runningCall{rank: rank}
}

// remove removes a call and reports whether a nested call of it failed.
func (r *RunningCalls) remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.calls[id]
	delete(r.calls, id)
	return p != nil && p.nestedFailed
}

// ParentRank returns the rank of the running call that is the parent of the call
// with the given ID. It reports false when the call has no running parent.
func (r *RunningCalls) ParentRank(id string) (rank uint8, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.findParent(id); p != nil {
		return p.rank, true
	}
	return 0, false
}

// MarkNestedFailed marks the parent of the nested call with the given ID: the nested
// call had no successful response.
func (r *RunningCalls) MarkNestedFailed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.findParent(id); p != nil {
		p.nestedFailed = true
	}
}

func (r *RunningCalls) findParent(id string) *runningCall {
	i := strings.LastIndexAny(id, ".:/-_")
	if i <= 0 {
		return nil
	}
	return r.calls[id[:i]]
}
