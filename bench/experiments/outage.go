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
		Summary: "the store is slow, then dark, while every host of a failure domain is replaced",
		Run:     outage,
	})
}

// slowStore is shorter than the time after which nodes give a call up, so that
// calls succeed late.
const slowStore = time.Second

// darkLeast is longer than the leases of watch holders last, so that all of them
// are lost before the store comes back.
const darkLeast = 20 * time.Second

func outage(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	f, err := startFaultMesh(ctx, p, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	accepted, err := f.apply(ctx)
	if err != nil {
		return err
	}
	if _, err := f.converged(ctx, time.Now()); err != nil {
		return err
	}
	if err := f.warm(ctx); err != nil {
		return err
	}
	stopVersions := f.watchVersions()
	l := f.startLoad(p.Seed + 1)
	longest, err := f.replaceDomain(ctx, l)
	calls := l.stop()
	stopVersions()
	if err != nil {
		return err
	}
	lost := lo.CountBy(f.Running(), func(h *emulator.Host) bool { return sequenceOf(h.Node) < accepted.Sequence })
	f.Store.SetFaults(memory.Faults{})
	start := time.Now()
	id, err := f.apply(ctx)
	if err != nil {
		return err
	}
	r.Check("converge_after_outage_s", f.holding(ctx, f.liveNodes(), id.Sequence, start), bench.AtMost, limitConvergence)
	r.Check("versions_lost", float64(lost), bench.Equal, 0)
	calls.report(p, r)
	r.Set("hosts_replaced", float64(len(f.hostsIn(f.domains()[0]))))
	r.Set("replace_longest_s", longest)
	f.checkVersions(r)
	return nil
}

// replaceDomain crashes and replaces the hosts of the first failure domain one
// after the other, with the store slow for the first half and dark for the rest.
// It returns the longest time until a replaced host was in step.
func (f *faultMesh) replaceDomain(ctx context.Context, l *sideLoad) (longest float64, err error) {
	hosts := f.hostsIn(f.domains()[0])
	f.Store.SetFaults(memory.Faults{Latency: slowStore})
	var dark time.Time
	for i, h := range hosts {
		if i == (len(hosts)+1)/2 {
			f.Store.SetFaults(memory.Faults{Unavailable: true})
			dark = time.Now()
		}
		if err := f.avoid(ctx, l, []*emulator.Host{h}); err != nil {
			return 0, err
		}
		f.kill(h)
		start := time.Now()
		if err := f.start(ctx, h); err != nil {
			return 0, err
		}
		seconds, err := f.convergedWithoutStore(ctx, start)
		if err != nil {
			return 0, err
		}
		longest = max(longest, seconds)
	}
	l.use(f.Hosts)
	return longest, bench.Sleep(ctx, darkLeast-time.Since(dark))
}
