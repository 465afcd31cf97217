package gate

import (
	"math"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// reservedPlaces returns the number of queue places reserved for all ranks below
// urgent against urgent calls, and the part of them reserved for bulk against
// standard calls. Ranks with a reserved share of slots need reserved places,
// because they can use the share only while calls of theirs wait.
func (g *Gate) reservedPlaces() (other, bulk int) {
	other = int(math.Ceil(g.limits.OtherShare * float64(g.limits.MaxQueue)))
	if other > 1 {
		bulk = int(math.Ceil(bulkShare * float64(other)))
	}
	return other, bulk
}

// victim returns the waiting call to evict from a full queue in favour of call,
// or nil when call itself must be rejected. The victim is the newest call of the customer
// with the most waiting calls, in the least urgent rank that holds more than its
// reserved places.
func (g *Gate) victim(call *Call) *waiter {
	otherPlaces, bulkPlaces := g.reservedPlaces()
	n := &g.queue.byRank
	others := n[mesh.RankStandard] + n[mesh.RankBulk]
	switch {
	case call.Rank == mesh.RankUrgent && others > otherPlaces:
		if n[mesh.RankBulk] > bulkPlaces || n[mesh.RankStandard] == 0 {
			return g.newestOfRank(mesh.RankBulk)
		}
		return g.newestOfRank(mesh.RankStandard)
	case call.Rank != mesh.RankUrgent && others < otherPlaces:
		return g.newestOfRank(mesh.RankUrgent)
	case call.Rank == mesh.RankStandard && n[mesh.RankBulk] > bulkPlaces:
		return g.newestOfRank(mesh.RankBulk)
	case call.Rank == mesh.RankBulk && n[mesh.RankBulk] < bulkPlaces:
		return g.newestOfRank(mesh.RankStandard)
	}
	return g.victimOfRank(call)
}

func (g *Gate) newestOfRank(rank mesh.Rank) *waiter {
	if v := g.queue.newest(rank, root); v != nil {
		return v
	}
	return g.queue.newest(rank, nested)
}

// victimOfRank returns a victim of the same rank as call: a root in favour of a
// nested call, or a call of a customer with more waiting calls than that of call.
func (g *Gate) victimOfRank(call *Call) *waiter {
	class := classOf(call)
	if class == nested {
		if v := g.queue.newest(call.Rank, root); v != nil {
			return v
		}
	}
	v := g.queue.newest(call.Rank, class)
	if v == nil || v.flow.length <= g.queuedOf(call)+1 {
		return nil
	}
	return v
}

// queuedOf returns the number of waiting calls of the customer in the lane of call.
func (g *Gate) queuedOf(call *Call) int {
	if f, ok := g.queue.laneOf(call).flows[call.Customer]; ok {
		return f.length
	}
	return 0
}
