package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Guards against levels that do not follow the pressure, that reject roots of
// another rank, or that decide differently about the same root.
func TestLevels(t *testing.T) {
	Convey("Given a service under pressure from bulk calls", t, func() {
		now := time.Unix(1000, 0)
		c := New(Config{Clock: func() time.Time { return now }})
		observe := func(pressure float64, intervals int) {
			for range intervals {
				now = now.Add(minLevelInterval)
				for range minLevelSamples {
					c.Observe("s", mesh.RankBulk, pressure)
				}
			}
		}
		admitted := func(rank mesh.Rank) map[string]bool {
			set := map[string]bool{}
			for i := range 2000 {
				if call := fmt.Sprint(i); c.levelFor("s", rank, now).admits("a", mesh.CallID(call), now) {
					set[call] = true
				}
			}
			return set
		}
		observe(3, 20)
		low := admitted(mesh.RankBulk)
		So(len(low), ShouldBeBetween, 100, 500)
		So(len(admitted(mesh.RankUrgent)), ShouldEqual, 2000)

		Convey("it recovers step by step and still admits each root admitted before", func() {
			observe(0.2, 10)
			higher := admitted(mesh.RankBulk)
			So(len(higher), ShouldBeBetween, len(low), 2000)
			for call := range low {
				So(higher[call], ShouldBeTrue)
			}
			observe(0.2, 50)
			So(len(admitted(mesh.RankBulk)), ShouldEqual, 2000)
		})
		Convey("it also recovers without responses", func() {
			observe(100, 100)
			route := &lists.Route{Service: &lists.Service{Name: "s"}, Rank: mesh.RankBulk}
			plan := &lists.Plan{RatePerSecond: 1e6, Burst: 1e6, Concurrency: 1e6}
			rejected, last := 0, false
			for i := range 6000 {
				now = now.Add(time.Millisecond)
				call := mesh.CallID(fmt.Sprint(i))
				_, err := c.AdmitRoot(context.Background(), Root{Call: call, Customer: &lists.Customer{ID: "a", Plan: plan}, Route: route})
				last = err == nil
				if reasonOf(err) == mesh.ReasonOverload {
					rejected++
				}
			}
			So(rejected, ShouldBeGreaterThan, 1000)
			So(last, ShouldBeTrue)
		})
	})
}

func benchController() (*Controller, Root) {
	c := New(Config{Host: "h1", Domain: "d1"})
	plan := &lists.Plan{RatePerSecond: 1e9, Burst: 1e9, Concurrency: 1e9}
	return c, Root{
		Call: "0123456789abcdef", Customer: &lists.Customer{ID: "acme", Plan: plan},
		Route: &lists.Route{Service: &lists.Service{Name: "s"}},
	}
}

// All goroutines use the same customer, the worst case of lock contention. Run
// with -cpu 1,8.
func BenchmarkAdmitRoot(b *testing.B) {
	c, root := benchController()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			t, err := c.AdmitRoot(context.Background(), root)
			if err != nil {
				b.Error(err)
				return
			}
			t.Done()
		}
	})
}

// Guards against a decoder that panics on malformed messages or accepts too many
// entries.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa2, 1, 1, 2, 0x81, 0x84, 0x61, 'a', 1, 1, 0})
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, body []byte) {
		if d, err := decode[Demand](body); err == nil && len(d.Entries) > maxEntries {
			t.Fatalf("%d entries", len(d.Entries))
		}
		_, _ = decode[Grant](body)
	})
}

// A tick with 1000 customers whose quota coordinator is this node.
func BenchmarkTick(b *testing.B) {
	now := time.Unix(1000, 0)
	c, root := benchController()
	c.clock = func() time.Time { return now }
	c.Configure(nil, &membership.View{})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(DemandInterval)
		for i := range 1000 {
			customer := *root.Customer
			customer.ID = mesh.CustomerID(fmt.Sprint(i))
			if t, err := c.AdmitRoot(context.Background(), Root{Call: "c", Customer: &customer, Route: root.Route}); err == nil {
				t.Done()
			}
		}
		c.Tick(context.Background())
	}
}
