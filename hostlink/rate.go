package hostlink

import (
	"math"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// usableFraction is the part of the bandwidth of the settings that frames may use. The
	// rest is for the headers of TCP and IP, 4 in 100 bytes of full packets and as much as
	// the frame for short ones, for acknowledgements, and for draining the queue below: at
	// 0.94, short frames waited for over 0.1 s on links of 12 Mbit/s (trials on one site).
	usableFraction = 0.86
	// rateInterval is the time over which the rate is measured: some round trips, and less
	// than a caller notices.
	rateInterval = 250 * time.Millisecond
	// slowCreditDelay is the time for a credit from which the link is slower than assumed.
	// It is well above a round trip between regions (70 ms) and maxAhead.
	slowCreditDelay = 200 * time.Millisecond
	// minCreditSamples is the number of credits that an interval needs: a single caller
	// that reads slowly says nothing about the link.
	minCreditSamples = 4
	// recoveryFactor is the growth of the rate in an interval without slow credits. A link
	// that was squeezed to a tenth is used in full again after 3 s.
	recoveryFactor = 1.2
	// minRateFraction bounds the measured rate from below, so that a link that carried
	// nothing for a while is tried again.
	minRateFraction = 0.05
	// minLongFraction is the part of the rate that is counted on for long responses
	// however many short frames there are.
	minLongFraction = 0.2
	// shortWeight is the weight of an interval in the moving average of short frames.
	shortWeight = 0.4
)

// rateEstimate is the rate that the link carries. Its load: a link that is lossy or
// squeezed carries less than the settings say; what is sent then waits in the queues below
// in the order in which it was sent.
type rateEstimate struct {
	// limit is the rate by the settings in bytes per second, usable the measured one.
	limit, usable float64
	// short is the rate of short frames.
	short float64

	began      boottime.Time
	shortBytes int
	credited   int
	samples    int
	minDelay   time.Duration
}

// BytesPerSecond returns the rate that frames may use of a link with a bandwidth in Mbit/s.
func BytesPerSecond(mbps float64) float64 { return usableFraction * mbps * 1e6 / 8 }

func newRateEstimate(mbps float64) rateEstimate {
	limit := BytesPerSecond(mbps)
	return rateEstimate{limit: limit, usable: limit}
}

// observeCredit records that a peer has received bytes, and the time since they were sent.
func (r *rateEstimate) observeCredit(bytes int, delay time.Duration, now boottime.Time) {
	r.update(now)
	r.credited += bytes
	if r.samples == 0 || delay < r.minDelay {
		r.minDelay = delay
	}
	r.samples++
}

// observeShort records a short frame that was sent.
func (r *rateEstimate) observeShort(bytes int, now boottime.Time) {
	r.update(now)
	r.shortBytes += bytes
}

// update ends the interval if it is over. The quickest credit counts: the others may wait
// for callers that read slowly.
func (r *rateEstimate) update(now boottime.Time) {
	elapsed := now - r.began
	if elapsed < rateInterval {
		return
	}
	short := float64(r.shortBytes) / elapsed.Seconds()
	intervals := float64(elapsed / rateInterval)
	r.short += (1 - math.Pow(1-shortWeight, intervals)) * (short - r.short)
	if r.samples >= minCreditSamples && r.minDelay > slowCreditDelay {
		carried := float64(r.credited)/elapsed.Seconds() + short
		r.usable = max(minRateFraction*r.limit, min(r.usable, carried))
	} else {
		r.usable = min(r.limit, r.usable*math.Pow(recoveryFactor, intervals))
	}
	r.began, r.shortBytes, r.credited, r.samples, r.minDelay = now, 0, 0, 0, 0
}

// long returns the rate that is left for long responses.
func (r *rateEstimate) long() float64 { return max(minLongFraction*r.usable, r.usable-r.short) }
