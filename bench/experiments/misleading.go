package experiments

import (
	"context"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "misleading",
		Summary:  "endpoints that hang, fail or report a false load (--baseline)",
		Defaults: bench.Params{Rate: 300, Duration: 12 * time.Second},
		Run:      runMisleading,
	})
}

const misleadingServiceTime = 10 * time.Millisecond

// badBehaviors are the behaviors of the first endpoints of the look-up service.
// The other endpoints are healthy.
var badBehaviors = []emulator.Behavior{
	{ServiceTime: misleadingServiceTime, HangRatio: 1},
	{ServiceTime: misleadingServiceTime, FailRatio: 0.5},
	// Slow, but reports that it is idle.
	{ServiceTime: 300 * time.Millisecond, ReportedLoad: 0.001},
}

type misleadingResult struct {
	okRatio float64
	p99     time.Duration
	// badShares are the shares of calls sent to bad endpoints per third of the run.
	badShares [3]float64
}

func measureMisleading(ctx context.Context, p bench.Params, o node.Options) (misleadingResult, error) {
	record := emulator.NewRecord(false)
	// With twice the hosts every failure domain has healthy endpoints.
	p.Nodes *= 2
	m, err := startMeshWithRecord(ctx, p, o, sameBehavior(emulator.Behavior{ServiceTime: misleadingServiceTime}), record)
	if err != nil {
		return misleadingResult{}, err
	}
	defer m.Close()
	servers := hostsOf(m, m.Config.Deployment.LookupService(), true)
	bad := map[mesh.EndpointID]bool{}
	for i, behavior := range badBehaviors {
		servers[i].Endpoint.SetBehavior(behavior)
		bad[servers[i].Endpoint.ID()] = true
	}
	c := caller{client: newClient(), hosts: m.Hosts, method: http.MethodGet, path: emulator.PathLookup, customer: emulator.CustomerPrimary}
	class := load.Class{Name: "lookups", Rate: p.Rate, MaxInFlight: maxInFlight, Send: c.send}
	var result misleadingResult
	var sent, ok float64
	for third := range result.badShares {
		before := countBadCalls(record, bad)
		total := float64(record.Count())
		stats := load.Run(ctx, p.Seed+uint64(third), load.Window{Length: p.Duration / 3}, class)["lookups"]
		result.badShares[third] = ratio(countBadCalls(record, bad)-before, float64(record.Count())-total)
		result.p99 = max(result.p99, stats.Quantile(99))
		sent += float64(stats.Sent)
		ok += float64(stats.Count(load.OK))
	}
	result.okRatio = ratio(ok, sent)
	return result, nil
}

func countBadCalls(record *emulator.Record, bad map[mesh.EndpointID]bool) float64 {
	n := 0
	for id, count := range record.ByEndpoint() {
		if bad[id] {
			n += count
		}
	}
	return float64(n)
}

func runMisleading(ctx context.Context, p bench.Params, r *bench.Result) error {
	result, err := measureMisleading(ctx, p, optionsWithout(p.DisabledMechanism))
	if err != nil {
		return err
	}
	r.Check("ok_ratio", result.okRatio, bench.AtLeast, 0.99)
	r.Set("p99_ms", milliseconds(result.p99))
	r.Set("bad_share_first_third", result.badShares[0])
	r.Set("bad_share_second_third", result.badShares[1])
	r.Set("bad_share_last_third", result.badShares[2])
	r.Note("3 of 10 endpoints are bad: one hangs, one fails half of its calls, one takes 300 ms and reports almost no load")
	if p.Baseline == "" {
		return nil
	}
	baseline, err := measureMisleading(ctx, p, baselineOptions())
	if err != nil {
		return err
	}
	r.Set("baseline_ok_ratio", baseline.okRatio)
	r.Set("baseline_p99_ms", milliseconds(baseline.p99))
	r.Set("baseline_bad_share_last_third", baseline.badShares[2])
	// Bad endpoints must get at most half the share of calls of the baseline.
	r.Check("bad_share_of_baseline", ratio(result.badShares[2], baseline.badShares[2]), bench.AtMost, 0.5)
	return nil
}
