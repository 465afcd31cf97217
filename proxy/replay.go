package proxy

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/claims"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// maxStoredResponseBytes is the largest response, header and body, that is
	// stored.
	maxStoredResponseBytes = 32 << 10
	// maxReplayCacheBytes bounds the total size of the stored responses of a node.
	maxReplayCacheBytes = 8 << 20
	// replayLifetime is how long a response is stored.
	replayLifetime = 10 * time.Minute
	// storedResponseOverhead is the memory of a stored response besides its header
	// and body.
	storedResponseOverhead = 512
)

// originalCall is the first call with its key at this node, and later its
// response. Duplicates wait for done; the fields after it are set before done is
// closed.
type originalCall struct {
	key claims.Request
	// root and depth place the call in its tree of nested calls.
	root  mesh.CallID
	depth int
	done  chan struct{}
	// outcome is that of the original call. Only after not_executed may a duplicate
	// take its place.
	outcome  mesh.Outcome
	response *storedResponse
	expires  time.Time
}

// storedResponse is a complete response of an endpoint. It is immutable.
type storedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (r *storedResponse) size() int {
	size := storedResponseOverhead + len(r.body)
	for name, values := range r.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// replayCache holds the keyed calls in flight at this node and the most recent
// responses of those that were executed. It does not decide whether a call is
// executed: that needs a claim. The body hash is part of the cache key, so that a
// key that is used again with another body goes to the store, which rejects it.
type replayCache struct {
	now func() time.Time

	mu    sync.Mutex
	calls map[claims.Request]*originalCall
	// stored are the calls with a response, the oldest first.
	stored []*originalCall
	bytes  int
}

func newReplayCache(now func() time.Time) *replayCache {
	return &replayCache{now: now, calls: map[claims.Request]*originalCall{}}
}

// getOrStart returns the original call for a key. The result is true if it was
// started by this call of getOrStart; the caller must then call finish.
func (c *replayCache) getOrStart(key claims.Request, root mesh.CallID, depth int) (*originalCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict()
	if original, ok := c.calls[key]; ok {
		return original, false
	}
	original := &originalCall{key: key, root: root, depth: depth, done: make(chan struct{})}
	c.calls[key] = original
	return original, true
}

// finish wakes the duplicates that wait and stores the response unless it is nil.
// Further calls of finish for the same original call have no effect.
func (c *replayCache) finish(original *originalCall, outcome mesh.Outcome, response *storedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-original.done:
		return
	default:
	}
	original.outcome, original.response = outcome, response
	if response == nil {
		delete(c.calls, original.key)
	} else {
		original.expires = c.now().Add(replayLifetime)
		c.stored = append(c.stored, original)
		c.bytes += response.size()
		c.evict()
	}
	close(original.done)
}

// evict removes responses that have expired or exceed maxReplayCacheBytes. It
// requires c.mu.
func (c *replayCache) evict() {
	now, dropped := c.now(), 0
	for _, original := range c.stored {
		if c.bytes <= maxReplayCacheBytes && now.Before(original.expires) {
			break
		}
		c.bytes -= original.response.size()
		delete(c.calls, original.key)
		c.stored[dropped] = nil
		dropped++
	}
	c.stored = c.stored[dropped:]
}

// copyForReplay copies a buffered response. It returns nil for a response that is
// streamed, has trailers or is too large.
func (r *response) copyForReplay() *storedResponse {
	if !r.buffered || len(r.resp.Trailer) > 0 {
		return nil
	}
	stored := &storedResponse{status: r.resp.StatusCode, header: endToEndHeaders(r.resp.Header).Clone(), body: bytes.Clone(r.body)}
	if length, ok := r.resp.Header["Content-Length"]; ok {
		stored.header["Content-Length"] = length
	}
	if stored.size() > maxStoredResponseBytes {
		return nil
	}
	return stored
}

// awaitOriginal makes a duplicate wait for the original call at this node. It sets
// c.replay if the response was stored, and c.original if this call is the original
// or takes its place. Without a stored response, the duplicate of a call whose
// outcome is not not_executed continues to the claim, which rejects it.
func (c *call) awaitOriginal(key claims.Request) *callFailure {
	for {
		original, started := c.entry.replays.getOrStart(key, c.root, c.depth)
		if started {
			c.original = original
			return nil
		}
		if original.root == c.root && original.depth < c.depth {
			// The original call may wait for this nested call.
			return nil
		}
		select {
		case <-original.done:
		case <-c.ctx.Done():
			return &callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonInProgress, detail: "the first call with this key still runs"}
		}
		if original.response != nil {
			c.replay = original.response
			return nil
		}
		if original.outcome != mesh.OutcomeNotExecuted {
			return nil
		}
	}
}

// finishOriginal finishes the original call if this call is it.
func (c *call) finishOriginal(outcome mesh.Outcome, response *storedResponse) {
	if c.original != nil {
		c.entry.replays.finish(c.original, outcome, response)
	}
}

// writeReplay responds to a duplicate with the stored response.
func (c *call) writeReplay() {
	stored := c.replay
	c.decision.Status, c.decision.Outcome, c.decision.Reason = stored.status, mesh.OutcomeExecuted, mesh.ReasonAlreadyExecuted
	h := c.w.Header()
	copyHeaders(h, stored.header)
	h[mesh.HeaderCall] = []string{string(c.id)}
	h[mesh.HeaderOutcome] = outcomeExecuted
	h[mesh.HeaderSequence] = c.header[mesh.HeaderSequence]
	h[mesh.HeaderReplayed] = []string{"1"}
	c.w.WriteHeader(stored.status)
	if len(stored.body) == 0 {
		return
	}
	if _, err := c.w.Write(stored.body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
