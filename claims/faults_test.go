package claims

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/httpstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/kvstore/standin"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// TestLostAnswers guards against a claim that is rejected, or granted twice, because
// the answer to its write was lost.
func TestLostAnswers(t *testing.T) {
	inBubble(t, "Given a store that loses answers", func() {
		store, now := newMemoryStore(), time.Now()
		c := newClaimer(store, nil)
		Convey("a claim whose write took effect is recognized by its nonce", func() {
			store.UpdateFaults(func(f *memory.Faults) { f.LostAnswerRatio, f.LostRequestRatio = 0.5, 0.3 })
			for _, request := range requestsOfOneShard(50, now) {
				_, err := tryClaim(c, request)
				So(err, ShouldBeNil)
				_, err = tryClaim(c, request)
				So(err, shouldBeRejected, mesh.ReasonInProgress)
			}
		})
		Convey("a write that takes effect late does not claim the key again", func() {
			store.DelayNextWrites(1, time.Second)
			claim, err := tryClaim(c, newRequest("k", 1, now))
			So(err, ShouldBeNil)
			So(claim.Release(context.Background()), ShouldBeNil)
			time.Sleep(2 * time.Second)
			_, err = tryClaim(c, newRequest("k", 1, now))
			So(err, ShouldBeNil)
		})
		Convey("a rejected claim whose write takes effect later is released", func() {
			store.DelayNextWrites(1, 5*time.Second)
			go func() {
				time.Sleep(10 * time.Millisecond)
				store.UpdateFaults(func(f *memory.Faults) { f.Unavailable = true })
			}()
			_, err := tryClaim(c, newRequest("k", 1, now))
			So(err, shouldBeRejected, mesh.ReasonStoreUnavailable)
			time.Sleep(10 * time.Second)
			store.SetFaults(memory.Faults{})
			_, err = tryClaim(newClaimer(store, nil), newRequest("k", 1, now))
			So(err, shouldBeRejected, mesh.ReasonInProgress)
			time.Sleep(2 * time.Second)
			_, err = tryClaim(c, newRequest("k", 1, now))
			So(err, ShouldBeNil)
		})
	})
}

// TestStoreUnavailable guards against keyed calls that hang, or are executed, while the
// store is unavailable, does not answer or limits the rate.
func TestStoreUnavailable(t *testing.T) {
	inBubble(t, "Given a store that cannot be used", func() {
		ctx, store, now := context.Background(), newMemoryStore(), time.Now()
		c := newClaimer(store, nil)
		for _, faults := range []memory.Faults{
			{Unavailable: true},
			{Latency: time.Hour},
			{WritesPerSecond: 1e-9, LostRequestRatio: 1},
		} {
			store.SetFaults(faults)
			_, err := tryClaim(c, newRequest("k", 1, now))
			So(err, shouldBeRejected, mesh.ReasonStoreUnavailable)
			So(err.(*Rejection).Outcome, ShouldEqual, mesh.OutcomeNotExecuted)
			So(time.Since(now), ShouldEqual, DefaultMaxWait)
			short, cancel := context.WithTimeout(ctx, time.Millisecond)
			_, err = c.Claim(short, newRequest("k", 1, now))
			So(err, shouldBeRejected, mesh.ReasonDeadline)
			cancel()
			_, err = c.Claim(short, newRequest("k", 1, now))
			So(err, shouldBeRejected, mesh.ReasonDeadline)
			time.Sleep(time.Minute)
			now = time.Now()
		}
		store.SetFaults(memory.Faults{})
		_, err := tryClaim(c, newRequest("k", 1, now))
		So(err, ShouldBeNil)
	})
}

