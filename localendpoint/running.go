package localendpoint

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// RunningCalls tracks the calls that the endpoint is executing, to distinguish the
// nested calls that it makes from calls of clients. An endpoint derives the ID of a
// nested call from the ID of its parent: the parent's ID, a separator and a suffix.
// It is safe for concurrent use.
type RunningCalls struct {
	mu    sync.Mutex
	calls map[string]*runningCall
	// brokenOff holds the hashes of the IDs of the latest calls that ended without a whole
	// response, since the endpoint may go on to execute them. A hash bounds their memory
	// whatever the length of the IDs; next is the place of the next one.
	brokenOff [maxBrokenOff]uint64
	next      int
	seed      maphash.Seed
}

// maxBrokenOff is the number of calls that ended without a whole response and are
// remembered: those of 4 s, a usual timeout, at a node with 100 calls a second that all end
// so.
const maxBrokenOff = 400

// Parent holds what nested calls take over from the call that makes them.
type Parent struct {
	Rank, ClassRank uint8
	Workspace       mesh.WorkspaceName
}

// runningCall is a call that the endpoint is executing.
type runningCall struct {
	Parent
	nested nestedResults
}

// nestedResults is what is known of the nested calls of a call.
type nestedResults struct {
	// failed is set when one had no successful response, rejected when one was rejected
	// for lack of room.
	failed, rejected bool
}

// NewRunningCalls returns an empty registry.
func NewRunningCalls() *RunningCalls {
	return &RunningCalls{calls: map[string]*runningCall{}, seed: maphash.MakeSeed()}
}

func (r *RunningCalls) add(id string, p Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[id] = &runningCall{Parent: p}
}

// remove removes a call. If it ended without a whole response, its ID is remembered.
func (r *RunningCalls) remove(id string, isComplete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, id)
	if !isComplete {
		r.brokenOff[r.next] = r.hash(id)
		r.next = (r.next + 1) % maxBrokenOff
	}
}

// hash returns the hash of an ID, which is not 0.
func (r *RunningCalls) hash(id string) uint64 { return maphash.String(r.seed, id) | 1 }

// nestedResults returns the results of the nested calls of a running call so far.
func (r *RunningCalls) nestedResults(id string) nestedResults {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.calls[id]
	if p == nil {
		return nestedResults{}
	}
	return p.nested
}

// BrokeOffParent reports whether the call with the given ID may be nested in a call that
// ended without a whole response.
func (r *RunningCalls) BrokeOffParent(id string) bool {
	parent, found := parentID(id)
	if !found {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.brokenOff[:], r.hash(parent))
}

// Parent returns what the call with the given ID takes over from the running call that is
// its parent. It reports false when the call has no running parent.
func (r *RunningCalls) Parent(id string) (parent Parent, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.findParent(id); p != nil {
		return p.Parent, true
	}
	return Parent{}, false
}

// MarkNestedFailed marks the parent of the nested call with the given ID: the nested
// call had no successful response. Rejected is set when it was rejected for lack of room.
func (r *RunningCalls) MarkNestedFailed(id string, rejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.findParent(id); p != nil {
		p.nested.failed = true
		p.nested.rejected = p.nested.rejected || rejected
	}
}

func (r *RunningCalls) findParent(id string) *runningCall {
	parent, found := parentID(id)
	if !found {
		return nil
	}
	return r.calls[parent]
}

// parentID returns the ID of the call that a nested call with the given ID is made by. It
// reports false if no nested call has such an ID.
func parentID(id string) (parent string, found bool) {
	i := strings.LastIndexAny(id, ".:/-_")
	if i <= 0 {
		return "", false
	}
	return id[:i], true
}

// IsNestedID reports whether a nested call may have the ID.
func IsNestedID(id string) bool {
	_, found := parentID(id)
	return found
}
