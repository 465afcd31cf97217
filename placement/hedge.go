package placement

import (
	"math"
	"time"
)

const (
	// hedgeAfterMeans is the number of mean service times after which a second attempt
	// may begin. Earlier ones would use up the retry budget on calls that are not slow.
	hedgeAfterMeans = 1.5
	// hedgeMargin is the number of mean service times that the second attempt leaves to
	// the latency target where the call can wait so long.
	hedgeMargin = 1.5
	// maxHedgeOccupancy is the fraction of slots in use up to which an endpoint gets second
	// attempts. In an overload these would take the slots of first attempts.
	maxHedgeOccupancy = 0.6
)

// HedgeDelay returns how long an idempotent call may go without an answer at an endpoint
// with the given expected time, before another endpoint is asked as well. Service times
// have a long tail: a call that has taken twice the mean is often one that never ends, and
// the second attempt is then sooner.
func HedgeDelay(expected, targetRemaining time.Duration) time.Duration {
	latest := targetRemaining - time.Duration(hedgeMargin*float64(expected))
	return max(time.Duration(hedgeAfterMeans*float64(expected)), latest)
}

// ExpectedTime returns the time in which the endpoint is expected to answer the call,
// queueing included, 0 when its service time is not known.
func (c *Candidate) ExpectedTime() time.Duration {
	service := c.ClassServiceTime
	if service == 0 {
		service = c.MeanServiceTime
	}
	if service == 0 || c.Slots <= 0 {
		return 0
	}
	waiting := max(0, c.Occupied+1-c.Slots)
	return service + time.Duration(float64(c.MeanServiceTime)*float64(waiting)/float64(c.Slots)) + c.LinkDelay
}

// ChooseFree returns the index of a candidate with free slots for a second attempt of a
// call, or -1.
func ChooseFree(candidates []Candidate, call Call, random func() float64) int {
	typical := estimateTypical(candidates)
	best, bestValue := -1, 0.0
	for i := range candidates {
		c := candidates[i]
		if c.Excluded || c.Stale || c.Slots <= 0 || c.ExceedsLink(call.Remaining) || c.FailureRatio >= minFailingFraction || c.isOnTrial(typical) ||
			float64(c.Occupied+1) > math.Floor(maxHedgeOccupancy*c.usableSlots(typical)) {
			continue
		}
		if value := c.expectedValue(typical, call) * (1 - jitter*random()); best < 0 || value > bestValue {
			best, bestValue = i, value
		}
	}
	return best
}
