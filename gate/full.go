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

// victim returns the waiting call to evict from a full queue in favour of w, or
// nil when w itself must be rejected. The victim is the newest call of the customer
// with the most waiting calls, in the least urgent rank that holds more than its
// reserved places.
func (g *Gate) victim(w *Call) *waiter {
	otherPlaces, bulkPlaces := g.reservedPlaces()
	n := &g.queue.byRank
	others := n[mesh.RankStandard] + n[mesh.RankBulk]
	switch {
	case w.Rank == mesh.RankUrgent && others > otherPlaces:
		if n[mesh.RankBulk] > bulkPlaces || n[mesh.RankStandard] == 0 {
			return g.newestOfRank(mesh.RankBulk)
		}
		return g.newestOfRank(mesh.RankStandard)
	case w.Rank != mesh.RankUrgent && others < otherPlaces:
		return g.newestOfRank(mesh.RankUrgent)
	case w.Rank == mesh.RankStandard && n[mesh.RankBulk] > bulkPlaces:
		return g.newestOfRank(mesh.RankBulk)
	case w.Rank == mesh.RankBulk && n[mesh.RankBulk] < bulkPlaces:
		return g.newestOfRank(mesh.RankStandard)
	}
	return g.victimOfRank(w)
}

func (g *Gate) newestOfRank(rank mesh.Rank) *waiter {
	if v := g.queue.newest(rank, root); v != nil {
		return v
	}
	return g.queue.newest(rank, nested)
}

// victimOfRank returns a victim of the same rank as w: a root in favour of a nested
// call, or a call of a customer with more waiting calls than that of w.
func (g *Gate) victimOfRank(w *Call) *waiter {
	class := classOf(w)
	if class == nested {
		if v := g.queue.newest(w.Rank, root); v != nil {
			return v
		}
	}
	v := g.queue.newest(w.Rank, class)
	if v == nil || v.flow.length <= g.queuedOf(w)+1 {
		return nil
	}
	return v
}

// queuedOf returns the number of waiting calls of the customer in the lane of w.
func (g *Gate) queuedOf(w *Call) int {
	if f, ok := g.queue.laneOf(w).flows[w.Customer]; ok {
		return f.length
	}
	return 0
}
