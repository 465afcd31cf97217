package peers_test

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Guards against plans that lose their workspaces on the way between hosts, by which every
// key would be accepted, and against hosts of earlier programs that do.
func TestPlansWithWorkspaces(t *testing.T) {
	keyed := &routeplan.WorkspaceDelta{
		Put:  []routeplan.Workspace{{Name: "w", Keys: []routeplan.Fingerprint{routeplan.FingerprintOf("k")}, HasRank: true, Rank: 2, CallsPerSecond: 1.5, Burst: 3}},
		Drop: nil, Public: []string{"r"},
	}
	inBubble(t, "a host with a plan with workspaces", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, echo)
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		b.waitForPeers(1)
		b.version.Store(7)
		b.workspaces.Store(keyed)
		So(a.RequestPlan("b", 4), ShouldBeNil)
		d := <-a.plans
		So(d.Workspaces, ShouldResemble, keyed)
		So(d.Base, ShouldEqual, 4)
		So(d.Version, ShouldEqual, 7)
		So(d.MayLackWorkspaces, ShouldBeFalse)

		b.SetEarlierProgram("a")
		So(a.RequestPlan("b", 4), ShouldBeNil)
		So(a.RequestPlan("b", 5), ShouldBeNil)
		So((<-a.plans).Base, ShouldEqual, 5) // The first request got no plan.

		a.SetEarlierProgram("b")
		So(a.RequestPlan("b", 5), ShouldBeNil)
		So((<-a.plans).MayLackWorkspaces, ShouldBeTrue)
	})
}

// Guards against a workspace that is lost, or taken from another call, on the way to the gate.
func TestWorkspacesOfCallsReachTheOtherHost(t *testing.T) {
	received := make(chan call.Call, 1)
	inBubble(t, "calls with and without a workspace", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 2, func(ctx context.Context, c *call.Call) call.Result {
			received <- *c
			return echo(ctx, c)
		})
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		for _, sent := range []call.Call{
			{Workspace: "w", Rank: 1, ClassRank: 4},
			{Workspace: "w", Rank: 1, ClassRank: 4, Nested: true, Kind: routeplan.Idempotent},
			{Rank: 4, ClassRank: 4, ResponseBytes: 1 << 20},
			{Rank: 4, ClassRank: 4},
		} {
			c := newCall(nil)
			c.Workspace, c.Rank, c.ClassRank, c.Nested, c.ResponseBytes, c.Kind = sent.Workspace, sent.Rank, sent.ClassRank, sent.Nested, sent.ResponseBytes, sent.Kind
			So(a.ByService("s")[0].Run(context.Background(), c).Outcome, ShouldEqual, call.Answered)
			got := <-received
			So([]any{got.Workspace, got.Rank, got.ClassRank, got.Nested, got.ResponseBytes}, ShouldResemble,
				[]any{sent.Workspace, sent.Rank, sent.ClassRank, sent.Nested, sent.ResponseBytes})
		}
	})
}

// FuzzKeyedPlan guards against a panic, and a plan without its workspaces, whatever a peer
// sends as a plan with workspaces.
func FuzzKeyedPlan(f *testing.F) {
	plan := routeplan.Delta{
		Version: 3, Services: []routeplan.Service{{Name: "s"}}, Limits: routeplan.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
		Workspaces: &routeplan.WorkspaceDelta{Put: []routeplan.Workspace{{Name: "w", Keys: []routeplan.Fingerprint{{1}}, CallsPerSecond: 5}}, Drop: nil, Public: []string{"r"}},
	}
	f.Add(peers.EncodeKeyedPlan(plan))
	plan.Base = 2
	f.Add(peers.EncodeKeyedPlan(plan))
	base := &routeplan.Plan{Version: 2, Limits: plan.Limits, Workspaces: []routeplan.Workspace{{Name: "v"}}}
	if err := base.Compile(); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		d, err := peers.DecodeKeyedPlan(transport.Message{Kind: transport.KindKeyedPlanValue, Body: body})
		if err != nil {
			return
		}
		if d.Workspaces == nil {
			t.Fatal("plan without workspaces")
		}
		p, err := d.Apply(base)
		if err != nil {
			return
		}
		for i := range p.Workspaces {
			if w := &p.Workspaces[i]; w.Name == "" || w.CallsPerSecond < 0 || w.Burst < 0 {
				t.Fatalf("%+v", w)
			}
		}
	})
}
