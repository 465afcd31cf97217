package experiments

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "churn",
		Summary:  "a day of restarts and host failures in compressed time, while changes are accepted",
		Defaults: bench.Params{Duration: 40 * time.Second, Changes: 20},
		Run:      runChurn,
	})
}

// The events of a day in a mesh of the design size.
const (
	designNodes    = 750.0
	restartsPerDay = 150.0
	failuresPerDay = 3.0
	// failureDuration is how long a failed host stays down. It is longer than the
	// time after which its peers declare it dead.
	failureDuration = 10 * time.Second
)

// churnPlan is the number of a day's events scaled to the size of the mesh.
type churnPlan struct {
	restarts, failures int
}

func planChurn(nodes int) churnPlan {
	scale := float64(nodes) / designNodes
	return churnPlan{
		restarts: int(math.Ceil(restartsPerDay * scale)), failures: int(math.Ceil(failuresPerDay * scale)),
	}
}

// changeResult is the outcome of the changes: the longest convergence in seconds
// and the number of accepted changes.
type changeResult struct {
	maxConvergence float64
	changes        int
	err            error
}

func runChurn(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	f, err := startWarmMesh(ctx, p)
	if err != nil {
		return err
	}
	defer f.Close()
	stopVerifying := f.verifyPeriodically()
	events := planChurn(p.Nodes)
	storeCalls, begin := f.Store.Counts().Total(), time.Now()
	stopTraffic := f.measureTraffic()
	l := f.startLoad(p.Seed + 1)
	changesDone := f.startChanges(ctx, p)
	err = f.injectChurn(ctx, l, events)
	changed := <-changesDone
	calls := l.stop()
	linkBytes, seconds := stopTraffic(), time.Since(begin).Seconds()
	if err == nil {
		err = changed.err
	}
	if err != nil {
		return err
	}
	r.Check("converge_max_s", changed.maxConvergence, bench.AtMost, maxConvergenceSeconds)
	r.Check("control_bytes_per_node_per_s", linkBytes/float64(p.Nodes)/seconds, bench.AtMost, maxControlBytesPerSecond)
	r.Set("store_calls_per_s", float64(f.Store.Counts().Total()-storeCalls)/seconds)
	falseCount, properCount := f.suspicions.counts()
	r.Set("false_suspicions", float64(falseCount))
	r.Set("proper_suspicions", float64(properCount))
	r.Set("changes", float64(changed.changes))
	r.Set("restarts", float64(events.restarts))
	r.Set("failures", float64(events.failures))
	r.Set("compression", secondsPerDay/seconds)
	calls.report(p, r)
	stopVerifying()
	reconverge, err := f.waitConverged(ctx, time.Now())
	r.Check("reconverge_s", reconverge, bench.AtMost, maxConvergenceSeconds)
	f.checkVersions(r)
	r.Note("restarts and failures are those of a day at %.0f nodes, scaled to this mesh; control bytes are those of the compressed run", designNodes)
	return err
}

// injectChurn kills hosts at the start of the duration, spreads the restarts of
// other hosts over it in a seeded order, and starts the killed hosts again.
func (f *faultMesh) injectChurn(ctx context.Context, l *backgroundLoad, events churnPlan) error {
	random := rand.New(rand.NewPCG(f.params.Seed, 0))
	order := random.Perm(len(f.Hosts))
	pause := (f.params.Duration - failureDuration) / time.Duration(events.restarts+1)
	failed := lo.Map(order[:events.failures], func(i, _ int) *emulator.Host { return f.Hosts[i] })
	if err := f.divertCallers(ctx, l, failed); err != nil {
		return err
	}
	f.kill(failed...)
	failedAt := time.Now()
	for n := range events.restarts {
		if err := bench.Sleep(ctx, pause); err != nil {
			return err
		}
		h := f.Hosts[order[events.failures+n%(len(order)-events.failures)]]
		if err := f.restartHost(ctx, l, h, failed); err != nil {
			return err
		}
	}
	if err := bench.Sleep(ctx, failureDuration-time.Since(failedAt)); err != nil {
		return err
	}
	return f.start(ctx, failed...)
}

// restartHost shuts a host down and starts it again while the failed hosts are
// down.
func (f *faultMesh) restartHost(ctx context.Context, l *backgroundLoad, h *emulator.Host, failed []*emulator.Host) error {
	excluded := append([]*emulator.Host{h}, failed...)
	if err := f.divertCallers(ctx, l, excluded); err != nil {
		return err
	}
	if err := f.stop(ctx, h); err != nil {
		return err
	}
	return f.start(ctx, h)
}

// startChanges applies changes at equal intervals over the duration and measures
// the time until each is active on all nodes that keep running.
func (f *faultMesh) startChanges(ctx context.Context, p bench.Params) <-chan changeResult {
	done := make(chan changeResult, 1)
	go func() {
		var r changeResult
		for range p.Changes {
			if r.err = bench.Sleep(ctx, p.Duration/time.Duration(p.Changes)); r.err != nil {
				break
			}
			start := time.Now()
			before := f.liveNodes()
			id, err := f.applyChange(ctx)
			if err != nil {
				r.err = err
				break
			}
			r.changes++
			r.maxConvergence = max(r.maxConvergence, f.waitActiveWhereRunning(ctx, before, id.Sequence, start))
		}
		done <- r
	}()
	return done
}

// waitActiveWhereRunning waits until the sequence or a newer one is active on
// every node of before that still runs, and returns the seconds since start. It
// stops waiting after convergeTimeout.
func (f *faultMesh) waitActiveWhereRunning(ctx context.Context, before map[mesh.HostID]*node.Node, sequence mesh.Sequence, start time.Time) float64 {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	_ = f.WaitUntil(ctx, "version not active", func() bool {
		live := f.liveNodes()
		return lo.EveryBy(lo.Entries(before), func(e lo.Entry[mesh.HostID, *node.Node]) bool {
			return live[e.Key] != e.Value || activeSequence(e.Value) >= sequence
		})
	})
	return time.Since(start).Seconds()
}

// measureTraffic sums the link bytes of all nodes, stopped ones included, until
// the returned function is called, which returns the sum. It misses what a node
// sends after its last sample.
func (f *faultMesh) measureTraffic() (stop func() float64) {
	last := map[*node.Node]float64{}
	first := map[*node.Node]float64{}
	sample := func(initial bool) {
		bytes := f.trafficByHost()
		for h, n := range f.liveNodes() {
			if b, found := bytes[h]; found {
				last[n] = max(last[n], b)
			}
			if initial {
				first[n] = last[n]
			}
		}
	}
	sample(true)
	end := runPeriodically(trafficInterval, func() { sample(false) })
	return func() float64 {
		end()
		sample(false)
		return lo.SumBy(lo.Entries(last), func(e lo.Entry[*node.Node, float64]) float64 { return e.Value - first[e.Key] })
	}
}

// trafficInterval is the time between two samples of the link bytes.
const trafficInterval = 250 * time.Millisecond
