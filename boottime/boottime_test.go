package boottime_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
)

// TestNowOnlyGrows guards against a clock that goes back or does not advance.
func TestNowOnlyGrows(t *testing.T) {
	Convey("a later read of the clock is greater", t, func() {
		before := boottime.Now()
		for time.Duration(0) == boottime.Now()-before {
		}
		So(boottime.Now(), ShouldBeGreaterThan, before)
	})
}

// TestWatchSuspensionsEnds guards against a goroutine that continues after its context has
// ended.
func TestWatchSuspensionsEnds(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			boottime.WatchSuspensions(ctx, boottime.Now, func(time.Duration) {})
		}()
		time.Sleep(time.Second)
		cancel()
		<-done
	})
}
