package admission

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func reasonOf(err error) mesh.Reason {
	var r *Rejection
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// Guards against a concurrency slot that is lost or released twice.
func TestConcurrencyLimit(t *testing.T) {
	Convey("Given a customer with a concurrency limit of one root call", t, func() {
		plan := &lists.Plan{Name: "small", RatePerSecond: 100, Burst: 10, Concurrency: 1}
		root := Root{Call: "r", Customer: &lists.Customer{ID: "acme", Plan: plan}, Route: &lists.Route{Service: &lists.Service{Name: "s"}}}
		c := New(Config{Host: "h1", Domain: "d1"})
		first, err := c.AdmitRoot(context.Background(), root)
		So(err, ShouldBeNil)
		_, err = c.AdmitRoot(context.Background(), root)
		So(reasonOf(err), ShouldEqual, mesh.ReasonConcurrencyLimit)
		first.Done()
		first.Done()
		second, err := c.AdmitRoot(context.Background(), root)
		So(err, ShouldBeNil)
		_, err = c.AdmitRoot(context.Background(), root)
		So(reasonOf(err), ShouldEqual, mesh.ReasonConcurrencyLimit)
		second.Done()
	})
}

// Guards against data races between requests, responses, ticks and changes of the
// lists, and against roots that are still counted as in flight after they ended.
func TestConcurrentUse(t *testing.T) {
	Convey("Roots, responses, ticks and changes of the lists may run concurrently", t, func() {
		plan := &lists.Plan{RatePerSecond: 1e6, Burst: 1000, Concurrency: 1000}
		cust := &lists.Customer{ID: "acme", Plan: plan}
		root := Root{Call: "r", Customer: cust, Route: &lists.Route{Service: &lists.Service{Name: "s"}}}
		config := &lists.Config{Customers: map[mesh.CustomerID]*lists.Customer{"acme": cust}}
		c := New(Config{Host: "h1", Domain: "d1"})
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				for n := range 200 {
					if ticket, err := c.AdmitRoot(context.Background(), root); err == nil {
						ticket.Done()
					}
					c.Observe("s", mesh.RankUrgent, float64(n%4))
					if i == 0 {
						c.Configure(config, &membership.View{})
						c.Tick(context.Background())
					}
				}
			})
		}
		wg.Wait()
		v, _ := c.customers.Load(cust.ID)
		So(v.(*customer).inFlight.Load(), ShouldEqual, 0)
	})
}
