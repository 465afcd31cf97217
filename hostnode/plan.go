package hostnode

import (
	"context"
	"math/rand/v2"
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
	// callTimeout bounds a call to the store, which answers in milliseconds when
	// it is well and in a quarter of a second when it is slow.
	callTimeout = time.Second
	// planReadTimeout bounds a read that may bring a plan of some hundred kilobytes
	// over a narrow link. Other hosts read meanwhile.
	planReadTimeout = 3 * time.Second
	// planTick is how often the host looks whether a read is due.
	planTick = 50 * time.Millisecond
)

// planKeeper puts the operator's versions in force, from its own reads of the
// store and from peers. package plansync says when which of them is due.
type planKeeper struct {
	store   *platform.Store
	current *routeplan.Current
	logger  hclog.Logger
	fresh   *plansync.Tracker
	rank    func() int
	ask     func(host mesh.HostID, have uint64) error
	// accepted is called with each plan that came in force, changed after that
	// and after each read that confirmed it.
	accepted func(*routeplan.Plan)
	changed  func()
	// returned is called when the store answers again, to this host or a peer.
	returned func()

	mu sync.Mutex
	// revision is the store's revision of the plan that was read last.
	revision uint64
	// recent are the latest plans in force, for differences.
	recent []*routeplan.Plan

	health dependency
}

// dependency logs when the store is lost and regained.
type dependency struct {
	logger hclog.Logger
	name   string
	lost   atomic.Bool
}

func (d *dependency) observe(err error) {
	switch {
	case err == nil:
		if d.lost.CompareAndSwap(true, false) {
			eventStoreBack.Log(d.logger, "use", d.name)
		}
	case d.lost.CompareAndSwap(false, true):
		eventStoreLost.Log(d.logger, "use", d.name, "reason", platform.Reason(err), "error", err)
	}
}

// offerItem takes the operator's configuration as the store holds it.
func (k *planKeeper) offerItem(item platform.Item) {
	plan, err := platform.DecodeConfig(item.Value)
	if err != nil {
		eventPlanBad.Log(k.logger, "source", "store", "bytes", len(item.Value), "error", err)
		return
	}
	k.offer(plan, "store")
}

// offerFromPeer takes the plan of a peer.
func (k *planKeeper) offerFromPeer(d routeplan.Delta, from mesh.HostID) {
	plan, err := d.Apply(k.current.Load())
	if err != nil {
		// The plan in force has changed since the peer was asked, or the peer runs
		// another program; the next report leads to another attempt.
		eventPlanBad.Log(k.logger, "source", from, "base", d.Base, "version", d.Version, "error", err)
		return
	}
	k.offer(plan, string(from))
}

// recentPlans is the number of versions to which differences can be given. More
// come only while versions follow each other faster than reports.
const recentPlans = 4

func (k *planKeeper) offer(plan *routeplan.Plan, source string) {
	k.mu.Lock()
	old := k.current.Load()
	newer := k.current.Offer(plan)
	if newer {
		k.recent = append(k.recent, plan)
		if len(k.recent) > recentPlans {
			k.recent = append([]*routeplan.Plan(nil), k.recent[1:]...)
		}
	}
	k.mu.Unlock()
	if !newer {
		eventPlanOld.Log(k.logger, "source", source, "version", plan.Version)
		return
	}
	before := uint64(0)
	if old != nil {
		before = old.Version
	}
	eventPlan.Log(k.logger, "source", source, "version", plan.Version, "before", before, "routes", len(plan.Routes))
	k.fresh.InForce(plan.Version)
	k.accepted(plan)
}

// difference returns the plan in force as a difference to a version, or whole
// when that version is not known any more.
func (k *planKeeper) difference(have uint64) (routeplan.Delta, bool) {
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

func (k *planKeeper) version() uint64 {
	if p := k.current.Load(); p != nil {
		return p.Version
	}
	return 0
}

// run keeps the plan current until ctx ends.
func (k *planKeeper) run(ctx context.Context) {
	returns := uint64(0)
	for sleep(ctx, planTick) {
		if n := k.fresh.Returns(); n != returns {
			returns = n
			k.returned()
		}
		switch action, host := k.fresh.Next(boottime.Now(), k.rank()); action {
		case plansync.ReadStore:
			k.read(ctx)
		case plansync.AskPeer:
			if err := k.ask(host, k.version()); err != nil {
				eventPlanAsk.Log(k.logger, "host", host, "error", err)
			}
		case plansync.Wait:
		}
	}
}

// read fetches the newest plan if the store has another one than this host read
// last.
func (k *planKeeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, planReadTimeout)
	defer cancel()
	began := boottime.Now()
	item, changed, err := k.store.Changed(ctx, platform.ConfigKey, k.revision)
	k.health.observe(err)
	switch {
	case err != nil:
		k.fresh.Failed(boottime.Now())
	case changed && item.Revision != 0:
		k.revision = item.Revision
		k.offerItem(item)
		k.fresh.Read(began)
		k.changed()
	case k.revision == 0:
		k.fresh.Absent(boottime.Now())
	default:
		k.fresh.Read(began)
		k.changed()
	}
}

// sleep waits and reports false when ctx ended first.
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

// jittered spreads a pause by half to keep hosts from calling together.
func jittered(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d))) }
