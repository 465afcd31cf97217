package memory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// TestTime guards against latency, write delays, leases and rate limits that do
// not follow the clock, and against wrong counts of watches and peaks.
func TestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Latency, delayed writes and lease expiry follow the clock", t, func() {
			ctx := context.Background()
			s := New(WithFaults(Faults{Latency: 10 * time.Millisecond}))
			begin := time.Now()
			revision, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0)
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldEqual, 10*time.Millisecond)

			shortCtx, cancel := context.WithTimeout(ctx, 7*time.Millisecond)
			defer cancel()
			_, err = s.CompareAndSwap(shortCtx, "k", []byte("2"), revision)
			So(errors.Is(err, kvstore.ErrUnknown), ShouldBeTrue)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			entry, err := s.Get(ctx, "k")
			So(err, ShouldBeNil)
			So(entry.Value, ShouldResemble, []byte("2"))

			s.DelayNextWrites(1, time.Second)
			_, err = s.CompareAndSwap(ctx, "k", []byte("3"), entry.Revision)
			So(err, ShouldEqual, kvstore.ErrUnknown)
			delayed, err := s.Watch(ctx, "k", entry.Revision)
			So(err, ShouldBeNil)
			So(delayed.Value, ShouldResemble, []byte("3"))
			So(time.Since(begin), ShouldBeGreaterThan, time.Second)

			lease, err := s.AcquireLease(ctx, "l", "h", time.Second)
			So(err, ShouldBeNil)
			time.Sleep(2 * time.Second)
			So(s.RenewLease(ctx, lease), ShouldEqual, kvstore.ErrLeaseLost)
		})
		Convey("Watches end when the store becomes unavailable and are counted while they wait", t, func() {
			s := New()
			failed := make(chan error)
			go func() {
				_, err := s.Watch(context.Background(), "k", 0)
				failed <- err
			}()
			synctest.Wait()
			So(s.Counts().WaitingWatches, ShouldEqual, 1)
			s.SetFaults(Faults{Unavailable: true})
			So(<-failed, ShouldEqual, kvstore.ErrUnavailable)
			So(s.Counts().WaitingWatches, ShouldEqual, 0)
		})
		Convey("Limits, ratios and peaks follow the clock and the seed", t, func() {
			ctx := context.Background()
			s := New(WithSeed(7), WithFaults(Faults{WritesPerSecond: 100, LostAnswerRatio: 0.5}))
			written, lost := 0, 0
			for range 300 {
				_, err := s.CompareAndSwap(ctx, "k", nil, 0)
				switch {
				case err == nil:
					written++
				case errors.Is(err, kvstore.ErrUnknown):
					lost++
				}
			}
			So(written+lost, ShouldEqual, 100)
			So(lost, ShouldBeBetween, 30, 70)
			So(s.Counts().PeakPerSecond, ShouldEqual, 300)
			So(s.Counts().Writes(), ShouldEqual, 300)
		})
		Convey("A rewind to a time loses the writes after it", t, func() {
			ctx := context.Background()
			s := New()
			_, _ = s.CompareAndSwap(ctx, "k", []byte("1"), 0)
			mark := time.Now()
			time.Sleep(time.Second)
			_, _ = s.CompareAndSwap(ctx, "k", []byte("2"), 1)
			So(s.RewindTo(mark), ShouldEqual, 1)
			entry, err := s.Get(ctx, "k")
			So(err, ShouldBeNil)
			So(entry, ShouldResemble, kvstore.Entry{Key: "k", Value: []byte("1"), Revision: 1})
		})
	})
}
