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
		Run:      converge,
	})
}

// settleTime is the time after the start of a mesh until links to seeds that the
// overlay does not need are closed.
const settleTime = 10 * time.Second

// startupLimit bounds the start of a mesh.
const startupLimit = 3 * time.Minute

func converge(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, startupLimit+settleTime+p.Duration+time.Duration(p.Changes)*limitConvergence*time.Second)
	defer cancel()
	d, err := emulator.NamedDeployment(p.Deployment)
	if err != nil {
		return err
	}
	a := newArrivals()
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
	if err := bench.Sleep(ctx, settleTime); err != nil {
		return err
	}
	quietFrom := measure(m)
	if err := bench.Sleep(ctx, p.Duration); err != nil {
		return err
	}
	quietTo := measure(m)
	delays, err := changeLoop(ctx, m, a, p)
	if err != nil {
		return err
	}
	reportConvergence(r, p, delays, between(quietFrom, quietTo, p.Nodes), between(quietTo, measure(m), p.Nodes))
	r.Check("versions_regressed", float64(a.regressions()), bench.Equal, 0)
	if p.Baseline != "" {
		return watchAll(ctx, p, d, r)
	}
	return nil
}

func reportConvergence(r *bench.Result, p bench.Params, delays []float64, quiet, busy spent) {
	r.Set("converge_p50_s", quantile(delays, 0.5))
	r.Set("converge_p99_s", quantile(delays, 0.99))
	r.Check("converge_max_s", quantile(delays, 1), bench.AtMost, limitConvergence)
	r.Check("control_bytes_per_node_per_s_quiet", quiet.bytesPerNodePerS, bench.AtMost, limitControlBytes)
	r.Check("control_bytes_per_s_busiest_node_quiet", quiet.mostBytesPerS, bench.AtMost, limitControlBytes)
	r.Set("control_bytes_per_node_per_s_changes", busy.bytesPerNodePerS)
	perChange := (busy.bytesPerNode - quiet.bytesPerNodePerS*busy.seconds) / float64(p.Changes)
	r.Set("control_bytes_per_change_per_node", perChange)
	r.Set("control_bytes_per_change_busiest_node", (busy.mostBytesPerS-quiet.mostBytesPerS)*busy.seconds/float64(p.Changes))
	// The stated number of changes a day on top of the quiet rate.
	r.Check("control_bytes_per_node_per_s", quiet.bytesPerNodePerS+perChange*changesPerDay/secondsPerDay, bench.AtMost, limitControlBytes)
	r.Set("store_calls_per_s_quiet", quiet.storeCallsPerS)
	r.Set("store_calls_per_s", busy.storeCallsPerS)
	r.Set("store_calls_per_change", (busy.storeCallsPerS-quiet.storeCallsPerS)*busy.seconds/float64(p.Changes))
	r.Check("cpu_core_percent_per_node", quiet.corePercentPerNode, bench.AtMost, limitControlCorePercent)
	r.Set("cpu_core_percent_per_node_changes", busy.corePercentPerNode)
	r.Check("rss_mb_per_node", residentMB()/float64(p.Nodes), bench.AtMost, limitMemory)
	r.Note("bytes count both directions of every link, WebSocket framing included, TCP and IP headers not")
}

const (
	changesPerDay = 1300.0
	secondsPerDay = 86400.0
)

// watchAll measures the baseline: every node holds a watch and reads each
// version itself.
func watchAll(ctx context.Context, p bench.Params, d emulator.Deployment, r *bench.Result) error {
	store := memory.New()
	writer := authority.New(store, authority.Options{})
	m := &emulator.Mesh{Config: emulator.MeshConfig{Deployment: d, Lists: d.SampleLists()}, Store: store, Authority: writer}
	if _, err := m.Apply(ctx, m.Config.Lists); err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	a := newArrivals()
	var watchers sync.WaitGroup
	for i := range p.Nodes {
		watchers.Go(func() { watchOne(watchCtx, store, a, hostID(i)) })
	}
	defer watchers.Wait()
	defer stop()
	if err := m.WaitUntil(ctx, "watchers not ready", func() bool { return a.have(1) >= p.Nodes }); err != nil {
		return err
	}
	quiet := store.Counts()
	before := measure(m)
	delays, err := changeLoop(ctx, m, a, p)
	if err != nil {
		return err
	}
	sort.Float64s(delays)
	r.Set("baseline_waiting_watches", float64(quiet.WaitingWatches))
	r.Set("baseline_store_calls_per_change", float64(measure(m).calls-before.calls)/float64(p.Changes))
	r.Set("baseline_converge_max_s", quantile(delays, 1))
	r.Note("baseline: every node watches the head and reads each body from the store, which answers without delay here")
	return nil
}

func watchOne(ctx context.Context, store kvstore.Store, a *arrivals, host mesh.HostID) {
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
