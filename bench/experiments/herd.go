package experiments

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
)

func init() {
	bench.Register(bench.Experiment{
		Name:    "herd",
		Summary: "half of the nodes, a failure domain and all nodes are killed and restarted at the same time (--baseline)",
		Run:     runHerd,
	})
}

const (
	// maxStoreCallsPerSecond is the load that the store supports.
	maxStoreCallsPerSecond = 2000.0
	// stabilizeTime is the time for which the mesh or its load runs undisturbed
	// before it is measured.
	stabilizeTime = 2 * time.Second
	runTimeout    = 5 * time.Minute
	// unlimitedHandshakes is a rate of handshakes that no node reaches.
	unlimitedHandshakes = 1e6
)

// herdStage is a set of hosts that are killed at the same time.
type herdStage struct {
	name  string
	hosts []*emulator.Host
}

func (f *faultMesh) herdStages() []herdStage {
	half := lo.Filter(f.Hosts, func(_ *emulator.Host, i int) bool { return i%2 == 0 })
	return []herdStage{{"half", half}, {"domain", f.hostsIn(f.domains()[0])}, {"fleet", f.Hosts}}
}

func runHerd(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	slowest, peak, err := measureHerd(ctx, p, r, "", nil, nil)
	if err != nil {
		return err
	}
	r.Check("reconverge_s", slowest, bench.AtMost, maxConvergenceSeconds)
	r.Check("store_calls_peak_per_s", peak, bench.AtMost, maxStoreCallsPerSecond)
	if p.Baseline == "" {
		return nil
	}
	slowest, peak, err = measureHerd(ctx, p, r, "baseline_", disableBackoff, readFromStore)
	r.Set("baseline_reconverge_s", slowest)
	r.Set("baseline_store_calls_peak_per_s", peak)
	r.Note("baseline: constant waits between dials, no limit on handshakes, every node reads head and body from the store")
	return err
}

// disableBackoff removes jitter, backoff and the limit on handshakes.
func disableBackoff(o *node.Options) {
	o.Rand = func() float64 { return 0 }
	o.HandshakesPerSecond = unlimitedHandshakes
}

// measureHerd runs all stages and returns the longest time until convergence in
// seconds and the highest peak of store calls per second.
func measureHerd(ctx context.Context, p bench.Params, r *bench.Result, prefix string, configure func(*node.Options),
	afterStart func(context.Context, *faultMesh, []*emulator.Host),
) (slowest, highestPeak float64, err error) {
	f, err := startFaultMesh(ctx, p, configure)
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	for _, stage := range f.herdStages() {
		if err := bench.Sleep(ctx, stabilizeTime); err != nil {
			return 0, 0, err
		}
		seconds, peak, bytes, err := f.killAndRestart(ctx, stage.hosts, afterStart)
		if err != nil {
			return 0, 0, err
		}
		p.Logf("%s%s: %.2f s, peak %.0f store calls/s, %.0f bytes per node", prefix, stage.name, seconds, peak, bytes)
		r.Set(prefix+"reconverge_"+stage.name+"_s", seconds)
		r.Set(prefix+"store_calls_peak_"+stage.name+"_per_s", peak)
		r.Set(prefix+"bytes_per_node_"+stage.name, bytes)
		slowest, highestPeak = max(slowest, seconds), max(highestPeak, peak)
	}
	if prefix == "" {
		r.Check("versions_regressed", float64(f.activations.regressions()), bench.Equal, 0)
	}
	return slowest, highestPeak, nil
}

// killAndRestart kills the hosts, starts them immediately, and returns the seconds
// until convergence, the peak of store calls per second and the mean link bytes
// per node.
func (f *faultMesh) killAndRestart(ctx context.Context, hosts []*emulator.Host, afterStart func(context.Context, *faultMesh, []*emulator.Host)) (seconds, peak, bytes float64, err error) {
	before := f.trafficByHost()
	f.kill(hosts...)
	stopPeak := f.measureStorePeak()
	start := time.Now()
	if err = f.start(ctx, hosts...); err == nil {
		if afterStart != nil {
			afterStart(ctx, f, hosts)
		}
		seconds, err = f.waitConverged(ctx, start)
	}
	for h, b := range f.trafficByHost() {
		if !lo.ContainsBy(hosts, func(killed *emulator.Host) bool { return killed.ID == h }) {
			b -= before[h]
		}
		bytes += b / float64(len(f.Hosts))
	}
	return seconds, stopPeak(), bytes, err
}

// readFromStore makes every given host read the version from the store itself.
func readFromStore(ctx context.Context, f *faultMesh, hosts []*emulator.Host) {
	live := f.liveNodes()
	var all sync.WaitGroup
	for _, h := range hosts {
		all.Go(func() { _ = loadFromStore(ctx, f, live[h.ID], h.ID) })
	}
	all.Wait()
}

func loadFromStore(ctx context.Context, f *faultMesh, n *node.Node, h mesh.HostID) error {
	reader := authority.New(f.storeOf(h), authority.Options{})
	head, _, err := reader.Head(ctx)
	if err != nil {
		return err
	}
	v, err := reader.Load(ctx, head)
	if err != nil {
		return err
	}
	return n.Control().AcceptVersion(v)
}
