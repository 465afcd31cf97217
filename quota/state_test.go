package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/quota"
)

// single is a state whose host reaches no other one.
type single struct {
	*quota.State
	now boottime.Time
}

func newSingle(limit quota.Limit, known, reached []mesh.HostID) *single {
	s := &single{now: time.Hour}
	s.State = quota.New("self", testBound, 1, rand.New(rand.NewPCG(1, 1)), s.now)
	s.SetPlan(map[mesh.WorkspaceName]quota.Limit{"w": limit}, s.now)
	s.SetHosts(quota.Hosts{Known: known, Reached: reached, Listed: true}, s.now)
	return s
}

// pass calls Tick for a time.
func (s *single) pass(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += quota.TickInterval
		s.Tick(s.now)
	}
}

// admitted returns how many calls are admitted at once, and the first rejection.
func (s *single) admitted() (n int, rejection quota.Decision) {
	for range 10000 {
		d, decided := s.Acquire("w", s.now)
		if !decided {
			d = s.TakeOutput().Decisions[0]
		}
		if !d.Admitted {
			return n, d
		}
		n++
	}
	return n, quota.Decision{}
}

// Guards against an owner that grants what another one may have granted.
func TestOwnersStartEmpty(t *testing.T) {
	limit := quota.Limit{CallsPerSecond: 100, Burst: 300}
	Convey("a host that starts has an empty bucket, which fills at the rate", t, func() {
		s := newSingle(limit, nil, nil)
		n, rejection := s.admitted()
		So(n, ShouldEqual, 0)
		So(rejection.RetryAfter, ShouldBeBetween, 0, time.Second+1)
		s.pass(time.Second + 200*ms)
		n, _ = s.admitted()
		So(n, ShouldBeBetweenOrEqual, 95, 105)
	})
	Convey("a bucket is empty after a suspension", t, func() {
		s := newSingle(limit, nil, nil)
		s.pass(5 * time.Second)
		s.now += 3 * time.Second
		n, _ := s.admitted()
		So(n, ShouldEqual, 0)
	})
	Convey("a host whose quota is lowered keeps no more than the new one allows", t, func() {
		s := newSingle(limit, nil, nil)
		s.pass(5 * time.Second)
		s.SetPlan(map[mesh.WorkspaceName]quota.Limit{"w": {CallsPerSecond: 10, Burst: 5}}, s.now)
		n, _ := s.admitted()
		So(n, ShouldBeLessThanOrEqualTo, 5+20*4/10)
	})
	Convey("a host that loses the owner fills its own part after the delay", t, func() {
		others := []mesh.HostID{"a", "b", "c", "d", "e", "f", "g"}
		s := newSingle(limit, others, others)
		So(s.Owner("w"), ShouldNotEqual, "self")
		s.SetHosts(quota.Hosts{Known: others, Silent: others, Listed: true}, s.now)
		s.pass(3 * time.Second)
		s.TakeOutput()
		n, _ := s.admitted()
		So(n, ShouldEqual, 0)
		s.SetHosts(quota.Hosts{Known: others, Listed: true}, s.now)
		s.pass(150 * ms)
		s.TakeOutput()
		n, _ = s.admitted()
		So(n, ShouldEqual, 0)
		s.pass(10 * time.Second)
		n, _ = s.admitted()
		So(n, ShouldBeBetween, 30, 300/8+2)
	})
	Convey("a host that has not listed the others grants nothing", t, func() {
		s := &single{now: time.Hour, State: quota.New("self", testBound, 1, rand.New(rand.NewPCG(1, 1)), time.Hour)}
		s.SetPlan(map[mesh.WorkspaceName]quota.Limit{"w": limit}, s.now)
		s.pass(5 * time.Second)
		n, _ := s.admitted()
		So(n, ShouldEqual, 0)
	})
}

// Guards against calls that wait for an owner that does not answer, or that stay waiting
// when their workspace is removed.
func TestCallsDoNotWaitForAnOwnerForLong(t *testing.T) {
	others := []mesh.HostID{"a", "b", "c", "d", "e", "f", "g"}
	Convey("the owner does not answer", t, func() {
		s := newSingle(quota.Limit{CallsPerSecond: 100}, others, others)
		s.TakeOutput()
		d, decided := s.Acquire("w", s.now)
		So(decided, ShouldBeFalse)
		asks := 0
		for range 3 {
			s.pass(quota.TickInterval)
			out := s.TakeOutput()
			for _, m := range out.Messages {
				if len(m.Demand.Asks) > 0 {
					asks++
				}
			}
			for _, x := range out.Decisions {
				So(x.Call, ShouldEqual, d.Call)
				So(x.Admitted, ShouldBeFalse)
				d.Call = 0
			}
		}
		So(d.Call, ShouldEqual, 0)
		So(asks, ShouldEqual, 2)
	})
	Convey("the plan has just lifted the limit", t, func() {
		s := newSingle(quota.Limit{CallsPerSecond: 100}, others, others)
		s.SetPlan(nil, s.now)
		d, decided := s.Acquire("w", s.now)
		So(decided && d.Admitted, ShouldBeTrue)
	})
	Convey("the plan removes the workspace", t, func() {
		s := newSingle(quota.Limit{CallsPerSecond: 100}, others, others)
		_, decided := s.Acquire("w", s.now)
		So(decided, ShouldBeFalse)
		s.SetPlan(nil, s.now)
		So(s.TakeOutput().Decisions, ShouldHaveLength, 1)
	})
}
