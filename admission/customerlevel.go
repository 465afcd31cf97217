package admission

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// customerLevel is the part of a level that concerns one customer. A level
// divides the roots that it admits fairly among customers, so that a customer
// with few roots is not rejected because another one sends many.
type customerLevel struct {
	id mesh.CustomerID
	// threshold is the fraction of the customer's roots that are admitted, as the
	// highest hash of an admitted root.
	threshold atomic.Uint64
	offered   atomic.Int64
	// demand is the exponential moving average of offered roots per interval; the
	// level's lock guards it.
	demand float64
}

const (
	// levelDemandWeight is the weight of the newest interval in the demand.
	levelDemandWeight = 0.3
	// minLevelDemand is the demand below which a customer is dropped.
	minLevelDemand = 0.01
)

// customer returns the customer's part of the level and creates it if needed.
func (l *level) customer(id mesh.CustomerID) *customerLevel {
	if v, ok := l.customers.Load(id); ok {
		return v.(*customerLevel)
	}
	fresh := &customerLevel{id: id}
	fresh.threshold.Store(l.defaultThreshold.Load())
	v, _ := l.customers.LoadOrStore(id, fresh)
	return v.(*customerLevel)
}

// divideAmongCustomers sets the thresholds of all customers for the level's
// fraction. The caller holds the lock.
func (l *level) divideAmongCustomers() {
	all := l.activeCustomers()
	if l.fraction >= 1 {
		l.defaultThreshold.Store(math.MaxUint64)
		for _, c := range all {
			c.threshold.Store(math.MaxUint64)
		}
		return
	}
	// A fixed order makes the result reproducible for the same input.
	slices.SortFunc(all, func(a, b *customerLevel) int { return cmp.Compare(a.id, b.id) })
	demands := lo.Map(all, func(c *customerLevel, _ int) float64 { return c.demand })
	shares := maxMinFair(l.fraction*lo.Sum(demands), demands)
	for i, c := range all {
		c.threshold.Store(threshold(shares[i] / demands[i]))
	}
	if len(shares) == 0 {
		l.defaultThreshold.Store(threshold(l.fraction))
		return
	}
	// A new customer may use as much as the largest share. Its first root counts as
	// a demand of levelDemandWeight.
	l.defaultThreshold.Store(threshold(slices.Max(shares) / levelDemandWeight))
}

// activeCustomers updates the demand of all customers and returns the active ones.
func (l *level) activeCustomers() []*customerLevel {
	var all []*customerLevel
	l.customers.Range(func(_, v any) bool {
		c := v.(*customerLevel)
		c.demand += (float64(c.offered.Swap(0)) - c.demand) * levelDemandWeight
		if c.demand < minLevelDemand {
			l.customers.Delete(c.id)
		} else {
			all = append(all, c)
		}
		return true
	})
	return all
}
