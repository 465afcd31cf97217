package selection

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routing"
)

// harness is a selector over hosts that are named after their domain, such as "a0",
// with a manual clock and a seeded random source.
type harness struct {
	*Selector
	now  time.Time
	view *membership.View
	snap *routing.Snapshot
}

const testSlots = 10

func newHarness(policy Policy, hosts ...string) *harness {
	h := &harness{now: time.Unix(1000, 0), view: &membership.View{Hosts: map[mesh.HostID]*membership.Record{}}}
	random := rand.New(rand.NewPCG(1, 2))
	h.Selector = New(Config{Domain: "a", Policy: policy, Now: func() time.Time { return h.now }, Rand: random.Uint64})
	h.add(membership.Endpoint{ID: "e", Service: "s", Slots: testSlots, State: membership.EndpointReady}, hosts...)
	return h
}

func (h *harness) add(e membership.Endpoint, hosts ...string) {
	for _, host := range hosts {
		h.view.Hosts[mesh.HostID(host)] = &membership.Record{
			Host: mesh.HostID(host), Domain: mesh.FailureDomain(host[:1]), CallAddress: "127.0.0.1:1",
			State: membership.StateAlive, Incarnation: 1, Endpoints: []membership.Endpoint{e},
		}
	}
	config := &lists.Config{Services: map[mesh.ServiceName]*lists.Service{"s": {Name: "s"}}}
	h.snap = routing.Build(&lists.Version{Config: config}, h.view)
}

func (h *harness) pick() Choice {
	c, ok := h.Table(h.snap).Pick("s", nil)
	if !ok {
		panic("no endpoint")
	}
	return c
}

// shares makes n calls one after the other, ends each with the result for its host,
// and returns the share of calls that each host got.
func (h *harness) shares(n int, result func(host string) Result) map[string]float64 {
	shares := map[string]float64{}
	for range n {
		c := h.pick()
		shares[string(c.Target.Host)] += 1 / float64(n)
		c.Done(result(string(c.Target.Host)))
	}
	return shares
}

// fail makes calls until the host got the given number of them, and ends those with
// the result. Time passes between calls, so that an endpoint with a high latency is
// chosen again.
func (h *harness) fail(host string, times int, r Result) {
	for attempts := 0; times > 0; attempts++ {
		if attempts > 10000 {
			panic("host never chosen: " + host)
		}
		h.now = h.now.Add(100 * time.Millisecond)
		c := h.pick()
		if string(c.Target.Host) != host {
			c.Done(success)
			continue
		}
		times--
		c.Done(r)
	}
}

func (h *harness) state(host string) string {
	for _, s := range h.Status() {
		if s.Host == host {
			return s.State
		}
	}
	return "absent"
}

func (h *harness) probe(ok bool) int {
	due := h.DueProbes(10)
	for _, p := range due {
		p.Done(ok)
	}
	return len(due)
}

var success = Result{Class: ClassAnswered, Status: 200, Latency: 10 * time.Millisecond}

func alwaysSucceed(string) Result { return success }

// Guards against calls that go to a remote domain while local slots are free, and
// against calls that stay in the local domain while all its slots are in use.
func TestLocalDomainFirst(t *testing.T) {
	Convey("Calls go to remote endpoints only when the local ones are full", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1", "b0", "b1")
		shares := h.shares(1000, alwaysSucceed)
		So(shares["a0"]+shares["a1"], ShouldAlmostEqual, 1)
		count := map[mesh.FailureDomain]int{}
		for range 2 * testSlots {
			count[h.pick().Target.Domain]++
		}
		So(count["a"], ShouldEqual, 2*testSlots)
		for range 2 * testSlots {
			count[h.pick().Target.Domain]++
		}
		So(float64(count["b"])/float64(count["a"]), ShouldBeBetween, spilloverMaxLoadRatio-0.05, 1)
	})
}

// Guards against an endpoint that attracts more than a bounded share of the calls
// by reporting a false load or announcing a false number of slots.
func TestFalseReports(t *testing.T) {
	Convey("One of ten endpoints with false reports gets a bounded share", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8")
		h.add(membership.Endpoint{ID: "e", Service: "s", Slots: 60000, State: membership.EndpointReady}, "a9")
		shares := h.shares(20000, func(host string) Result {
			r := success
			r.HasReport, r.Report = true, Report{InUse: 9, Slots: 10, EndpointLoad: 0.9}
			if host == "a9" {
				r.Report = Report{Slots: 10}
			}
			return r
		})
		// Two random choices bound the share to that of being drawn: 2 in 10.
		So(shares["a9"], ShouldBeLessThan, 0.22)
		slots := &candidate{stats: &stats{}, service: &service{}, slots: 1, weight: 1}
		now := time.Unix(1000, 0).UnixNano()
		neutral := slots.score(now)
		for _, load := range []float64{0, 1, 1e9} {
			slots.stats.recordReport(Report{Slots: 1, EndpointLoad: load}, now)
			So(slots.score(now)/neutral, ShouldBeBetweenOrEqual, 1, maxReportFactor)
		}
	})
}

