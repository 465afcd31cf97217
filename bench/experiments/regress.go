package experiments

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "regress",
		Summary:  "older heads, a stale peer, a paused watch holder and reordered updates",
		Defaults: bench.Params{Changes: 6},
		Run:      runRegress,
	})
}

const (
	// rewoundWrites is more than a change writes, so that the store loses a head.
	rewoundWrites = 12
	// staleTime is how long the mesh runs in the state that a case produces.
	staleTime = 2 * time.Second
	// staleOnlyTime is how long a restarted host reaches only the stale peer.
	staleOnlyTime = time.Second
	// reorderDelay is the unit of the link delays, which differ between pairs of
	// failure domains.
	reorderDelay = 150 * time.Millisecond
)

// errStateNotReached means that the mesh did not reach the state that a case
// needs.
var errStateNotReached = errors.New("experiments: mesh did not reach the state of the case")

// regressCase confronts the mesh with one kind of older version.
type regressCase struct {
	name string
	run  func(ctx context.Context, f *faultMesh) error
}

var regressCases = []regressCase{
	{"older_head", rewindStore},
	{"stale_peer", startBesideStalePeer},
	{"paused_holder", pauseWatchHolder},
	{"crossed", reorderUpdates},
}

func runRegress(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	f, err := startFaultMesh(ctx, p, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	stopVerifying := f.verifyPeriodically()
	defer stopVerifying()
	slowest := 0.0
	for _, c := range regressCases {
		if err := f.applyChanges(ctx, p.Changes); err != nil {
			return err
		}
		if _, err := f.waitConverged(ctx, time.Now()); err != nil {
			return err
		}
		if err := c.run(ctx, f); err != nil {
			return errors.Wrap(err, c.name)
		}
		f.heal()
		seconds, err := f.waitConverged(ctx, time.Now())
		if err != nil {
			return err
		}
		p.Logf("%s: reconverged in %.2f s, %d versions regressed", c.name, seconds, f.activations.regressions())
		r.Set("reconverge_"+c.name+"_s", seconds)
		slowest = max(slowest, seconds)
	}
	r.Check("reconverge_s", slowest, bench.AtMost, maxConvergenceSeconds)
	f.checkVersions(r)
	return nil
}

func (f *faultMesh) applyChanges(ctx context.Context, changes int) error {
	for range changes {
		if _, err := f.applyChange(ctx); err != nil {
			return err
		}
	}
	return nil
}

// rewindStore makes the store lose its last writes. Replaced hosts and watch
// holders read the older head; then an operator restores the version of the mesh.
func rewindStore(ctx context.Context, f *faultMesh) error {
	newest := f.Hosts[0].Node.Control().Accepted()
	f.Store.RewindWrites(rewoundWrites)
	head, _, err := f.Authority.Head(ctx)
	if err != nil {
		return err
	}
	if head.Version.Sequence >= newest.ID.Sequence {
		return errors.Wrapf(errStateNotReached, "head at %d after the rewind", head.Version.Sequence)
	}
	replaced := f.Hosts[len(f.Hosts)/2:][:len(f.domains())]
	f.kill(replaced...)
	if err := f.start(ctx, replaced...); err != nil {
		return err
	}
	if err := bench.Sleep(ctx, staleTime); err != nil {
		return err
	}
	_, err = f.Authority.Restore(ctx, newest, "operator", "the store lost writes")
	return err
}

// startBesideStalePeer replaces a host that at first reaches only a stale peer.
func startBesideStalePeer(ctx context.Context, f *faultMesh) error {
	hosts := f.hostsIn(f.domains()[0])
	stale, replaced := hosts[0], hosts[2]
	f.moveToGroup("stale", stale)
	for _, d := range f.domains() {
		f.network.CutBoth("stale", string(d))
	}
	f.storeOf(stale.ID).cut()
	defer f.storeOf(stale.ID).heal()
	defer f.moveToGroup(string(stale.Domain), stale)
	id, err := f.applyChange(ctx)
	if err != nil {
		return err
	}
	nodes := lo.OmitByKeys(f.liveNodes(), []mesh.HostID{stale.ID})
	f.waitActive(ctx, nodes, id.Sequence, time.Now())
	if activeSequence(stale.Node) >= id.Sequence {
		return errors.Wrap(errStateNotReached, "the peer is not stale")
	}
	return f.replaceBesideStalePeer(ctx, replaced)
}

// replaceBesideStalePeer replaces a host in a network group of its own, which
// reaches only the group stale at first and all others later.
func (f *faultMesh) replaceBesideStalePeer(ctx context.Context, h *emulator.Host) error {
	f.kill(h)
	f.moveToGroup("replaced", h)
	for _, d := range f.domains() {
		f.network.CutBoth("replaced", string(d))
	}
	f.storeOf(h.ID).cut()
	defer f.storeOf(h.ID).heal()
	if err := f.start(ctx, h); err != nil {
		return err
	}
	if err := f.WaitUntil(ctx, "stale version not received", func() bool { return h.Node.Control().Accepted() != nil }); err != nil {
		return err
	}
	if err := bench.Sleep(ctx, staleOnlyTime); err != nil {
		return err
	}
	f.moveToGroup(string(h.Domain), h)
	return bench.Sleep(ctx, staleTime)
}

// moveToGroup moves the addresses of a host to a group of the network.
func (f *faultMesh) moveToGroup(name string, h *emulator.Host) {
	f.network.Group(name, string(h.ID), h.Settings.Listen.Peer, h.Settings.Listen.Call)
}

// pauseWatchHolder delays the result of a watch at a watch holder until newer
// versions exist.
func pauseWatchHolder(ctx context.Context, f *faultMesh) error {
	holder, found := lo.Find(f.Hosts, func(h *emulator.Host) bool { return h.Node.Control().Status().WatchHolder })
	if !found {
		return errors.Wrap(errStateNotReached, "no watch holder")
	}
	resume := f.storeOf(holder.ID).pause()
	defer resume()
	for range 3 {
		if _, err := f.applyChange(ctx); err != nil {
			return err
		}
		if err := bench.Sleep(ctx, staleTime/4); err != nil {
			return err
		}
	}
	return nil
}

// reorderUpdates applies changes faster than the links between the failure
// domains carry them, with different delays, so that updates overtake each other.
func reorderUpdates(ctx context.Context, f *faultMesh) error {
	domains := f.domains()
	delay := func(d time.Duration) {
		for i, a := range domains {
			for j, b := range domains {
				if a != b {
					f.network.Delay(string(a), string(b), d*time.Duration(1+(i+j)%3))
				}
			}
		}
	}
	delay(reorderDelay)
	defer delay(0)
	if err := f.applyChanges(ctx, f.params.Changes); err != nil {
		return err
	}
	return bench.Sleep(ctx, staleTime)
}
