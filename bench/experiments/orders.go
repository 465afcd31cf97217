package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "orders",
		Summary:  "idempotency keys sent two to five times to random nodes, with faults of store, nodes and endpoints",
		Defaults: bench.Params{Rate: 50, Duration: 20 * time.Second},
		Run:      runOrders,
	})
}

const (
	// maxSendsPerKey is the largest number of times that a key is sent.
	maxSendsPerKey = 5
	// sendSpread is the time within which all sends of a key are made.
	sendSpread = 1500 * time.Millisecond
	// faultInterval is the time between two faults of the schedule.
	faultInterval = 1500 * time.Millisecond
)

// orderStats sends keyed calls and counts their responses.
type orderStats struct {
	mu sync.Mutex
	// notExecuted are the root calls that were rejected as not_executed.
	notExecuted   []mesh.CallID
	first         orderCounts
	clientRetries orderCounts
}

// orderCounts counts the responses to the first sends or to the client retries.
type orderCounts struct {
	sent atomic.Int64
	ok   atomic.Int64
	// unknown counts the responses that state neither not_executed nor
	// already_executed.
	unknown atomic.Int64
	// replayed counts the stored responses that were returned, alreadyExecuted the
	// rejections as already_executed.
	replayed, alreadyExecuted atomic.Int64

	mu sync.Mutex
	// reasons counts the unknown responses by reason.
	reasons map[string]float64
}

func (c *orderCounts) duplicatesAnswered() int64 { return c.replayed.Load() + c.alreadyExecuted.Load() }

func (c *orderCounts) unknownRatio() float64 {
	return ratio(float64(c.unknown.Load()), float64(c.sent.Load()))
}

func runOrders(ctx context.Context, p bench.Params, r *bench.Result) error {
	record := emulator.NewRecord(false)
	m, err := startMeshWithRecord(ctx, p, optionsWithout(p.DisabledMechanism), sameBehavior(emulator.Behavior{
		ServiceTime: 20 * time.Millisecond, CrashRatio: 0.05, ShedRatio: 0.1, TruncateRatio: 0.02, WrongCallIDRatio: 0.02,
	}), record)
	if err != nil {
		return err
	}
	defer m.Close()
	faultsCtx, stopFaults := context.WithCancel(ctx)
	var faults sync.WaitGroup
	injected := map[string]int{}
	faults.Go(func() { injectOrderFaults(faultsCtx, m, p.Seed, injected) })
	stats := &orderStats{}
	before := m.Store.Counts()
	sendOrders(ctx, p, m, stats)
	elapsed := p.Duration.Seconds()
	writes := float64(m.Store.Counts().Writes()-before.Writes()) / elapsed
	stopFaults()
	faults.Wait()
	reportOrders(r, p, record, stats, writes)
	for name, n := range injected {
		r.Set("faults_"+name, float64(n))
	}
	return nil
}

func reportOrders(r *bench.Result, p bench.Params, record *emulator.Record, stats *orderStats, writes float64) {
	maxExecutions, executions := 0, record.ByKey()
	for _, n := range executions {
		maxExecutions = max(maxExecutions, n)
	}
	byRoot, executedAfterRejection := record.ByRoot(), 0
	for _, id := range stats.notExecuted {
		if byRoot[id] > 0 {
			executedAfterRejection++
		}
	}
	r.Check("max_runs_per_key", float64(maxExecutions), bench.Equal, 1)
	r.Check("not_run_but_ran", float64(executedAfterRejection), bench.Equal, 0)
	r.Set("keys_executed", float64(len(executions)))
	sent := stats.first.sent.Load() + stats.clientRetries.sent.Load()
	alreadyExecuted := stats.first.alreadyExecuted.Load() + stats.clientRetries.alreadyExecuted.Load()
	unknown := stats.first.unknown.Load() + stats.clientRetries.unknown.Load() + alreadyExecuted
	r.Set("requests", float64(sent))
	r.Set("requests_ok", float64(stats.first.ok.Load()+stats.clientRetries.ok.Load()))
	r.Set("requests_not_executed", float64(len(stats.notExecuted)))
	r.Set("unknown_ratio", ratio(float64(unknown), float64(sent)))
	stats.first.report(r, "first")
	stats.clientRetries.report(r, "repeats")
	r.Set("repeats_answered_ratio", ratio(float64(stats.clientRetries.duplicatesAnswered()), float64(stats.clientRetries.sent.Load())))
	r.Set("store_writes_per_s", writes)
	r.Note("%.0f keys/s, each sent 2 to %d times within %s; unknown_ratio counts every response that does not state not_executed, including already_executed and duplicates of a call in progress; unknown_ratio_first and unknown_ratio_repeats leave already_executed out; repeats_answered_ratio counts stored responses and already_executed", p.Rate, maxSendsPerKey, sendSpread)
}

