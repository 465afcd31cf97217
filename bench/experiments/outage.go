package experiments

import (
	"context"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
)

func init() {
	bench.Register(bench.Experiment{
		Name:    "outage",
		Summary: "the store is slow, then unavailable, while every host of a failure domain is replaced",
		Run:     runOutage,
	})
}

// slowStoreLatency is shorter than the timeout of the nodes' store calls, so that
// calls succeed late.
const slowStoreLatency = time.Second

// minStoreOutage is longer than the leases of watch holders, so that all of them
// expire before the store is available again.
const minStoreOutage = 20 * time.Second

func runOutage(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	f, err := startFaultMesh(ctx, p, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	accepted, err := f.applyChange(ctx)
	if err != nil {
		return err
	}
	if _, err := f.waitConverged(ctx, time.Now()); err != nil {
		return err
	}
	if err := f.runWarmUpLoad(ctx); err != nil {
		return err
	}
	stopVerifying := f.verifyPeriodically()
	l := f.startLoad(p.Seed + 1)
	longest, err := f.replaceDomain(ctx, l)
	calls := l.stop()
	stopVerifying()
	if err != nil {
		return err
	}
	lostVersions := lo.CountBy(f.RunningHosts(), func(h *emulator.Host) bool { return activeSequence(h.Node) < accepted.Sequence })
	f.Store.SetFaults(memory.Faults{})
	start := time.Now()
	id, err := f.applyChange(ctx)
	if err != nil {
		return err
	}
	r.Check("converge_after_outage_s", f.waitActive(ctx, f.liveNodes(), id.Sequence, start), bench.AtMost, maxConvergenceSeconds)
	r.Check("versions_lost", float64(lostVersions), bench.Equal, 0)
	calls.report(p, r)
	r.Set("hosts_replaced", float64(len(f.hostsIn(f.domains()[0]))))
	r.Set("replace_longest_s", longest)
	f.checkVersions(r)
	return nil
}

// replaceDomain crashes and replaces the hosts of the first failure domain one
// after the other, with the store slow for the first half and unavailable for the
// rest. It returns the longest time in seconds until the mesh had converged after
// a replacement.
func (f *faultMesh) replaceDomain(ctx context.Context, l *backgroundLoad) (longest float64, err error) {
	hosts := f.hostsIn(f.domains()[0])
	f.Store.SetFaults(memory.Faults{Latency: slowStoreLatency})
	var outageStart time.Time
	for i, h := range hosts {
		if i == (len(hosts)+1)/2 {
			f.Store.SetFaults(memory.Faults{Unavailable: true})
			outageStart = time.Now()
		}
		if err := f.divertCallers(ctx, l, []*emulator.Host{h}); err != nil {
			return 0, err
		}
		f.kill(h)
		start := time.Now()
		if err := f.start(ctx, h); err != nil {
			return 0, err
		}
		seconds, err := f.waitConvergedWithoutStore(ctx, start)
		if err != nil {
			return 0, err
		}
		longest = max(longest, seconds)
	}
	l.useEntriesOf(f.Hosts)
	return longest, bench.Sleep(ctx, minStoreOutage-time.Since(outageStart))
}
