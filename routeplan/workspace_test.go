package routeplan_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

func workspaceOf(name string, keys ...string) routeplan.Workspace {
	w := routeplan.Workspace{Name: mesh.WorkspaceName(name)}
	for _, key := range keys {
		w.Keys = append(w.Keys, routeplan.FingerprintOf(key))
	}
	return w
}

// manyKeys returns a plan with workspaces of 5 keys each.
func manyKeys(version uint64, workspaces int) *routeplan.Plan {
	p := plan(version)
	for i := range workspaces {
		w := workspaceOf(fmt.Sprint("w", i))
		for k := range 5 {
			w.Keys = append(w.Keys, routeplan.FingerprintOf(fmt.Sprint(i, "/", k)))
		}
		p.Workspaces = append(p.Workspaces, w)
	}
	return p
}

// Guards against plans in which it is not clear whose call it is, and against names that
// would change the head of a request.
func TestWorkspacesAreValidated(t *testing.T) {
	for name, c := range map[string]struct {
		workspaces []routeplan.Workspace
		err        error
	}{
		"distinct keys":               {[]routeplan.Workspace{workspaceOf("a", "1", "2"), workspaceOf("b", "3")}, nil},
		"no keys":                     {[]routeplan.Workspace{workspaceOf("a"), workspaceOf("Zoë & Söhne")}, nil},
		"a key twice":                 {[]routeplan.Workspace{workspaceOf("a", "1", "1")}, nil},
		"a shared key":                {[]routeplan.Workspace{workspaceOf("a", "1", "2"), workspaceOf("b", "2")}, routeplan.ErrSharedKey},
		"a name twice":                {[]routeplan.Workspace{workspaceOf("a", "1"), workspaceOf("a", "2")}, routeplan.ErrWorkspace},
		"no name":                     {[]routeplan.Workspace{workspaceOf("", "1")}, routeplan.ErrWorkspace},
		"a name with a line break":    {[]routeplan.Workspace{workspaceOf("a\r\nX: y", "1")}, routeplan.ErrWorkspace},
		"a name with a space outside": {[]routeplan.Workspace{workspaceOf("a ", "1")}, routeplan.ErrWorkspace},
		"a negative rate":             {[]routeplan.Workspace{{Name: "a", CallsPerSecond: -1}}, routeplan.ErrWorkspace},
	} {
		Convey(name, t, func() {
			p := plan(1)
			p.Workspaces = c.workspaces
			So(errors.Is(p.Compile(), c.err), ShouldBeTrue)
		})
	}
}

// Guards against keys that are lost or kept when many change at once.
func TestPlansWithManyKeys(t *testing.T) {
	Convey("a version that replaces a tenth of 5,000 keys", t, func() {
		from, to := manyKeys(1, 1000), manyKeys(2, 1000)
		for i := 0; i < 1000; i += 10 {
			to.Workspaces[i] = workspaceOf(fmt.Sprint("w", i), fmt.Sprint("new-", i))
		}
		So(from.Compile(), ShouldBeNil)
		So(to.Compile(), ShouldBeNil)
		d := to.Diff(from)
		So(d.Workspaces.Put, ShouldHaveLength, 100)
		So(d.Workspaces.Drop, ShouldBeEmpty)
		got, err := d.Apply(from)
		So(err, ShouldBeNil)
		So(got.WorkspaceOf("new-10").Name, ShouldEqual, mesh.WorkspaceName("w10"))
		So(got.WorkspaceOf("10/0"), ShouldBeNil)
		So(got.WorkspaceOf("11/4").Name, ShouldEqual, mesh.WorkspaceName("w11"))
		So(got.KeyChanges(from), ShouldResemble, routeplan.KeyChanges{Added: 100, Removed: 500})
	})
	Convey("keys that change places and a workspace that ends", t, func() {
		from, to := plan(1), plan(2)
		from.Workspaces = []routeplan.Workspace{workspaceOf("a", "1"), workspaceOf("b", "2"), workspaceOf("c", "3")}
		to.Workspaces = []routeplan.Workspace{workspaceOf("a", "2"), workspaceOf("b", "1")}
		So(from.Compile(), ShouldBeNil)
		So(to.Compile(), ShouldBeNil)
		got, err := to.Diff(from).Apply(from)
		So(err, ShouldBeNil)
		So(got.WorkspaceOf("1").Name, ShouldEqual, mesh.WorkspaceName("b"))
		So(got.WorkspaceOf("2").Name, ShouldEqual, mesh.WorkspaceName("a"))
		So(got.WorkspaceOf("3"), ShouldBeNil)
		So(got.KeyChanges(from), ShouldResemble, routeplan.KeyChanges{Removed: 1, Moved: 2})
	})
}

// BenchmarkPlanWithKeys measures Compile, Diff and Apply for each key.
func BenchmarkPlanWithKeys(b *testing.B) {
	for _, workspaces := range []int{200, 2000, 20_000} {
		b.Run(fmt.Sprint(5*workspaces, " keys"), func(b *testing.B) {
			from, to := manyKeys(1, workspaces), manyKeys(2, workspaces)
			if err := from.Compile(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := to.Compile(); err != nil {
					b.Fatal(err)
				}
				if _, err := to.Diff(from).Apply(from); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*5*workspaces), "ns/key")
		})
	}
}
