package experiments

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Guards against experiments that pass because a cut from the store has no
// effect: all calls must fail, including a watch that already waits.
func TestHostStoreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A cut ends a waiting watch and fails calls until it is healed", t, func() {
			ctx := context.Background()
			s := newHostStore(memory.New())
			ended := make(chan error, 1)
			go func() {
				_, err := s.Watch(ctx, "key", 0)
				ended <- err
			}()
			synctest.Wait()
			s.cut()
			So(errors.Is(<-ended, kvstore.ErrUnavailable), ShouldBeTrue)
			_, err := s.CompareAndSwap(ctx, "key", []byte("a"), 0)
			So(errors.Is(err, kvstore.ErrUnavailable), ShouldBeTrue)
			s.heal()
			_, err = s.CompareAndSwap(ctx, "key", []byte("a"), 0)
			So(err, ShouldBeNil)
		})
	})
}

// Guards against a paused watch holder that still receives new heads.
func TestHostStorePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A paused store gives a watch the entry that it had when the watch ended", t, func() {
			ctx := context.Background()
			s := newHostStore(memory.New())
			resume := s.pause()
			got := make(chan kvstore.Entry, 1)
			go func() {
				entry, _ := s.Watch(ctx, "key", 0)
				got <- entry
			}()
			synctest.Wait()
			revision, err := s.CompareAndSwap(ctx, "key", []byte("old"), 0)
			So(err, ShouldBeNil)
			synctest.Wait()
			_, err = s.CompareAndSwap(ctx, "key", []byte("new"), revision)
			So(err, ShouldBeNil)
			So(got, ShouldBeEmpty)
			resume()
			So(string((<-got).Value), ShouldEqual, "old")
		})
	})
}

// Guards against checks that cannot fail: a configuration that lacks an entry of
// its version must be detected, and a suspicion of a running host counted.
func TestVerification(t *testing.T) {
	Convey("A configuration with other routes is detected", t, func() {
		d, err := emulator.NamedDeployment("laronda")
		So(err, ShouldBeNil)
		whole, err := lists.Compile(withRoute(d.SampleLists(), d, 1))
		So(err, ShouldBeNil)
		old, err := lists.Compile(d.SampleLists())
		So(err, ShouldBeNil)
		So(sameRoutes(whole, whole), ShouldBeTrue)
		So(sameRoutes(old, whole), ShouldBeFalse)
	})
	Convey("Suspicions are counted by whether the suspected host runs", t, func() {
		s := newSuspicions()
		s.setRunning("a", true)
		s.setRunning("b", false)
		logger := s.logger().With("host", "c")
		logger.Log(hclog.Warn, suspectMessage, "event", 1402, "host", mesh.HostID("a"))
		logger.Log(hclog.Warn, suspectMessage, "event", 1402, "host", mesh.HostID("b"))
		logger.Log(hclog.Warn, "hosts declared dead", "host", mesh.HostID("a"))
		falseCount, properCount := s.counts()
		So([]int{falseCount, properCount}, ShouldResemble, []int{1, 1})
	})
	Convey("The peak of store calls is the largest number within one second", t, func() {
		total := uint64(0)
		p := &callPeak{readTotal: func() uint64 { return total }}
		for i := range 100 {
			if i < 20 {
				total += 5
			}
			p.sample()
		}
		So(p.highest, ShouldEqual, 95)
	})
}

// Guards against a churn run without restarts or failures on a small mesh.
func TestChurnPlan(t *testing.T) {
	Convey("The restarts and failures of a day are scaled to the mesh and rounded up", t, func() {
		So(planChurn(750), ShouldResemble, churnPlan{restarts: 150, failures: 3})
		So(planChurn(200), ShouldResemble, churnPlan{restarts: 40, failures: 1})
		So(planChurn(11), ShouldResemble, churnPlan{restarts: 3, failures: 1})
		So(failureDuration, ShouldBeGreaterThan, 8*time.Second)
	})
}
