package gate

import (
	"context"
	"testing"
	"time"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func benchGate(slots int) *Gate {
	return New(Config{Service: lists.Service{OtherShare: 0.2, LongShare: 0.5, MaxQueue: 1000}, Slots: slots})
}

var benchCall = Call{ID: "c", Root: "r", Customer: "acme", Rank: mesh.RankStandard}

// benchAcquireRelease runs as many goroutines against one gate as -cpu sets.
func benchAcquireRelease(b *testing.B, slots int) {
	g := benchGate(slots)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s, err := g.Acquire(context.Background(), benchCall)
			if err != nil {
				b.Error(err)
				return
			}
			s.Release(time.Millisecond)
		}
	})
}

// Run with -cpu 1,8 to measure without and with lock contention.
func BenchmarkAcquireRelease(b *testing.B) { benchAcquireRelease(b, 20) }

// With 4 slots and 8 goroutines about half of the calls wait.
func BenchmarkAcquireReleaseQueued(b *testing.B) { benchAcquireRelease(b, 4) }
