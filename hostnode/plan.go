package hostnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// storeCallTimeout limits a call to the store, which usually answers within
	// milliseconds and within a quarter of a second when it is slow.
	storeCallTimeout = time.Second
	// planReadTimeout limits a read that may transfer a plan of some hundred kilobytes
	// over a link of low bandwidth. Other hosts can read meanwhile.
	planReadTimeout = 3 * time.Second
	// planCheckInterval is the interval at which the host checks whether a read is
	// due.
	planCheckInterval = 50 * time.Millisecond
)

// planKeeper activates the operator's versions, from its own reads of the store and
// from peers. Package plansync decides when to read the store and when to ask a peer.
type planKeeper struct {
	clock   boottime.Clock
	store   *platform.Store
	current *routeplan.ActivePlan
	logger  hclog.Logger
	tracker *plansync.Tracker
	// rank returns the numbers of reachable hosts in the mesh and in the failure domain that
	// precede this one.
	rank    func() (all, domain int)
	askPeer func(host mesh.HostID, have uint64) error
	// onActivated is called with each plan that was activated and the one before, which is
	// nil for the first one. onConfirmed is called
	// after each read of the store that found a plan, whether new or unchanged, and after
	// the activation of a plan from a peer.
	onActivated func(old, plan *routeplan.Plan)
	onConfirmed func()
	// onStoreRecovered is called when the store answers this host or a peer again, and
	// when one of them finds it restored from a copy.
	onStoreRecovered func()

	// peersHeard reports whether the other hosts have had time to report a newer plan to
	// this host since its start.
	peersHeard func() bool
	// rollouts gets the operator's orders, which are read with the plan; nil reads none.
	rollouts *rolloutKeeper
	// first is the plan of the store that a host without a plan activates once it has
	// heard its peers: a store that was restored from a copy may have an older plan than
	// they have. Only run uses it.
	first *firstPlan
	// lastRead identifies the state of the store's plan that was read last. Only run uses
	// it.
	lastRead platform.Revision

	mu sync.Mutex
	// recent holds the latest active plans, as bases of deltas.
	recent []*routeplan.Plan

	// readBegan is when the read in progress began, 0 when there is none.
	readBegan atomic.Int64
	// newestReported is the newest version that a peer has reported.
	newestReported atomic.Uint64

	monitor storeMonitor
}

// firstPlan is a plan from the store and when its read began.
type firstPlan struct {
	item  platform.Item
	began boottime.Time
}

// planRead is the result of a read of the store.
type planRead struct {
	item    platform.Item
	changed bool
	began   boottime.Time
	err     error
	// orders are the orders of roll-outs, and ordersChanged says whether they have values.
	orders        []platform.Item
	ordersChanged bool
}

// storeMonitor logs when the store becomes unavailable for one use and when it
// answers again.
type storeMonitor struct {
	logger      hclog.Logger
	use         string
	unavailable atomic.Bool
}

// observe records a use of the store and how long it took.
func (m *storeMonitor) observe(took time.Duration, err error) {
	switch {
	case err == nil:
		if m.unavailable.CompareAndSwap(true, false) {
			eventStoreRecovered.Log(m.logger, "use", m.use, "took_ms", took.Milliseconds())
		}
	case m.unavailable.CompareAndSwap(false, true):
		eventStoreUnavailable.Log(m.logger, "use", m.use, "took_ms", took.Milliseconds(), "reason", platform.Reason(err), "error", err)
	}
}

// activateItem decodes the operator's configuration from the store and activates it.
func (k *planKeeper) activateItem(item platform.Item) {
	plan, err := platform.DecodeConfig(item.Value)
	if err != nil {
		eventPlanRejected.Log(k.logger, "source", "store", "bytes", len(item.Value), "error", err)
		return
	}
	k.activate(plan, "store")
}

// activateDelta applies the delta of a peer and activates the plan.
func (k *planKeeper) activateDelta(d routeplan.Delta, from mesh.HostID) {
	current := k.current.Load()
	if d.MayLackWorkspaces && mayHaveWorkspaces(current) {
		eventPlanRefused.Log(k.logger, "source", from, "version", d.Version)
		return
	}
	plan, err := d.Apply(current)
	if err != nil {
		// The active plan has changed since the peer was asked, or the peer runs
		// another version of the program; the next status report leads to another try.
		eventPlanRejected.Log(k.logger, "source", from, "base", d.Base, "version", d.Version, "error", err)
		return
	}
	if k.activate(plan, string(from)) {
		k.onConfirmed() // Hosts of this domain wait for the report.
	}
}

// mayHaveWorkspaces reports whether the versions after the active one, which may be nil,
// may have workspaces. An earlier program does not know them and would send plans without.
func mayHaveWorkspaces(active *routeplan.Plan) bool { return active == nil || active.RequiresKeys() }

// maxRecentPlans is the number of versions that can be the base of a delta. More are
// needed only while versions follow each other faster than status reports.
const maxRecentPlans = 4

// activate makes the plan the active one if it is newer, and reports whether it is.
func (k *planKeeper) activate(plan *routeplan.Plan, source string) bool {
	k.mu.Lock()
	old := k.current.Load()
	newer := k.current.Activate(plan)
	if newer {
		k.recent = append(k.recent, plan)
		if len(k.recent) > maxRecentPlans {
			k.recent = append([]*routeplan.Plan(nil), k.recent[1:]...)
		}
	}
	k.mu.Unlock()
	if !newer {
		eventPlanIgnored.Log(k.logger, "source", source, "version", plan.Version)
		return false
	}
	previous := uint64(0)
	if old != nil {
		previous = old.Version
	}
	eventPlanActivated.Log(k.logger, "source", source, "version", plan.Version, "before", previous, "routes", len(plan.Routes))
	k.tracker.SetActiveVersion(plan.Version)
	k.onActivated(old, plan)
	return true
}

