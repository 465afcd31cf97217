package experiments

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "latency",
		Summary:  "latency that two nodes add to a call, compared with direct calls in the same run",
		Defaults: bench.Params{Rate: 500, Duration: 10 * time.Second},
		Run:      runLatency,
	})
}

const maxAddedLatencyMs = 1.1 // 99th percentile

// latencyServiceTime is the service time of the calls whose latency is compared.
const latencyServiceTime = 2 * time.Millisecond

func runLatency(ctx context.Context, p bench.Params, r *bench.Result) error {
	m, err := startMesh(ctx, p, optionsWithout(p.DisabledMechanism), sameBehavior(emulator.Behavior{ServiceTime: latencyServiceTime}))
	if err != nil {
		return err
	}
	defer m.Close()
	client := newClient()
	through := caller{client: client, hosts: hostsOf(m, m.Config.Deployment.LookupService(), false), method: http.MethodGet, path: emulator.PathLookup, customer: emulator.CustomerPrimary}
	servers := hostsOf(m, m.Config.Deployment.LookupService(), true)
	classes := []load.Class{
		{Name: "through", Rate: p.Rate, MaxInFlight: maxInFlight, Send: through.send},
		{Name: "direct", Rate: p.Rate, MaxInFlight: maxInFlight, Send: directSender(client, servers)},
	}
	// The warm-up fills the connection pools.
	stats := load.Run(ctx, p.Seed, load.Window{WarmUp: time.Second, Length: p.Duration}, classes...)
	throughStats, directStats := stats["through"], stats["direct"]
	r.Set("direct_p50_ms", milliseconds(directStats.Quantile(50)))
	r.Set("direct_p99_ms", milliseconds(directStats.Quantile(99)))
	r.Set("through_p50_ms", milliseconds(throughStats.Quantile(50)))
	r.Set("through_p99_ms", milliseconds(throughStats.Quantile(99)))
	r.Set("added_p50_ms", milliseconds(throughStats.Quantile(50)-directStats.Quantile(50)))
	r.Check("added_p99_ms", milliseconds(throughStats.Quantile(99)-directStats.Quantile(99)), bench.AtMost, maxAddedLatencyMs)
	r.Check("ok_ratio", throughStats.OKRatio(), bench.AtLeast, 0.999)
	r.Note("load %.0f calls/s through two nodes and %.0f direct at the same time, %s, service time %s", p.Rate, p.Rate, p.Duration, latencyServiceTime)
	for _, h := range m.Hosts {
		h.Endpoint.SetBehavior(emulator.Behavior{})
	}
	measureThroughput(ctx, p, r, through)
	return nil
}

func directSender(client *http.Client, servers []*emulator.Host) load.Sender {
	return func(ctx context.Context, n int) load.Result {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+servers[n%len(servers)].Endpoint.Address()+"/", nil)
		if err != nil {
			return load.Unknown
		}
		r.Header.Set(emulator.HeaderEcho, "direct")
		return caller{client: client}.exchange(r, "direct")
	}
}

// measureThroughput keeps a fixed number of calls in flight and divides the
// successful calls by the CPU time of the whole process: clients, two nodes and
// endpoint.
func measureThroughput(ctx context.Context, p bench.Params, r *bench.Result, c caller) {
	const inFlight = 64
	var okCalls atomic.Int64
	var workers sync.WaitGroup
	before := cpuTime()
	start := time.Now()
	for i := range inFlight {
		workers.Go(func() {
			for n := i; time.Since(start) < p.Duration/2; n += inFlight {
				if c.send(ctx, n) == load.OK {
					okCalls.Add(1)
				}
			}
		})
	}
	workers.Wait()
	r.Set("calls_per_s", float64(okCalls.Load())/time.Since(start).Seconds())
	r.Set("calls_per_s_per_core", float64(okCalls.Load())/(cpuTime()-before).Seconds())
	r.Note("calls_per_s_per_core counts the CPU time of clients, two nodes and endpoint together; GOMAXPROCS %d", runtime.GOMAXPROCS(0))
}

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
