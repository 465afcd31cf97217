package claims

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// TestDoubleUse guards against a key that is granted twice, by the same writer or by
// two, one after the other or at the same time.
func TestDoubleUse(t *testing.T) {
	inBubble(t, "Given two writers over one store", func() {
		store, now := newMemoryStore(), time.Now()
		writers := []*Claimer{newClaimer(store, nil), newClaimer(store, nil)}
		for _, second := range writers {
			request := newRequest(fmt.Sprintf("k%p", second), 1, now)
			_, err := tryClaim(writers[0], request)
			So(err, ShouldBeNil)
			_, err = tryClaim(second, request)
			So(err, shouldBeRejected, mesh.ReasonInProgress)
		}
		const keys, attempts = 100, 4
		var granted [keys]atomic.Int32
		var group sync.WaitGroup
		for i := range keys * attempts {
			group.Go(func() {
				request := newRequest(fmt.Sprint(i%keys), 1, now)
				if _, err := tryClaim(writers[i/keys%2], request); err == nil {
					granted[i%keys].Add(1)
				}
			})
		}
		group.Wait()
		for i := range granted {
			So(granted[i].Load(), ShouldEqual, 1)
		}
	})
}

// TestStates guards against wrong results for a key that is used again.
func TestStates(t *testing.T) {
	inBubble(t, "Given a claimed key", func() {
		ctx, store := context.Background(), newMemoryStore()
		here, there := newClaimer(store, nil), newClaimer(store, nil)
		request, other := newRequest("k", 1, time.Now()), newRequest("k", 2, time.Now())
		claim, err := tryClaim(here, request)
		So(err, ShouldBeNil)
		for _, c := range []*Claimer{here, there} {
			_, err = tryClaim(c, other)
			So(err, shouldBeRejected, mesh.ReasonKeyConflict)
		}
		Convey("a release makes it usable again, by any writer", func() {
			_, err = tryClaim(there, request)
			So(err, shouldBeRejected, mesh.ReasonInProgress)
			So(claim.Release(ctx), ShouldBeNil)
			So(claim.Complete(ctx, 200), ShouldEqual, ErrFinished)
			_, err = tryClaim(here, other)
			So(err, shouldBeRejected, mesh.ReasonKeyConflict)
			_, err = tryClaim(there, request)
			So(err, ShouldBeNil)
			_, err = tryClaim(here, request)
			So(err, shouldBeRejected, mesh.ReasonInProgress)
		})
		Convey("a completion is final and carries the status", func() {
			writes := store.Counts().Writes()
			So(claim.Complete(ctx, 201), ShouldBeNil)
			So(claim.Release(ctx), ShouldEqual, ErrFinished)
			time.Sleep(2 * DefaultCompleteDelay)
			So(store.Counts().Writes(), ShouldEqual, writes+1)
			for _, c := range []*Claimer{here, there} {
				_, err = tryClaim(c, request)
				So(err, shouldBeRejected, mesh.ReasonAlreadyExecuted)
				So(err.(*Rejection).Status, ShouldEqual, 201)
				So(err.(*Rejection).Outcome, ShouldEqual, mesh.OutcomeExecuted)
			}
		})
		Convey("another customer or time of issue is another key", func() {
			_, err = tryClaim(here, Request{Customer: "d", Key: "k", IssuedAt: request.IssuedAt})
			So(err, ShouldBeNil)
			_, err = tryClaim(here, newRequest("k", 1, request.IssuedAt.Add(time.Second)))
			So(err, ShouldBeNil)
		})
	})
}

// TestValidity guards against granting keys that are malformed, too old or issued in
// the future, and against claims after Close.
func TestValidity(t *testing.T) {
	inBubble(t, "Invalid keys and claims after Close are rejected", func() {
		store, now := newMemoryStore(), time.Now()
		c := newClaimer(store, nil)
		for key, reason := range map[string]mesh.Reason{
			"": mesh.ReasonKeyRequired, "a b": mesh.ReasonKeyRequired,
			"\x7f": mesh.ReasonKeyRequired, strings.Repeat("x", 129): mesh.ReasonKeyRequired,
		} {
			_, err := tryClaim(c, newRequest(key, 1, now))
			So(err, shouldBeRejected, reason)
		}
		for _, issued := range []time.Time{now.Add(-25 * time.Hour), now.Add(2 * time.Minute), time.Unix(-1, 0)} {
			_, err := tryClaim(c, newRequest("k", 1, issued))
			So(err, shouldBeRejected, mesh.ReasonKeyExpired)
		}
		So(store.Counts().Total(), ShouldEqual, 0)
		So(c.Close(context.Background()), ShouldBeNil)
		_, err := tryClaim(c, newRequest("k", 1, now))
		So(err, shouldBeRejected, mesh.ReasonQueueFull)
		_, err = New(Config{})
		So(err, ShouldNotBeNil)
	})
}

// requestsOfOneShard returns requests with n different keys of shard 0.
func requestsOfOneShard(n int, issued time.Time) []Request {
	var requests []Request
	for i := 0; len(requests) < n; i++ {
		request := newRequest(fmt.Sprint(i), 1, issued)
		if deriveTicket(request).Shard == 0 {
			requests = append(requests, request)
		}
	}
	return requests
}

