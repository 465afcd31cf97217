// Package placement chooses the host whose endpoint gets a call. It does no I/O,
// reads no clock and takes random numbers from its caller.
//
// It is made for endpoints of differing speed in several failure domains, of
// which some are slow, failing or full. Calls stay in the local failure domain
// while its endpoints have free slots, because bytes between domains have a
// price. Otherwise they go where they are most likely to succeed in time.
package placement

import (
	"math"
	"time"
)

const (
	// maxPreferredOccupancy is the fraction of slots in use up to which an endpoint
	// of the local domain is preferred. The other slots are left for calls that
	// other hosts send at the same moment.
	maxPreferredOccupancy = 0.85
	// minFailingFraction is the fraction of failed answers from which an endpoint
	// of the local domain is no longer preferred. Twice the error rate of healthy
	// endpoints would be within the noise of a few dozen calls.
	minFailingFraction = 0.08
	// remoteDomainFactor multiplies the value of an endpoint in a remote domain for
	// a call without bodies. Call.RemoteByteCost is subtracted from it for each byte of
	// the bodies, down to minRemoteDomainFactor: bytes alone do not outweigh a caller
	// that gets no answer in the local domain.
	remoteDomainFactor    = 0.97
	minRemoteDomainFactor = 0.5
	// staleFactor multiplies the value of an endpoint whose host has sent no recent
	// status report: such a host seldom reports again before its link is closed.
	staleFactor = 0.2
	// serviceTimeShape is the parameter of the distribution of service times: the
	// fraction of calls that finish within x mean service times is 1-exp(-1.1x).
	// This is close to service times with a spread of 0.8 of their mean, as on the
	// users' services.
	serviceTimeShape = 1.1
	// lateValue is the value of an answer after its latency target, relative to one
	// in time. The users' kinds of calls have values from 0.04 to 0.75.
	lateValue = 0.2
	// jitter randomises the values, so that hosts that see the same loads choose
	// different endpoints.
	jitter = 0.15
	// targetMargin is the number of mean service times that must fit into the
	// remaining time of the latency target for an endpoint to be preferred.
	targetMargin = 1.9
	// trialSlotsFraction is the fraction of the slots that counts while the mean
	// service time of an endpoint is unknown and that of most others is known. It
	// limits the calls that hosts send between two status reports to an endpoint
	// that may be slow.
	trialSlotsFraction = 0.25
	// defaultServiceTime is used while no mean service time is known.
	defaultServiceTime = 50 * time.Millisecond
	// coldFactor multiplies the service time that is assumed of an endpoint that
	// has just started.
	coldFactor = 2
)

// Candidate is an endpoint as the choosing host knows it.
type Candidate struct {
	SameDomain bool
	Slots      int
	// Occupied is the number of running and waiting calls at the endpoint's
	// gate, including those in flight to it.
	Occupied int
	// MeanServiceTime is the mean service time of all calls, 0 when unknown.
	MeanServiceTime time.Duration
	// ClassServiceTime is the mean service time of calls like this one, 0 when unknown.
	ClassServiceTime time.Duration
	// CallsPerSecond is the rate of calls that the endpoint takes, 0 when it has named
	// none.
	CallsPerSecond float64
	// FailureRatio is the recent fraction of failed answers, 0 to 1.
	FailureRatio float64
	// LinkDelay is the time that the response is expected to take on the link of its host, 0
	// when it does not leave the host, is short, or the link is not known.
	LinkDelay time.Duration
	Cold      bool
	// Stale is set when the latest status report of the host is older than it
	// may be.
	Stale bool
	// Excluded is set when an attempt of the call was rejected or failed there.
	Excluded bool
}

// Call holds the properties of a call that the choice depends on.
type Call struct {
	// TargetRemaining is the remaining time of the latency target.
	TargetRemaining time.Duration
	// Remaining is the time to the deadline, 0 when it is not known.
	Remaining time.Duration
	// Bytes is the expected length of the bodies of request and response, 0 or less
	// when it is not known.
	Bytes int64
	// RemoteByteCost is the cost of a byte between failure domains, as a fraction of the
	// value of a call.
	RemoteByteCost float64
}

// remoteFactor returns the factor on the value of endpoints in remote domains.
func (c Call) remoteFactor() float64 {
	return max(minRemoteDomainFactor, remoteDomainFactor-c.RemoteByteCost*float64(max(0, c.Bytes)))
}

// ExceedsLink reports whether the link of the host cannot deliver the response within the
// time to the deadline.
func (c *Candidate) ExceedsLink(remaining time.Duration) bool {
	return remaining > 0 && c.LinkDelay > remaining
}

// Choose returns the index of the candidate for a call, or -1 when each is excluded
// or has no slots. Random returns numbers in [0, 1).
func Choose(candidates []Candidate, call Call, random func() float64) int {
	typical := estimateTypical(candidates)
	if i := chooseLocal(candidates, typical, call.TargetRemaining, random); i >= 0 {
		return i
	}
	best, bestValue := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || c.Slots <= 0 || c.ExceedsLink(call.Remaining) {
			continue
		}
		if value := c.expectedValue(typical, call) * (1 - jitter*random()); best < 0 || value > bestValue {
			best, bestValue = i, value
		}
	}
	return best
}

