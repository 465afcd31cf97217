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
		Name:     "flood-low",
		Summary:  "bulk calls at 5 times the capacity beside urgent calls (--baseline)",
		Defaults: bench.Params{Duration: 10 * time.Second},
		Run:      runFloodLow,
	})
	bench.Register(bench.Experiment{
		Name:     "flood-urgent",
		Summary:  "urgent calls at 5 times the capacity beside bulk calls (--baseline)",
		Defaults: bench.Params{Duration: 10 * time.Second},
		Run:      runFloodUrgent,
	})
}

const (
	// floodServiceTime keeps the capacity of the look-up service so low that one
	// machine can offer five times as much.
	floodServiceTime = 200 * time.Millisecond
	// floodLoadFactor is the offered load of the flooding rank as a multiple of the
	// capacity.
	floodLoadFactor = 5
	// urgentLoadFactor and bulkLoadFactor are the offered loads of the two ranks, as
	// fractions of the capacity, in runs in which they do not flood.
	urgentLoadFactor = 0.3
	bulkLoadFactor   = 0.5
	// warmUpTime is the time for which the load runs before it is measured, so that
	// the admission levels have taken effect.
	warmUpTime = 5 * time.Second
)

// startFloodMesh starts a mesh whose endpoints have a fixed service time.
func startFloodMesh(ctx context.Context, p bench.Params, o node.Options) (*emulator.Mesh, error) {
	return startMesh(ctx, p, o, sameBehavior(emulator.Behavior{ServiceTime: floodServiceTime}))
}

// floodClasses returns the urgent and the bulk class with the given rates in
// calls per second.
func floodClasses(m *emulator.Mesh, urgent, bulk float64) []load.Class {
	client := newClient()
	class := func(name, path string, customer mesh.CustomerID, rate float64) load.Class {
		c := caller{client: client, hosts: m.Hosts, method: http.MethodGet, path: path, customer: customer}
		return load.Class{Name: name, Rate: rate, MaxInFlight: maxInFlight, Send: c.send}
	}
	return []load.Class{
		class("urgent", emulator.PathLookup, emulator.CustomerPrimary, urgent),
		class("bulk", emulator.PathCount, emulator.CustomerSecondary, bulk),
	}
}

// measureFlood starts a mesh and measures the load after a warm-up. It returns
// the statistics by class and the capacity in calls per second.
func measureFlood(ctx context.Context, p bench.Params, o node.Options, urgentFactor, bulkFactor float64) (map[string]*load.Stats, float64, error) {
	m, err := startFloodMesh(ctx, p, o)
	if err != nil {
		return nil, 0, err
	}
	defer m.Close()
	capacityPerS := capacity(m, m.Config.Deployment.LookupService(), floodServiceTime)
	classes := floodClasses(m, urgentFactor*capacityPerS, bulkFactor*capacityPerS)
	return load.Run(ctx, p.Seed, load.Window{WarmUp: warmUpTime, Length: p.Duration}, classes...), capacityPerS, nil
}

func runFloodLow(ctx context.Context, p bench.Params, r *bench.Result) error {
	quiet, _, err := measureFlood(ctx, p, optionsWithout(p.DisabledMechanism), urgentLoadFactor, 0)
	if err != nil {
		return err
	}
	p.Logf("without the flood: urgent p99 %s", quiet["urgent"].Quantile(99))
	stats, capacityPerS, err := measureFlood(ctx, p, optionsWithout(p.DisabledMechanism), urgentLoadFactor, floodLoadFactor)
	if err != nil {
		return err
	}
	urgent, bulk := stats["urgent"], stats["bulk"]
	r.Check("urgent_ok_ratio", urgent.OKRatio(), bench.AtLeast, 0.999)
	r.Set("urgent_p99_ms_quiet", milliseconds(quiet["urgent"].Quantile(99)))
	r.Set("urgent_p99_ms", milliseconds(urgent.Quantile(99)))
	r.Check("urgent_p99_ratio", ratio(milliseconds(urgent.Quantile(99)), milliseconds(quiet["urgent"].Quantile(99))), bench.AtMost, 1.5)
	r.Check("goodput_ratio", (goodputPerSecond(urgent, p.Duration)+goodputPerSecond(bulk, p.Duration))/capacityPerS, bench.AtLeast, 0.95)
	r.Set("bulk_ok_per_s", goodputPerSecond(bulk, p.Duration))
	r.Set("capacity_per_s", capacityPerS)
	r.Check("wrong_answers", float64(urgent.Count(load.Wrong)+bulk.Count(load.Wrong)), bench.Equal, 0)
	r.Set("bulk_dropped_by_generator", float64(bulk.Dropped))
	if p.Baseline == "" {
		return nil
	}
	stats, capacityPerS, err = measureFlood(ctx, p, baselineOptions(), urgentLoadFactor, floodLoadFactor)
	if err != nil {
		return err
	}
	r.Set("baseline_urgent_ok_ratio", stats["urgent"].OKRatio())
	r.Set("baseline_urgent_p99_ms", milliseconds(stats["urgent"].Quantile(99)))
	r.Set("baseline_goodput_ratio", (goodputPerSecond(stats["urgent"], p.Duration)+goodputPerSecond(stats["bulk"], p.Duration))/capacityPerS)
	return nil
}

func runFloodUrgent(ctx context.Context, p bench.Params, r *bench.Result) error {
	stats, capacityPerS, err := measureFlood(ctx, p, optionsWithout(p.DisabledMechanism), floodLoadFactor, bulkLoadFactor)
	if err != nil {
		return err
	}
	const minBulkShare = 0.2 // other-share of the sample lists
	urgent, bulk := goodputPerSecond(stats["urgent"], p.Duration)/capacityPerS, goodputPerSecond(stats["bulk"], p.Duration)/capacityPerS
	r.Check("other_share", bulk, bench.AtLeast, minBulkShare)
	r.Check("urgent_goodput_of_rest", ratio(urgent, 1-bulk), bench.AtLeast, 0.95)
	r.Set("goodput_ratio", urgent+bulk)
	r.Set("urgent_p99_ms", milliseconds(stats["urgent"].Quantile(99)))
	r.Set("capacity_per_s", capacityPerS)
	r.Check("wrong_answers", float64(stats["urgent"].Count(load.Wrong)+stats["bulk"].Count(load.Wrong)), bench.Equal, 0)
	if p.Baseline == "" {
		return nil
	}
	stats, capacityPerS, err = measureFlood(ctx, p, baselineOptions(), floodLoadFactor, bulkLoadFactor)
	if err != nil {
		return err
	}
	r.Set("baseline_other_share", goodputPerSecond(stats["bulk"], p.Duration)/capacityPerS)
	r.Set("baseline_urgent_goodput", goodputPerSecond(stats["urgent"], p.Duration)/capacityPerS)
	return nil
}
