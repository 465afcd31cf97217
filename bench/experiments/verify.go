package experiments

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
	"geraniumnotch.example/geraniumnotch/routing"
)

// verifier checks that the routing snapshots of nodes match the accepted lists.
type verifier struct {
	mu       sync.Mutex
	configs  map[mesh.VersionID]*lists.Config
	checked  map[mesh.HostID]*routing.Snapshot
	partial  int
	verified int
}

func newVerifier() *verifier {
	return &verifier{configs: map[mesh.VersionID]*lists.Config{}, checked: map[mesh.HostID]*routing.Snapshot{}}
}

// addVersion adds the content of an accepted version.
func (v *verifier) addVersion(id mesh.VersionID, l lists.Lists) error {
	config, err := lists.Compile(l)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configs[id] = config
	return nil
}

// verify checks the snapshots that changed since the last call. A snapshot of a
// version that was not added yet is checked by a later call.
func (v *verifier) verify(nodes map[mesh.HostID]*node.Node) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for h, n := range nodes {
		s := n.Snapshot()
		if s == nil || s == v.checked[h] {
			continue
		}
		expected, known := v.configs[s.Version]
		if !known {
			continue
		}
		v.checked[h] = s
		v.verified++
		if !sameRoutes(s.Config, expected) {
			v.partial++
		}
	}
}

func sameRoutes(a, b *lists.Config) bool {
	if len(a.Routes) != len(b.Routes) || len(a.Customers) != len(b.Customers) || len(a.Services) != len(b.Services) {
		return false
	}
	return lo.EveryBy(lo.Entries(a.Routes), func(e lo.Entry[mesh.RouteName, *lists.Route]) bool {
		other, found := b.Routes[e.Key]
		return found && other.PathPrefix == e.Value.PathPrefix && other.Service.Name == e.Value.Service.Name
	})
}

func (v *verifier) counts() (partial, verified int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.partial, v.verified
}

// verifyPeriodically checks the snapshots of all running nodes until the returned
// function is called.
func (f *faultMesh) verifyPeriodically() (stop func()) {
	return runPeriodically(convergePoll, func() { f.verifier.verify(f.liveNodes()) })
}

// runPeriodically calls a function at intervals until the returned function is
// called.
func runPeriodically(interval time.Duration, do func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		for bench.Sleep(ctx, interval) == nil {
			do()
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

// describeLagging describes the first few nodes that have not converged, for
// progress lines.
func describeLagging(running []*emulator.Host, sequence mesh.Sequence) string {
	const maxNodes = 5
	var lines []string
	for _, h := range running {
		states := lo.CountValuesBy(lo.Values(h.Node.Control().View().Hosts), func(r *membership.Record) string {
			return fmt.Sprintf("%d/%d", r.State, len(r.Endpoints))
		})
		if activeSequence(h.Node) >= sequence && len(states) == 1 {
			continue
		}
		if lines = append(lines, fmt.Sprintf("%s at sequence %d, member states and endpoint counts %v", h.ID, activeSequence(h.Node), states)); len(lines) == maxNodes {
			break
		}
	}
	return strings.Join(lines, "; ")
}

// callPeak records the largest number of store calls within one second.
type callPeak struct {
	readTotal func() uint64
	window    []uint64
	highest   uint64
}

const peakInterval = 50 * time.Millisecond

// sample reads the total. It must be called every peakInterval.
func (p *callPeak) sample() {
	p.window = append(p.window, p.readTotal())
	if len(p.window) > int(time.Second/peakInterval)+1 {
		p.window = p.window[1:]
	}
	p.highest = max(p.highest, p.window[len(p.window)-1]-p.window[0])
}

// measureStorePeak measures the peak of store calls per second until the returned
// function is called, which returns it.
func (f *faultMesh) measureStorePeak() (stop func() float64) {
	p := &callPeak{readTotal: func() uint64 { return f.Store.Counts().Total() }}
	p.sample()
	end := runPeriodically(peakInterval, p.sample)
	return func() float64 {
		end()
		p.sample()
		return float64(p.highest)
	}
}

// suspicions counts the suspicions of running hosts (falseCount) and of stopped
// ones (properCount). It reads the event that nodes log when they suspect a host.
type suspicions struct {
	mu          sync.Mutex
	running     map[mesh.HostID]bool
	falseCount  int
	properCount int
}

// suspectMessage is the text of event 1402 in package distribution.
const suspectMessage = "host suspected"

func newSuspicions() *suspicions { return &suspicions{running: map[mesh.HostID]bool{}} }

func (s *suspicions) logger() hclog.Logger {
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Warn})
	logger.RegisterSink(s)
	return logger
}

// Accept implements hclog.SinkAdapter. The last host field of a line is the
// suspected host; the first is the node that logs.
func (s *suspicions) Accept(_ string, _ hclog.Level, message string, args ...any) {
	if message != suspectMessage {
		return
	}
	var host mesh.HostID
	for i := 0; i+1 < len(args); i += 2 {
		if h, ok := args[i+1].(mesh.HostID); ok && args[i] == "host" {
			host = h
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[host] {
		s.falseCount++
	} else {
		s.properCount++
	}
}

func (s *suspicions) setRunning(h mesh.HostID, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[h] = running
}

func (s *suspicions) counts() (falseCount, properCount int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.falseCount, s.properCount
}
