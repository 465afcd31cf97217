package hostnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/freshness"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// callTimeout bounds a call to the store, which answers in milliseconds when
	// it is well and in a quarter of a second when it is slow.
	callTimeout = time.Second
	// planTick is how often the host looks whether a read is due.
	planTick = 50 * time.Millisecond
)

// planKeeper puts the operator's versions in force, from its own reads of the
// store and from peers. Package freshness says when which of them is due.
type planKeeper struct {
	store   *platform.Store
	current *routeplan.Current
	logger  hclog.Logger
	fresh   *freshness.Tracker
	rank    func() (all, mates int)
	ask     func(mesh.HostID) error
	// accepted is called with each plan that came in force, changed after that
	// and after each read that confirmed it.
	accepted func(*routeplan.Plan)
	changed  func()

	// mu keeps the encoded form in step with the plan in force.
	mu      sync.Mutex
	encoded atomic.Pointer[[]byte]

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

// offer takes an encoded plan.
func (k *planKeeper) offer(value []byte, source string) {
	plan, err := platform.DecodeConfig(value)
	if err != nil {
		eventPlanBad.Log(k.logger, "source", source, "bytes", len(value), "error", err)
		return
	}
	k.mu.Lock()
	old := k.current.Load()
	newer := k.current.Offer(plan)
	if newer {
		k.encoded.Store(&value)
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
	k.changed()
}

// offerFromPeer takes an encoded plan of a peer.
func (k *planKeeper) offerFromPeer(value []byte, from mesh.HostID) { k.offer(value, string(from)) }

func (k *planKeeper) version() uint64 {
	if p := k.current.Load(); p != nil {
		return p.Version
	}
	return 0
}

// plan returns the encoded plan in force, or nil.
func (k *planKeeper) plan() []byte {
	if v := k.encoded.Load(); v != nil {
		return *v
	}
	return nil
}

// run keeps the plan current until ctx ends.
func (k *planKeeper) run(ctx context.Context) {
	for sleep(ctx, planTick) {
		all, mates := k.rank()
		switch action, host := k.fresh.Next(boottime.Now(), all, mates); action {
		case freshness.ReadStore:
			k.read(ctx)
		case freshness.AskPeer:
			if err := k.ask(host); err != nil {
				k.fresh.Failed(boottime.Now())
			}
		case freshness.Wait:
		}
	}
}

// read fetches the newest plan.
func (k *planKeeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := boottime.Now()
	item, _, err := k.store.Get(ctx, platform.ConfigKey)
	k.health.observe(err)
	if err != nil {
		k.fresh.Failed(boottime.Now())
		return
	}
	k.offer(item.Value, "store")
	k.fresh.Read(began)
	k.changed()
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
