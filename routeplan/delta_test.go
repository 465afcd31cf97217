package routeplan_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/mesh"
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
	p := plan(version, routes...)
	for i := range 4 {
		if rapid.Bool().Draw(t, "has workspace") {
			w := routeplan.Workspace{Name: mesh.WorkspaceName(fmt.Sprint("w", i)), CallsPerSecond: float64(rapid.IntRange(0, 2).Draw(t, "rate"))}
			for k := range rapid.IntRange(0, 2).Draw(t, "keys") {
				w.Keys = append(w.Keys, routeplan.FingerprintOf(fmt.Sprint(i, k)))
			}
			p.Workspaces = append(p.Workspaces, w)
		}
	}
	for i := range p.Routes {
		p.Routes[i].Public = len(p.Workspaces) > 0 && rapid.Bool().Draw(t, "public")
	}
	return p
}

// sorted returns the workspaces in the order of their names.
func sorted(workspaces []routeplan.Workspace) []routeplan.Workspace {
	return slices.SortedFunc(slices.Values(workspaces), func(a, b routeplan.Workspace) int { return strings.Compare(string(a.Name), string(b.Name)) })
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
			encoded, err = cbor.Marshal(to.Diff(base).Workspaces)
			if err != nil {
				t.Fatal(err)
			}
			if err := cbor.Unmarshal(encoded, &d.Workspaces); err != nil {
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
				if r == nil || r.Name != want.Name || r.Split[0] != want.Split[0] || r.Timeout != want.Timeout || r.Public != want.Public {
					t.Fatalf("route %s is %+v", want.Name, r)
				}
			}
			if a, b := fmt.Sprint(sorted(got.Workspaces)), fmt.Sprint(sorted(to.Workspaces)); a != b || got.RequiresKeys() != to.RequiresKeys() {
				t.Fatalf("workspaces %s, want %s", a, b)
			}
			for i := range 8 {
				key := fmt.Sprint(i/2, i%2)
				if a, b := got.WorkspaceOf(key), to.WorkspaceOf(key); (a == nil) != (b == nil) || a != nil && a.Name != b.Name {
					t.Fatalf("key %s is held by %+v, want %+v", key, a, b)
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
