package proxy

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the CPU time that the process has used. Unlike wall-clock time it
// hardly depends on the load of the machine.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// latencies collects the latencies of calls from several goroutines.
type latencies struct {
	mu  sync.Mutex
	all []time.Duration
}

func (l *latencies) add(times []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, times...)
}

func (l *latencies) report(b *testing.B) {
	slices.Sort(l.all)
	b.ReportMetric(float64(l.all[len(l.all)/2]), "p50-ns")
	b.ReportMetric(float64(l.all[len(l.all)*99/100]), "p99-ns")
}

// benchmarkCalls measures calls to url over one keep-alive connection per goroutine.
func benchmarkCalls(b *testing.B, url string) {
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	defer func() { b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op") }()
	var all latencies
	defer all.report(b)
	b.RunParallel(func(pb *testing.PB) {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		var samples []time.Duration
		defer func() { all.add(samples) }()
		for pb.Next() {
			start := time.Now()
			r, _ := http.NewRequest(http.MethodGet, url, nil)
			r.Header.Set("Authorization", "Bearer "+testToken)
			resp, err := transport.RoundTrip(r)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Error(resp.Status)
				return
			}
			samples = append(samples, time.Since(start))
		}
	})
}

func benchmarkEndpoint(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

// BenchmarkDirectCall measures a call that is sent directly to the endpoint.
func BenchmarkDirectCall(b *testing.B) {
	m := newTestMesh(b, http.HandlerFunc(benchmarkEndpoint))
	benchmarkCalls(b, m.hosts[0].endpoint.URL+"/lookup")
}

// BenchmarkMeshCall measures a call through entry and gate.
func BenchmarkMeshCall(b *testing.B) {
	m := newTestMesh(b, http.HandlerFunc(benchmarkEndpoint), http.HandlerFunc(benchmarkEndpoint))
	benchmarkCalls(b, m.entryServer.URL+"/lookup")
}

// pacedInterval is the time between calls of a paced benchmark. One node of 750
// gets about 173 of 130,000 calls per second, one every 5.8 ms.
const pacedInterval = 5800 * time.Microsecond

// benchmarkPaced measures the latency of sequential calls at the rate of one node.
// Unlike benchmarkCalls it does not saturate the CPU.
func benchmarkPaced(b *testing.B, url string) {
	var all latencies
	var samples []time.Duration
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	ticker := time.NewTicker(pacedInterval)
	defer ticker.Stop()
	for range b.N {
		<-ticker.C
		start := time.Now()
		r, _ := http.NewRequest(http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+testToken)
		resp, err := transport.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		samples = append(samples, time.Since(start))
	}
	all.add(samples)
	all.report(b)
}

// BenchmarkPacedDirectCall measures the latency of a call that is sent directly to
// the endpoint.
func BenchmarkPacedDirectCall(b *testing.B) {
	m := newTestMesh(b, http.HandlerFunc(benchmarkEndpoint))
	benchmarkPaced(b, m.hosts[0].endpoint.URL+"/lookup")
}

// BenchmarkPacedMeshCall measures the latency of a call through entry and gate.
func BenchmarkPacedMeshCall(b *testing.B) {
	m := newTestMesh(b, http.HandlerFunc(benchmarkEndpoint), http.HandlerFunc(benchmarkEndpoint))
	benchmarkPaced(b, m.entryServer.URL+"/lookup")
}
