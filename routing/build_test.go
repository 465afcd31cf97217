package routing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func testVersion() *lists.Version {
	orders := &lists.Service{Name: "orders"}
	return &lists.Version{ID: mesh.VersionID{Sequence: 3}, Config: &lists.Config{
		Services: map[mesh.ServiceName]*lists.Service{"orders": orders},
	}}
}

// Guards against calls to hosts and endpoints that do not accept new calls, and to
// services that the version does not configure (I2, I7).
func TestBuildTargets(t *testing.T) {
	Convey("Given hosts in every state", t, func() {
		ready := membership.Endpoint{ID: "e", Service: "orders", Slots: 4, State: membership.EndpointReady}
		view := &membership.View{Hosts: map[mesh.HostID]*membership.Record{}}
		for state := membership.StateAlive; state <= membership.StateLeft; state++ {
			id := mesh.HostID('a' + rune(state))
			view.Hosts[id] = &membership.Record{Host: id, State: state, CallAddress: "127.0.0.1:1", Endpoints: []membership.Endpoint{ready}}
		}
		draining, unconfigured := ready, ready
		draining.ID, draining.State = "d", membership.EndpointDraining
		unconfigured.ID, unconfigured.Service = "u", "billing"
		view.Hosts["b"].Endpoints = append(view.Hosts["b"].Endpoints, draining, unconfigured)

		s := Build(testVersion(), view)
		So(s.Targets["billing"], ShouldBeEmpty)
		var keys []Key
		for _, target := range s.Targets["orders"] {
			keys = append(keys, target.Key())
		}
		So(keys, ShouldResemble, []Key{{"b", "e"}, {"c", "e"}})
	})
	Convey("Without a version there is no route", t, func() {
		So(Build(nil, nil).Match(&lists.Customer{Plan: &lists.Plan{}}, "/"), ShouldBeNil)
	})
}

// Guards against matching a route whose service is not configured, and a prefix that
// ends within a path segment.
func TestMatch(t *testing.T) {
	Convey("Given a plan with routes", t, func() {
		version := testVersion()
		known := &lists.Route{Name: "p/orders", PathPrefix: "/orders", Service: version.Config.Services["orders"]}
		orphan := &lists.Route{Name: "p/billing", PathPrefix: "/billing", Service: &lists.Service{Name: "billing"}}
		customer := &lists.Customer{Plan: &lists.Plan{Routes: []*lists.Route{orphan, known}}}
		s := Build(version, nil)
		So(s.Match(customer, "/orders/7"), ShouldEqual, known)
		So(s.Match(customer, "/orders"), ShouldEqual, known)
		So(s.Match(customer, "/orders-old"), ShouldBeNil)
		So(s.Match(customer, "/billing"), ShouldBeNil)
	})
}
