package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Defaults of RouterConfig. A healthy owner replies within one batch interval and
// two calls to the store.
const (
	ownerTimeoutIntervals = 2
	ownerTimeoutExtra     = 100 * time.Millisecond
	DefaultOwnerBackoff   = 250 * time.Millisecond
)

var eventOwnerUnresponsive = events.Define(2010, hclog.Info, "claims: shard owner unavailable, using the fallback",
	"No action is needed if the owner host was restarted. Writes to the store increase while this lasts.")

// errOwnerTimeout is the cause when the owner did not reply within the timeout.
var errOwnerTimeout = errors.New("claims: timeout waiting for the shard's owner")

// errOwnerStore is the cause when the owner could not use the store.
var errOwnerStore = errors.New("claims: the owner could not use the store")

// RouterConfig configures a Router.
type RouterConfig struct {
	// Claimer writes to the store for this host and, for the shards that this host
	// owns, also for other hosts.
	Claimer *Claimer
	Sender  transport.Sender
	Self    mesh.HostID
	Domain  mesh.FailureDomain
	// View returns the current membership view. It may return nil.
	View func() *membership.View
	// OwnerTimeout is how long a request to the owner of a shard waits for the reply.
	// Zero means two batch intervals and 100 ms.
	OwnerTimeout time.Duration
	// OwnerBackoff is how long no request is sent to an owner after it failed. It
	// doubles with each further failure, up to 30 s. Zero means DefaultOwnerBackoff.
	OwnerBackoff time.Duration
	Logger       hclog.Logger
	// Meter creates the metrics. Nil disables them.
	Meter metric.Meter
}

// Router claims keys through the preferred owner of their shard, so that the claims
// of all failure domains share writes. When that owner fails, the request goes to the
// owner in the local domain, so that a domain without connection to the others also
// has one writer per shard. When that fails as well, this host writes directly. It is
// safe for concurrent use.
//
// All paths use the nonce of the request. A claim that the owner writes late and the
// one that this host writes directly are therefore the same claim.
type Router struct {
	config RouterConfig
	owners *Owners
	routed metric.Int64Counter

	backoff *ownerBackoff

	mu             sync.Mutex
	pendingReplies map[requestID]chan opResult
}

// requestID identifies a request to an owner.
type requestID struct {
	nonce Nonce
	kind  opKind
}

// NewRouter returns a Router.
func NewRouter(config RouterConfig) (*Router, error) {
	if config.Claimer == nil || config.Sender == nil || config.View == nil {
		return nil, errors.Wrap(ErrConfig, "router needs a claimer, a sender and a view")
	}
	interval := config.Claimer.config.MinBatchInterval
	setDefault(&config.OwnerTimeout, ownerTimeoutIntervals*interval+ownerTimeoutExtra)
	setDefault(&config.OwnerBackoff, DefaultOwnerBackoff)
	if config.Meter == nil {
		config.Meter = noop.Meter{}
	}
	routed, err := config.Meter.Int64Counter("geraniumnotch.claims.routed",
		metric.WithDescription("Claims by the path to the verdict: memory of this host, owner, direct, or fallback after asking the owner"))
	if err != nil {
		return nil, errors.Wrap(err, "claims: metrics")
	}
	return &Router{
		config:         config,
		owners:         NewOwners(config.Domain),
		routed:         routed,
		pendingReplies: map[requestID]chan opResult{},
		backoff:        newOwnerBackoff(config.OwnerBackoff),
	}, nil
}

// Owns reports whether this host is the preferred owner of a shard.
func (r *Router) Owns(shard ShardID) bool {
	return r.owners.Owner(r.config.View(), shard) == r.config.Self
}

// Claim claims the key of request for one execution. Its error is a *Rejection.
func (r *Router) Claim(ctx context.Context, request Request) (*Claim, error) {
	ticket, err := r.config.Claimer.newTicket(request)
	if err != nil {
		return nil, err
	}
	if err := r.claim(ctx, ticket); err != nil {
		return nil, err
	}
	return &Claim{ticket: ticket, finisher: r}, nil
}

func (r *Router) claim(ctx context.Context, ticket Ticket) error {
	if result, known := r.config.Claimer.executions[ticket.Shard].result(ticket); known {
		r.countPath("memory")
		r.config.Claimer.metrics.recordClaim(result)
		return result.err()
	}
	asked, sent := false, false
	for _, owner := range r.ownersToAsk(ticket.Shard) {
		if owner == r.config.Self {
			break
		}
		if owner == "" || !r.backoff.canAsk(owner, r.now()) {
			continue
		}
		result, delivered := r.askOwner(ctx, owner, claimRequest{Kind: opClaim, Ticket: ticket})
		asked, sent = true, sent || delivered
		if isConclusive(result) {
			r.countPath("owner")
			r.config.Claimer.metrics.recordClaim(result)
			return result.err()
		}
		if ctx.Err() != nil {
			return r.cancelClaim(ctx, ticket, sent)
		}
	}
	r.countPath(lo.Ternary(asked, "fallback", "direct"))
	result := r.config.Claimer.claim(ctx, ticket, sent)
	if result.reason == mesh.ReasonInProgress && r.Owns(ticket.Shard) {
		result = r.config.Claimer.executions[ticket.Shard].awaitExecution(ctx, ticket, r.config.OwnerTimeout/duplicateWaitDivisor, result)
	}
	return result.err()
}

