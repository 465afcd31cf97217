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

// TestLostAnswers guards against a claim that is refused or granted twice
// because the answer to its write was lost.
func TestLostAnswers(t *testing.T) {
	inBubble(t, "Given a store that loses answers", func() {
		store, now := newMemory(), time.Now()
		c := newClaimer(store, nil)
		Convey("claims are recognised by their nonce", func() {
			store.UpdateFaults(func(f *memory.Faults) { f.LostAnswerRatio, f.LostRequestRatio = 0.5, 0.3 })
			for _, request := range sameShard(50, now) {
				_, err := claimOf(c, request)
				So(err, ShouldBeNil)
				_, err = claimOf(c, request)
				So(err, shouldBeRefused, mesh.ReasonInProgress)
			}
		})
		Convey("a write that arrives late changes nothing", func() {
			store.DelayNextWrites(1, time.Second)
			claim, err := claimOf(c, requestOf("k", 1, now))
			So(err, ShouldBeNil)
			So(claim.Release(context.Background()), ShouldBeNil)
			time.Sleep(2 * time.Second)
			_, err = claimOf(c, requestOf("k", 1, now))
			So(err, ShouldBeNil)
		})
		Convey("a claim that was refused and lands later is released", func() {
			store.DelayNextWrites(1, 5*time.Second)
			go func() {
				time.Sleep(10 * time.Millisecond)
				store.UpdateFaults(func(f *memory.Faults) { f.Unavailable = true })
			}()
			_, err := claimOf(c, requestOf("k", 1, now))
			So(err, shouldBeRefused, mesh.ReasonStore)
			time.Sleep(10 * time.Second)
			store.SetFaults(memory.Faults{})
			_, err = claimOf(newClaimer(store, nil), requestOf("k", 1, now))
			So(err, shouldBeRefused, mesh.ReasonInProgress)
			time.Sleep(2 * time.Second)
			_, err = claimOf(c, requestOf("k", 1, now))
			So(err, ShouldBeNil)
		})
	})
}

// TestDarkStore guards against keyed calls that hang, or that execute, while
// the store is unavailable, slow or over its rate.
func TestDarkStore(t *testing.T) {
	inBubble(t, "Given a store that cannot be used", func() {
		ctx, store, now := context.Background(), newMemory(), time.Now()
		c := newClaimer(store, nil)
		for _, faults := range []memory.Faults{
			{Unavailable: true},
			{Latency: time.Hour},
			{WritesPerSecond: 1e-9, LostRequestRatio: 1},
		} {
			store.SetFaults(faults)
			_, err := claimOf(c, requestOf("k", 1, now))
			So(err, shouldBeRefused, mesh.ReasonStore)
			So(err.(*Refusal).Outcome, ShouldEqual, mesh.OutcomeNotExecuted)
			So(time.Since(now), ShouldEqual, DefaultMaxWait)
			short, cancel := context.WithTimeout(ctx, time.Millisecond)
			_, err = c.Claim(short, requestOf("k", 1, now))
			So(err, shouldBeRefused, mesh.ReasonDeadline)
			cancel()
			_, err = c.Claim(short, requestOf("k", 1, now))
			So(err, shouldBeRefused, mesh.ReasonDeadline)
			time.Sleep(time.Minute)
			now = time.Now()
		}
		store.SetFaults(memory.Faults{})
		_, err := claimOf(c, requestOf("k", 1, now))
		So(err, ShouldBeNil)
	})
}

