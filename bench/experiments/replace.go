package experiments

import (
	"context"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func init() {
	bench.Register(bench.Experiment{
		Name:    "replace-all",
		Summary: "every host is replaced under load, one of each failure domain at a time",
		Run:     runReplaceAll,
	})
}

func runReplaceAll(ctx context.Context, p bench.Params, r *bench.Result) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	f, err := startWarmMesh(ctx, p)
	if err != nil {
		return err
	}
	defer f.Close()
	stopVerifying := f.verifyPeriodically()
	accepted, err := f.applyChange(ctx)
	if err != nil {
		return err
	}
	l := f.startLoad(p.Seed + 1)
	begin := time.Now()
	longest, err := f.replaceInRounds(ctx, l)
	calls := l.stop()
	stopVerifying()
	if err != nil {
		return err
	}
	lostVersions := lo.CountBy(f.RunningHosts(), func(h *emulator.Host) bool { return activeSequence(h.Node) < accepted.Sequence })
	r.Check("reconverge_s", longest, bench.AtMost, maxConvergenceSeconds)
	r.Check("versions_lost", float64(lostVersions), bench.Equal, 0)
	calls.report(p, r)
	r.Set("hosts_replaced", float64(len(f.Hosts)))
	r.Set("replace_s", time.Since(begin).Seconds())
	f.checkVersions(r)
	return nil
}

// replaceInRounds shuts down one host of each failure domain at a time and starts
// it again with empty state, until all are replaced. It returns the longest time
// in seconds from a start until the mesh had converged.
func (f *faultMesh) replaceInRounds(ctx context.Context, l *backgroundLoad) (longest float64, err error) {
	for _, round := range f.replacementRounds() {
		if err := f.divertCallers(ctx, l, round); err != nil {
			return 0, err
		}
		if err := f.stop(ctx, round...); err != nil {
			return 0, err
		}
		start := time.Now()
		if err := f.start(ctx, round...); err != nil {
			return 0, err
		}
		seconds, err := f.waitConverged(ctx, start)
		if err != nil {
			return 0, err
		}
		longest = max(longest, seconds)
	}
	l.useEntriesOf(f.Hosts)
	return longest, nil
}

// replacementRounds divides the hosts into rounds with at most one host of each
// failure domain.
func (f *faultMesh) replacementRounds() [][]*emulator.Host {
	var rounds [][]*emulator.Host
	countByDomain := map[mesh.FailureDomain]int{}
	for _, h := range f.Hosts {
		n := countByDomain[h.Domain]
		countByDomain[h.Domain]++
		if n == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[n] = append(rounds[n], h)
	}
	return rounds
}
