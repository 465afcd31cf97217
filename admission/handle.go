package admission

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Handle implements transport.Handler for the kinds KindQuotaDemand and
// KindQuotaGrant; it ignores others.
func (c *Controller) Handle(from mesh.HostID, m transport.Message) {
	switch m.Kind {
	case transport.KindQuotaDemand:
		d, err := decode[Demand](m.Body)
		if err != nil {
			eventBadMessage.Log(c.config.Logger, "from", from, "error", err)
			return
		}
		c.handleDemand(from, d)
	case transport.KindQuotaGrant:
		g, err := decode[Grant](m.Body)
		if err != nil {
			eventBadMessage.Log(c.config.Logger, "from", from, "error", err)
			return
		}
		c.handleGrant(from, g)
	}
}

func (c *Controller) handleDemand(from mesh.HostID, d Demand) {
	now := c.clock()
	c.mu.Lock()
	c.coordinator.byteBudget.refill(now)
	out := c.processDemand(from, d, now)
	c.mu.Unlock()
	c.sendAll(context.Background(), out)
}

func (c *Controller) handleGrant(from mesh.HostID, g Grant) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyGrant(from, g, now)
}

// processDemand grants the host its share of each customer's limits, and returns
// the messages for it and for other hosts whose shares change.
func (c *Controller) processDemand(from mesh.HostID, d Demand, now time.Time) []message {
	grant := Grant{Number: d.Number}
	changes := map[demandRef][]GrantEntry{}
	size := messageBytes
	n := int(c.liveHosts.Load())
	for _, e := range d.Entries {
		plan, l := c.grantableLedger(e.Customer, now)
		if l == nil || from != c.config.Host && !c.coordinator.byteBudget.has(size+entrySize(e.Customer)) {
			continue
		}
		if entry, ok := c.coordinator.grantFor(l, plan, n, from, d.Number, e, now); ok {
			grant.Entries = append(grant.Entries, entry)
			c.coordinator.byteBudget.withdraw(size + entrySize(e.Customer))
			size = 0
		}
		c.coordinator.rebalance(l, plan, n, e.Customer, from, changes, now)
	}
	var out []message
	if len(grant.Entries) > 0 {
		out = append(out, c.deliver(from, grant, now)...)
	}
	for _, to := range sortedRefs(changes) {
		out = append(out, c.deliver(to.host, Grant{Number: to.number, Entries: changes[to], Change: true}, now)...)
	}
	return out
}

func sortedRefs(changes map[demandRef][]GrantEntry) []demandRef {
	all := lo.Keys(changes)
	slices.SortFunc(all, func(a, b demandRef) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.number, b.number))
	})
	return all
}

// grantableLedger returns the plan and the ledger of a customer when this node is
// its quota coordinator and the grants of the previous coordinator have expired.
func (c *Controller) grantableLedger(customer mesh.CustomerID, now time.Time) (*lists.Plan, *ledger) {
	config := c.lists.Load()
	if config == nil || coordinatorOf(customer, c.hostHistory.current()) != c.config.Host {
		return nil, nil
	}
	known, ok := config.Customers[customer]
	if !ok {
		return nil, nil
	}
	return known.Plan, c.coordinator.ledgerOf(customer, c.hostHistory.grantsFrom(customer, c.config.Host), now)
}

// deliver returns the message with a grant, or applies the grant when it is for
// this node.
func (c *Controller) deliver(to mesh.HostID, g Grant, now time.Time) []message {
	if to == c.config.Host {
		c.applyGrant(to, g, now)
		return nil
	}
	return []message{{to: to, kind: transport.KindQuotaGrant, body: g}}
}

// applyGrant applies a grant of the host that received the demand. The validity
// starts when the demand was sent, so that the grant expires here before it does
// at the quota coordinator.
func (c *Controller) applyGrant(from mesh.HostID, g Grant, now time.Time) {
	p, ok := c.demands.pending[g.Number]
	until := p.sentAt.Add(GrantValidity)
	if !ok || p.to != from || !now.Before(until) {
		return
	}
	for _, e := range g.Entries {
		c.applyGrantEntry(from, e, g.Change, until, now)
	}
}

func (c *Controller) applyGrantEntry(from mesh.HostID, e GrantEntry, change bool, until, now time.Time) {
	v, ok := c.customers.Load(e.Customer)
	last := c.demands.last[e.Customer]
	if !ok || last.askedHost != from {
		return
	}
	cust := v.(*customer)
	// A later grant may have overtaken this one. Serials of a coordinator only
	// grow; they wrap around after much more than GrantValidity, so the difference
	// tells the order.
	if current := cust.currentSerial(now); current != 0 && int32(e.Serial-current) < 0 {
		return
	}
	s := share{rate: rateFromWire(e.Rate), concurrency: int(min(e.Concurrency, maxConcurrency))}
	cust.applyGrant(s, e.Serial, until, int(c.liveHosts.Load()), now)
	if change {
		last.confirmChange = true
		c.demands.last[e.Customer] = last
	}
}

// sendAll sends the messages; the caller does not hold the lock. A message that
// cannot be sent is dropped: demands are sent again and grants expire.
func (c *Controller) sendAll(ctx context.Context, out []message) {
	if c.config.Sender == nil {
		return
	}
	for _, m := range out {
		if err := c.config.Sender.Send(ctx, m.to, m.kind, m.body); err != nil {
			c.counters.unsent.Add(1)
			eventUnsent.Log(c.config.Logger, "to", m.to, "error", err)
		}
	}
}