// chooseLocal chooses at random among the preferred endpoints of the local domain,
// weighted by the rate at which their free slots serve calls. If all hosts took
// the best endpoint by the same status reports, they would overload it together.
// It returns -1 when no endpoint is preferred.
func chooseLocal(candidates []Candidate, typical estimate, targetRemaining time.Duration, random func() float64) int {
	total := 0.0
	for i := range candidates {
		total += candidates[i].preferredRate(typical, targetRemaining)
	}
	remaining := total * random()
	chosen := -1
	for i := range candidates {
		rate := candidates[i].preferredRate(typical, targetRemaining)
		if rate <= 0 {
			continue
		}
		chosen = i
		if remaining -= rate; remaining < 0 {
			break
		}
	}
	return chosen
}

// estimate holds what is assumed of an endpoint whose service time is unknown.
type estimate struct {
	// serviceTime is the mean over the endpoints whose mean service time is known.
	serviceTime time.Duration
	// classServiceTime is the mean over those whose service time of calls like this one
	// is known, 0 when there are none.
	classServiceTime time.Duration
	// mostKnown is set when it is known of more than half of the endpoints.
	mostKnown bool
}

func estimateTypical(candidates []Candidate) estimate {
	sum, known := time.Duration(0), 0
	classSum, classKnown := time.Duration(0), 0
	for i := range candidates {
		if candidates[i].MeanServiceTime > 0 {
			sum += candidates[i].MeanServiceTime
			known++
		}
		if candidates[i].ClassServiceTime > 0 {
			classSum += candidates[i].ClassServiceTime
			classKnown++
		}
	}
	if known == 0 {
		return estimate{serviceTime: defaultServiceTime}
	}
	typical := estimate{serviceTime: sum / time.Duration(known), mostKnown: 2*known > len(candidates)}
	if classKnown > 0 {
		typical.classServiceTime = classSum / time.Duration(classKnown)
	}
	return typical
}

// isOnTrial reports whether the endpoint gets only a few calls, which show its
// service time.
func (c *Candidate) isOnTrial(typical estimate) bool {
	return c.MeanServiceTime == 0 && typical.mostKnown
}

// usableSlots returns the number of slots that the choice counts on. An endpoint that
// takes a limited rate of calls uses as many as this rate keeps busy.
func (c *Candidate) usableSlots(typical estimate) float64 {
	slots := float64(c.Slots)
	if c.isOnTrial(typical) {
		slots = math.Ceil(trialSlotsFraction * slots)
	}
	if c.CallsPerSecond > 0 {
		slots = min(slots, c.CallsPerSecond*c.meanServiceTime(typical)/float64(time.Second))
	}
	return slots
}

// serviceTime returns the expected service time of the call.
func (c *Candidate) serviceTime(typical estimate) float64 {
	class := float64(c.ClassServiceTime)
	if class == 0 && c.MeanServiceTime > 0 {
		// Calls of other classes say little about an endpoint that has had none of this one.
		class = float64(typical.classServiceTime)
	}
	mean := c.meanServiceTime(typical)
	// In an overload the service times of the slower classes come close to their latency
	// targets at all endpoints. By these times none would be preferred, and all hosts would
	// choose the same few.
	if class == 0 || class > mean {
		return mean
	}
	return class
}

// meanServiceTime returns the expected service time of any call at the endpoint.
func (c *Candidate) meanServiceTime(typical estimate) float64 {
	serviceTime := float64(c.MeanServiceTime)
	if serviceTime == 0 {
		serviceTime = float64(typical.serviceTime)
		if c.Cold {
			serviceTime *= coldFactor
		}
	}
	return serviceTime
}

// preferredRate returns the rate at which the free slots serve calls, 0 for an
// endpoint that is not preferred.
func (c *Candidate) preferredRate(typical estimate, targetRemaining time.Duration) float64 {
	free := maxPreferredOccupancy*c.usableSlots(typical) - float64(c.Occupied)
	if c.Excluded || c.Stale || !c.SameDomain || c.FailureRatio >= minFailingFraction || free < 1 {
		return 0
	}
	// An endpoint on trial is not ruled out by an estimated service time: the trial
	// shows whether it is fast enough.
	if !c.isOnTrial(typical) && targetMargin*c.serviceTime(typical) >= float64(max(targetRemaining-c.LinkDelay, 0)) {
		return 0
	}
	return free / (c.serviceTime(typical) + float64(c.LinkDelay))
}

// expectedValue returns the expected value of the call at the endpoint, less what is
// subtracted for a remote domain.
func (c *Candidate) expectedValue(typical estimate, call Call) float64 {
	value := c.callerValue(typical, call)
	if !c.SameDomain {
		value *= call.remoteFactor()
	}
	return value
}

// callerValue returns the expected value for the caller: the probability of success
// within the latency target, and a little for a later success, which is more the sooner
// it comes.
func (c *Candidate) callerValue(typical estimate, call Call) float64 {
	serviceTime := c.serviceTime(typical)
	occupancy := float64(c.Occupied+1) / c.usableSlots(typical)
	queueingDelay := max(0, occupancy-1)*c.meanServiceTime(typical) + float64(c.LinkDelay)
	inTime := 0.0
	if remaining := float64(call.TargetRemaining) - queueingDelay; remaining > 0 {
		inTime = 1 - math.Exp(-serviceTimeShape*remaining/serviceTime)
	}
	late := lateValue / (1 + (queueingDelay+serviceTime)/float64(typical.serviceTime))
	value := (inTime + late) * (1 - c.FailureRatio) / (1 + occupancy/10)
	if c.Stale {
		value *= staleFactor
	}
	return value
}
