package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

// counts are the total and the bad answers of the endpoints of a version.
type counts [][2]uint64

// judge returns the verdict on answers of the target version and of the earlier one that
// came at the same time.
func judge(target, earlier counts) Verdict {
	e := NewEvidence("v2")
	for software, all := range map[string]counts{"v2": target, "v1": earlier} {
		for i, c := range all {
			e.Add(&EndpointReport{ID: mesh.EndpointID(fmt.Sprint(software, i)), Software: software, Classes: []ClassAnswers{{Kind: 1, Answers: Answers{Total: c[0], Bad: c[1]}}}}, time.Second)
		}
	}
	return e.Judge(time.Second, len(target), false)
}

// Guards against bad versions that are kept, and good ones that are withdrawn because of
// single endpoints or of faults that all versions have.
func TestVerdicts(t *testing.T) {
	Convey("answers of the target version and the earlier one", t, func() {
		for _, c := range []struct {
			name            string
			target, earlier counts
			bad             bool
		}{
			{"no answers", nil, counts{{100, 1}}, false},
			{"all fail", counts{{9, 9}, {9, 9}}, counts{{100, 0}}, true},
			{"few answers", counts{{7, 7}}, counts{{100, 0}}, false},
			{"a third fails", counts{{12, 4}, {12, 4}, {12, 4}}, counts{{200, 2}}, true},
			{"a fifth is slow", counts{{40, 8}, {40, 8}, {40, 8}}, counts{{500, 6}}, true},
			{"as bad as the others", counts{{40, 12}, {40, 12}, {40, 12}}, counts{{400, 120}}, false},
			{"one endpoint of three fails", counts{{40, 20}, {40, 1}, {40, 0}}, counts{{400, 4}}, false},
			{"two endpoints of many fail", counts{{40, 20}, {40, 18}, {0, 0}, {0, 0}}, counts{{400, 4}}, true},
			{"one endpoint of one fails", counts{{40, 20}}, counts{{400, 4}}, true},
			{"without answers of the others", counts{{30, 15}, {30, 15}, {30, 15}}, nil, true},
		} {
			Convey(c.name, func() { So(judge(c.target, c.earlier).Bad, ShouldEqual, c.bad) })
		}
	})
	Convey("a fault that begins late is not hidden by the answers before", t, func() {
		e := NewEvidence("v2")
		now, total, bad := boottime.Time(0), uint64(0), uint64(0)
		report := func(answers, failures uint64) {
			now += 400 * time.Millisecond
			total, bad = total+answers, bad+failures
			for i := range 3 {
				id := mesh.EndpointID(fmt.Sprint(i))
				e.Add(&EndpointReport{ID: id, Software: "v2", Classes: []ClassAnswers{{Kind: 1, Answers: Answers{Total: total, Bad: bad}}}}, now)
				e.Add(&EndpointReport{ID: "old-" + id, Software: "v1", Classes: []ClassAnswers{{Kind: 1, Answers: Answers{Total: 10 * total}}}}, now)
			}
		}
		for range 100 {
			report(20, 0)
		}
		So(e.Judge(now, 3, false).Suspect, ShouldBeFalse)
		report(20, 8)
		report(20, 8)
		report(20, 8)
		So(e.Judge(now, 3, false).Bad, ShouldBeTrue)
	})
	Convey("while calls move, answers of before are no comparison", t, func() {
		e := NewEvidence("v2")
		add := func(software string, total, bad uint64, now boottime.Time) {
			for i := range 3 {
				id := mesh.EndpointID(fmt.Sprint(software, i))
				e.Add(&EndpointReport{ID: id, Software: software, Classes: []ClassAnswers{{Kind: 1, Answers: Answers{Total: total, Bad: bad}}}}, now)
			}
		}
		for i := range 10 { // A calm time with few calls to the target version.
			add("v1", uint64(1000*i), 0, boottime.Time(i)*time.Second)
			add("v2", uint64(10*i), 0, boottime.Time(i)*time.Second)
		}
		// All versions fail alike when most calls go to it.
		add("v1", 9100, 30, 13*time.Second)
		add("v2", 1090, 300, 13*time.Second)
		So(e.Judge(13*time.Second, 3, true).Bad, ShouldBeFalse)
		So(e.Judge(13*time.Second, 3, false).Bad, ShouldBeTrue)
	})
	Convey("a fault of one class is not hidden by the others", t, func() {
		e := NewEvidence("v2")
		for i := range 3 {
			classes := []ClassAnswers{{Kind: 1, Answers: Answers{Total: 300}}, {Kind: 2, Answers: Answers{Total: 10, Bad: 5}}}
			e.Add(&EndpointReport{ID: mesh.EndpointID(fmt.Sprint(i)), Software: "v2", Classes: classes}, time.Second)
			classes = []ClassAnswers{{Kind: 1, Answers: Answers{Total: 3000}}, {Kind: 2, Answers: Answers{Total: 100}}}
			e.Add(&EndpointReport{ID: mesh.EndpointID(fmt.Sprint("old", i)), Software: "v1", Classes: classes}, time.Second)
		}
		So(e.Judge(time.Second, 3, false).Bad, ShouldBeTrue)
	})
	Convey("slow answers are bad, but not those of an endpoint that has just started", t, func() {
		tally, class := NewTally(), slotqueue.Class{Kind: 1}
		tally.Begin(Revision{Number: 1}, map[slotqueue.Class]time.Duration{class: 100 * time.Millisecond})
		tally.Observe(class, Succeeded, 399*time.Millisecond, false)
		tally.Observe(class, Succeeded, 400*time.Millisecond, false)
		tally.Observe(class, Succeeded, 400*time.Millisecond, true)
		tally.Observe(class, Failed, 0, true)
		tally.Observe(class, GivenUp, 100*time.Millisecond, false)
		tally.Observe(class, GivenUp, 200*time.Millisecond, false)
		_, classes := tally.Read()
		So(classes, ShouldHaveLength, 1)
		So(classes[0].Answers, ShouldResemble, Answers{Total: 5, Bad: 3})
	})
}

