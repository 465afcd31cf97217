package experiments

import (
	"context"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "answers",
		Summary:  "endpoints that truncate, swap or delay responses, hang or crash, and cancelled calls",
		Defaults: bench.Params{Rate: 400, Duration: 8 * time.Second},
		Run:      runAnswers,
	})
}

// runAnswers counts the responses that a caller accepts although they are
// incomplete or belong to another call.
func runAnswers(ctx context.Context, p bench.Params, r *bench.Result) error {
	m, err := startMesh(ctx, p, optionsWithout(p.DisabledMechanism), sameBehavior(emulator.Behavior{
		ServiceTime: 20 * time.Millisecond, ServiceTimeSpread: 1,
		TruncateRatio: 0.05, WrongCallIDRatio: 0.05, CrashRatio: 0.02, HangRatio: 0.01,
	}))
	if err != nil {
		return err
	}
	defer m.Close()
	client := newClient()
	repeatable := caller{client: client, hosts: m.Hosts, method: http.MethodGet, path: emulator.PathLookup, customer: emulator.CustomerPrimary}
	atMostOnce := caller{client: client, hosts: m.Hosts, method: http.MethodPost, path: emulator.PathChain + "/0", customer: emulator.CustomerSecondary}
	cancelled := repeatable
	cancelled.path = emulator.PathCount
	stats := load.Run(ctx, p.Seed, load.Window{Length: p.Duration},
		load.Class{Name: "repeatable", Rate: p.Rate, MaxInFlight: maxInFlight, Send: repeatable.send},
		load.Class{Name: "once", Rate: p.Rate / 2, MaxInFlight: maxInFlight, Send: atMostOnce.send},
		load.Class{Name: "cancelled", Rate: p.Rate / 2, MaxInFlight: maxInFlight, Send: func(ctx context.Context, n int) load.Result {
			// A late response to a cancelled call must not reach a later call.
			ctx, cancel := context.WithTimeout(ctx, time.Duration(n%30)*time.Millisecond)
			defer cancel()
			return cancelled.send(ctx, n)
		}})
	wrong, sent := 0.0, 0.0
	for name, s := range stats {
		wrong += float64(s.Count(load.Wrong))
		sent += float64(s.Sent)
		r.Set("ok_ratio_"+name, s.OKRatio())
	}
	r.Check("wrong_answers", wrong, bench.Equal, 0)
	r.Set("calls", sent)
	return nil
}
