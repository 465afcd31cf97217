package routeplan_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/routeplan"
)

func route(name, host, prefix string, parts ...routeplan.WeightedService) routeplan.Route {
	return routeplan.Route{
		Name: name, Host: host, Prefix: prefix, Kind: routeplan.Idempotent, Timeout: time.Second, LatencyTarget: time.Second / 2,
		MaxAttempts: 2, Split: parts,
	}
}

func plan(version uint64, routes ...routeplan.Route) *routeplan.Plan {
	return &routeplan.Plan{
		Version: version, Routes: routes, Services: []routeplan.Service{{Name: "a"}, {Name: "b"}},
		Limits: routeplan.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
	}
}

// Guards against a call that gets the route of a shorter prefix, of another host, or
// of a prefix that ends within a path segment.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	Convey("routes with nested prefixes", t, func() {
		part := routeplan.WeightedService{Service: "a", Weight: 1}
		p := plan(1, route("root", "h", "/", part), route("x", "h", "/x/", part), route("xy", "h", "/x/y/", part), route("other", "g", "/x/y/", part))
		So(p.Compile(), ShouldBeNil)
		for path, name := range map[string]string{
			"/": "root", "/x": "root", "/x/": "x", "/x/y": "x", "/x/y/": "xy", "/x/y/z": "xy", "/xy/": "root",
		} {
			So(p.Match("h", path).Name, ShouldEqual, name)
		}
		So(p.Match("g", "/x/"), ShouldBeNil)
		So(p.Match("unknown", "/"), ShouldBeNil)
	})
}

// Guards against a plan that is used in part.
func TestCompileRejectsThePlanAsAWhole(t *testing.T) {
	Convey("one bad route makes the plan unusable", t, func() {
		good := route("good", "h", "/", routeplan.WeightedService{Service: "a", Weight: 1})
		for name, bad := range map[string]routeplan.Route{
			"unknown service": route("r", "h", "/r/", routeplan.WeightedService{Service: "c", Weight: 1}),
			"no part":         route("r", "h", "/r/"),
			"zero weights":    route("r", "h", "/r/", routeplan.WeightedService{Service: "a"}),
			"negative weight": route("r", "h", "/r/", routeplan.WeightedService{Service: "a", Weight: -1}, routeplan.WeightedService{Service: "b", Weight: 2}),
			"no slash":        route("r", "h", "/r", routeplan.WeightedService{Service: "a", Weight: 1}),
			"duplicate route": route("r", "h", "/", routeplan.WeightedService{Service: "a", Weight: 1}),
			"no host":         route("r", "", "/r/", routeplan.WeightedService{Service: "a", Weight: 1}),
		} {
			Convey(name, func() { So(plan(1, good, bad).Compile(), ShouldNotBeNil) })
		}
		Convey("version zero", func() { So(plan(0, good).Compile(), ShouldEqual, routeplan.ErrNoVersion) })
	})
}

// Guards against a host that activates an older version.
func TestOlderPlanIsNeverActivated(t *testing.T) {
	Convey("versions that arrive out of order", t, func() {
		var current routeplan.ActivePlan
		So(current.Activate(plan(5)), ShouldBeTrue)
		So(current.Activate(plan(4)), ShouldBeFalse)
		So(current.Activate(plan(5)), ShouldBeFalse)
		So(current.Load().Version, ShouldEqual, 5)
		So(current.Activate(plan(9)), ShouldBeTrue)
	})
}

// Guards against a traffic split that deviates from its weights.
func TestSplitterKeepsTheWeightsAtAnyMoment(t *testing.T) {
	Convey("weights 90 and 10, and a part without weight", t, func() {
		r := route("r", "h", "/", routeplan.WeightedService{Service: "a", Weight: 90}, routeplan.WeightedService{Service: "b", Weight: 10}, routeplan.WeightedService{Service: "c"})
		var s routeplan.Splitter
		count := map[string]int{}
		for i := 1; i <= 1000; i++ {
			count[string(s.Choose(&r).Service)]++
			So(float64(count["b"]), ShouldAlmostEqual, float64(i)*0.1, 1)
		}
		So(count["c"], ShouldEqual, 0)
		Convey("new weights reset the state", func() {
			r.Split = []routeplan.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
			b := 0
			for range 100 {
				if s.Choose(&r).Service == "b" {
					b++
				}
			}
			So(b, ShouldEqual, 50)
		})
	})
}
