package admission

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// demands holds the demands that this node sent to quota coordinators.
type demands struct {
	number     uint32
	pending    map[uint32]pendingDemand
	last       map[mesh.CustomerID]lastDemand
	byteBudget byteBudget
}

// pendingDemand is a message whose grant may still arrive.
type pendingDemand struct {
	to     mesh.HostID
	sentAt time.Time
}

// lastDemand is the share that the node last asked for a customer.
type lastDemand struct {
	share
	sentAt, lastActive time.Time
	// askedHost received the last demand; coordinator is the quota coordinator
	// among the hosts of the generation.
	askedHost, coordinator mesh.HostID
	generation             int
	// confirmChange makes a demand due at the next tick, to confirm a changed grant.
	confirmChange bool
	// smoothedRate is the demand in roots per second, without demandMargin.
	smoothedRate float64
	measuredAt   time.Time
}

const (
	// activePeriod is the time for which a node sends demands for a customer
	// without roots.
	activePeriod = 10 * time.Second
	// demandMargin is the fraction added to the measured demand.
	demandMargin = 0.25
	// demandRise and demandFall are the multiples of the last sent demand above and
	// below which a new one is sent early.
	demandRise = 1.2
	demandFall = 0.5
	// demandDecayWeight is the weight of the newest interval in the smoothed rate
	// while it falls; a rise counts in full immediately.
	demandDecayWeight = 0.3
)

func newDemands(now time.Time, bytesPerSecond int) demands {
	return demands{
		pending:    map[uint32]pendingDemand{},
		last:       map[mesh.CustomerID]lastDemand{},
		byteBudget: newByteBudget(bytesPerSecond, now),
	}
}

// Run calls Tick every DemandInterval until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	t := time.NewTicker(DemandInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.Tick(ctx)
		}
	}
}

// Tick measures the demand of the active customers and sends it to their quota
// coordinators. It must be called once per DemandInterval.
//
// Bounds: let L be the limit, N the number of live hosts of the failure domain,
// which agree about the member table, and D the number of hosts that use a share
// the coordinator did not grant. Valid grants never exceed L, and a host without
// a sufficient grant uses L/N, so the enforced rate is at most L + D*L/N <= 2L,
// and L when no demand has changed for GrantValidity. Each node admits at least
// one root at a time and a burst of one, which adds up to N roots.
//
// Bytes per second sent by a node for demands, and again for grants, are at most
// BytesPerSecond. A customer whose demand on the node exceeds the equal share
// costs (entryBytes + name) / renewGranted, any other active one (entryBytes +
// name) / renewImplicit, and each coordinator asked messageBytes in the same time.
// Customers for which the budget does not suffice keep the equal share.
func (c *Controller) Tick(ctx context.Context) {
	now := c.clock()
	c.mu.Lock()
	c.coordinator.byteBudget.refill(now)
	c.demands.byteBudget.refill(now)
	c.coordinator.dropExpired(now)
	c.demands.dropExpired(now)
	out := c.collectDemands(c.byDemandAge(), now)
	c.mu.Unlock()
	c.sendAll(ctx, out)
}

// message is a message to send after the lock is released.
type message struct {
	to   mesh.HostID
	kind transport.Kind
	body any
}

// collectDemands measures the demand of the customers and builds one message for
// each coordinator.
func (c *Controller) collectDemands(customers []*customer, now time.Time) []message {
	due := map[mesh.HostID][]DemandEntry{}
	for _, cust := range customers {
		e, coordinator, ok := c.measureDemand(cust, now)
		if !ok {
			continue
		}
		if coordinator != c.config.Host && !c.demands.byteBudget.withdraw(c.messageCost(due, coordinator, cust.id)) {
			c.counters.deferred.Add(1)
			continue
		}
		c.recordSent(cust.id, e, coordinator, now)
		due[coordinator] = append(due[coordinator], e)
	}
	var out []message
	coordinators := lo.Keys(due)
	slices.Sort(coordinators)
	for _, coordinator := range coordinators {
		out = append(out, c.sendOrProcess(coordinator, due[coordinator], now)...)
	}
	return out
}

func (c *Controller) messageCost(due map[mesh.HostID][]DemandEntry, coordinator mesh.HostID, customer mesh.CustomerID) int {
	n := entrySize(customer)
	if len(due[coordinator]) == 0 {
		n += messageBytes
	}
	return n
}

