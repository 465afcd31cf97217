package claims

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// duplicateWaitDivisor divides the requester's timeout into the time for which the
// owner delays the reply in_progress. The timeout is a little more than two batch
// intervals, of which the claim itself takes up to one.
const duplicateWaitDivisor = 3

// claimRequest asks the owner of a shard to write an operation to the store.
type claimRequest struct {
	Kind   opKind `cbor:"1,keyasint"`
	Ticket Ticket `cbor:"2,keyasint"`
	// Status is the HTTP status of a completion.
	Status uint16 `cbor:"3,keyasint,omitempty"`
	// WaitMs is how long the requester waits for the reply.
	WaitMs uint32 `cbor:"4,keyasint,omitempty"`
}

// claimReply is the result of the operation at the owner. Kind and Nonce identify
// the request; an empty Reason means success.
type claimReply struct {
	Kind   opKind      `cbor:"1,keyasint"`
	Nonce  Nonce       `cbor:"2,keyasint"`
	Reason mesh.Reason `cbor:"3,keyasint,omitempty"`
	Status uint16      `cbor:"4,keyasint,omitempty"`
}

// Handle implements transport.Handler for KindClaimRequest and KindClaimReply.
// Other messages and malformed ones are ignored.
func (r *Router) Handle(from mesh.HostID, m transport.Message) {
	switch m.Kind {
	case transport.KindClaimRequest:
		var request claimRequest
		if cbor.Unmarshal(m.Body, &request) == nil && r.isValid(request) {
			r.handleRequest(from, request)
		}
	case transport.KindClaimReply:
		var reply claimReply
		if cbor.Unmarshal(m.Body, &reply) == nil {
			r.handleReply(reply)
		}
	}
}

// isValid checks again what the requester should have validated.
func (r *Router) isValid(request claimRequest) bool {
	latest := bucketAt(r.now().Add(r.config.Claimer.config.MaxFuture + BucketDuration))
	return request.Kind >= opClaim && request.Kind <= opComplete &&
		request.Ticket.Shard < ShardCount && request.Ticket.Bucket <= latest
}

// handleRequest queues the operation of a requester and replies with its result. It
// never releases the requester's claim by itself: the requester may have written the
// claim directly with the same nonce.
func (r *Router) handleRequest(from mesh.HostID, request claimRequest) {
	c := r.config.Claimer
	if request.Kind == opComplete {
		// Without a confirmation the requester writes the completion itself.
		_ = c.queueCompletion(request.Ticket, int(request.Status), func(result opResult) { r.sendReply(from, request, result) })
		return
	}
	if result, known := c.executions[request.Ticket.Shard].result(request.Ticket); known && request.Kind == opClaim {
		r.sendReply(from, request, result)
		return
	}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, c.config.MaxWait)
	op := &operation{
		kind: request.Kind, ticket: request.Ticket,
		expires: c.config.Now().Add(wait),
		finish:  func(result opResult) { r.replyResult(from, request, wait, result) },
	}
	if err := c.shards[request.Ticket.Shard].submit(op); err != nil {
		r.sendReply(from, request, reject(mesh.ReasonQueueFull, err))
	}
}

// replyResult replies to a requester. The reply to a duplicate of a call in progress
// is delayed until the end of the call, for a part of the requester's timeout.
func (r *Router) replyResult(to mesh.HostID, request claimRequest, wait time.Duration, result opResult) {
	if result.reason != mesh.ReasonInProgress {
		r.sendReply(to, request, result)
		return
	}
	c := r.config.Claimer
	go func() {
		r.sendReply(to, request, c.executions[request.Ticket.Shard].awaitExecution(c.ctx, request.Ticket, wait/duplicateWaitDivisor, result))
	}()
}

func (r *Router) sendReply(to mesh.HostID, request claimRequest, result opResult) {
	body := claimReply{Kind: request.Kind, Nonce: request.Ticket.Nonce, Reason: result.reason, Status: result.status}
	// Without a reply the requester writes directly.
	_ = r.config.Sender.Send(r.config.Claimer.ctx, to, transport.KindClaimReply, body)
}

func (r *Router) handleReply(reply claimReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	replies, waiting := r.pendingReplies[requestID{nonce: reply.Nonce, kind: reply.Kind}]
	if !waiting {
		return
	}
	select {
	case replies <- opResult{reason: reply.Reason, status: reply.Status}:
	default:
		// A second reply to the same request is ignored.
	}
}

// CleanOwned deletes expired segments of the shards that this host owns, one
// shard per interval, until ctx ends.
func (r *Router) CleanOwned(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for shard := ShardID(0); ; shard = (shard + 1) % ShardCount {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.Owns(shard) {
			// Clean logs its failures; the next round retries.
			_, _ = r.config.Claimer.Clean(ctx, shard)
		}
	}
}

// releaseInBackground releases a claim that may or may not be written.
func (c *Claimer) releaseInBackground(ticket Ticket) {
	op := &operation{
		kind: opRelease, ticket: ticket, originator: true,
		expires: c.config.Now().Add(c.config.ReleaseWait),
		finish:  func(opResult) {},
	}
	if err := c.shards[ticket.Shard].submit(op); err != nil {
		eventReleaseFailed.Log(c.config.Logger, "shard", ticket.Shard, "bucket", ticket.Bucket, "error", err)
	}
}
