package experiments

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// maxFailedRatio bounds the share of failed calls within each side of a cut.
	maxFailedRatio = 0.001
	// backgroundRate is the load of the whole mesh in calls per second.
	backgroundRate  = 300.0
	maxLoadDuration = 5 * time.Minute
	callTimeout     = 5 * time.Second
	// callDrainTime is the time that calls through an entry address have to end
	// after callers stopped using it.
	callDrainTime = 100 * time.Millisecond
)

// backgroundLoad sends look-ups to the entry addresses of each failure domain.
type backgroundLoad struct {
	entries   map[mesh.FailureDomain]*atomic.Pointer[[]string]
	cancel    context.CancelFunc
	done      chan map[string]*load.Stats
	startedAt time.Time

	mu       sync.Mutex
	failures []string
}

// startLoad starts look-ups at all entry addresses. The calls of a failure domain
// stay on its side of any cut, because nodes prefer the local domain, and each
// domain has endpoints of the service.
func (f *faultMesh) startLoad(seed uint64) *backgroundLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &backgroundLoad{entries: map[mesh.FailureDomain]*atomic.Pointer[[]string]{}, cancel: cancel, done: make(chan map[string]*load.Stats, 1), startedAt: time.Now()}
	client := newClient()
	rate := lo.CoalesceOrEmpty(f.params.Rate, backgroundRate) / float64(len(f.domains()))
	var classes []load.Class
	for _, d := range f.domains() {
		entries := &atomic.Pointer[[]string]{}
		l.entries[d] = entries
		classes = append(classes, load.Class{
			Name: string(d), Rate: rate, MaxInFlight: maxInFlight,
			Send: func(_ context.Context, n int) load.Result { return l.lookUp(client, *entries.Load(), n) },
		})
	}
	l.useEntriesOf(f.Hosts)
	go func() { l.done <- load.Run(ctx, seed, load.Window{Length: maxLoadDuration}, classes...) }()
	return l
}

// lookUp makes one call. It has its own context, so that the end of the load
// does not interrupt it.
func (l *backgroundLoad) lookUp(client *http.Client, entries []string, n int) load.Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	entry := entries[n%len(entries)]
	url := "http://" + entry + emulator.PathLookup
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return load.Unknown
	}
	echo := strconv.Itoa(n)
	r.Header.Set("Authorization", "Bearer "+emulator.Token(emulator.CustomerPrimary))
	r.Header.Set(emulator.HeaderEcho, echo)
	start := time.Now()
	result := caller{client: client}.exchange(r, echo)
	if result != load.OK {
		l.recordFailure(start, entry, result)
	}
	return result
}

// maxDescribedFailures bounds the number of failed calls that are described.
const maxDescribedFailures = 20

func (l *backgroundLoad) recordFailure(start time.Time, entry string, result load.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) < maxDescribedFailures {
		l.failures = append(l.failures, fmt.Sprintf("%.3f s after the start: entry %s, result %d, took %.3f s",
			start.Sub(l.startedAt).Seconds(), entry, result, time.Since(start).Seconds()))
	}
}

// useEntriesOf makes callers use the entry addresses of the given hosts only. A
// failure domain without any of them keeps its entry addresses.
func (l *backgroundLoad) useEntriesOf(hosts []*emulator.Host) {
	byDomain := lo.GroupBy(hosts, func(h *emulator.Host) mesh.FailureDomain { return h.Domain })
	for d, chosen := range byDomain {
		addresses := lo.Map(chosen, func(h *emulator.Host, _ int) string { return h.Settings.Listen.Entry })
		l.entries[d].Store(&addresses)
	}
}

// divertCallers makes callers stop using the entry addresses of hosts, and of
// hosts without an active version, and waits callDrainTime for calls in flight.
func (f *faultMesh) divertCallers(ctx context.Context, l *backgroundLoad, hosts []*emulator.Host) error {
	live := f.liveNodes()
	l.useEntriesOf(lo.Filter(lo.Without(f.Hosts, hosts...), func(h *emulator.Host, _ int) bool {
		return live[h.ID] != nil && live[h.ID].Snapshot() != nil
	}))
	return bench.Sleep(ctx, callDrainTime)
}

// backgroundResult is what a background load measured.
type backgroundResult struct {
	sent, failed int64
	// worstFailedRatio is the largest share of failed calls among the failure
	// domains.
	worstFailedRatio float64
	wrongResponses   int64
	// failures describes the first failed calls, up to maxDescribedFailures.
	failures []string
}

// report records the calls of a run and checks them.
func (s backgroundResult) report(p bench.Params, r *bench.Result) {
	for _, line := range s.failures {
		p.Logf("failed call: %s", line)
	}
	r.Set("calls", float64(s.sent))
	r.Set("calls_failed", float64(s.failed))
	r.Check("calls_failed_ratio", s.worstFailedRatio, bench.AtMost, maxFailedRatio)
	r.Check("wrong_responses", float64(s.wrongResponses), bench.Equal, 0)
}

// stop ends the load and waits for the calls in flight.
func (l *backgroundLoad) stop() backgroundResult {
	l.cancel()
	stats := <-l.done
	r := backgroundResult{failures: l.failures}
	for _, s := range stats {
		failed := s.Sent - s.Count(load.OK) + s.Dropped
		r.sent += s.Sent
		r.failed += failed
		r.wrongResponses += s.Count(load.Wrong)
		r.worstFailedRatio = max(r.worstFailedRatio, ratio(float64(failed), float64(s.Sent)))
	}
	return r
}
