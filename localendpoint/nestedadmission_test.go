package localendpoint_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

// Guards against calls that are executed in vain because their nested calls find no slots,
// and against calls that are rejected after the shortage or because of another workspace.
func TestCallsAreLimitedByTheRejectionsOfTheirNestedCalls(t *testing.T) {
	class := slotqueue.Class{Kind: routeplan.AtMostOnce, Rank: 1}
	const perSecond, lookups = 40, 2
	// play offers calls that make two look-ups each, of which the given number a second is
	// executed and the others are rejected. It returns the calls whose look-ups all were.
	play := func(a *localendpoint.NestedAdmission, workspace mesh.WorkspaceName, from boottime.Time, seconds, lookupsPerSecond int, admits bool) (succeeded, admitted int) {
		random := rand.New(rand.NewPCG(1, 2))
		tokens := 0.0
		for i := range seconds * perSecond {
			now := from + time.Duration(i)*time.Second/perSecond
			tokens = min(tokens+float64(lookupsPerSecond)/perSecond, float64(lookupsPerSecond)/4)
			if admits && !a.Admits(class, workspace, random.Float64(), now) {
				continue
			}
			admitted++
			// The look-ups of other calls take slots in between.
			rejected := false
			for range lookups {
				if random.Float64() < tokens/4 {
					tokens--
				} else {
					rejected = true
				}
			}
			a.Record(class, workspace, rejected, now)
			if !rejected {
				succeeded++
			}
		}
		return succeeded, admitted
	}
	Convey("look-ups for half of the calls", t, func() {
		without, _ := play(localendpoint.NewNestedAdmission(), "a", 0, 30, perSecond, false)
		a := localendpoint.NewNestedAdmission()
		with, admitted := play(a, "a", 0, 30, perSecond, true)
		// The minimum of the project's gate: four fifths of what is possible.
		So(with, ShouldBeGreaterThan, 30*perSecond/lookups*4/5)
		So(without, ShouldBeLessThan, 30*perSecond/lookups/2)
		So(admitted, ShouldBeLessThan, 30*perSecond*3/4)
		Convey("calls of a workspace without rejections are not limited", func() {
			So(a.Admits(class, "a", 0.99, 30*time.Second), ShouldBeFalse)
			So(a.Admits(class, "b", 0.99, 30*time.Second), ShouldBeTrue)
		})
		Convey("after the shortage all calls are admitted again", func() {
			play(a, "a", 30*time.Second, 15, 1000, true)
			_, admitted := play(a, "a", 45*time.Second, 5, 1000, true)
			So(admitted, ShouldEqual, 5*perSecond)
			So(a.LowestLevel(50*time.Second), ShouldEqual, 1)
		})
	})
	Convey("no look-up finds a slot", t, func() {
		a := localendpoint.NewNestedAdmission()
		_, admitted := play(a, "a", 0, 30, 0, true)
		So(admitted, ShouldBeBetween, 30*perSecond/20, 30*perSecond/4)
		So(a.LowestLevel(40*time.Second), ShouldBeGreaterThan, 0.6)
	})
}
