package distribution

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// The benchmark runs nodes on loopback in one process. Run it manually:
//
//	go test -run '^$' -bench Mesh -benchtime 1x ./distribution
const (
	benchIdle      = 30 * time.Second
	benchChanges   = 10
	benchCustomers = 1000
	benchTimeout   = 60 * time.Second
)

func BenchmarkMesh(b *testing.B) {
	for _, nodes := range []int{11, 50, 200} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for range b.N {
				benchMesh(b, nodes, 3+nodes/40)
			}
		})
	}
}

type benchNodes struct {
	b         *testing.B
	services  []*Service
	activated chan time.Time
}

func benchMesh(b *testing.B, nodes, domains int) {
	m := &benchNodes{b: b, activated: make(chan time.Time, nodes)}
	begin := time.Now()
	m.start(nodes, domains)
	defer m.stop()
	m.await("member tables", func(s *Service) bool { return len(s.View().Hosts) == nodes })
	b.ReportMetric(time.Since(begin).Seconds(), "s-to-full-tables")
	b.ReportMetric(m.meanBytes(), "B-to-full-tables/node")
	m.measureActivation(benchVersion())
	time.Sleep(5 * time.Second)
	m.measureIdle()
	m.measureChanges()
	m.measureFailure()
}

func benchVersion() *lists.Version { return largeVersion(benchCustomers) }

func (m *benchNodes) start(nodes, domains int) {
	var seeds []string
	for n := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			m.b.Fatal(err)
		}
		address := listener.Addr().String()
		if n < 3 {
			seeds = append(seeds, address)
		}
		s, err := New(Config{
			Self: membership.Record{
				Host: mesh.HostID(fmt.Sprintf("host-%d", n)), Domain: mesh.FailureDomain(fmt.Sprintf("fd%d", n%domains)),
				PeerAddress: address, CallAddress: address,
				Endpoints: []membership.Endpoint{{ID: "worker", Service: "catalogue", Slots: 20, Connections: 100, State: membership.EndpointReady}},
			},
			Seeds:     seeds,
			OnVersion: func(*lists.Version) { m.activated <- time.Now() },
		})
		if err != nil {
			m.b.Fatal(err)
		}
		server := &http.Server{Handler: s.Handler()}
		go func() { _ = server.Serve(listener) }()
		m.b.Cleanup(func() { _ = server.Close() })
		_ = s.Start(context.Background())
		m.services = append(m.services, s)
	}
}

func (m *benchNodes) stop() {
	for _, s := range m.services {
		s.Kill()
	}
}

// await polls until all nodes satisfy a condition. The benchmark reports the
// time; nothing passes or fails by it before benchTimeout.
func (m *benchNodes) await(what string, done func(*Service) bool) {
	for end := time.Now().Add(benchTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !slices.ContainsFunc(m.services, func(s *Service) bool { return !done(s) }) {
			return
		}
	}
	m.b.Fatalf("%s: not reached within %s", what, benchTimeout)
}

// meanBytes returns the bytes sent and received per node, of the given kinds of
// messages or of all.
func (m *benchNodes) meanBytes(kinds ...transport.Kind) float64 {
	var sum int64
	for _, s := range m.services {
		for kind, t := range s.config.Meter.Read() {
			if len(kinds) == 0 || slices.Contains(kinds, kind) {
				sum += t.Out.Bytes + t.In.Bytes
			}
		}
	}
	return float64(sum) / float64(len(m.services))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdle measures the cost of an idle mesh.
func (m *benchNodes) measureIdle() {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	bytesBefore, cpuBefore := m.meanBytes(), cpuTime()
	time.Sleep(benchIdle)
	seconds, nodes := benchIdle.Seconds(), float64(len(m.services))
	m.b.ReportMetric((m.meanBytes()-bytesBefore)/seconds, "quiet-B/s/node")
	m.b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/seconds/nodes, "quiet-%core/node")
	m.b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/nodes/(1<<20), "MB/node")
}

// measureActivation makes one node accept a version and returns the time until it
// is active on all nodes.
func (m *benchNodes) measureActivation(v *lists.Version) time.Duration {
	begin := time.Now()
	if err := m.services[0].AcceptVersion(v); err != nil {
		m.b.Fatal(err)
	}
	last := begin
	for range m.services {
		last = <-m.activated
	}
	return last.Sub(begin)
}

func (m *benchNodes) measureChanges() {
	kinds := []transport.Kind{
		transport.KindAnnounce, transport.KindPull, transport.KindVersion, transport.KindApplied,
	}
	v := m.services[0].Accepted()
	bytesBefore, cpuBefore := m.meanBytes(kinds...), cpuTime()
	var slowest time.Duration
	for n := range benchChanges {
		v = successor(v, fmt.Sprintf("new-%d", n), "gold")
		slowest = max(slowest, m.measureActivation(v))
		time.Sleep(time.Second)
	}
	m.b.ReportMetric((m.meanBytes(kinds...)-bytesBefore)/benchChanges, "B/change/node")
	m.b.ReportMetric(float64((cpuTime()-cpuBefore).Milliseconds())/benchChanges/float64(len(m.services)), "cpu-ms/change/node")
	m.b.ReportMetric(float64(slowest.Milliseconds()), "ms-to-all")
}

// measureFailure kills a node and measures the time until all tables list it as dead.
func (m *benchNodes) measureFailure() {
	last := len(m.services) - 1
	killed := m.services[last]
	m.services = m.services[:last]
	bytes, begin := m.meanBytes(transport.KindMembers), time.Now()
	killed.Kill()
	m.await("dead host", func(s *Service) bool {
		return s.View().Hosts[killed.config.Self.Host].State == membership.StateDead
	})
	m.b.ReportMetric(time.Since(begin).Seconds(), "s-to-dead")
	m.b.ReportMetric(m.meanBytes(transport.KindMembers)-bytes, "B/dead-host/node")
}