// Guards against a new endpoint that gets its full share immediately.
func TestSlowStart(t *testing.T) {
	Convey("An endpoint that joins with a cold start gets a growing share", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1", "a2")
		h.shares(100, alwaysSucceed)
		h.add(membership.Endpoint{ID: "e", Service: "s", Slots: testSlots, ColdStartMs: 10000, State: membership.EndpointSlowStart}, "a3")
		begin := h.shares(4000, alwaysSucceed)["a3"]
		h.now = h.now.Add(5 * time.Second)
		middle := h.shares(4000, alwaysSucceed)["a3"]
		h.now = h.now.Add(5 * time.Second)
		end := h.shares(4000, alwaysSucceed)["a3"]
		So(begin, ShouldBeBetween, 0.005, 0.06)
		So(middle, ShouldBeBetween, begin, end)
		So(end, ShouldBeBetween, 0.15, 0.35)
	})
}

// Guards against faulty endpoints that are not ejected, for every kind of fault, and
// against ejections for results that are not the endpoint's fault.
func TestEjection(t *testing.T) {
	slow := Result{Class: ClassAnswered, Status: 200, Latency: time.Second}
	cases := []struct {
		name   string
		times  int
		result Result
		state  string
	}{
		{"broken responses", maxFailures, Result{Class: ClassBroken}, "ejected"},
		{"one broken response less", maxFailures - 1, Result{Class: ClassBroken}, "healthy"},
		{"server errors", maxErrors, Result{Class: ClassAnswered, Status: 500}, "ejected"},
		{"connect failures", maxConnectFailures, Result{Class: ClassUnreachable}, "ejected"},
		{"endpoint down", maxConnectFailures, Result{Class: ClassDown}, "ejected"},
		{"hangs", maxHangs, Result{Class: ClassTimedOut, Waited: time.Second}, "ejected"},
		{"short deadlines", 20, Result{Class: ClassTimedOut, Waited: 50 * time.Millisecond}, "healthy"},
		{"refusals", 50, Result{Class: ClassRejected}, "healthy"},
		{"slow responses", 2 * minLatencySamples, slow, "ejected"},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			h := newHarness(PolicyAdaptive, "a0", "a1", "a2", "a3")
			h.shares(400, alwaysSucceed)
			for i := 0; i < c.times && h.state("a0") == "healthy"; i++ {
				h.fail("a0", 1, c.result)
			}
			So(h.state("a0"), ShouldEqual, c.state)
			if c.state == "ejected" {
				So(h.shares(200, alwaysSucceed)["a0"], ShouldEqual, 0)
			}
		})
	}
}

// Guards against an endpoint that fails some of its calls and keeps its share,
// because it never fails often enough in a row to be ejected.
func TestPartialFailure(t *testing.T) {
	Convey("After one failure the other endpoints are preferred until it fades", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1", "a2", "a3")
		h.fail("a0", 1, Result{Class: ClassAnswered, Status: 500})
		So(h.shares(200, alwaysSucceed)["a0"], ShouldEqual, 0)
		h.now = h.now.Add(failureFadeTime)
		So(h.shares(1000, alwaysSucceed)["a0"], ShouldBeGreaterThan, 0.15)
	})
}

// Guards against ejections that leave too few endpoints, and against an ejected
// endpoint that never recovers or immediately gets its full share.
func TestEjectionLimitsAndRecovery(t *testing.T) {
	Convey("At most half of the endpoints are ejected for their results", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1", "a2", "a3")
		h.shares(200, func(string) Result { return Result{Class: ClassBroken} })
		ejected := 0
		for _, s := range h.Status() {
			if s.State == "ejected" {
				ejected++
			}
		}
		So(ejected, ShouldEqual, 2)
	})
	Convey("The last endpoint is never ejected", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1")
		h.shares(50, func(string) Result { return Result{Class: ClassUnreachable} })
		So([]string{h.state("a0"), h.state("a1")}, ShouldContain, "healthy")
	})
	Convey("Given an ejected endpoint", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1", "a2", "a3")
		h.fail("a0", maxFailures, Result{Class: ClassBroken})
		So(h.probe(true), ShouldEqual, 0)
		h.now = h.now.Add(baseEjectionTime)
		So(h.probe(true), ShouldEqual, 1)
		So(h.state("a0"), ShouldEqual, "ejected")
		h.now = h.now.Add(baseEjectionTime)
		So(h.probe(true), ShouldEqual, 1)
		So(h.state("a0"), ShouldEqual, "recovering")
		So(h.shares(1000, alwaysSucceed)["a0"], ShouldBeLessThan, 0.1)
		Convey("one failure ejects it again, for longer", func() {
			h.fail("a0", 1, Result{Class: ClassBroken})
			So(h.state("a0"), ShouldEqual, "ejected")
			h.now = h.now.Add(baseEjectionTime)
			So(h.probe(true), ShouldEqual, 0)
			h.now = h.now.Add(baseEjectionTime)
			So(h.probe(false), ShouldEqual, 1)
		})
		Convey("it is healthy when it answers after the recovery period", func() {
			h.now = h.now.Add(recoveryPeriod)
			So(h.shares(1000, alwaysSucceed)["a0"], ShouldBeGreaterThan, 0.15)
			So(h.state("a0"), ShouldEqual, "healthy")
		})
		Convey("a new incarnation of its host is healthy", func() {
			h.view.Hosts["a0"].Incarnation = 2
			h.add(membership.Endpoint{ID: "e", Service: "s", Slots: testSlots, State: membership.EndpointReady})
			h.pick()
			So(h.state("a0"), ShouldEqual, "healthy")
		})
	})
	Convey("An endpoint that rejects a call because it drains gets no more calls", t, func() {
		h := newHarness(PolicyAdaptive, "a0", "a1")
		h.fail("a0", 1, Result{Class: ClassDraining})
		So(h.shares(100, alwaysSucceed)["a0"], ShouldEqual, 0)
	})
}