// Guards against steps that are taken too early or never.
func TestSteps(t *testing.T) {
	const duration = 10 * time.Second
	start := State{Service: "s", Target: "v2", Duration: duration, Phase: Verifying, Started: time.Minute}
	input := func(elapsed time.Duration) Input {
		return Input{
			Now: time.Minute + elapsed, Bounds: Bounds{Share: 0.1}, Targets: []TargetEndpoint{{"a", 4}, {"b", 4}, {"c", 4}, {"d", 4}},
			OldVersions: []string{"v1"}, OldRunning: 3, Running: 4, Applied: true, StoreAnswers: true, Verdict: Verdict{Answers: Answers{Total: 100}},
		}
	}
	shifting := func(share float64, since time.Duration) State {
		return State{Phase: Shifting, Share: share, Started: time.Minute, Duration: duration, SteppedAt: time.Minute + 7*time.Second - since}
	}
	trying := start.step(time.Minute+time.Second, Verifying, 0.09, chooseTrial(input(0).Targets, 1, 0))
	Convey("another trial endpoint is another one", t, func() {
		in := input(3 * time.Second)
		in.Verdict.Suspect = true
		next, _ := Advance(trying, in)
		So(next.Trial[0], ShouldNotEqual, trying.Trial[0])
	})
	Convey("steps of a roll-out of 10 s", t, func() {
		for _, c := range []struct {
			name     string
			state    State
			elapsed  time.Duration
			change   func(*Input)
			phase    Phase
			share    float64
			trial    int
			complete bool
		}{
			{"begins with one endpoint", start, time.Second, nil, Verifying, 0.09, 1, false},
			{"begins with the endpoints that the calls fill", start, time.Second, func(in *Input) { in.Running = 75 }, Verifying, 0.09, 2, false},
			{"tries another endpoint when in doubt", trying, 3 * time.Second, func(in *Input) { in.Verdict.Suspect = true }, Verifying, 0.09, 1, false},
			{"waits for an endpoint", start, time.Second, func(in *Input) { in.Targets = nil }, Verifying, 0, 0, false},
			{"goes on with all endpoints", start, 4 * time.Second, nil, Verifying, 0.09, 0, false},
			{"shifts", start, 5100 * time.Millisecond, nil, Shifting, 0.25, 1, false},
			{"waits for answers", start, 5100 * time.Millisecond, func(in *Input) { in.Verdict.Answers.Total = 10 }, Verifying, 0.09, 0, false},
			{"waits when in doubt", start, 5100 * time.Millisecond, func(in *Input) { in.Verdict.Suspect = true }, Verifying, 0.09, 0, false},
			{"shifts with few answers", start, 6100 * time.Millisecond, func(in *Input) { in.Verdict.Answers.Total = 0 }, Shifting, 0.25, 1, false},
			{"waits for the store", start, 9 * time.Second, func(in *Input) { in.StoreAnswers = false }, Verifying, 0.09, 0, false},
			{"withdraws without the store", start, time.Second, func(in *Input) { in.StoreAnswers, in.Verdict.Bad = false, true }, RolledBack, 0, 0, false},
			{"shifts further", shifting(0.25, time.Second), 7 * time.Second, nil, Shifting, 0.5, 2, false},
			{"not too fast", shifting(0.25, 500*time.Millisecond), 7 * time.Second, nil, Shifting, 0.25, 0, false},
			{"waits for other hosts", shifting(0.5, time.Second), 7 * time.Second, func(in *Input) { in.Applied = false }, Shifting, 0.5, 0, false},
			{"waits for calls in flight", shifting(1, time.Second), 7 * time.Second, nil, Shifting, 1, 0, false},
			{"but not for long", shifting(1, 2*time.Second), 7 * time.Second, nil, Shifting, 1, 0, true},
			{"completes", shifting(1, time.Second), 7 * time.Second, func(in *Input) { in.OldRunning = 0 }, Shifting, 1, 0, true},
			{"completes near the deadline", shifting(1, time.Second), 9 * time.Second, func(in *Input) { in.Applied = false }, Shifting, 1, 0, true},
			{"not without the store", shifting(1, 2*time.Second), 7 * time.Second, func(in *Input) { in.StoreAnswers = false }, Shifting, 1, 0, false},
			{"returns the calls when the version has no endpoint", shifting(1, time.Second), 7 * time.Second, func(in *Input) { in.Targets = nil }, Shifting, 0, 0, false},
			{"keeps some calls at the earlier versions", shifting(0.5, time.Second), 7 * time.Second, nil, Shifting, 0.9, 4, false},
			{"for some time", shifting(0.9, time.Second), 7 * time.Second, nil, Shifting, 0.9, 0, false},
			{"then moves all", shifting(0.9, 1500*time.Millisecond), 7 * time.Second, nil, Shifting, 1, 0, false},
			{"withdraws while it shifts", shifting(0.9, time.Second), 7 * time.Second, func(in *Input) { in.Verdict.Bad = true }, RolledBack, 0, 0, false},
			{"has nothing to compare with in the end", shifting(1, time.Second), 7 * time.Second, func(in *Input) { in.Verdict.Bad = true }, Shifting, 1, 0, false},
			{"withdraws a version that fails altogether", shifting(1, time.Second), 7 * time.Second, func(in *Input) { in.Verdict.Bad, in.Verdict.Severe = true, true }, RolledBack, 0, 0, false},
		} {
			Convey(c.name, func() {
				in := input(c.elapsed)
				if c.change != nil {
					c.change(&in)
				}
				next, complete := Advance(c.state, in)
				So(next.Phase, ShouldEqual, c.phase)
				So(next.Share, ShouldAlmostEqual, c.share, 1e-9)
				So(next.Trial, ShouldHaveLength, c.trial)
				So(complete, ShouldEqual, c.complete)
			})
		}
	})
	Convey("a decision outlives a restore of the store, but not another order", t, func() {
		known := Withdraw(State{Service: "s", Order: Revision{Epoch: 1, Number: 7}, Target: "v2", Stored: true}, time.Minute)
		again := State{Service: "s", Order: Revision{Epoch: 2, Number: 7}, Target: "v2", Phase: Verifying}
		So(CarryOver(known, again).Phase, ShouldEqual, RolledBack)
		So(CarryOver(known, again).Stored, ShouldBeFalse)
		again.Order.Number = 9
		So(CarryOver(known, again).Phase, ShouldEqual, Verifying)
	})
}