// TestBatching guards against a number of writes that grows with the number of claims.
func TestBatching(t *testing.T) {
	inBubble(t, "A steady stream of claims of one shard takes at most one write per interval", func() {
		store, begin := newMemoryStore(), time.Now()
		c := newClaimer(store, nil)
		var group sync.WaitGroup
		var granted atomic.Int32
		for i, request := range requestsOfOneShard(500, begin) {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				claim, err := tryClaim(c, request)
				if err == nil && claim.Complete(context.Background(), 200) == nil {
					granted.Add(1)
				}
			})
		}
		group.Wait()
		So(granted.Load(), ShouldEqual, 500)
		So(c.Close(context.Background()), ShouldBeNil)
		intervals := uint64(time.Since(begin)/testInterval) + 1
		So(store.Counts().Writes(), ShouldBeLessThanOrEqualTo, intervals)
		So(store.Counts().Reads(), ShouldBeLessThanOrEqualTo, 2)
	})
}

// TestOverflow guards against segments that exceed their maximum size, and against
// keys that are granted again when a bucket has several segments.
func TestOverflow(t *testing.T) {
	inBubble(t, "Given a bucket with at most two segments of three keys each", func() {
		small := func(c *Config) { c.MaxSegmentBytes, c.MaxSegments = headerBytes+3*entryBytes, 2 }
		store := newMemoryStore()
		here, there := newClaimer(store, small), newClaimer(store, small)
		requests := requestsOfOneShard(7, time.Now())
		var first *Claim
		for i, request := range requests[:6] {
			claim, err := tryClaim([]*Claimer{here, there}[i%2], request)
			So(err, ShouldBeNil)
			if i == 0 {
				first = claim
			}
		}
		for _, c := range []*Claimer{here, there, newClaimer(store, small)} {
			_, err := tryClaim(c, requests[6])
			So(err, shouldBeRejected, mesh.ReasonQueueFull)
			for _, request := range requests[:6] {
				_, err := tryClaim(c, request)
				So(err, shouldBeRejected, mesh.ReasonInProgress)
			}
		}
		So(first.Release(context.Background()), ShouldBeNil)
		_, err := tryClaim(there, requests[0])
		So(err, ShouldBeNil)
		keys, err := store.List(context.Background(), "", 10)
		So(err, ShouldBeNil)
		So(keys, ShouldHaveLength, 2)
	})
}

// TestCacheBound guards against a cache that grows with the number of buckets in use.
func TestCacheBound(t *testing.T) {
	inBubble(t, "Given a cache for less than one segment", func() {
		c := newClaimer(newMemoryStore(), func(c *Config) { c.CacheBytes = 1 })
		for minute := range 5 {
			request := requestsOfOneShard(1, time.Now().Add(-time.Duration(minute)*time.Minute))[0]
			for _, want := range []mesh.Reason{"", mesh.ReasonInProgress} {
				_, err := tryClaim(c, request)
				So(err == nil, ShouldEqual, want == "")
			}
			So(len(c.shards[0].chains), ShouldEqual, 1)
		}
	})
}

// FuzzSegment guards against a stored value that crashes the decoder or that loses
// entries when it is written again.
func FuzzSegment(f *testing.F) {
	valid := newDraft(newSegment(0))
	valid.put(entry{key: KeyHash{1}, state: StateDone, status: 200})
	f.Add(valid.encode())
	f.Add([]byte{segmentVersion, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newSegment(0)
		if _, err := s.update(raw, 1); err != nil {
			return
		}
		d := newDraft(s)
		d.put(entry{key: KeyHash{0xff, 1}, state: StateClaimed})
		if index, err := decodeIndex(d.encode()); err != nil || len(index) < len(s.index) {
			t.Fatalf("%d of %d entries, error %v", len(index), len(s.index), err)
		}
	})
}

// BenchmarkClaims measures claims and store calls per second with 200 claims in flight
// for each of GOMAXPROCS, spread over the writers.
func BenchmarkClaims(b *testing.B) {
	for _, interval := range []time.Duration{testInterval, DefaultMinBatchInterval} {
		for _, writers := range []int{1, 8} {
			b.Run(fmt.Sprintf("interval=%s/writers=%d", interval, writers), func(b *testing.B) {
				store := kvstore.NewCountingStore(memory.New(memory.WithFaults(memory.Faults{Latency: time.Millisecond})))
				benchmarkClaims(b, store, lo.Times(writers, func(int) claimFunc {
					c, _ := New(Config{Store: store, MinBatchInterval: interval, MaxWait: time.Minute})
					return c.Claim
				}))
			})
		}
	}
}

type claimFunc = func(context.Context, Request) (*Claim, error)

func benchmarkClaims(b *testing.B, store *kvstore.CountingStore, writers []claimFunc) {
	var next, rejected, waited atomic.Int64
	begin := time.Now()
	b.SetParallelism(200)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i, start := int(next.Add(1)), time.Now()
			if _, err := writers[i%len(writers)](context.Background(), newRequest(fmt.Sprint(i), 1, start)); err != nil {
				rejected.Add(1)
			}
			waited.Add(int64(time.Since(start)))
		}
	})
	seconds := time.Since(begin).Seconds()
	b.ReportMetric(float64(b.N)/seconds, "claims/s")
	b.ReportMetric(float64(waited.Load())/float64(b.N)/float64(time.Millisecond), "ms/claim")
	b.ReportMetric(float64(store.Counts().Writes())/seconds, "writes/s")
	b.ReportMetric(float64(store.Counts().Reads())/seconds, "reads/s")
	b.ReportMetric(float64(rejected.Load()), "refused")
}
