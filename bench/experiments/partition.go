package experiments

import (
	"context"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "partition",
		Summary:  "failure domains cut off from each other and from the store, with calls and changes",
		Defaults: bench.Params{Duration: 5 * time.Second},
		Run:      runPartition,
	})
}

const (
	// flapInterval is the time between a cut and its end, and until the next cut.
	flapInterval = 700 * time.Millisecond
)

// partitionCase is a cut that lasts for the duration of the parameters.
type partitionCase struct {
	name string
	// cut makes the cut. The returned function undoes what healing all links of
	// the network does not.
	cut func(f *faultMesh) (end func())
}

var partitionCases = []partitionCase{
	{"isolated", func(f *faultMesh) func() {
		all := f.domains()
		f.cutGroups(all[:1], all[1:])
		return f.cutStore(all[0])
	}},
	{"halves", func(f *faultMesh) func() {
		all := f.domains()
		f.cutGroups(all[:len(all)/2], all[len(all)/2:])
		return func() {}
	}},
	{"one_way", func(f *faultMesh) func() {
		all := f.domains()
		for _, other := range all[1:] {
			f.network.Cut(string(all[0]), string(other))
		}
		return func() {}
	}},
	{"flapping", func(f *faultMesh) func() {
		all := f.domains()
		isCut := false
		return runPeriodically(flapInterval, func() {
			if isCut = !isCut; isCut {
				f.cutGroups(all[:1], all[1:])
			} else {
				f.heal()
			}
		})
	}},
	{"store", func(f *faultMesh) func() { return f.cutStore(f.domains()[0]) }},
}

func (f *faultMesh) cutGroups(a, b []mesh.FailureDomain) {
	for _, x := range a {
		for _, y := range b {
			f.network.CutBoth(string(x), string(y))
		}
	}
}

// cutStore cuts a failure domain from the store until the returned function is
// called.
func (f *faultMesh) cutStore(domain mesh.FailureDomain) (heal func()) {
	hosts := f.hostsIn(domain)
	for _, h := range hosts {
		f.storeOf(h.ID).cut()
	}
	return func() {
		for _, h := range hosts {
			f.storeOf(h.ID).heal()
		}
	}
}

func runPartition(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	f, err := startWarmMesh(ctx, p)
	if err != nil {
		return err
	}
	defer f.Close()
	stopVerifying := f.verifyPeriodically()
	var slowest, worstFailedRatio float64
	var wrongResponses int64
	for i, c := range partitionCases {
		seconds, laggingNodes, calls, err := f.runPartitionCase(ctx, c, p.Seed+uint64(i))
		if err != nil {
			return err
		}
		for _, line := range calls.failures {
			p.Logf("failed call: %s", line)
		}
		p.Logf("%s: %d of %d calls failed, reconverged in %.2f s", c.name, calls.failed, calls.sent, seconds)
		r.Set("reconverge_"+c.name+"_s", seconds)
		r.Set("behind_at_heal_"+c.name, float64(laggingNodes))
		r.Set("calls_"+c.name, float64(calls.sent))
		r.Set("calls_failed_ratio_"+c.name, calls.worstFailedRatio)
		slowest, worstFailedRatio, wrongResponses = max(slowest, seconds), max(worstFailedRatio, calls.worstFailedRatio), wrongResponses+calls.wrongResponses
	}
	stopVerifying()
	r.Check("reconverge_s", slowest, bench.AtMost, maxConvergenceSeconds)
	r.Check("calls_failed_ratio", worstFailedRatio, bench.AtMost, maxFailedRatio)
	r.Check("wrong_responses", float64(wrongResponses), bench.Equal, 0)
	f.checkVersions(r)
	r.Note("calls_failed_ratio is the largest among the failure domains; the case isolated also cuts its domain off from the store")
	return nil
}

// runWarmUpLoad runs the load until connections are open and endpoint selection
// has measurements.
func (f *faultMesh) runWarmUpLoad(ctx context.Context) error {
	l := f.startLoad(f.params.Seed)
	err := bench.Sleep(ctx, stabilizeTime)
	l.stop()
	return err
}

// runPartitionCase makes a cut, applies changes while it lasts and heals it. It
// returns the seconds until the mesh has converged again, the number of nodes
// without the last change when the cut ended, and the calls of the load.
func (f *faultMesh) runPartitionCase(ctx context.Context, c partitionCase, seed uint64) (seconds float64, laggingNodes int, calls backgroundResult, err error) {
	l := f.startLoad(seed)
	end := c.cut(f)
	id, err := f.applyChangesDuringCut(ctx, l)
	laggingNodes = lo.CountBy(lo.Values(f.liveNodes()), func(n *node.Node) bool { return activeSequence(n) < id.Sequence })
	end()
	f.heal()
	if err == nil {
		seconds, err = f.waitConverged(ctx, time.Now())
	}
	return seconds, laggingNodes, l.stop(), err
}

// applyChangesDuringCut lets the duration pass. It restarts a host at its start
// and applies a change in each half of it.
func (f *faultMesh) applyChangesDuringCut(ctx context.Context, l *backgroundLoad) (id mesh.VersionID, err error) {
	const changes = 2
	last := f.hostsIn(lo.LastOrEmpty(f.domains()))
	if err = f.restartHost(ctx, l, last[len(last)-1], nil); err != nil {
		return id, err
	}
	for range changes {
		if err = bench.Sleep(ctx, f.params.Duration/(2*changes)); err != nil {
			return id, err
		}
		if id, err = f.applyChange(ctx); err != nil {
			return id, err
		}
		if err = bench.Sleep(ctx, f.params.Duration/(2*changes)); err != nil {
			return id, err
		}
	}
	return id, nil
}

// checkVersions checks the invariants of versions at the end of a run.
func (f *faultMesh) checkVersions(r *bench.Result) {
	f.verifier.verify(f.liveNodes())
	partial, verified := f.verifier.counts()
	r.Check("versions_regressed", float64(f.activations.regressions()), bench.Equal, 0)
	r.Check("partial_versions", float64(partial), bench.Equal, 0)
	r.Set("snapshots_verified", float64(verified))
}
