// Package placement chooses the host whose endpoint gets a call. It is pure: no
// I/O, no clock, random numbers from its caller.
//
// Load that it answers: endpoints of differing speed in several failure domains,
// of which some are slow, failing or full. Calls stay in their failure domain
// while its endpoints have room, because bytes between domains cost, and go
// where most of them are expected to succeed in time otherwise.
package placement

import (
	"math"
	"time"
)

const (
	// roomShare is the share of slots in use up to which an endpoint of the own
	// domain is preferred. The rest takes calls that other hosts send at the same
	// moment.
	roomShare = 0.85
	// failingShare is the share of failed answers from which an endpoint of the
	// own domain is no longer preferred; twice the errors that calm endpoints
	// show would be within noise of a few dozen calls.
	failingShare = 0.08
	// otherDomain is the factor on the value of an endpoint in another domain for
	// the bytes of a call without a body; otherDomainPerByte is taken off it for
	// each byte of a body, down to otherDomainLeast. The users' prices of bytes
	// between domains are near 0.02 of the worth of such a call, and nearly all of
	// that of a photo of 60 KB.
	otherDomain        = 0.97
	otherDomainPerByte = 5e-6
	otherDomainLeast   = 0.5
	// doubtfulFactor is the factor on the value of an endpoint whose host is silent:
	// such a host is seldom back before its link is given up.
	doubtfulFactor = 0.2
	// runSpread shapes the share of calls that run within a time: 1-exp(-1.1x) for
	// x mean run times, near that of run times that spread by 0.8 of their mean,
	// as the users' do.
	runSpread = 1.1
	// lateWorth is the value of an answer that comes after its target, in parts of
	// one that comes in time; the users' kinds of call say 0.04 to 0.75.
	lateWorth = 0.2
	// jitter spreads the choices of hosts that see the same loads.
	jitter = 0.15
	// targetMargin is how many mean run times must fit into what is left of the
	// target for an endpoint to be preferred.
	targetMargin = 1.9
	// trialShare is the share of the slots that counts while the mean run time of
	// an endpoint is unknown and that of most others is known. It bounds what
	// hosts send between two reports to an endpoint that may be slow.
	trialShare = 0.25
	// defaultRun stands for a mean run time that is not known yet.
	defaultRun = 50 * time.Millisecond
	// coldFactor is the slowness of an endpoint that has just started.
	coldFactor = 2
)

// Candidate is an endpoint as the choosing host knows it.
type Candidate struct {
	SameDomain bool
	Slots      int
	// Occupied is the number of running and waiting calls at the endpoint's
	// gate, those under way to it included.
	Occupied int
	// MeanRun is the mean run time, 0 when unknown.
	MeanRun time.Duration
	// FailShare is the recent share of failed answers, 0 to 1.
	FailShare float64
	Cold      bool
	// Doubtful is set when the host has not reported for longer than it should.
	Doubtful bool
	// Tried is set when the call has been refused or failed there.
	Tried bool
}

// Call is what the choice needs to know of the call.
type Call struct {
	// TargetLeft is the time until the answer loses its full worth.
	TargetLeft time.Duration
	// BodyBytes is the length of the body, 0 or less when there is none or it is
	// not known.
	BodyBytes int64
}

// farFactor is the factor on the value of endpoints in other domains.
func (c Call) farFactor() float64 {
	return max(otherDomainLeast, otherDomain-otherDomainPerByte*float64(max(0, c.BodyBytes)))
}

// Choose returns the index of the candidate for a call, or -1 when there is none
// that was not tried. Random returns numbers in [0, 1).
func Choose(candidates []Candidate, call Call, random func() float64) int {
	typical := typicalRun(candidates)
	if i := chooseNear(candidates, typical, call.TargetLeft, random); i >= 0 {
		return i
	}
	best, bestValue := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Tried || c.Slots <= 0 {
			continue
		}
		if value := c.value(typical, call) * (1 - jitter*random()); best < 0 || value > bestValue {
			best, bestValue = i, value
		}
	}
	return best
}

// chooseNear draws among the endpoints of the own domain with room, in proportion
// to the rate at which their free slots serve calls. Hosts that all took the best
// endpoint by the same old reports would fill it together.
func chooseNear(candidates []Candidate, typical expectation, targetLeft time.Duration, random func() float64) int {
	total := 0.0
	for i := range candidates {
		total += candidates[i].room(typical, targetLeft)
	}
	left := total * random()
	chosen := -1
	for i := range candidates {
		room := candidates[i].room(typical, targetLeft)
		if room <= 0 {
			continue
		}
		chosen = i
		if left -= room; left < 0 {
			break
		}
	}
	return chosen
}

// expectation is what is expected of an endpoint that nothing is known of.
type expectation struct {
	// run is the mean over the endpoints whose mean run time is known.
	run time.Duration
	// mostKnown is set when these are more than half of the endpoints.
	mostKnown bool
}

func typicalRun(candidates []Candidate) expectation {
	sum, known := time.Duration(0), 0
	for i := range candidates {
		if candidates[i].MeanRun > 0 {
			sum += candidates[i].MeanRun
			known++
		}
	}
	if known == 0 {
		return expectation{run: defaultRun}
	}
	return expectation{run: sum / time.Duration(known), mostKnown: 2*known > len(candidates)}
}

// trial reports whether the endpoint gets a few calls to learn its run time.
func (c *Candidate) trial(typical expectation) bool { return c.MeanRun == 0 && typical.mostKnown }

// slots is the number of slots that the choice counts on.
func (c *Candidate) slots(typical expectation) float64 {
	if c.trial(typical) {
		return math.Ceil(trialShare * float64(c.Slots))
	}
	return float64(c.Slots)
}

func (c *Candidate) run(typical expectation) float64 {
	run := float64(c.MeanRun)
	if run == 0 {
		run = float64(typical.run)
		if c.Cold {
			run *= coldFactor
		}
	}
	return run
}

// room is the rate at which free slots serve calls, 0 where the endpoint is not to
// be preferred.
func (c *Candidate) room(typical expectation, targetLeft time.Duration) float64 {
	free := roomShare*c.slots(typical) - float64(c.Occupied)
	if c.Tried || c.Doubtful || !c.SameDomain || c.FailShare >= failingShare || free < 1 {
		return 0
	}
	// A trial shows whether an endpoint is fast enough.
	if !c.trial(typical) && targetMargin*c.run(typical) >= float64(max(targetLeft, 0)) {
		return 0
	}
	return free / c.run(typical)
}

// value is the expected worth of the call at the endpoint: the share of calls that
// succeed there within the target, and a little for those that succeed later, the
// sooner the more.
func (c *Candidate) value(typical expectation, call Call) float64 {
	run := c.run(typical)
	used := float64(c.Occupied+1) / c.slots(typical)
	wait := max(0, used-1) * run
	inTime := 0.0
	if left := float64(call.TargetLeft) - wait; left > 0 {
		inTime = 1 - math.Exp(-runSpread*left/run)
	}
	soon := lateWorth / (1 + (wait+run)/float64(typical.run))
	value := (inTime + soon) * (1 - c.FailShare) / (1 + used/10)
	if !c.SameDomain {
		value *= call.farFactor()
	}
	if c.Doubtful {
		value *= doubtfulFactor
	}
	return value
}
