package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func reasonOf(err error) mesh.Reason {
	var r *Rejection
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func testService() lists.Service {
	return lists.Service{Name: "route-app", OtherShare: 0.2, LongShare: 0.5, MaxQueue: 8}
}

// Guards against a slot that is counted twice or leaked, and against a drain that
// interrupts a running call or does not wait for it.
func TestSlotLifeCycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a gate with one slot in use", t, func() {
			g := New(Config{Endpoint: "e1", Service: testService(), Slots: 1})
			first, err := g.Acquire(context.Background(), Call{ID: "1"})
			So(err, ShouldBeNil)

			Convey("a cancelled call is removed from the queue", func() {
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(time.Second, cancel)
				_, err := g.Acquire(ctx, Call{ID: "2"})
				So(reasonOf(err), ShouldEqual, mesh.ReasonCancelled)
				So(g.Load().Queued, ShouldEqual, 0)
			})
			Convey("a waiting call is rejected when it can no longer meet its deadline", func() {
				start := time.Now()
				_, err := g.Acquire(context.Background(), Call{ID: "2", Deadline: start.Add(time.Second)})
				So(reasonOf(err), ShouldEqual, mesh.ReasonDeadline)
				So(time.Since(start), ShouldEqual, time.Second)
			})
			Convey("a call whose context is already done is rejected, whatever its rank", func() {
				ctx, cancel := context.WithTimeout(context.Background(), 0)
				defer cancel()
				_, err := g.Acquire(ctx, Call{ID: "2", Rank: 200})
				So(reasonOf(err), ShouldEqual, mesh.ReasonDeadline)
			})
			Convey("a second release has no effect", func() {
				first.Release(0)
				first.Release(0)
				So(g.Load().InUse, ShouldEqual, 0)
			})
			Convey("a drain rejects waiting calls and waits for the running call", func() {
				rejected := make(chan error, 1)
				go func() {
					_, err := g.Acquire(context.Background(), Call{ID: "3"})
					rejected <- err
				}()
				synctest.Wait()
				g.Drain()
				So(reasonOf(<-rejected), ShouldEqual, mesh.ReasonDraining)
				select {
				case <-g.Drained():
					t.Error("drained while a call runs")
				default:
				}
				first.Release(time.Second)
				<-g.Drained()
			})
		})
	})
}

// Guards against metrics that are not registered, or not unregistered on Close.
func TestMetrics(t *testing.T) {
	Convey("A gate reports its metrics until it is closed", t, func() {
		reader := metric.NewManualReader()
		meter := metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")
		g := New(Config{Service: testService(), Slots: 1, Meter: meter})
		collected := func() int {
			var data metricdata.ResourceMetrics
			So(reader.Collect(context.Background(), &data), ShouldBeNil)
			n := 0
			for _, scope := range data.ScopeMetrics {
				n += len(scope.Metrics)
			}
			return n
		}
		g.Drain()
		_, err := g.Acquire(context.Background(), Call{})
		So(reasonOf(err), ShouldEqual, mesh.ReasonDraining)
		So(collected(), ShouldEqual, 6)
		So(g.Close(), ShouldBeNil)
		So(collected(), ShouldEqual, 0)
	})
}

// Guards against a load header that another node cannot parse, and against
// malformed headers that are accepted.
func TestLoadHeader(t *testing.T) {
	Convey("A load is the same after String and ParseLoad", t, func() {
		l := Load{InUse: 3, Slots: 20, Queued: 7, QueueDelay: 1500 * time.Microsecond, Pressure: 2.5}
		l.ByRank = [mesh.RankCount]float64{0.5, 1, 2.5}
		got, err := ParseLoad(l.String())
		So(err, ShouldBeNil)
		So(got, ShouldResemble, l)
		for _, bad := range []string{"", "1,2", "1,2,3,4,5,6,7,8,9", "-1,2,3,4,5,6,7,8", "a,2,3,4,5,6,7,8"} {
			_, err := ParseLoad(bad)
			So(errors.Is(err, ErrBadLoad), ShouldBeTrue)
		}
	})
}
