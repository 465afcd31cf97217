package admission

import (
	"slices"
)

// maxMinFair divides limit among demands with max-min fairness: no demand gets
// more than it asks for, and a share can only grow at the expense of one that is
// not larger.
func maxMinFair(limit float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		}
		return a - b
	})
	shares := make([]float64, len(demands))
	remaining := limit
	for i, k := range order {
		shares[k] = max(min(demands[k], remaining/float64(len(order)-i)), 0)
		remaining -= shares[k]
	}
	return shares
}

// maxMinFairWithSlack is maxMinFair with the remainder divided equally among the
// demands and one more, so that a rising demand is served before the next exchange
// of quota messages and a host that asks for the first time can get a grant.
func maxMinFairWithSlack(limit float64, demands []float64) []float64 {
	shares := maxMinFair(limit, demands)
	remaining := limit
	for _, s := range shares {
		remaining -= s
	}
	for i := range shares {
		shares[i] += max(remaining, 0) / float64(len(shares)+1)
	}
	return shares
}