// byDemandAge returns the customers with recent roots, ordered by the time of
// their last demand, oldest first, so that the byte budget defers no customer
// forever.
func (c *Controller) byDemandAge() []*customer {
	var all []*customer
	c.customers.Range(func(_, v any) bool {
		cust := v.(*customer)
		if _, known := c.demands.last[cust.id]; known || cust.offered.Load() > 0 || cust.inFlight.Load() > 0 {
			all = append(all, cust)
		}
		return true
	})
	slices.SortFunc(all, func(a, b *customer) int {
		if d := c.demands.last[a.id].sentAt.Compare(c.demands.last[b.id].sentAt); d != 0 {
			return d
		}
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return all
}

// measureDemand updates the demand for a customer and reports whether it is due.
func (c *Controller) measureDemand(cust *customer, now time.Time) (e DemandEntry, coordinator mesh.HostID, due bool) {
	last := c.demands.last[cust.id]
	offered := float64(cust.offered.Swap(0))
	peak := cust.peak.Swap(cust.inFlight.Load())
	if offered > 0 || peak > 0 {
		last.lastActive = now
	}
	elapsed := DemandInterval.Seconds()
	if !last.measuredAt.IsZero() && now.After(last.measuredAt) {
		elapsed = now.Sub(last.measuredAt).Seconds()
	}
	last.measuredAt = now
	if rate := offered / elapsed; rate > last.smoothedRate {
		last.smoothedRate = rate
	} else {
		last.smoothedRate += (rate - last.smoothedRate) * demandDecayWeight
	}
	if last.generation != c.hostHistory.generation {
		last.generation, last.coordinator = c.hostHistory.generation, coordinatorOf(cust.id, c.hostHistory.current())
	}
	c.demands.last[cust.id] = last
	if now.Sub(last.lastActive) > activePeriod {
		return e, "", false
	}
	want := share{rate: last.smoothedRate * (1 + demandMargin), concurrency: int(math.Ceil(float64(peak) * (1 + demandMargin)))}
	coordinator = last.coordinator
	e = DemandEntry{Customer: cust.id, Rate: rateToWire(want.rate), Concurrency: uint32(want.concurrency), Held: cust.currentSerial(now)}
	renew := renewGranted
	if e.Held == 0 && equalShare(cust.plan.Load(), int(c.liveHosts.Load())).covers(want) {
		renew = renewImplicit
	}
	return e, coordinator, last.isDue(want, coordinator, renew, now)
}

func (l lastDemand) isDue(want share, coordinator mesh.HostID, renew time.Duration, now time.Time) bool {
	if l.confirmChange || l.askedHost != coordinator || now.Sub(l.sentAt) >= renew {
		return true
	}
	rose := want.rate > l.rate*demandRise || float64(want.concurrency) > float64(l.concurrency)*demandRise
	return rose || want.rate < l.rate*demandFall
}

func (c *Controller) recordSent(customer mesh.CustomerID, e DemandEntry, coordinator mesh.HostID, now time.Time) {
	last := c.demands.last[customer]
	last.share = share{rate: rateFromWire(e.Rate), concurrency: int(e.Concurrency)}
	last.sentAt, last.askedHost, last.confirmChange = now, coordinator, false
	c.demands.last[customer] = last
}

// minEarlyDemandInterval is the shortest time between two demands for a customer
// that are caused by rejected roots.
const minEarlyDemandInterval = 200 * time.Millisecond

// sendEarlyDemand sends a demand for a customer without waiting for the next tick,
// when a root was rejected and the last demand is old enough to be renewed.
func (c *Controller) sendEarlyDemand(cust *customer, now time.Time) {
	next := cust.nextEarlyDemand.Load()
	if now.UnixNano() < next || !cust.nextEarlyDemand.CompareAndSwap(next, now.Add(minEarlyDemandInterval).UnixNano()) {
		return
	}
	c.mu.Lock()
	if now.Sub(c.demands.last[cust.id].sentAt) < renewGranted {
		c.mu.Unlock()
		return
	}
	c.demands.byteBudget.refill(now)
	out := c.collectDemands([]*customer{cust}, now)
	c.mu.Unlock()
	c.sendAll(context.Background(), out)
}

// sendOrProcess returns the message for a coordinator, or processes the demand
// when this node is the coordinator.
func (c *Controller) sendOrProcess(coordinator mesh.HostID, entries []DemandEntry, now time.Time) []message {
	if coordinator == "" {
		return nil
	}
	d := &c.demands
	d.number++
	if d.number == 0 {
		d.number = 1
	}
	d.pending[d.number] = pendingDemand{to: coordinator, sentAt: now}
	body := Demand{Number: d.number, Entries: entries}
	if coordinator == c.config.Host {
		return c.processDemand(coordinator, body, now)
	}
	return []message{{to: coordinator, kind: transport.KindQuotaDemand, body: body}}
}

// dropExpired drops demands whose grant did not arrive, and customers without
// roots.
func (d *demands) dropExpired(now time.Time) {
	for n, p := range d.pending {
		if now.Sub(p.sentAt) > GrantValidity {
			delete(d.pending, n)
		}
	}
	for id, l := range d.last {
		if now.Sub(l.lastActive) > activePeriod+GrantValidity {
			delete(d.last, id)
		}
	}
}