// Guards against calls to an unreachable failure domain, and against a domain that
// gets no calls after it is reachable again.
func TestUnreachableDomain(t *testing.T) {
	Convey("Given endpoints in two remote domains, one of which becomes unreachable", t, func() {
		h := newHarness(PolicyAdaptive, "b0", "b1", "b2", "c0", "c1", "c2")
		failInB := func(host string) Result {
			if host[0] == 'b' {
				return Result{Class: ClassUnreachable}
			}
			return success
		}
		h.shares(100, failInB)
		So(h.state("b0"), ShouldEqual, "domain unreachable")
		shares := h.shares(100, failInB)
		So(shares["b0"]+shares["b1"]+shares["b2"], ShouldEqual, 0)
		h.now = h.now.Add(domainProbeInterval)
		So(h.probe(false), ShouldEqual, 1)
		So(h.state("b1"), ShouldEqual, "domain unreachable")
		h.now = h.now.Add(domainProbeInterval)
		So(h.probe(true), ShouldEqual, 1)
		So(h.state("b1"), ShouldNotEqual, "domain unreachable")
	})
}

// Guards against data races between calls, new snapshots and probes, and against
// outstanding counts that do not return to zero.
func TestConcurrentUse(t *testing.T) {
	Convey("Many goroutines share one selector", t, func() {
		s := New(Config{Domain: "a"})
		h := newHarness(PolicyAdaptive, "a0", "a1", "b0", "b1")
		snaps := []*routing.Snapshot{h.snap}
		h.add(membership.Endpoint{ID: "e", Service: "s", Slots: 3, State: membership.EndpointReady}, "a0")
		snaps = append(snaps, h.snap)
		var wait sync.WaitGroup
		for g := range 8 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for i := range 2000 {
					c, _ := s.Table(snaps[i/100%2]).Pick("s", nil)
					c.Done(Result{Class: Class(1 + (i+g)%int(ClassNeutral)), Status: 200, Latency: time.Millisecond, HasReport: true})
					if i%100 == 0 {
						s.DueProbes(2)
					}
				}
			}()
		}
		wait.Wait()
		for _, st := range s.Status() {
			So(st.Outstanding, ShouldEqual, 0)
		}
	})
}

// Guards against a slow call that restores the table of an old snapshot.
func TestOldSnapshot(t *testing.T) {
	Convey("A call with an old snapshot gets the newer table", t, func() {
		h := newHarness(PolicyAdaptive, "a0")
		old := h.snap
		h.view = &membership.View{Hosts: h.view.Hosts, Generation: 1}
		h.add(membership.Endpoint{ID: "e", Service: "s", Slots: 3, State: membership.EndpointReady}, "a1")
		So(h.Table(h.snap).Snapshot(), ShouldEqual, h.snap)
		So(h.Table(old).Snapshot(), ShouldEqual, h.snap)
	})
}

// Guards against a baseline of the benchmarks that is not plain round-robin.
func TestRoundRobin(t *testing.T) {
	Convey("Every endpoint gets the same share, whatever its results", t, func() {
		h := newHarness(PolicyRoundRobin, "a0", "a1", "b0", "b1")
		shares := h.shares(400, func(string) Result { return Result{Class: ClassBroken} })
		for host, share := range shares {
			So(fmt.Sprintf("%s %.2f", host, share), ShouldEqual, host+" 0.25")
		}
	})
}

// BenchmarkPick measures a choice and the recording of its result under concurrency.
func BenchmarkPick(b *testing.B) {
	h := newHarness(PolicyAdaptive, "a0", "a1", "b0", "b1", "c0", "c1", "d0", "d1")
	s := New(Config{Domain: "a"})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := s.Table(h.snap).Pick("s", nil)
			c.Done(success)
		}
	})
}