// Guards against calls to a version before its order is known, and against a version without
// an order that gets none for good.
func TestVersionsThatAreNewForTheirService(t *testing.T) {
	Convey("a second version", t, func() {
		now := boottime.Time(time.Minute)
		table := NewTable(Bounds{Share: 0.5}, func() boottime.Time { return now }, func() int { return 1 }, func() float64 { return 0 })
		allowed := func(software string) bool {
			c := table.Choose("s")
			defer c.Done(true, false)
			return c.Allows(software, "e", First)
		}
		So(table.Choose("s"), ShouldBeNil)
		added, mixed := table.Observe([]SeenVersion{{"s", "v2", 20}, {"s", "v1", 10}})
		So(added, ShouldHaveLength, 2)
		So(mixed, ShouldBeTrue)
		So(allowed("v1"), ShouldBeTrue)
		So(allowed("v2"), ShouldBeFalse)
		Convey("gets calls after a read without an order", func() {
			table.RecordRead(now)
			So(allowed("v2"), ShouldBeFalse)
			table.RecordRead(now + 1)
			So(allowed("v2"), ShouldBeTrue)
		})
		Convey("gets its share if there is no read for long", func() {
			now += holdLimit + 1
			exposed := 0
			for range 100 {
				if allowed("v2") {
					exposed++
				}
			}
			So(exposed, ShouldBeBetween, 40, 51)
		})
		Convey("gets none of another host's message that was on its way before", func() {
			now += time.Second
			table.RecordMessage(&Message{ReadAge: 700 * time.Millisecond})
			So(allowed("v2"), ShouldBeFalse)
			table.RecordMessage(&Message{ReadAge: 400 * time.Millisecond})
			So(allowed("v2"), ShouldBeTrue)
		})
		Convey("is not asked for by a state that no host can have", func() {
			table.RecordMessage(&Message{States: []State{
				{Service: "s", Target: "v2", Duration: 1, Phase: Completed},
				{Service: "s", Target: "v2", Duration: 1, Phase: 9},
				{Service: "s", Target: "v2", Duration: 1, Phase: Shifting, Share: 2},
				{Service: "s", Phase: Verifying, Duration: 1},
			}})
			So(table.State("s"), ShouldBeNil)
		})
	})
}
