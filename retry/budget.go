package retry

import (
	"sync"
	"sync/atomic"

	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// DefaultRatio is the default ratio of retries to calls: what each call deposits in the
	// budget.
	DefaultRatio = 0.1
	// Burst is the capacity of a budget in retries. A budget starts full.
	Burst = 10

	// tokenUnits is the number of counter units in one token: budgets count in
	// thousandths.
	tokenUnits = 1000
)

// Budget is a token bucket into which calls deposit and from which retries
// withdraw. It limits retries to a ratio of the calls plus Burst once. It is safe
// for concurrent use.
type Budget struct {
	perCall int64
	tokens  atomic.Int64
}

// NewBudget returns a full budget for the ratio of retries to calls; zero means
// DefaultRatio.
func NewBudget(ratio float64) *Budget {
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b := &Budget{perCall: int64(ratio * tokenUnits)}
	b.tokens.Store(Burst * tokenUnits)
	return b
}

// Deposit adds the ratio for one call.
func (b *Budget) Deposit() {
	for {
		old := b.tokens.Load()
		if old >= Burst*tokenUnits {
			return
		}
		next := min(old+b.perCall, Burst*tokenUnits)
		if b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// HasToken reports whether the budget has a token for a retry.
func (b *Budget) HasToken() bool { return b.tokens.Load() >= tokenUnits }

// Withdraw removes one token and reports whether there was one.
func (b *Budget) Withdraw() bool {
	for {
		old := b.tokens.Load()
		if old < tokenUnits {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenUnits) {
			return true
		}
	}
}

// Budgets holds one budget per service. Reads take no lock.
type Budgets struct {
	ratio     float64
	byService sync.Map // mesh.ServiceName to *Budget
}

// NewBudgets returns budgets for the ratio of retries to calls; zero means
// DefaultRatio.
func NewBudgets(ratio float64) *Budgets { return &Budgets{ratio: ratio} }

// For returns the budget of the service and creates it if needed.
func (b *Budgets) For(service mesh.ServiceName) *Budget {
	if budget, ok := b.byService.Load(service); ok {
		return budget.(*Budget)
	}
	budget, _ := b.byService.LoadOrStore(service, NewBudget(b.ratio))
	return budget.(*Budget)
}
