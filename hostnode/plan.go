package hostnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// watchWait is how long a watch waits in the store. A connection that went
	// silent is found by keep-alive probes before.
	watchWait = 20 * time.Second
	// watchSlack is how much longer an answer to a watch may take.
	watchSlack = 2 * time.Second
	// callTimeout bounds other calls to the store, which answers in milliseconds
	// when it is well and in a quarter of a second when it is slow.
	callTimeout = 1500 * time.Millisecond
	// gatherShare is the part of the time for a new plan for which further
	// versions are gathered before the next watch. It bounds the calls during a
	// quick succession of versions.
	gatherShare = 0.2
	// storePauseLeast and storePauseMost bound the pause after a failed call.
	storePauseLeast = 100 * time.Millisecond
	storePauseMost  = 800 * time.Millisecond
)

// planKeeper puts the operator's versions in force: from its own watch of the
// store, and from peers when that stays behind.
type planKeeper struct {
	store   *platform.Store
	current *routeplan.Current
	logger  hclog.Logger
	gather  time.Duration
	changed func(*routeplan.Plan)

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
	accepted := k.current.Offer(plan)
	if accepted {
		k.encoded.Store(&value)
	}
	k.mu.Unlock()
	if !accepted {
		eventPlanOld.Log(k.logger, "source", source, "version", plan.Version)
		return
	}
	before := uint64(0)
	if old != nil {
		before = old.Version
	}
	eventPlan.Log(k.logger, "source", source, "version", plan.Version, "before", before, "routes", len(plan.Routes))
	k.changed(plan)
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

// run follows the store until ctx ends.
func (k *planKeeper) run(ctx context.Context) {
	revision := uint64(0)
	pause := storePauseLeast
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = k.read(ctx)
		} else {
			revision, err = k.watch(ctx, revision)
		}
		k.health.observe(err)
		if err == nil {
			pause = storePauseLeast
			continue
		}
		if !sleep(ctx, jittered(pause)) {
			return
		}
		pause = min(2*pause, storePauseMost)
	}
}

// read fetches the newest plan and returns the revision to watch from.
func (k *planKeeper) read(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, revision, err := k.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return 0, err
	}
	k.offer(item.Value, "store")
	return revision, nil
}

// watch waits for the next versions and returns the revision to continue from.
func (k *planKeeper) watch(ctx context.Context, revision uint64) (uint64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	items, next, err := k.store.Watch(watchCtx, platform.ConfigPrefix, revision, watchWait)
	if errors.Is(err, platform.ErrStoreHistory) {
		return 0, nil
	}
	if err != nil {
		return revision, err
	}
	found := false
	for _, item := range items {
		if item.Key == platform.ConfigKey && !item.Removed {
			k.offer(item.Value, "store")
			found = true
		}
	}
	if found {
		sleep(ctx, k.gather)
	}
	return max(revision, next), nil
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