// deltaFrom returns the active plan as a delta from the version that a peer has, or
// as a whole when that version is no longer kept.
func (k *planKeeper) deltaFrom(have uint64) (routeplan.Delta, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	plan := k.current.Load()
	if plan == nil {
		return routeplan.Delta{}, false
	}
	var base *routeplan.Plan
	for _, p := range k.recent {
		if p.Version == have {
			base = p
		}
	}
	return plan.Diff(base), true
}

func (k *planKeeper) activeVersion() uint64 {
	if p := k.current.Load(); p != nil {
		return p.Version
	}
	return 0
}

// run keeps the plan current until ctx ends. A read of the store goes on beside it,
// because peers may send a newer plan before the store answers.
func (k *planKeeper) run(ctx context.Context) {
	recoveries, epoch := uint64(0), uint64(0)
	ticker := time.NewTicker(planCheckInterval)
	defer ticker.Stop()
	reads, isReading := make(chan planRead, 1), false
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-reads:
			isReading = false
			k.finishRead(r)
		case <-ticker.C:
		}
		k.tracker.RecordEpoch(k.store.Epoch())
		if latest := k.tracker.Epoch(); latest != epoch {
			if epoch != 0 {
				eventStoreRestored.Log(k.logger, "epoch", latest, "before", epoch)
			}
			epoch = latest
		}
		if n := k.tracker.Recoveries(); n != recoveries {
			recoveries = n
			k.onStoreRecovered()
		}
		k.activateFirst()
		rank, domainRank := k.rank()
		k.tracker.SetDomainRank(domainRank)
		switch action, host := k.tracker.Next(k.clock(), rank); action {
		case plansync.ReadStore:
			if k.first == nil && !isReading {
				isReading = true
				known := k.lastRead
				go func() { reads <- k.read(ctx, known) }()
			}
		case plansync.AskPeer:
			if err := k.askPeer(host, k.activeVersion()); err != nil {
				eventPlanRequestFailed.Log(k.logger, "host", host, "error", err)
			}
		case plansync.Wait:
		}
	}
}

// recordReport records what a peer reports about its plan.
func (k *planKeeper) recordReport(r plansync.Report) {
	if !r.KnowsWorkspaces && mayHaveWorkspaces(k.current.Load()) {
		return // The host cannot send the plan; the store has it.
	}
	k.tracker.RecordReport(r)
	known := k.newestReported.Load()
	if r.Version <= max(known, k.activeVersion()) || !k.newestReported.CompareAndSwap(known, r.Version) {
		return
	}
	readMs := int64(0)
	if began := k.readBegan.Load(); began != 0 {
		readMs = (k.clock() - boottime.Time(began)).Milliseconds()
	}
	eventPlanReported.Log(k.logger, "host", r.From, "version", r.Version, "active", k.activeVersion(), "reading_ms", readMs)
}

// read fetches the newest plan if it is not the known one.
func (k *planKeeper) read(ctx context.Context, known platform.Revision) planRead {
	ctx, cancel := context.WithTimeout(ctx, planReadTimeout)
	defer cancel()
	r := planRead{began: k.clock()}
	k.readBegan.Store(int64(r.began))
	keys := append([]platform.Known{{Key: platform.ConfigKey, Revision: known}}, k.rollouts.orderKeys(k.current.Load())...)
	for part := range slices.Chunk(keys, platform.MaxKnown) {
		items, changed, err := k.store.ReadAnyChanged(ctx, part)
		if r.err = err; err != nil {
			break
		}
		r.orders, r.ordersChanged = append(r.orders, items...), r.ordersChanged || changed
		if part[0].Key == platform.ConfigKey {
			r.item, r.changed = items[0], changed && items[0].Revision != known
		}
	}
	k.readBegan.Store(0)
	k.monitor.observe(k.clock()-r.began, r.err)
	return r
}

// finishRead applies the result of a read.
func (k *planKeeper) finishRead(r planRead) {
	if r.err != nil {
		k.tracker.RecordFailedRead(k.clock())
		return
	}
	k.lastRead = r.item.Revision
	k.rollouts.recordRead(r.orders[1:], r.ordersChanged, r.began)
	exists := r.item.Revision.Number != 0
	if k.activeVersion() == 0 {
		if r.changed && exists {
			k.first = &firstPlan{item: r.item, began: r.began}
		}
		k.tracker.RecordNoPlan(k.clock())
		return
	}
	if r.changed && exists {
		k.activateItem(r.item)
	}
	k.recordRead(r.began, r.item.Revision.Epoch)
}

// activateFirst activates the first plan of the store once the peers have been heard and
// none of them is expected to send a newer one.
func (k *planKeeper) activateFirst() {
	first := k.first
	if first == nil {
		return
	}
	isExpected := k.tracker.IsNewerKnown() && k.clock()-first.began < maxPeerWait
	if k.activeVersion() == 0 && (!k.peersHeard() || isExpected) {
		return
	}
	k.first = nil
	k.activateItem(first.item)
	if k.activeVersion() != 0 {
		k.recordRead(first.began, first.item.Revision.Epoch)
	}
}

// recordRead records a read that found a plan no newer than the active one.
func (k *planKeeper) recordRead(began boottime.Time, epoch uint64) {
	if !k.tracker.RecordRead(began, epoch) {
		k.tracker.RecordFailedRead(k.clock())
		return
	}
	k.onConfirmed()
}

// sleep waits for d and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jittered returns a random duration from half of d to one and a half of it, so that
// hosts do not call the store at the same time.
func jittered(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d))) }
