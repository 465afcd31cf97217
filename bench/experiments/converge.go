package experiments

import (
	"context"
	"sort"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "converge",
		Summary:  "time, bytes and store calls for changes to reach every node (--baseline watch-all)",
		Defaults: bench.Params{Nodes: 11, Domains: 3, Changes: 20, Duration: 10 * time.Second},
		Run:      runConverge,
	})
}

// seedLinkCloseTime is the time from the start of a mesh until the nodes have
// closed the links to seeds that the overlay does not need.
const seedLinkCloseTime = 10 * time.Second

// startupTimeout bounds the start of a mesh.
const startupTimeout = 3 * time.Minute

func runConverge(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout+seedLinkCloseTime+p.Duration+time.Duration(p.Changes)*maxConvergenceSeconds*time.Second)
	defer cancel()
	d, err := emulator.NamedDeployment(p.Deployment)
	if err != nil {
		return err
	}
	a := newActivations()
	begin := time.Now()
	m, err := emulator.StartMesh(ctx, emulator.MeshConfig{
		Deployment: d, Nodes: p.Nodes, Domains: p.Domains, OnVersion: a.record, Seed: p.Seed,
	})
	if err != nil {
		return err
	}
	defer m.Close()
	r.Set("start_s", time.Since(begin).Seconds())
	p.Logf("%d nodes ready after %.1f s", p.Nodes, time.Since(begin).Seconds())
	if err := bench.Sleep(ctx, seedLinkCloseTime); err != nil {
		return err
	}
	quietFrom := readUsage(m)
	if err := bench.Sleep(ctx, p.Duration); err != nil {
		return err
	}
	quietTo := readUsage(m)
	delays, err := measureChanges(ctx, m, a, p)
	if err != nil {
		return err
	}
	reportConvergence(r, p, delays, ratesBetween(quietFrom, quietTo, p.Nodes), ratesBetween(quietTo, readUsage(m), p.Nodes))
	r.Check("versions_regressed", float64(a.regressions()), bench.Equal, 0)
	if p.Baseline != "" {
		return watchAll(ctx, p, d, r)
	}
	return nil
}

func reportConvergence(r *bench.Result, p bench.Params, delays []float64, quiet, loaded usageRates) {
	r.Set("converge_p50_s", quantile(delays, 0.5))
	r.Set("converge_p99_s", quantile(delays, 0.99))
	r.Check("converge_max_s", quantile(delays, 1), bench.AtMost, maxConvergenceSeconds)
	r.Check("control_bytes_per_node_per_s_quiet", quiet.bytesPerNodePerS, bench.AtMost, maxControlBytesPerSecond)
	r.Check("control_bytes_per_s_busiest_node_quiet", quiet.maxBytesPerS, bench.AtMost, maxControlBytesPerSecond)
	r.Set("control_bytes_per_node_per_s_changes", loaded.bytesPerNodePerS)
	perChange := (loaded.bytesPerNode - quiet.bytesPerNodePerS*loaded.seconds) / float64(p.Changes)
	r.Set("control_bytes_per_change_per_node", perChange)
	r.Set("control_bytes_per_change_busiest_node", (loaded.maxBytesPerS-quiet.maxBytesPerS)*loaded.seconds/float64(p.Changes))
	// The rate without changes plus the bytes of changesPerDay spread over a day.
	r.Check("control_bytes_per_node_per_s", quiet.bytesPerNodePerS+perChange*changesPerDay/secondsPerDay, bench.AtMost, maxControlBytesPerSecond)
	r.Set("store_calls_per_s_quiet", quiet.storeCallsPerS)
	r.Set("store_calls_per_s", loaded.storeCallsPerS)
	r.Set("store_calls_per_change", (loaded.storeCallsPerS-quiet.storeCallsPerS)*loaded.seconds/float64(p.Changes))
	r.Check("cpu_core_percent_per_node", quiet.corePercentPerNode, bench.AtMost, maxControlCorePercent)
	r.Set("cpu_core_percent_per_node_changes", loaded.corePercentPerNode)
	r.Check("rss_mb_per_node", residentMB()/float64(p.Nodes), bench.AtMost, maxMemoryMB)
	r.Note("bytes count both directions of every link, with WebSocket framing and without TCP and IP headers")
}

const (
	// changesPerDay is the stated number of changes a day.
	changesPerDay = 1300.0
	secondsPerDay = 86400.0
)

// watchAll measures the baseline: every node watches the store and reads each
// version from it.
func watchAll(ctx context.Context, p bench.Params, d emulator.Deployment, r *bench.Result) error {
	store := memory.New()
	writer := authority.New(store, authority.Options{})
	m := &emulator.Mesh{Config: emulator.MeshConfig{Deployment: d, Lists: d.SampleLists()}, Store: store, Authority: writer}
	if _, err := m.ApplyLists(ctx, m.Config.Lists); err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	a := newActivations()
	var watchers sync.WaitGroup
	for i := range p.Nodes {
		watchers.Go(func() { watchOne(watchCtx, store, a, hostID(i)) })
	}
	defer watchers.Wait()
	defer stop()
	if err := m.WaitUntil(ctx, "watchers not ready", func() bool { return a.hostsWith(1) >= p.Nodes }); err != nil {
		return err
	}
	quiet := store.Counts()
	before := readUsage(m)
	delays, err := measureChanges(ctx, m, a, p)
	if err != nil {
		return err
	}
	sort.Float64s(delays)
	r.Set("baseline_waiting_watches", float64(quiet.WaitingWatches))
	r.Set("baseline_store_calls_per_change", float64(readUsage(m).storeCalls-before.storeCalls)/float64(p.Changes))
	r.Set("baseline_converge_max_s", quantile(delays, 1))
	r.Note("baseline: every node watches the head and reads each body from the store, which responds without delay here")
	return nil
}

func watchOne(ctx context.Context, store kvstore.Store, a *activations, host mesh.HostID) {
	reader := authority.New(store, authority.Options{})
	var revision kvstore.Revision
	for {
		head, seen, err := reader.WatchHead(ctx, revision)
		if err != nil {
			return
		}
		revision = seen
		if v, err := reader.Load(ctx, head); err == nil {
			a.record(host, v, time.Now())
		}
	}
}
