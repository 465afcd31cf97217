package admission

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// coordinator holds the grants of the customers whose quota coordinator is this
// node. The grants that are valid at the same time never exceed the customer's
// limits.
type coordinator struct {
	ledgers    map[mesh.CustomerID]*ledger
	serial     uint32
	byteBudget byteBudget
}

// ledger holds the grants of one customer.
type ledger struct {
	hosts map[mesh.HostID]*grantee
	// order holds the keys of hosts, sorted. Sums over hosts follow it, because
	// the rounding of a floating-point sum depends on the order.
	order []mesh.HostID
	// grantsFrom is when the grants of the previous coordinator have expired.
	grantsFrom time.Time
}

// grantee is a host that sent a demand.
type grantee struct {
	demand share
	// demandExpires is when the demand no longer counts.
	demandExpires time.Time
	latest        grant
	// previous is the largest share that the host may still use because it has not
	// confirmed the latest grant.
	previous grant
	// demandNumber is the number of the host's last demand, demandReceived when it
	// arrived, and changeSent when a change was last sent without a demand.
	demandNumber               uint32
	demandReceived, changeSent time.Time
}

// grant is a share granted to a host. Serial zero marks an implicit grant: no
// message was sent, because the share is a part of the equal share that the host
// uses anyway.
type grant struct {
	share
	serial  uint32
	expires time.Time
}

func newCoordinator(now time.Time, bytesPerSecond int) coordinator {
	return coordinator{ledgers: map[mesh.CustomerID]*ledger{}, byteBudget: newByteBudget(bytesPerSecond, now)}
}

// outstanding is the largest share that the host may use at the given time.
func (g *grantee) outstanding(now time.Time) share {
	var s share
	for _, x := range [...]grant{g.latest, g.previous} {
		if now.Before(x.expires) {
			s.rate = max(s.rate, x.rate)
			s.concurrency = max(s.concurrency, x.concurrency)
		}
	}
	return s
}

// confirm drops the previous grant when the host uses the latest one.
func (g *grantee) confirm(held uint32) {
	if held != 0 && held == g.latest.serial {
		g.previous = grant{}
	}
}

// replaceGrant makes s the latest grant. What was outstanding before remains so
// until the host confirms the latest grant.
func (g *grantee) replaceGrant(s share, serial uint32, until, now time.Time) {
	outstanding := g.outstanding(now)
	last := g.latest.expires
	if g.previous.expires.After(last) {
		last = g.previous.expires
	}
	g.previous = grant{share: outstanding, expires: last}
	g.latest = grant{share: s, serial: serial, expires: until}
}

// ledgerOf returns the ledger of a customer; nil while this node must not grant
// shares.
func (c *coordinator) ledgerOf(customer mesh.CustomerID, notBefore, now time.Time) *ledger {
	l, ok := c.ledgers[customer]
	if !ok {
		l = &ledger{hosts: map[mesh.HostID]*grantee{}}
		c.ledgers[customer] = l
	}
	if notBefore.After(l.grantsFrom) {
		l.grantsFrom = notBefore
	}
	if now.Before(l.grantsFrom) {
		return nil
	}
	return l
}

// dropExpired drops hosts whose grants have expired, and empty ledgers.
func (c *coordinator) dropExpired(now time.Time) {
	for customer, l := range c.ledgers {
		for host, g := range l.hosts {
			if !now.Before(g.demandExpires) && !now.Before(g.latest.expires) && !now.Before(g.previous.expires) {
				delete(l.hosts, host)
			}
		}
		l.order = slices.DeleteFunc(l.order, func(h mesh.HostID) bool { return l.hosts[h] == nil })
		if len(l.hosts) == 0 && !now.Before(l.grantsFrom) {
			delete(c.ledgers, customer)
		}
	}
}

func (l *ledger) granteeOf(host mesh.HostID) *grantee {
	if g, ok := l.hosts[host]; ok {
		return g
	}
	g := &grantee{}
	l.hosts[host] = g
	i, _ := slices.BinarySearch(l.order, host)
	l.order = slices.Insert(l.order, i, host)
	return g
}

