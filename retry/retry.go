// Package retry decides whether a call is retried after a failed attempt, and
// holds the budgets that limit retries to a ratio of the calls. The decision is a
// pure function; the package does no I/O.
package retry

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Policy selects how retries are limited.
type Policy uint8

// The policies. PolicyBudget is the default. PolicyPlain is the baseline of the
// benchmarks: it retries every call that may be retried up to the attempt limit,
// without a budget.
const (
	PolicyBudget Policy = iota
	PolicyPlain
)

const (
	// MaxAttempts is the largest number of attempts of one call.
	MaxAttempts = 4
	// MinRemaining is the shortest time before the deadline at which another attempt
	// may start. Connecting and one network hop between failure domains take about
	// as long.
	MinRemaining = 2 * time.Millisecond
)

// Call is the state of a call on which the decision depends.
type Call struct {
	// Repeatable is set when the route allows the call to be executed more than once.
	Repeatable bool
	// Attempts is the number of attempts made, at least 1.
	Attempts int
	// Remaining is the time left before the call's deadline.
	Remaining time.Duration
	// BodyConsumed is set when a part of the request body was sent and not buffered, so
	// that it cannot be sent again.
	BodyConsumed bool
	// Committed is set when a part of a response was sent to the caller.
	Committed bool
}

// Failure is the outcome of the last attempt and its reason.
type Failure struct {
	Outcome mesh.Outcome
	Reason  mesh.Reason
}

// Decision is the decision about a retry and the rule behind it.
type Decision struct {
	// Retry is set when the call may be retried on another endpoint.
	Retry bool
	// NeedsToken is set when the retry requires a token of the budget.
	NeedsToken bool
	Rule       Rule
}

// Rule names the row of the decision table that applied.
type Rule string

// The rules, in the order in which they are checked.
const (
	RuleCommitted   Rule = "answer already started"
	RuleAttempts    Rule = "attempt limit"
	RuleDeadline    Rule = "no time left"
	RuleBody        Rule = "request body already sent"
	RuleExecuted    Rule = "executed"
	RuleUnknown     Rule = "outcome unknown and not repeatable"
	RuleFinal       Rule = "reason is final"
	RuleUnavailable Rule = "endpoint not available, first time"
	RuleBudget      Rule = "within the budget"
	// RuleExhausted is set by the caller of Decide when the budget was empty.
	RuleExhausted Rule = "budget empty"
)

// Decide applies the decision table. Whatever the policy, it never allows a second
// execution of a call that is not repeatable.
func Decide(policy Policy, c Call, f Failure) Decision {
	if rule, forbidden := forbiddingRule(c, f); forbidden {
		return Decision{Rule: rule}
	}
	if policy == PolicyPlain {
		return Decision{Retry: true, Rule: RuleBudget}
	}
	if isUnavailable(f.Reason) && f.Outcome == mesh.OutcomeNotExecuted && c.Attempts == 1 {
		return Decision{Retry: true, Rule: RuleUnavailable}
	}
	return Decision{Retry: true, NeedsToken: true, Rule: RuleBudget}
}

func forbiddingRule(c Call, f Failure) (Rule, bool) {
	switch {
	case c.Committed:
		return RuleCommitted, true
	case c.Attempts >= MaxAttempts:
		return RuleAttempts, true
	case c.Remaining < MinRemaining:
		return RuleDeadline, true
	case c.BodyConsumed:
		return RuleBody, true
	case f.Outcome == mesh.OutcomeExecuted:
		return RuleExecuted, true
	case f.Outcome != mesh.OutcomeNotExecuted && !c.Repeatable:
		return RuleUnknown, true
	case isFinal(f):
		return RuleFinal, true
	}
	return "", false
}

// isFinal reports whether another endpoint could not help: the caller cancelled,
// the call would be rejected at every endpoint, or a nested call was rejected after
// the retries that the budget of its own node allowed.
func isFinal(f Failure) bool {
	switch f.Reason {
	case mesh.ReasonCancelled, mesh.ReasonTooDeep, mesh.ReasonNoRoute, mesh.ReasonNestedRejected:
		return true
	case mesh.ReasonDeadline:
		return f.Outcome != mesh.OutcomeNotExecuted
	}
	return false
}

// isUnavailable reports whether the endpoint was unavailable, rather than too busy.
// The first retry after that needs no token: it replaces an attempt that cost
// nothing, and a stopped host must not use up the budget of its service.
func isUnavailable(reason mesh.Reason) bool {
	return reason == mesh.ReasonConnectFailed || reason == mesh.ReasonDraining || reason == mesh.ReasonNoEndpoint
}