func sendOrders(ctx context.Context, p bench.Params, m *emulator.Mesh, stats *orderStats) {
	client := newClient()
	random := rand.New(rand.NewPCG(p.Seed, 7))
	var mu sync.Mutex
	randomInt := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	load.Run(ctx, p.Seed, load.Window{Length: p.Duration}, load.Class{Name: "orders", Rate: p.Rate, MaxInFlight: maxInFlight, Send: func(ctx context.Context, n int) load.Result {
		issued := strconv.FormatInt(time.Now().Unix(), 10)
		var sends sync.WaitGroup
		delays := lo.Times(2+randomInt(maxSendsPerKey-1), func(int) time.Duration { return time.Duration(randomInt(int(sendSpread))) })
		slices.Sort(delays)
		for i, delay := range delays {
			host := m.Hosts[randomInt(len(m.Hosts))]
			counts := &stats.clientRetries
			if i == 0 {
				counts = &stats.first
			}
			sends.Go(func() {
				if bench.Sleep(ctx, delay) == nil {
					stats.send(ctx, client, host, counts, fmt.Sprintf("key-%d", n), issued)
				}
			})
		}
		sends.Wait()
		return load.OK
	}})
}

func (s *orderStats) send(ctx context.Context, client *http.Client, host *emulator.Host, counts *orderCounts, key, issued string) {
	r, err := host.NewRequest(ctx, http.MethodPost, emulator.PathOrder, emulator.CustomerPrimary)
	if err != nil {
		return
	}
	r.Header.Set(mesh.HeaderIdempotencyKey, key)
	r.Header.Set(mesh.HeaderIssuedAt, issued)
	r.Header.Set(emulator.HeaderEcho, key)
	counts.sent.Add(1)
	var header http.Header
	result := caller{client: &http.Client{Transport: headerRecorder{client.Transport, &header}}}.exchange(r, key)
	counts.add(result, header)
	if result == load.NotExecuted {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notExecuted = append(s.notExecuted, mesh.CallID(header.Get(mesh.HeaderCall)))
	}
}

func (c *orderCounts) add(result load.Result, header http.Header) {
	switch {
	case result == load.OK:
		c.ok.Add(1)
		if header.Get(mesh.HeaderReplayed) != "" {
			c.replayed.Add(1)
		}
	case header.Get(mesh.HeaderReason) == string(mesh.ReasonAlreadyExecuted):
		c.alreadyExecuted.Add(1)
	case result != load.NotExecuted:
		c.unknown.Add(1)
		c.countReason(lo.CoalesceOrEmpty(header.Get(mesh.HeaderReason), "no_answer"))
	}
}

func (c *orderCounts) countReason(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reasons == nil {
		c.reasons = map[string]float64{}
	}
	c.reasons[reason]++
}

func (c *orderCounts) report(r *bench.Result, group string) {
	r.Set("unknown_ratio_"+group, c.unknownRatio())
	for reason, n := range c.reasons {
		r.Set("unknown_"+group+"_"+reason, n)
	}
}

// headerRecorder stores the header of a response.
type headerRecorder struct {
	http.RoundTripper
	header *http.Header
}

func (o headerRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := o.RoundTripper.RoundTrip(r)
	if err == nil {
		*o.header = resp.Header
	}
	return resp, err
}

// injectOrderFaults injects one fault after the other until the context ends.
func injectOrderFaults(ctx context.Context, m *emulator.Mesh, seed uint64, injected map[string]int) {
	random := rand.New(rand.NewPCG(seed, 11))
	for bench.Sleep(ctx, faultInterval) == nil {
		switch random.IntN(5) {
		case 0:
			injected["lost_answers"]++
			m.Store.LoseNextResponses(5 + random.IntN(20))
		case 1:
			injected["store_dark"]++
			m.SetStoreUnavailable(true)
			_ = bench.Sleep(ctx, faultInterval/2)
			m.SetStoreUnavailable(false)
		case 2:
			injected["delayed_writes"]++
			m.Store.DelayNextWrites(5, 300*time.Millisecond)
		case 3:
			injected["leases_lapsed"]++
			m.Store.ExpireLeases()
		case 4:
			injected["node_killed"]++
			h := m.Hosts[random.IntN(len(m.Hosts))]
			m.KillHost(h)
			_ = bench.Sleep(ctx, faultInterval/2)
			if err := m.StartHost(context.Background(), h); err != nil {
				injected["node_not_restarted"]++
			}
		}
	}
	m.Store.UpdateFaults(func(f *memory.Faults) { *f = memory.Faults{} })
}
