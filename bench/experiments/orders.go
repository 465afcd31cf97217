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
		Summary:  "idempotency keys sent two to five times at random nodes, with faults of store, nodes and endpoints",
		Defaults: bench.Params{Rate: 50, Duration: 20 * time.Second},
		Run:      orders,
	})
}

const (
	// orderRepeats is the largest number of times that a key is sent.
	orderRepeats = 5
	// orderSpread is the time within which the repeats of a key are sent.
	orderSpread = 1500 * time.Millisecond
	// faultInterval is the time between two faults of the schedule.
	faultInterval = 1500 * time.Millisecond
)

// orderBook collects what callers were told about their keys.
type orderBook struct {
	mu sync.Mutex
	// refused are the root calls whose refusal said not_executed.
	refused []mesh.CallID
	first   orderCounts
	repeats orderCounts
}

// orderCounts counts the answers to first sends or to repeats.
type orderCounts struct {
	sent atomic.Int64
	ok   atomic.Int64
	// unknown are answers that state neither not_executed nor already_executed.
	unknown atomic.Int64
	// replayed are kept answers, already refusals as already_executed.
	replayed, already atomic.Int64

	mu sync.Mutex
	// reasons counts the unknown answers by reason.
	reasons map[string]float64
}

func (c *orderCounts) answered() int64 { return c.replayed.Load() + c.already.Load() }

func (c *orderCounts) unknownRatio() float64 {
	return ratio(float64(c.unknown.Load()), float64(c.sent.Load()))
}

func orders(ctx context.Context, p bench.Params, r *bench.Result) error {
	record := emulator.NewRecord(false)
	m, err := startRecorded(ctx, p, optionsWithout(p.Without), allBehave(emulator.Behavior{
		ServiceTime: 20 * time.Millisecond, CrashRatio: 0.05, ShedRatio: 0.1, TruncateRatio: 0.02, CrossRatio: 0.02,
	}), record)
	if err != nil {
		return err
	}
	defer m.Close()
	faultsCtx, stopFaults := context.WithCancel(ctx)
	var faults sync.WaitGroup
	injected := map[string]int{}
	faults.Go(func() { orderFaults(faultsCtx, m, p.Seed, injected) })
	book := &orderBook{}
	before := m.Store.Counts()
	sendOrders(ctx, p, m, book)
	elapsed := p.Duration.Seconds()
	writes := float64(m.Store.Counts().Writes()-before.Writes()) / elapsed
	stopFaults()
	faults.Wait()
	reportOrders(r, p, record, book, writes)
	for name, n := range injected {
		r.Set("faults_"+name, float64(n))
	}
	return nil
}

func reportOrders(r *bench.Result, p bench.Params, record *emulator.Record, book *orderBook, writes float64) {
	most, executed := 0, record.ByKey()
	for _, runs := range executed {
		most = max(most, runs)
	}
	byRoot, ranAfterRefusal := record.ByRoot(), 0
	for _, id := range book.refused {
		if byRoot[id] > 0 {
			ranAfterRefusal++
		}
	}
	r.Check("max_runs_per_key", float64(most), bench.Equal, 1)
	r.Check("not_run_but_ran", float64(ranAfterRefusal), bench.Equal, 0)
	r.Set("keys_executed", float64(len(executed)))
	sent := book.first.sent.Load() + book.repeats.sent.Load()
	already := book.first.already.Load() + book.repeats.already.Load()
	unknown := book.first.unknown.Load() + book.repeats.unknown.Load() + already
	r.Set("requests", float64(sent))
	r.Set("requests_ok", float64(book.first.ok.Load()+book.repeats.ok.Load()))
	r.Set("requests_not_executed", float64(len(book.refused)))
	r.Set("unknown_ratio", ratio(float64(unknown), float64(sent)))
	book.first.report(r, "first")
	book.repeats.report(r, "repeats")
	r.Set("repeats_answered_ratio", ratio(float64(book.repeats.answered()), float64(book.repeats.sent.Load())))
	r.Set("store_writes_per_s", writes)
	r.Note("%.0f keys/s, each sent 2 to %d times within %s; unknown_ratio counts every answer that does not state not_executed, already_executed and repeats in progress included; unknown_ratio_first and unknown_ratio_repeats leave already_executed out; repeats_answered are kept answers and already_executed", p.Rate, orderRepeats, orderSpread)
}

func sendOrders(ctx context.Context, p bench.Params, m *emulator.Mesh, book *orderBook) {
	client := newClient()
	random := rand.New(rand.NewPCG(p.Seed, 7))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	load.Run(ctx, p.Seed, load.Window{Length: p.Duration}, load.Class{Name: "orders", Rate: p.Rate, MaxInFlight: maxInFlight, Send: func(ctx context.Context, n int) load.Verdict {
		issued := strconv.FormatInt(time.Now().Unix(), 10)
		var taps sync.WaitGroup
		waits := lo.Times(2+draw(orderRepeats-1), func(int) time.Duration { return time.Duration(draw(int(orderSpread))) })
		slices.Sort(waits)
		for i, wait := range waits {
			host := m.Hosts[draw(len(m.Hosts))]
			counts := &book.repeats
			if i == 0 {
				counts = &book.first
			}
			taps.Go(func() {
				if bench.Sleep(ctx, wait) == nil {
					book.send(ctx, client, host, counts, fmt.Sprintf("key-%d", n), issued)
				}
			})
		}
		taps.Wait()
		return load.OK
	}})
}

func (b *orderBook) send(ctx context.Context, client *http.Client, host *emulator.Host, counts *orderCounts, key, issued string) {
	r, err := host.NewCall(ctx, http.MethodPost, emulator.PathOrder, emulator.CustomerPrimary)
	if err != nil {
		return
	}
	r.Header.Set(mesh.HeaderKey, key)
	r.Header.Set(mesh.HeaderIssuedAt, issued)
	r.Header.Set(emulator.HeaderEcho, key)
	counts.sent.Add(1)
	var header http.Header
	verdict := caller{client: &http.Client{Transport: observer{client.Transport, &header}}}.exchange(r, key)
	counts.add(verdict, header)
	if verdict == load.NotExecuted {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.refused = append(b.refused, mesh.CallID(header.Get(mesh.HeaderCall)))
	}
}

func (c *orderCounts) add(verdict load.Verdict, header http.Header) {
	switch {
	case verdict == load.OK:
		c.ok.Add(1)
		if header.Get(mesh.HeaderReplayed) != "" {
			c.replayed.Add(1)
		}
	case header.Get(mesh.HeaderReason) == string(mesh.ReasonAlreadyExecuted):
		c.already.Add(1)
	case verdict != load.NotExecuted:
		c.unknown.Add(1)
		c.note(lo.CoalesceOrEmpty(header.Get(mesh.HeaderReason), "no_answer"))
	}
}

func (c *orderCounts) note(reason string) {
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

// observer notes the header of a response.
type observer struct {
	http.RoundTripper
	header *http.Header
}

func (o observer) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := o.RoundTripper.RoundTrip(r)
	if err == nil {
		*o.header = resp.Header
	}
	return resp, err
}

// orderFaults injects one fault after the other until the context ends.
func orderFaults(ctx context.Context, m *emulator.Mesh, seed uint64, injected map[string]int) {
	random := rand.New(rand.NewPCG(seed, 11))
	for bench.Sleep(ctx, faultInterval) == nil {
		switch random.IntN(5) {
		case 0:
			injected["lost_answers"]++
			m.Store.LoseNextAnswers(5 + random.IntN(20))
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
			m.Store.LapseLeases()
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
