package proxy

import (
	"math"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/retry"
	"geraniumnotch.example/geraniumnotch/routing"

	"github.com/cockroachdb/errors"
)

// forward sends the call to endpoints until one returns a response or no further
// attempt is allowed.
func (c *call) forward() *callFailure {
	budget := c.entry.budgets.For(c.route.Service.Name)
	budget.Deposit()
	var tried [retry.MaxAttempts]routing.Key
	var last *callFailure
	maybeExecuted := false
	for n := 0; ; n++ {
		choice, ok := c.table.Pick(c.route.Service.Name, tried[:n])
		if !ok {
			return finalFailure(last, notExecuted(mesh.ReasonNoEndpoint, "no endpoint of the service takes calls"), maybeExecuted)
		}
		tried[n] = choice.Target.Key()
		a := c.newAttempt(choice)
		a.run()
		if a.response != nil {
			c.deliver(a)
			return nil
		}
		a.finish()
		last = a.failure
		maybeExecuted = maybeExecuted || last.outcome != mesh.OutcomeNotExecuted
		if !c.mayRetry(a, n+1, budget) {
			return finalFailure(last, last, maybeExecuted)
		}
	}
}

// finalFailure returns the failure that the caller is told. If an earlier attempt
// may have executed the call, the outcome is unknown even if the last attempt was
// not executed.
func finalFailure(last, fallback *callFailure, maybeExecuted bool) *callFailure {
	f := fallback
	if last != nil {
		f = last
	}
	if maybeExecuted && f.outcome == mesh.OutcomeNotExecuted {
		changed := *f
		changed.outcome = mesh.OutcomeUnknown
		return &changed
	}
	return f
}

func (c *call) mayRetry(a *attempt, attempts int, budget *retry.Budget) bool {
	if c.r.Context().Err() != nil || c.ctx.Err() != nil {
		return false
	}
	decision := retry.Decide(c.entry.cfg.Retry, retry.Call{
		Repeatable:   c.route.Repeatable,
		Attempts:     attempts,
		Remaining:    c.deadline.Sub(c.entry.cfg.Now()),
		BodyConsumed: !a.body.detach(),
	}, retry.Failure{Outcome: a.failure.outcome, Reason: a.failure.reason})
	allowed := decision.Retry && (!decision.NeedsToken || budget.Withdraw())
	a.record.Rule = decision.Rule
	if decision.Retry && !allowed {
		a.record.Rule = retry.RuleExhausted
	}
	if allowed {
		c.entry.metrics.recordRetry(a.failure.reason)
	}
	return allowed
}

// deliver sends the endpoint's response to the caller. It panics with
// http.ErrAbortHandler if the response cannot be completed, so that a truncated
// response never looks complete.
func (c *call) deliver(a *attempt) {
	defer a.finish()
	defer a.response.close()
	// A client that does not read must not keep the slot of the endpoint.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(bodyReadGrace))
	status := a.response.resp.StatusCode
	c.decision.Status, c.decision.Outcome = status, mesh.OutcomeExecuted
	c.finishClaim(mesh.OutcomeExecuted, status)
	if c.original != nil {
		c.finishOriginal(mesh.OutcomeExecuted, a.response.copyForReplay())
	}
	h := c.w.Header()
	h[mesh.HeaderCall] = []string{string(c.id)}
	h[mesh.HeaderOutcome] = outcomeExecuted
	h[mesh.HeaderSequence] = c.header[mesh.HeaderSequence]
	err := a.response.relay(c.w)
	if err == nil {
		return
	}
	a.recordAborted(err)
	a.exchange.conn.discard()
	c.decision.Reason = mesh.ReasonBrokenConnection
	if errors.Is(err, errDownstream) {
		c.decision.Reason = mesh.ReasonCancelled
	}
	panic(http.ErrAbortHandler)
}

// hopReserve returns the part of the remaining time that is not passed on to the
// next hop, so that the gate's response to an exceeded deadline arrives before the
// entry's own deadline.
func hopReserve(remaining time.Duration) time.Duration {
	const maxReserve, divisor = 10 * time.Millisecond, 20
	return min(remaining/divisor, maxReserve)
}

// deadlineMs returns the time that the next hop gets, in milliseconds. It is
// rounded down, but to no less than 1 as long as any time remains.
func deadlineMs(remaining time.Duration) int64 {
	remaining -= hopReserve(remaining)
	if remaining <= 0 {
		return 0
	}
	return max(1, int64(math.Floor(float64(remaining)/float64(time.Millisecond))))
}