// cancelClaim rejects a claim whose ctx ended. If an owner may have written the claim,
// it is released in the background.
func (r *Router) cancelClaim(ctx context.Context, ticket Ticket, sent bool) error {
	if sent {
		r.config.Claimer.releaseInBackground(ticket)
	}
	return reject(rejectionReason(ctx), context.Cause(ctx)).err()
}

func (r *Router) countPath(path string) {
	r.routed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("path", path)))
}

// isConclusive reports whether the result of the owner decides the request. When the
// owner cannot use the store or its queue is full, this host may still succeed.
func isConclusive(result opResult) bool {
	return result.reason != mesh.ReasonStoreUnavailable && result.reason != mesh.ReasonQueueFull
}

// ownersToAsk returns the owners of a shard in the order in which they are asked.
// This host writes directly when it is the next of them.
func (r *Router) ownersToAsk(shard ShardID) [2]mesh.HostID {
	view := r.config.View()
	return [2]mesh.HostID{r.owners.Owner(view, shard), r.owners.LocalOwner(view, shard)}
}

// ownerToAsk returns the owner to ask for a shard, and false if this host has to
// write directly.
func (r *Router) ownerToAsk(shard ShardID) (mesh.HostID, bool) {
	for _, host := range r.ownersToAsk(shard) {
		if host == r.config.Self {
			break
		}
		if host != "" && r.backoff.canAsk(host, r.now()) {
			return host, true
		}
	}
	return "", false
}

func (r *Router) now() time.Time { return r.config.Claimer.config.Now() }

// askOwner sends a request to the owner and waits for the reply. Without a reply the
// result is mesh.ReasonStoreUnavailable. It also reports whether the owner may have
// received the request.
func (r *Router) askOwner(ctx context.Context, owner mesh.HostID, request claimRequest) (result opResult, sent bool) {
	return r.askOwnerWithin(ctx, owner, request, r.config.OwnerTimeout)
}

// askOwnerWithin is askOwner with a given timeout.
func (r *Router) askOwnerWithin(ctx context.Context, owner mesh.HostID, request claimRequest, wait time.Duration) (result opResult, sent bool) {
	request.WaitMs = uint32(wait / time.Millisecond)
	id := requestID{nonce: request.Ticket.Nonce, kind: request.Kind}
	replies := r.addPending(id)
	defer r.removePending(id)
	if err := r.config.Sender.Send(ctx, owner, transport.KindClaimRequest, request); err != nil {
		r.recordOwnerFailure(owner, err)
		return reject(mesh.ReasonStoreUnavailable, err), false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case result := <-replies:
		r.recordReply(owner, result)
		return result, true
	case <-timer.C:
		r.recordOwnerFailure(owner, errOwnerTimeout)
		return reject(mesh.ReasonStoreUnavailable, errOwnerTimeout), true
	case <-ctx.Done():
		return reject(mesh.ReasonStoreUnavailable, ctx.Err()), true
	}
}

// recordReply records a reply of an owner. An owner that cannot use the store counts
// as failed, like one that does not reply.
func (r *Router) recordReply(owner mesh.HostID, result opResult) {
	if isConclusive(result) {
		r.backoff.recordSuccess(owner)
		return
	}
	r.recordOwnerFailure(owner, errOwnerStore)
}

func (r *Router) addPending(id requestID) <-chan opResult {
	replies := make(chan opResult, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingReplies[id] = replies
	return replies
}

func (r *Router) removePending(id requestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingReplies, id)
}

func (r *Router) recordOwnerFailure(owner mesh.HostID, cause error) {
	if r.backoff.recordFailure(owner, r.now()) {
		eventOwnerUnresponsive.Log(r.config.Logger, "owner", owner, "error", cause)
	}
}

// release implements finisher. A release that the owner did not confirm is written
// directly; written twice, it still takes effect once.
func (r *Router) release(ctx context.Context, ticket Ticket) error {
	if owner, ask := r.ownerToAsk(ticket.Shard); ask {
		if result, _ := r.askOwner(ctx, owner, claimRequest{Kind: opRelease, Ticket: ticket}); result.ok() {
			return nil
		}
	}
	return r.config.Claimer.release(ctx, ticket)
}

// complete implements finisher. It does not wait for the owner; a completion that the
// owner did not confirm is written directly.
func (r *Router) complete(ctx context.Context, ticket Ticket, status int) error {
	c := r.config.Claimer
	c.executions[ticket.Shard].add(ticket, uint16(status))
	owner, ask := r.ownerToAsk(ticket.Shard)
	if !ask {
		return c.complete(ctx, ticket, status)
	}
	go func() {
		request := claimRequest{Kind: opComplete, Ticket: ticket, Status: uint16(status)}
		result, sent := r.askOwnerWithin(c.ctx, owner, request, c.config.CompleteDelay+r.config.OwnerTimeout)
		if result.ok() || sent && c.ctx.Err() != nil {
			// When this node stops, the owner writes the completion that was sent to it.
			return
		}
		if err := c.complete(c.ctx, ticket, status); err != nil {
			eventCompletionFailed.Log(r.config.Logger, "shard", ticket.Shard, "bucket", ticket.Bucket, "error", err)
		}
	}()
	return nil
}