// TestPausedWriter guards against a writer that continues after cleanup and makes an
// expired key valid again.
func TestPausedWriter(t *testing.T) {
	inBubble(t, "Given keys that cleanup deleted while writers were paused", func() {
		ctx, store, begin := context.Background(), newMemoryStore(), time.Now()
		requests := requestsOfOneShard(3, begin)
		stoppedClock := func(c *Config) { c.Now = func() time.Time { return begin } }
		running := newClaimer(store, nil)
		paused := newClaimer(store, stoppedClock)
		blocked, woken := make(chan struct{}), make(chan struct{})
		wake := sync.OnceFunc(func() { close(woken) })
		Reset(wake)
		creator := newClaimer(&hookStore{Store: store, before: func(_ kvstore.CallKind, key string) {
			if strings.HasSuffix(key, "floor") {
				close(blocked)
				<-woken
			}
		}}, func(c *Config) { c.CallTimeout = 100 * time.Hour; stoppedClock(c) })

		_, err := tryClaim(running, requests[0])
		So(err, ShouldBeNil)
		_, err = tryClaim(paused, requests[1])
		So(err, ShouldBeNil)
		time.Sleep(25 * time.Hour)
		deleted, err := running.Clean(ctx, 0)
		So(err, ShouldBeNil)
		So(deleted, ShouldEqual, 1)

		Convey("a writer that has the old segment in its cache does not grant them", func() {
			for _, request := range requests {
				_, err = tryClaim(paused, request)
				So(err, shouldBeRejected, mesh.ReasonKeyExpired)
			}
			wake()
		})
		Convey("nor does a writer when another one has created the segment again and not yet read the low watermark", func() {
			rejected := make(chan error, 1)
			go func() {
				_, err := tryClaim(creator, requests[2])
				rejected <- err
			}()
			<-blocked
			_, err = tryClaim(paused, requests[0])
			So(err, shouldBeRejected, mesh.ReasonKeyExpired)
			_, err = tryClaim(newClaimer(store, stoppedClock), requests[1])
			So(err, shouldBeRejected, mesh.ReasonKeyExpired)
			wake()
			So(<-rejected, shouldBeRejected, mesh.ReasonKeyExpired)
			So(creator.shards[0].lowWatermark, ShouldBeGreaterThan, bucketAt(begin))
			_, err = running.Clean(ctx, 0)
			So(err, ShouldBeNil)
			keys, err := store.List(ctx, "claims/00/0", 10)
			So(err, ShouldBeNil)
			So(keys, ShouldBeEmpty)
		})
	})
}

// TestLostWrites guards against granting a key again when the store has rolled back and
// the writer still knows the claim.
func TestLostWrites(t *testing.T) {
	inBubble(t, "Given a store that loses a claim", func() {
		store := newMemoryStore()
		c := newClaimer(store, nil)
		requests := requestsOfOneShard(2, time.Now())
		for _, request := range requests {
			_, err := tryClaim(c, request)
			So(err, ShouldBeNil)
		}
		for lost := range 2 {
			So(store.RewindWrites(lost+1), ShouldEqual, lost+1)
			_, err := tryClaim(c, requests[1])
			So(err, shouldBeRejected, mesh.ReasonInProgress)
			_, err = tryClaim(newClaimer(store, nil), requests[1])
			So(err, shouldBeRejected, mesh.ReasonInProgress)
		}
	})
}

// TestForeignValue guards against a segment that cannot be decoded and blocks the other
// buckets of its shard.
func TestForeignValue(t *testing.T) {
	inBubble(t, "Given a segment that another program wrote", func() {
		store, now := newMemoryStore(), time.Now()
		_, err := store.CompareAndSwap(context.Background(), ShardID(0).segmentKey(bucketAt(now), 0), []byte("?"), 0)
		So(err, ShouldBeNil)
		c := newClaimer(store, nil)
		_, err = tryClaim(c, requestsOfOneShard(1, now)[0])
		So(err, shouldBeRejected, mesh.ReasonStoreUnavailable)
		So(time.Since(now), ShouldBeLessThan, time.Second)
		_, err = tryClaim(c, requestsOfOneShard(1, now.Add(-time.Minute))[0])
		So(err, ShouldBeNil)
	})
}

// TestOverHTTP guards against a lost answer that the HTTP adapter does not report as
// an unknown result, so that a claim is rejected or granted twice.
func TestOverHTTP(t *testing.T) {
	Convey("Given a store behind HTTP that loses answers and requests", t, func() {
		backing := memory.New(memory.WithFaults(memory.Faults{LostAnswerRatio: 0.3, LostRequestRatio: 0.3}))
		server := httptest.NewServer(standin.New(backing, nil))
		defer server.Close()
		store, err := kvstore.Open(httpstore.AdapterName, server.Listener.Addr().String())
		So(err, ShouldBeNil)
		c, err := New(Config{Store: store, MinBatchInterval: time.Millisecond, MaxWait: time.Minute})
		So(err, ShouldBeNil)
		for _, request := range requestsOfOneShard(30, time.Now()) {
			_, err := tryClaim(c, request)
			So(err, ShouldBeNil)
			_, err = tryClaim(c, request)
			So(err, shouldBeRejected, mesh.ReasonInProgress)
		}
		So(c.Close(context.Background()), ShouldBeNil)
	})
}
