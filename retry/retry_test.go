package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Guards against a retry that could execute a call twice or exceed its deadline
// (invariant I6).
func TestDecisionTable(t *testing.T) {
	fresh := Call{Attempts: 1, Remaining: time.Second}
	repeatable := fresh
	repeatable.Repeatable = true
	queueFull := Failure{mesh.OutcomeNotExecuted, mesh.ReasonQueueFull}
	broken := Failure{mesh.OutcomeUnknown, mesh.ReasonBrokenConnection}
	with := func(c Call, f func(*Call)) Call { f(&c); return c }
	cases := []struct {
		call    Call
		failure Failure
		rule    Rule
	}{
		{with(repeatable, func(c *Call) { c.Committed = true }), queueFull, RuleCommitted},
		{with(repeatable, func(c *Call) { c.Attempts = MaxAttempts }), queueFull, RuleAttempts},
		{with(repeatable, func(c *Call) { c.Remaining = MinRemaining - 1 }), queueFull, RuleDeadline},
		{with(repeatable, func(c *Call) { c.BodyConsumed = true }), queueFull, RuleBody},
		{repeatable, Failure{mesh.OutcomeExecuted, ""}, RuleExecuted},
		{fresh, broken, RuleUnknown},
		{repeatable, broken, RuleBudget},
		{repeatable, Failure{mesh.OutcomeUnknown, mesh.ReasonDeadline}, RuleFinal},
		{fresh, Failure{mesh.OutcomeNotExecuted, mesh.ReasonNestedRejected}, RuleFinal},
		{fresh, queueFull, RuleBudget},
		{fresh, Failure{mesh.OutcomeNotExecuted, mesh.ReasonConnectFailed}, RuleUnavailable},
		{with(fresh, func(c *Call) { c.Attempts = 2 }), Failure{mesh.OutcomeNotExecuted, mesh.ReasonConnectFailed}, RuleBudget},
	}
	Convey("Every rule of the decision table applies", t, func() {
		for _, c := range cases {
			decision := Decide(PolicyBudget, c.call, c.failure)
			So(decision.Rule, ShouldEqual, c.rule)
			So(decision.Retry, ShouldEqual, c.rule == RuleBudget || c.rule == RuleUnavailable)
		}
		So(Decide(PolicyPlain, fresh, broken).Retry, ShouldBeFalse)
	})
}

// callChain is a chain of nested calls over several levels. The deepest level
// counts its calls and rejects all of them; a level whose nested call was rejected
// rejects its own call in turn.
type callChain struct {
	policy       Policy
	budgets      []*Budget
	deepestCalls int
}

func (c *callChain) call(level int) Failure {
	if level == len(c.budgets) {
		c.deepestCalls++
		return Failure{mesh.OutcomeNotExecuted, mesh.ReasonQueueFull}
	}
	c.budgets[level].Deposit()
	for attempts := 1; ; attempts++ {
		f := c.call(level + 1)
		v := Decide(c.policy, Call{Attempts: attempts, Remaining: time.Second}, f)
		if v.Retry && (!v.NeedsToken || c.budgets[level].Withdraw()) {
			continue
		}
		if c.policy == PolicyPlain {
			return Failure{mesh.OutcomeNotExecuted, mesh.ReasonEndpointShed}
		}
		return Failure{mesh.OutcomeNotExecuted, mesh.ReasonNestedRejected}
	}
}

func amplification(policy Policy, roots int) float64 {
	c := &callChain{policy: policy}
	for range mesh.MaxDepth {
		c.budgets = append(c.budgets, NewBudget(0))
	}
	for range roots {
		c.call(0)
	}
	return float64(c.deepestCalls) / float64(roots)
}

// Guards against retries that multiply with the call depth when the deepest service
// is overloaded.
func TestNoAmplification(t *testing.T) {
	Convey("Over 7 levels the deepest service gets retries only within the budget ratio", t, func() {
		const roots = 1000
		budgeted, plain := amplification(PolicyBudget, roots), amplification(PolicyPlain, 1)
		t.Logf("calls at the deepest level per root: %.3f with budgets, %.0f with plain retries", budgeted, plain)
		So(budgeted, ShouldBeLessThanOrEqualTo, 1+DefaultRatio+float64(Burst)/roots)
		So(plain, ShouldEqual, 16384) // MaxAttempts to the power of 7 levels
	})
}
