package selection

import (
	"slices"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routing"
)

const (
	// maxDraws is the number of random draws for one candidate; after them the list
	// is searched in order.
	maxDraws = 4
	// spilloverLoad is the load of local endpoints from which calls may go to remote
	// domains: all slots are in use, so that the next call would wait.
	spilloverLoad = 1.0
	// spilloverMaxLoadRatio is the ratio of remote to local load below which a call
	// goes to the remote domain, so that two full domains do not exchange their
	// calls.
	spilloverMaxLoadRatio = 0.8
)

// Pick chooses an endpoint of the service that is not excluded. It reports false
// when there is none.
func (t *Table) Pick(service mesh.ServiceName, excluded []routing.Key) (Choice, bool) {
	g := t.groups[service]
	if g == nil {
		return Choice{}, false
	}
	best := t.pick(g, excluded)
	if best == nil {
		return Choice{}, false
	}
	best.stats.outstanding.Add(1)
	return Choice{Target: best.target, selector: t.selector, candidate: best}, true
}

func (t *Table) pick(g *group, excluded []routing.Key) *candidate {
	if t.selector.cfg.Policy == PolicyRoundRobin {
		return g.pickInTurn(excluded)
	}
	now := t.selector.cfg.Now().UnixNano()
	local := t.pickOfTwo(g.local, excluded, now)
	if local != nil && local.load(now) < spilloverLoad {
		return local
	}
	remote := t.pickOfTwo(g.remote, excluded, now)
	if best := preferLocal(local, remote, now); best != nil {
		return best
	}
	return t.pickAny(g, excluded)
}

// preferLocal returns the local candidate, unless the remote one has a clearly
// lower load. Either may be nil.
func preferLocal(local, remote *candidate, now int64) *candidate {
	if local == nil || remote == nil {
		if local != nil {
			return local
		}
		return remote
	}
	if remote.load(now) < spilloverMaxLoadRatio*local.load(now) {
		return remote
	}
	return local
}

// pickOfTwo returns the usable candidate with the lower score of two random ones,
// or nil when none is usable.
func (t *Table) pickOfTwo(list []*candidate, excluded []routing.Key, now int64) *candidate {
	if len(list) == 0 {
		return nil
	}
	first := t.draw(list, excluded, now, nil)
	if first == nil {
		return nil
	}
	second := t.draw(list, excluded, now, first)
	if second == nil || first.score(now) <= second.score(now) {
		return first
	}
	return second
}

// draw returns a random usable candidate other than except, or nil. Candidates in
// slow start are skipped at random, by the share of calls that they do not get yet,
// unless no other candidate is usable.
func (t *Table) draw(list []*candidate, excluded []routing.Key, now int64, except *candidate) *candidate {
	random := t.selector.cfg.Rand
	for range maxDraws {
		c := list[random()%uint64(len(list))]
		if c != except && c.isUsable(excluded, now) && t.passesSlowStart(c, now) {
			return c
		}
	}
	start := int(random() % uint64(len(list)))
	var slowStarting *candidate
	for i := range list {
		c := list[(start+i)%len(list)]
		if c == except || !c.isUsable(excluded, now) {
			continue
		}
		if t.passesSlowStart(c, now) {
			return c
		}
		slowStarting = c
	}
	if except != nil {
		return nil
	}
	return slowStarting
}

// passesSlowStart draws whether a candidate may be chosen now, with the probability
// of its slow-start share.
func (t *Table) passesSlowStart(c *candidate, now int64) bool {
	share := c.stats.slowStartShare(now)
	if share >= 1 {
		return true
	}
	const bits = 1 << 20
	return float64(t.selector.cfg.Rand()%bits) < share*bits
}

func (c *candidate) isUsable(excluded []routing.Key, now int64) bool {
	if c.stats.state.Load() == stateEjected || c.domain.unreachable.Load() {
		return false
	}
	return c.stats.drainingUntil.Load() <= now && !slices.Contains(excluded, c.target.Key())
}

// pickAny chooses among all candidates that are not excluded, when every one is
// ejected, unreachable or draining: a definite failure costs the caller no more
// than a rejection here.
func (t *Table) pickAny(g *group, excluded []routing.Key) *candidate {
	start := int(t.selector.cfg.Rand() % uint64(len(g.all)))
	for i := range g.all {
		c := g.all[(start+i)%len(g.all)]
		if !slices.Contains(excluded, c.target.Key()) {
			return c
		}
	}
	return nil
}

// pickInTurn returns the next candidate in round-robin order that is not excluded.
func (g *group) pickInTurn(excluded []routing.Key) *candidate {
	for range g.all {
		c := g.all[g.turn.Add(1)%uint64(len(g.all))]
		if !slices.Contains(excluded, c.target.Key()) {
			return c
		}
	}
	return nil
}
