package localendpoint

import (
	"strings"
	"sync"
)

// Running knows the calls that the endpoint runs, so that the calls which it
// makes meanwhile can be told from those of clients. An endpoint derives the IDs
// of its calls from the ID of the call that it runs, with a separator between.
// It is safe for concurrent use.
type Running struct {
	mu    sync.Mutex
	calls map[string]*parent
}

// parent is a call that the endpoint runs.
type parent struct {
	rank uint8
	// childFailed is set when a call that it made was not answered with success.
	childFailed bool
}

// NewRunning returns an empty registry.
func NewRunning() *Running { return &Running{calls: map[string]*parent{}} }

func (r *Running) begin(id string, rank uint8) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[id] = &parent{rank: rank}
}

// end forgets a call and reports whether a call that it made failed.
func (r *Running) end(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.calls[id]
	delete(r.calls, id)
	return p != nil && p.childFailed
}

// Parent returns the rank of the running call that made the call with the ID.
// It reports false when no running call did.
func (r *Running) Parent(id string) (rank uint8, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.parentOf(id); p != nil {
		return p.rank, true
	}
	return 0, false
}

// ChildFailed notes that a call was not answered with success.
func (r *Running) ChildFailed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.parentOf(id); p != nil {
		p.childFailed = true
	}
}

func (r *Running) parentOf(id string) *parent {
	i := strings.LastIndexAny(id, ".:/-_")
	if i <= 0 {
		return nil
	}
	return r.calls[id[:i]]
}
