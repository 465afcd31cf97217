package boottime_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
)

// Guards against a clock that goes back or stands still.
func TestNowOnlyGrows(t *testing.T) {
	Convey("two reads with work between them", t, func() {
		before := boottime.Now()
		for time.Duration(0) == boottime.Now()-before {
		}
		So(boottime.Now(), ShouldBeGreaterThan, before)
	})
}

// Guards against a watch that goes on after its context has ended.
func TestWatchEnds(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			boottime.Watch(ctx, func(time.Duration) {})
		}()
		time.Sleep(time.Second)
		cancel()
		<-done
	})
}
