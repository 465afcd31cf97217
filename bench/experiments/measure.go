// Package experiments holds the experiments of the load tool. Importing it
// registers them.
package experiments

import (
	"context"
	"fmt"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Bounds of the checks, for a mesh of the design size.
const (
	maxConvergenceSeconds    = 8.0
	maxControlBytesPerSecond = 4096.0 // per node
	maxControlCorePercent    = 1.9    // per node
	maxMemoryMB              = 256.0  // per node
)

const bytesPerMB = 1 << 20

// usage is the cumulative resource usage of the mesh and its process at one time.
type usage struct {
	at        time.Time
	cpu       time.Duration
	linkBytes uint64
	// linkBytesByHost holds the bytes of each host in both directions.
	linkBytesByHost map[mesh.HostID]uint64
	storeCalls      uint64
}

// readUsage reads the CPU time of the process, the link bytes of all running
// nodes and the number of store calls.
func readUsage(m *emulator.Mesh) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), linkBytesByHost: map[mesh.HostID]uint64{}}
	for _, h := range m.RunningHosts() {
		for _, t := range h.Node.Control().Status().Traffic {
			u.linkBytesByHost[h.ID] += uint64(t.In.Bytes + t.Out.Bytes)
		}
		u.linkBytes += u.linkBytesByHost[h.ID]
	}
	u.storeCalls = m.Store.Counts().Total()
	return u
}

// usageRates is the usage between two times: per second, or for the whole time in
// bytesPerNode, and per node where the name says so.
type usageRates struct {
	seconds          float64
	bytesPerNode     float64
	bytesPerNodePerS float64
	// maxBytesPerS is the highest rate among the hosts.
	maxBytesPerS       float64
	storeCallsPerS     float64
	corePercentPerNode float64
}

func ratesBetween(from, to usage, nodes int) usageRates {
	seconds := to.at.Sub(from.at).Seconds()
	bytesPerNode := float64(to.linkBytes-from.linkBytes) / float64(nodes)
	maxRate := 0.0
	for host, sum := range to.linkBytesByHost {
		maxRate = max(maxRate, float64(sum-from.linkBytesByHost[host])/seconds)
	}
	return usageRates{
		seconds: seconds, bytesPerNode: bytesPerNode, bytesPerNodePerS: bytesPerNode / seconds, maxBytesPerS: maxRate,
		storeCallsPerS:     float64(to.storeCalls-from.storeCalls) / seconds,
		corePercentPerNode: (to.cpu - from.cpu).Seconds() / seconds / float64(nodes) * 100,
	}
}

// residentMB returns the memory that the process holds, in megabytes.
func residentMB() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.Sys-stats.HeapReleased) / bytesPerMB
}

// activations records when each version became active on each host.
type activations struct {
	mu     sync.Mutex
	times  map[mesh.Sequence]map[mesh.HostID]time.Time
	newest map[mesh.HostID]mesh.Sequence
	// regressed counts the versions that became active after a newer one.
	regressed int
}

func newActivations() *activations {
	return &activations{times: map[mesh.Sequence]map[mesh.HostID]time.Time{}, newest: map[mesh.HostID]mesh.Sequence{}}
}

func (a *activations) record(host mesh.HostID, v *lists.Version, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.times[v.ID.Sequence] == nil {
		a.times[v.ID.Sequence] = map[mesh.HostID]time.Time{}
	}
	a.times[v.ID.Sequence][host] = at
	if v.ID.Sequence < a.newest[host] {
		a.regressed++
	}
	a.newest[host] = max(a.newest[host], v.ID.Sequence)
}

// delays returns the seconds from start until the version or a newer one was
// active on each host, sorted. Hosts that have neither are missing.
func (a *activations) delays(sequence mesh.Sequence, start time.Time) []float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := map[mesh.HostID]time.Time{}
	for s, hosts := range a.times {
		if s < sequence {
			continue
		}
		for host, at := range hosts {
			if earliest, found := first[host]; !found || at.Before(earliest) {
				first[host] = at
			}
		}
	}
	seconds := lo.Map(lo.Values(first), func(at time.Time, _ int) float64 { return at.Sub(start).Seconds() })
	sort.Float64s(seconds)
	return seconds
}

// hostsWith returns the number of hosts on which the sequence or a newer one was
// active.
func (a *activations) hostsWith(sequence mesh.Sequence) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return lo.CountBy(lo.Values(a.newest), func(s mesh.Sequence) bool { return s >= sequence })
}

func (a *activations) regressions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.regressed
}

// quantile returns the quantile q, from 0 to 1, of sorted values, or zero when
// there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// withRoute returns the lists with one more route. Each number gives another
// route, so that every change concerns one entry.
func withRoute(base lists.Lists, d emulator.Deployment, number int) lists.Lists {
	next := make(lists.Lists, len(base)+1)
	for k, f := range base {
		next[k] = f
	}
	key := lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindRoute, Name: fmt.Sprintf("sample/change-%d", number)}
	next[key] = lists.Fields{
		"service": string(d.LookupService()), "path-prefix": fmt.Sprintf("/change/%d", number), "rank": "standard",
		"deadline": "2s", "repeatable": "true", "keyed": "false", "long": "false",
	}
	return next
}

// measureChanges applies changes one after the other and returns the sorted
// delays in seconds until each was active on each host.
func measureChanges(ctx context.Context, m *emulator.Mesh, a *activations, p bench.Params) ([]float64, error) {
	var delays []float64
	current := m.Config.Lists
	for i := range p.Changes {
		current = withRoute(current, m.Config.Deployment, i)
		start := time.Now()
		id, err := m.ApplyLists(ctx, current)
		if err != nil {
			return nil, err
		}
		if err := m.WaitUntil(ctx, "change not active everywhere", func() bool { return a.hostsWith(id.Sequence) >= p.Nodes }); err != nil {
			return nil, err
		}
		delays = append(delays, a.delays(id.Sequence, start)...)
	}
	m.Config.Lists = current
	sort.Float64s(delays)
	return delays, nil
}

func hostID(i int) mesh.HostID { return mesh.HostID(fmt.Sprintf("host-%03d", i+1)) }
