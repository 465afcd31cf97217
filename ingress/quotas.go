package ingress

import (
	"context"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// Quotas decides whether a call of a workspace may go on now. Its methods are safe for
// concurrent use.
type Quotas interface {
	// Acquire takes one call from the quota of the workspace over all hosts. It may ask
	// another host and wait for the answer, not beyond ctx. It returns nil when there is
	// room.
	Acquire(ctx context.Context, w *routeplan.Workspace) *QuotaRejection
	// Refund returns a call that Acquire has taken and that no endpoint has received.
	Refund(w *routeplan.Workspace)
}

// QuotaRejection is the rejection of a call beyond the quota of its workspace.
type QuotaRejection struct {
	// RetryAfter is the time after which the quota has room for the call.
	RetryAfter time.Duration
}

// admit takes the call from the quota of its workspace. It rejects the call and reports
// false when there is no room.
func (x *exchange) admit(ctx context.Context) bool {
	quotas := x.c.server.config.Quotas
	if quotas == nil || x.workspace == nil || !x.workspace.HasQuota() {
		return true
	}
	if rejection := quotas.Acquire(ctx, x.workspace); rejection != nil {
		x.writeFailure(http.StatusTooManyRequests, call.ReasonQuotaExceeded, rejection.RetryAfter)
		return false
	}
	return true
}

// refund returns the call to the quota of its workspace if no endpoint has received it.
func (x *exchange) refund() {
	if quotas := x.c.server.config.Quotas; quotas != nil && x.workspace != nil && x.workspace.HasQuota() && x.SentAttempts == 0 {
		quotas.Refund(x.workspace)
	}
}
