package slotqueue_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/slotqueue"
)

// limitedLoad offers calls to a queue whose endpoint names a rate, in fake time.
type limitedLoad struct {
	queue   *slotqueue.Queue
	now     time.Duration
	wakeAt  time.Duration
	running map[*slotqueue.Ticket]time.Duration
	waiting []*slotqueue.Ticket
	starts  map[slotqueue.Class][]time.Duration
	classes map[*slotqueue.Ticket]slotqueue.Class
	// rejections counts the calls that were rejected at once, failures those that waited
	// in vain.
	rejections, failures int
}

const limitedServiceTime = 100 * ms

func newLimitedLoad(slots int) *limitedLoad {
	l := &limitedLoad{
		queue: newQueue(slots), running: map[*slotqueue.Ticket]time.Duration{},
		starts: map[slotqueue.Class][]time.Duration{}, classes: map[*slotqueue.Ticket]slotqueue.Class{},
	}
	l.queue.SetWake(func(after time.Duration) { l.wakeAt = l.now + after })
	return l
}

func (l *limitedLoad) offer(class slotqueue.Class) {
	t, rejection := l.queue.Offer(slotqueue.Call{Class: class, Rank: class.Rank, TargetBy: l.now + 500*ms, DeadlineBy: l.now + 2*time.Second}, l.now)
	if rejection != nil {
		l.rejections++
		return
	}
	l.classes[t] = class
	l.waiting = append(l.waiting, t)
}

// step advances the time by a millisecond. Each response names the rate, unless it is
// negative.
func (l *limitedLoad) step(perSecond float64) {
	l.now += ms
	for t, end := range l.running {
		if l.now >= end {
			delete(l.running, t)
			if perSecond >= 0 {
				l.queue.RecordStartLimit(perSecond, l.now)
			} else {
				l.queue.RecordNoStartLimit(l.now)
			}
			l.queue.Release(t, limitedServiceTime, l.now)
		}
	}
	if l.wakeAt != 0 && l.now >= l.wakeAt {
		l.wakeAt = 0
		l.queue.Dispatch(l.now)
	}
	remaining := l.waiting[:0]
	for _, t := range l.waiting {
		select {
		case ok := <-t.Ready():
			if !ok {
				l.failures++
				continue
			}
			l.running[t] = l.now + limitedServiceTime
			l.starts[l.classes[t]] = append(l.starts[l.classes[t]], l.now)
		default:
			remaining = append(remaining, t)
		}
	}
	l.waiting = remaining
}

func (l *limitedLoad) allStarts() (all []time.Duration) {
	for _, s := range l.starts {
		all = append(all, s...)
	}
	return all
}

// busiest returns the most starts in a span.
func busiest(starts []time.Duration, span time.Duration) int {
	most := 0
	for _, from := range starts {
		n := 0
		for _, at := range starts {
			if at >= from && at < from+span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against an endpoint that gets more calls than the rate it names, or fewer.
func TestStartsStayWithinTheRateThatTheEndpointNames(t *testing.T) {
	for _, perSecond := range []float64{0, 2.5, 20, 80} {
		Convey(fmt.Sprint(perSecond, " a second, 150 offered"), t, func() {
			l := newLimitedLoad(18)
			for l.now < 24*time.Second {
				if l.now%(20*ms) == 0 {
					for range 3 {
						l.offer(class(0, false))
					}
				}
				l.step(perSecond)
			}
			starts := l.allStarts()
			late := starts[:0:0]
			for _, at := range starts {
				if at > 3*time.Second {
					late = append(late, at)
				}
			}
			So(busiest(late, 4*time.Second), ShouldBeLessThanOrEqualTo, int(1.5*4*perSecond+5))
			So(float64(len(late)), ShouldBeGreaterThan, 0.95*21*perSecond)
			So(l.failures, ShouldEqual, 0)
		})
	}
	Convey("the rate is not used for a while", t, func() {
		l := newLimitedLoad(18)
		l.queue.RecordStartLimit(20, l.now)
		for l.now < 5*time.Second {
			l.step(20)
		}
		for range 100 {
			l.offer(class(0, false))
		}
		for l.now < 9*time.Second {
			l.step(20)
		}
		So(busiest(l.allStarts(), 4*time.Second), ShouldBeLessThanOrEqualTo, 125)
		// The others would miss their latency target and are rejected at once.
		So(l.rejections, ShouldBeBetween, 70, 90)
	})
	Convey("a rate that is no number", t, func() {
		l := newLimitedLoad(18)
		for _, rate := range []float64{math.NaN(), math.Inf(-1), math.Inf(1)} {
			l.queue.ExpectStartLimit(rate, l.now)
		}
		l.queue.ExpectStartLimit(math.NaN(), l.now)
		for l.now < 10*time.Second {
			if l.now%(20*ms) == 0 {
				l.offer(class(0, false))
			}
			l.step(-1)
		}
		So(len(l.allStarts()), ShouldBeGreaterThan, 300)
	})
	Convey("the limit ends with the responses that name none", t, func() {
		l := newLimitedLoad(18)
		l.queue.RecordStartLimit(5, l.now)
		for l.now < 4*time.Second {
			if l.now%(10*ms) == 0 {
				l.offer(class(0, false))
			}
			rate := 5.0
			if l.now > 2*time.Second {
				rate = -1
			}
			l.step(rate)
		}
		So(l.queue.StartsPerSecond(), ShouldEqual, 0)
		So(busiest(l.allStarts(), time.Second), ShouldBeGreaterThan, 80)
	})
}

// Guards against nested calls, which go first, that take the whole rate.
func TestCallsOfClientsKeepTheirShareOfTheRate(t *testing.T) {
	Convey("nested calls alone exceed the rate", t, func() {
		l := newLimitedLoad(18)
		l.queue.RecordStartLimit(20, l.now)
		for l.now < 20*time.Second {
			if l.now%(20*ms) == 0 {
				l.offer(class(0, true))
				l.offer(class(1, false))
			}
			l.step(20)
		}
		clients, nested := len(l.starts[class(1, false)]), len(l.starts[class(0, true)])
		So(float64(clients)/float64(clients+nested), ShouldBeBetween, 0.18, 0.3)
	})
	Convey("urgent calls go first", t, func() {
		l := newLimitedLoad(18)
		l.queue.RecordStartLimit(20, l.now)
		for l.now < 20*time.Second {
			if l.now%(60*ms) == 0 {
				l.offer(class(0, false))
			}
			if l.now%(20*ms) == 0 {
				l.offer(class(2, false))
			}
			l.step(20)
		}
		So(len(l.starts[class(0, false)]), ShouldBeGreaterThan, 320)
	})
}
