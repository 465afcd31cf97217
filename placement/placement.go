// Package placement chooses the host whose endpoint gets a call. It is pure: no
// I/O, no clock, random numbers from its caller.
//
// Load that it answers: endpoints of differing speed in several failure domains,
// of which some are slow, failing or full. Calls stay in their failure domain
// while its endpoints have room, because bytes between domains cost, and go
// where they are expected to end first otherwise.
package placement

import (
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
	// failureCost multiplies the share of failures in the expected time: a failed
	// answer costs the caller a whole further attempt and its target.
	failureCost = 8
	// otherDomain is the factor on the expected time in another domain.
	otherDomain = 1.4
	// idleCost weighs run times against used slots among endpoints with room.
	idleCost = 0.3
	// jitter spreads the choices of hosts that see the same loads.
	jitter = 0.15
	// targetMargin is how many mean run times must fit into what is left of the
	// target for an endpoint to be preferred.
	targetMargin = 1.9
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
	// Tried is set when the call has been refused or failed there.
	Tried bool
}

// Choose returns the index of the candidate for a call whose target is
// targetLeft away, or -1 when there is none that was not tried. Random returns
// numbers in [0, 1).
func Choose(candidates []Candidate, targetLeft time.Duration, random func() float64) int {
	typical := typicalRun(candidates)
	best, bestCost, bestNear := -1, 0.0, false
	for i := range candidates {
		c := &candidates[i]
		if c.Tried || c.Slots <= 0 {
			continue
		}
		near := c.roomInDomain(typical, targetLeft)
		cost := c.cost(typical, near) * (1 + jitter*random())
		if best < 0 || (near && !bestNear) || (near == bestNear && cost < bestCost) {
			best, bestCost, bestNear = i, cost, near
		}
	}
	return best
}

// typicalRun is the mean over the candidates that know theirs.
func typicalRun(candidates []Candidate) time.Duration {
	sum, known := time.Duration(0), 0
	for i := range candidates {
		if candidates[i].MeanRun > 0 {
			sum += candidates[i].MeanRun
			known++
		}
	}
	if known == 0 {
		return defaultRun
	}
	return sum / time.Duration(known)
}

func (c *Candidate) run(typical time.Duration) float64 {
	run := float64(c.MeanRun)
	if run == 0 {
		run = float64(typical)
		if c.Cold {
			run *= coldFactor
		}
	}
	return run
}

func (c *Candidate) roomInDomain(typical, targetLeft time.Duration) bool {
	return c.SameDomain && c.FailShare < failingShare &&
		float64(c.Occupied+1) <= roomShare*float64(c.Slots) &&
		targetMargin*c.run(typical) < float64(max(targetLeft, 0))
}

// cost is the expected time to the answer. Among endpoints with room it grows
// with the share of used slots, so that fast ones take more calls but not all.
func (c *Candidate) cost(typical time.Duration, near bool) float64 {
	used := float64(c.Occupied+1) / float64(c.Slots)
	if near {
		return c.run(typical) * (idleCost + used)
	}
	cost := c.run(typical) * max(1, used) * (1 + used/10) * (1 + failureCost*c.FailShare)
	if !c.SameDomain {
		cost *= otherDomain
	}
	return cost
}
