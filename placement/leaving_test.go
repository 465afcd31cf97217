package placement_test

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/placement"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const (
	leavingDomains = 3
	leavingGates   = 6
	leavingHosts   = 63
	leavingSlots   = 6
	leavingSeconds = 20
	leavingSeeds   = 2
	leavingService = 70 * ms
	leavingTarget  = 500 * ms
	// leavingBytes is the size of a long response at the users' price of a byte.
	leavingBytes, leavingCost = 90_000, 2e-5
)

// leavingSimulation runs hosts and endpoints of several domains with long responses. The
// domain of a host or gate is its number modulo leavingDomains.
type leavingSimulation struct {
	*simulation
	// isCut is set while a domain is cut off from the others. The lying endpoint reports
	// no load.
	isCut func(domain int) bool
	lying int
	// attempts counts the attempts of calls of the first domain by 250 ms, attemptsLeft those
	// that left it. Left counts the answers from other domains.
	attempts, attemptsLeft [4 * leavingSeconds]float64
	left                   int
}

// playLeaving offers calls at the multiple of the domain's capacity that load returns. Without
// decide, the fixed price of a byte decides.
func playLeaving(decide bool, seed uint64, load func(domain int, at time.Duration) float64, change func(*leavingSimulation)) *leavingSimulation {
	times := make([]time.Duration, leavingGates)
	for i := range times {
		times[i] = leavingService
	}
	s := &leavingSimulation{simulation: newSimulation(leavingHosts, leavingSlots, times), lying: -1}
	s.random = rand.New(rand.NewPCG(seed, 9))
	if change != nil {
		change(s)
	}
	decisions := make([]*placement.Domains, leavingHosts)
	for i := range decisions {
		decisions[i] = placement.NewDomains()
	}
	s.choose = func(host int, candidates []placement.Candidate, targetRemaining time.Duration) int {
		domain := host % leavingDomains
		for i := range candidates {
			c, other := &candidates[i], i%leavingDomains
			c.SameDomain = other == domain
			if !c.SameDomain && s.isCut != nil && (s.isCut(domain) || s.isCut(other)) {
				c.Slots = 0
			}
			if i == s.lying {
				c.Occupied = 0
			}
		}
		c := placement.Call{TargetRemaining: targetRemaining, Bytes: leavingBytes, RemoteByteCost: leavingCost}
		i := placement.Choose(candidates, c, s.random.Float64)
		if decide {
			key := placement.ServiceClass{Service: "s", Class: slotqueue.Class{Kind: routeplan.Download}}
			i, _ = decisions[host].Choose(key, candidates, c, s.now, s.random.Float64)
		}
		if bucket := s.now / (250 * ms); domain == 0 && int(bucket) < len(s.attempts) {
			s.attempts[bucket]++
			if i%leavingDomains > 0 {
				s.attemptsLeft[bucket]++
			}
		}
		return i
	}
	s.answered = func(host, gate int) {
		if host%leavingDomains != gate%leavingDomains {
			s.left++
		}
	}
	for i := range s.gates {
		s.report(i)
		s.after(time.Duration(i)*80*ms, func() { s.every(500*ms, func() { s.report(i) }) })
	}
	capacity := float64(leavingSlots*leavingGates/leavingDomains) / leavingService.Seconds()
	for domain := range leavingDomains {
		var arrive func()
		arrive = func() {
			if s.now > leavingSeconds*time.Second {
				return
			}
			s.call(domain+leavingDomains*s.random.IntN(leavingHosts/leavingDomains), leavingTarget)
			s.after(time.Duration(s.random.ExpFloat64()/(capacity*load(domain, s.now))*float64(time.Second)), arrive)
		}
		s.after(0, arrive)
	}
	s.runUntil(leavingSeconds*time.Second + 2*leavingTarget)
	return s
}

func (s *leavingSimulation) served() float64    { return 1 - float64(s.failed)/float64(s.calls) }
func (s *leavingSimulation) leftShare() float64 { return float64(s.left) / float64(s.calls) }

// unsteadiness returns the standard deviation of the share that left the first domain.
func (s *leavingSimulation) unsteadiness() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i := 12; i < len(s.attempts); i++ {
		share := s.attemptsLeft[i] / max(1, s.attempts[i])
		sum, squares, n = sum+share, squares+share*share, n+1
	}
	return math.Sqrt(squares/n - sum/n*sum/n)
}