// grantFor records a demand and returns the grant for the host. needed is false
// when the host needs no message: it has no grant, and the equal share of one of
// n hosts covers what it may use.
func (c *coordinator) grantFor(l *ledger, plan *lists.Plan, n int, from mesh.HostID, number uint32, e DemandEntry, now time.Time) (entry GrantEntry, needed bool) {
	g := l.granteeOf(from)
	g.confirm(e.Held)
	g.demand = share{rate: rateFromWire(e.Rate), concurrency: int(min(e.Concurrency, maxConcurrency))}
	equal := equalShare(plan, n)
	validity := GrantValidity
	if equal.covers(g.demand) {
		validity = ImplicitGrantValidity
	}
	g.demandExpires, g.demandReceived, g.demandNumber = now.Add(validity), now, number
	s := l.grantable(from, l.fairShares(plan, now)[from], plan, now)
	if e.Held == 0 && (equal.covers(g.demand) || equal.covers(s)) {
		g.replaceGrant(s.limitTo(g.demand), 0, now.Add(validity), now)
		return GrantEntry{}, false
	}
	return c.issue(g, e.Customer, s, now.Add(GrantValidity), now), true
}

// maxConcurrency is the largest concurrency that a demand or a grant of one host
// may name.
const maxConcurrency = 1 << 24

func (c *coordinator) issue(g *grantee, customer mesh.CustomerID, s share, until, now time.Time) GrantEntry {
	c.serial++
	if c.serial == 0 {
		c.serial = 1
	}
	// The host uses the rounded rate of the message, so the ledger stores that one.
	wire := rateToWire(s.rate)
	s.rate = rateFromWire(wire)
	g.replaceGrant(s, c.serial, until, now)
	return GrantEntry{Customer: customer, Rate: wire, Concurrency: uint32(s.concurrency), Serial: c.serial}
}

// fairShares divides the limits fairly among the hosts with a current demand.
func (l *ledger) fairShares(plan *lists.Plan, now time.Time) map[mesh.HostID]share {
	hosts := lo.Filter(l.order, func(h mesh.HostID, _ int) bool { return now.Before(l.hosts[h].demandExpires) })
	rates := maxMinFairWithSlack(plan.RatePerSecond, lo.Map(hosts, func(h mesh.HostID, _ int) float64 { return l.hosts[h].demand.rate }))
	concurrency := maxMinFairWithSlack(float64(plan.Concurrency), lo.Map(hosts, func(h mesh.HostID, _ int) float64 {
		return float64(l.hosts[h].demand.concurrency)
	}))
	shares := make(map[mesh.HostID]share, len(hosts))
	for i, h := range hosts {
		shares[h] = share{rate: rates[i], concurrency: int(concurrency[i])}
	}
	return shares
}

// grantable limits a share to what the other hosts' valid grants leave.
func (l *ledger) grantable(to mesh.HostID, s share, plan *lists.Plan, now time.Time) share {
	available := share{rate: plan.RatePerSecond, concurrency: plan.Concurrency}
	for _, host := range l.order {
		if host != to {
			other := l.hosts[host].outstanding(now)
			available.rate -= other.rate
			available.concurrency -= other.concurrency
		}
	}
	return share{rate: max(min(s.rate, available.rate), 0), concurrency: max(min(s.concurrency, available.concurrency), 0)}
}

// changeMargin is the relative difference between the current and the fair share
// from which a host is sent a change.
const changeMargin = 0.2

// demandRef identifies the demand of a host that a grant responds to.
type demandRef struct {
	host   mesh.HostID
	number uint32
}

// rebalance adds changes for the hosts other than except whose grant differs
// notably from their fair share: too large while other hosts need more, or too
// small while a part of the limits is free.
func (c *coordinator) rebalance(l *ledger, plan *lists.Plan, n int, customer mesh.CustomerID, except mesh.HostID, changes map[demandRef][]GrantEntry, now time.Time) {
	shares := l.fairShares(plan, now)
	equal := equalShare(plan, n)
	for _, host := range l.order {
		g := l.hosts[host]
		if _, active := shares[host]; !active {
			continue
		}
		until := g.demandReceived.Add(GrantValidity)
		if host == except || !now.Before(until) || now.Sub(g.changeSent) < DemandInterval {
			continue
		}
		s := l.grantable(host, shares[host], plan, now)
		if !g.needsChange(s, equal) || !c.byteBudget.withdraw(messageBytes+entrySize(customer)) {
			continue
		}
		g.changeSent = now
		to := demandRef{host: host, number: g.demandNumber}
		changes[to] = append(changes[to], c.issue(g, customer, s, until, now))
	}
}

// needsChange reports whether the host should be sent s as its new share. A host
// without a grant uses the equal share anyway.
func (g *grantee) needsChange(s, equal share) bool {
	if g.latest.serial == 0 {
		return !equal.covers(g.demand) && !equal.covers(s)
	}
	return differsByMargin(g.latest.share, s)
}

func differsByMargin(current, want share) bool {
	far := func(a, b float64) bool { return a < b*(1-changeMargin) || a > b*(1+changeMargin) }
	return far(current.rate, want.rate) || far(float64(current.concurrency), float64(want.concurrency))
}
