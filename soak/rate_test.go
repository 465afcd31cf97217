package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rateStream is the random stream of limitRate.
	rateStream = 3
	// rateSpan is the time over which the calls to an endpoint are counted, and rateFactor
	// and rateSlack what it may get beyond its rate.
	rateSpan   = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	// rateKnownAfter is how long after the endpoint named its rate the bound holds.
	rateKnownAfter = 3 * time.Second
)

// limitRate makes the endpoint of one host name a rate of calls, in half of the seeds.
func (c *cluster) limitRate(random *rand.Rand) {
	h, rate := c.hosts[random.IntN(len(c.hosts))], 20+random.IntN(30)
	if random.IntN(2) == 0 {
		h.rate.Store(int64(rate))
		c.rateNamedAt = time.Now()
	}
}

// checkRate records a failure if an endpoint got more calls than the rate that it named
// allows. The caller holds mu.
func (c *cluster) checkRate() {
	for _, h := range c.hosts {
		rate := h.rate.Load()
		if rate == 0 {
			continue
		}
		var arrivals []time.Time
		for _, executions := range c.executions {
			for _, e := range executions {
				if e.host == h && e.begin.Sub(c.rateNamedAt) > rateKnownAfter {
					arrivals = append(arrivals, e.begin)
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		allowed := int(rateFactor*rateSpan.Seconds()*float64(rate)) + rateSlack
		for i := range max(0, len(arrivals)-allowed) {
			if span := arrivals[i+allowed].Sub(arrivals[i]); span < rateSpan {
				c.failures = append(c.failures, fmt.Sprintf("%s got over %d calls in %v from %s on, at a rate of %d/s", h.name, allowed, rateSpan, arrivals[i].UTC().Format("15:04:05.000"), rate))
				return
			}
		}
	}
}