// Guards against long responses that cross domains without a gain, and against callers who
// get fewer answers in time than by the fixed price.
func TestLongResponsesLeaveAsTheExcessOfADomain(t *testing.T) {
	one := func(domain int, _ time.Duration) float64 { return []float64{1.5, 0.5, 0.5}[domain] }
	// Demand that rises and falls by half, at a different moment in each domain.
	waves := func(domain int, at time.Duration) float64 {
		return 0.8 * (1 + 0.5*math.Sin(2*math.Pi*(at.Seconds()/10+float64(domain)/3)))
	}
	for name, c := range map[string]struct {
		load   func(int, time.Duration) float64
		change func(*leavingSimulation)
		// most bounds the share of the calls that leave.
		most float64
	}{
		"all domains short": {func(int, time.Duration) float64 { return 1.3 }, nil, 0.01},
		"peaks that meet":   {func(_ int, at time.Duration) float64 { return waves(0, at) + 0.4 }, nil, 0.02},
		// A third of the calls of this domain is more than it can serve.
		"one domain short, a lying endpoint elsewhere": {one, func(s *leavingSimulation) { s.lying = 1 }, 0.25},
		"peaks at different moments, a domain that is cut off and returns": {waves, func(s *leavingSimulation) {
			s.isCut = func(d int) bool { return d == 1 && s.now > 5*time.Second && s.now < 7*time.Second }
		}, 0.12},
	} {
		Convey(name, t, func() {
			served, left, unsteadiness := map[bool]float64{}, map[bool]float64{}, map[bool]float64{}
			for seed := range uint64(leavingSeeds) {
				for _, decide := range []bool{false, true} {
					s := playLeaving(decide, seed, c.load, c.change)
					served[decide] += s.served() / leavingSeeds
					left[decide] += s.leftShare() / leavingSeeds
					unsteadiness[decide] += s.unsteadiness() / leavingSeeds
				}
			}
			// The allowance of the test of the fixed price.
			So(served[true], ShouldBeGreaterThanOrEqualTo, served[false]-0.005)
			So(left[true], ShouldBeLessThan, c.most)
			if !strings.Contains(name, "peaks") {
				// What leaves does not swing with the reports.
				So(unsteadiness[true], ShouldBeLessThanOrEqualTo, unsteadiness[false])
			}
		})
	}
}

// Guards against a long call that is rejected though another domain has room, and against
// one that displaces a call there.
func TestReasonsToLeaveTheDomain(t *testing.T) {
	local := placement.Candidate{SameDomain: true, Slots: 6, Occupied: 2, MeanServiceTime: leavingService}
	remote := placement.Candidate{Slots: 6, Occupied: 2, MeanServiceTime: leavingService}
	long := placement.Call{TargetRemaining: leavingTarget, Bytes: leavingBytes, RemoteByteCost: leavingCost}
	short := placement.Call{TargetRemaining: leavingTarget, Bytes: 1000, RemoteByteCost: leavingCost}
	full, rejected, stale, late := local, local, local, long
	full.Occupied, rejected.Excluded, stale.Stale = 40, true, true
	late.TargetRemaining = -100 * ms
	crowded := remote
	crowded.Occupied = 40
	for name, c := range map[string]struct {
		local, remote placement.Candidate
		call          placement.Call
		chosen        int
		reason        placement.Reason
	}{
		"free slots":                {local, remote, long, 0, placement.LocalFree},
		"local queue":               {full, remote, long, 0, placement.LocalQueue},
		"local queue, short call":   {full, remote, short, 1, placement.LeftByValue},
		"both full":                 {full, crowded, long, 0, placement.RemoteFull},
		"rejected":                  {rejected, remote, long, 1, placement.LeftAsExcess},
		"rejected, past its target": {rejected, remote, late, 1, placement.LeftAsExcess},
		"rejected, the other domain is short too": {rejected, crowded, long, -1, placement.RemoteFull},
		"no local endpoint":                       {placement.Candidate{SameDomain: true}, crowded, long, 1, placement.LeftWithoutLocal},
		"local host silent":                       {stale, remote, long, 1, placement.LeftWithoutLocal},
	} {
		Convey(name, t, func() {
			i, reason := placement.NewDomains().Choose(placement.ServiceClass{}, []placement.Candidate{c.local, c.remote}, c.call, 0, half)
			So(i, ShouldEqual, c.chosen)
			So(reason.String(), ShouldEqual, c.reason.String())
			So(reason.Left(), ShouldEqual, c.chosen == 1)
		})
	}
	Convey("the share that leaves rises and falls within two seconds", t, func() {
		d := placement.NewDomains()
		left := func(c placement.Candidate, from time.Duration) (n int) {
			for i := range 40 {
				if _, reason := d.Choose(placement.ServiceClass{}, []placement.Candidate{c, remote}, long, from+time.Duration(i)*50*ms, half); reason.Left() {
					n++
				}
			}
			return n
		}
		So(left(full, time.Second), ShouldBeBetween, 5, 35)
		full.Occupied = 30 // The gain is less than the cost of the bytes, but more than half.
		So(left(full, 3*time.Second), ShouldBeBetween, 5, 35)
		So(left(full, 5*time.Second), ShouldEqual, 0)
	})
}
