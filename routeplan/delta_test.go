package routeplan_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/routeplan"
)

func drawPlan(t *rapid.T, version uint64) *routeplan.Plan {
	var routes []routeplan.Route
	for i := range 8 {
		if rapid.Bool().Draw(t, "has") {
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			part := routeplan.WeightedService{Weight: float64(rapid.IntRange(1, 9).Draw(t, "weight"))}
			part.Service = "a"
			if service == "b" {
				part.Service = "b"
			}
			routes = append(routes, route(fmt.Sprint("r", i), "h", fmt.Sprintf("/%d/", i), part))
		}
	}
	return plan(version, routes...)
}

// Guards against hosts with different plans of the same version, because one got it
// as a delta and the other as a whole.
func TestDifferencesLeadToTheSamePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawPlan(t, 1), drawPlan(t, 2)
		if from.Compile() != nil || to.Compile() != nil {
			t.Fatal("drawn plans are valid")
		}
		for _, base := range []*routeplan.Plan{from, nil} {
			encoded, err := cbor.Marshal(to.Diff(base))
			if err != nil {
				t.Fatal(err)
			}
			var d routeplan.Delta
			if err := cbor.Unmarshal(encoded, &d); err != nil {
				t.Fatal(err)
			}
			got, err := d.Apply(from)
			if err != nil {
				t.Fatal(err)
			}
			if len(got.Routes) != len(to.Routes) || got.Version != to.Version || got.Limits != to.Limits {
				t.Fatalf("got %+v, want %+v", got, to)
			}
			for i := range to.Routes {
				want := &to.Routes[i]
				r := got.Match(want.Host, want.Prefix)
				if r == nil || r.Name != want.Name || r.Split[0] != want.Split[0] || r.Timeout != want.Timeout {
					t.Fatalf("route %s is %+v", want.Name, r)
				}
			}
		}
	})
	Convey("a delta with another base version is rejected", t, func() {
		d := plan(3).Diff(plan(2))
		_, err := d.Apply(plan(1))
		So(err, ShouldNotBeNil)
		_, err = d.Apply(nil)
		So(err, ShouldNotBeNil)
	})
}