// TestPausedWriter guards against a writer that wakes up after cleanup and
// makes an expired key valid again.
func TestPausedWriter(t *testing.T) {
	inBubble(t, "Given keys that a cleanup has removed while writers were paused", func() {
		ctx, store, begin := context.Background(), newMemory(), time.Now()
		requests := sameShard(3, begin)
		frozen := func(c *Config) { c.Now = func() time.Time { return begin } }
		awake := newClaimer(store, nil)
		paused := newClaimer(store, frozen)
		blocked, woken := make(chan struct{}), make(chan struct{})
		wake := sync.OnceFunc(func() { close(woken) })
		Reset(wake)
		creator := newClaimer(&hookStore{Store: store, before: func(_ kvstore.CallKind, key string) {
			if strings.HasSuffix(key, "floor") {
				close(blocked)
				<-woken
			}
		}}, func(c *Config) { c.CallTimeout = 100 * time.Hour; frozen(c) })

		_, err := claimOf(awake, requests[0])
		So(err, ShouldBeNil)
		_, err = claimOf(paused, requests[1])
		So(err, ShouldBeNil)
		time.Sleep(25 * time.Hour)
		deleted, err := awake.Clean(ctx, 0)
		So(err, ShouldBeNil)
		So(deleted, ShouldEqual, 1)

		Convey("one that knows the old segment does not grant them", func() {
			for _, request := range requests {
				_, err = claimOf(paused, request)
				So(err, shouldBeRefused, mesh.ReasonKeyExpired)
			}
			wake()
		})
		Convey("nor does one that finds a segment created again by another that is paused before it reads the floor", func() {
			refused := make(chan error, 1)
			go func() {
				_, err := claimOf(creator, requests[2])
				refused <- err
			}()
			<-blocked
			_, err = claimOf(paused, requests[0])
			So(err, shouldBeRefused, mesh.ReasonKeyExpired)
			_, err = claimOf(newClaimer(store, frozen), requests[1])
			So(err, shouldBeRefused, mesh.ReasonKeyExpired)
			wake()
			So(<-refused, shouldBeRefused, mesh.ReasonKeyExpired)
			So(creator.shards[0].floor, ShouldBeGreaterThan, bucketOf(begin))
			_, err = awake.Clean(ctx, 0)
			So(err, ShouldBeNil)
			keys, err := store.List(ctx, "claims/00/0", 10)
			So(err, ShouldBeNil)
			So(keys, ShouldBeEmpty)
		})
	})
}

// TestLostWrites guards against granting a key again when the store went back
// to an earlier state and the writer still knows the claim.
func TestLostWrites(t *testing.T) {
	inBubble(t, "Given a store that loses a claim", func() {
		store := newMemory()
		c := newClaimer(store, nil)
		requests := sameShard(2, time.Now())
		for _, request := range requests {
			_, err := claimOf(c, request)
			So(err, ShouldBeNil)
		}
		for lost := range 2 {
			So(store.RewindWrites(lost+1), ShouldEqual, lost+1)
			_, err := claimOf(c, requests[1])
			So(err, shouldBeRefused, mesh.ReasonInProgress)
			_, err = claimOf(newClaimer(store, nil), requests[1])
			So(err, shouldBeRefused, mesh.ReasonInProgress)
		}
	})
}

// TestForeignValue guards against one unreadable segment that stops the other
// buckets of its shard.
func TestForeignValue(t *testing.T) {
	inBubble(t, "Given a segment that another program wrote", func() {
		store, now := newMemory(), time.Now()
		_, err := store.CompareAndSwap(context.Background(), ShardID(0).segmentKey(bucketOf(now), 0), []byte("?"), 0)
		So(err, ShouldBeNil)
		c := newClaimer(store, nil)
		_, err = claimOf(c, sameShard(1, now)[0])
		So(err, shouldBeRefused, mesh.ReasonStore)
		So(time.Since(now), ShouldBeLessThan, time.Second)
		_, err = claimOf(c, sameShard(1, now.Add(-time.Minute))[0])
		So(err, ShouldBeNil)
	})
}

// TestOverHTTP guards against a lost answer that the HTTP adapter does not
// report as such, so that a claim is refused or granted twice.
func TestOverHTTP(t *testing.T) {
	Convey("Given a store behind HTTP that loses answers and requests", t, func() {
		backing := memory.New(memory.WithFaults(memory.Faults{LostAnswerRatio: 0.3, LostRequestRatio: 0.3}))
		server := httptest.NewServer(standin.New(backing, nil))
		defer server.Close()
		store, err := kvstore.Open(httpstore.AdapterName, server.Listener.Addr().String())
		So(err, ShouldBeNil)
		c, err := New(Config{Store: store, MinBatchInterval: time.Millisecond, MaxWait: time.Minute})
		So(err, ShouldBeNil)
		for _, request := range sameShard(30, time.Now()) {
			_, err := claimOf(c, request)
			So(err, ShouldBeNil)
			_, err = claimOf(c, request)
			So(err, shouldBeRefused, mesh.ReasonInProgress)
		}
		So(c.Close(context.Background()), ShouldBeNil)
	})
}
