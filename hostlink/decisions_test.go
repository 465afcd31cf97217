package hostlink

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const testRate = 1_000_000.0 // 1 byte per microsecond.

func half() float64 { return 0.5 }

// Guards against responses that other calls wait for which leave behind downloads, and
// against downloads that never leave.
func TestChunksLeaveByNeed(t *testing.T) {
	second := boottime.Time(time.Second)
	add := func(p *pacer, n Need, count int) {
		for range count {
			p.waiting = append(p.waiting, &chunk{need: n, bytes: 1000})
		}
	}
	Convey("nested, then rank, then target, also of those that are late", t, func() {
		var p pacer
		late, standard, earlier, urgent, nested := Need{Rank: 2, TargetBy: 0}, Need{Rank: 2, TargetBy: 2 * second}, Need{Rank: 2, TargetBy: second}, Need{Rank: 1, TargetBy: 3 * second}, Need{Nested: true, Rank: 3, TargetBy: 3 * second}
		for _, n := range []Need{late, standard, earlier, urgent, nested} {
			add(&p, n, 1)
		}
		var order []Need
		for now := boottime.Time(1); ; {
			c, wait := p.next(testRate, now)
			if now += wait; c != nil {
				order = append(order, c.need)
			} else if wait == 0 {
				break
			}
		}
		So(order, ShouldResemble, []Need{nested, urgent, late, earlier, standard})
	})
	Convey("the least urgent gets a tenth while the others never end", t, func() {
		var p pacer
		bulk, now := Need{Rank: 3, TargetBy: second}, boottime.Time(0)
		add(&p, bulk, 100)
		sent := 0
		for granted := 0; granted < 200; {
			for len(p.waiting) < 101 {
				add(&p, Need{Rank: 1, TargetBy: second}, 1)
			}
			c, wait := p.next(testRate, now)
			if now += wait; c != nil {
				granted++
				if c.need == bulk {
					sent++
				}
			}
		}
		So(sent, ShouldBeBetween, 16, 22)
	})
}

// Guards against queues below this program that short frames wait in.
func TestChunksLeaveAtTheRateOfTheLink(t *testing.T) {
	Convey("chunks are never further ahead than the bound, also behind short frames", t, func() {
		var p pacer
		for range 1000 {
			p.waiting = append(p.waiting, &chunk{bytes: 8000})
		}
		sent, now := 0, boottime.Time(0)
		for i := 0; len(p.waiting) > 0; i++ {
			c, wait := p.next(testRate, now)
			now += wait
			if i%5 == 0 {
				p.account(500, testRate, now)
				sent += 500
			}
			if c == nil {
				continue
			}
			sent += c.bytes
			So(float64(sent)-testRate*now.Seconds(), ShouldBeLessThanOrEqualTo, testRate*maxAhead.Seconds()+8500)
		}
		Convey("and the link is used in full", func() {
			So(float64(sent)/now.Seconds(), ShouldBeBetween, 0.99*testRate, 1.01*testRate)
		})
	})
}

// Guards against responses that are executed and come too late, and against refusals of
// what would have fitted.
func TestResponsesAreBegunIfTheyLeaveInTime(t *testing.T) {
	Convey("at 1.5 times the link, what is begun arrives in time and the link stays in use", t, func() {
		const (
			bytes   = 100_000
			service = 80 * time.Millisecond
			target  = 500 * time.Millisecond
			timeout = 3 * time.Second
		)
		var listed promises
		begun, refused, sent := 0, 0, 0.0
		var p pacer
		chunks := map[*chunk]*promise{}
		queued := map[*promise]bool{}
		nextArrival := boottime.Time(0)
		for now := boottime.Time(0); now < boottime.Time(10*time.Second); now += boottime.Time(time.Millisecond) {
			for nextArrival <= now {
				x := &promise{need: Need{Rank: 2, TargetBy: now + target, DeadlineBy: now + timeout}, bytes: bytes, readyAt: now + service}
				retryAfter, fits := listed.admit(x, testRate, now, half)
				if fits {
					listed = append(listed, x)
					begun++
				} else {
					refused++
					So(retryAfter, ShouldBeBetweenOrEqual, time.Duration(minRetryAfterFraction*float64(timeout)), time.Duration(maxRetryAfterFraction*float64(timeout)))
					So(now+retryAfter, ShouldBeGreaterThanOrEqualTo, listed.drained(testRate, now))
				}
				nextArrival += boottime.Time(100 * time.Millisecond * 2 / 3)
			}
			for _, x := range listed {
				if x.readyAt <= now && !queued[x] {
					queued[x] = true
					for range bytes / 8000 {
						c := &chunk{need: x.need, bytes: 8000}
						p.waiting, chunks[c] = append(p.waiting, c), x
					}
				}
			}
			for c, _ := p.next(testRate, now); c != nil; c, _ = p.next(testRate, now) {
				x := chunks[c]
				x.bytes -= 8000
				sent += 8000
				if x.bytes < 8000 {
					x.bytes = 0
					So(now, ShouldBeLessThanOrEqualTo, x.need.TargetBy)
				}
			}
		}
		So(sent, ShouldBeGreaterThan, 0.9*10*testRate)
		So(begun+refused, ShouldBeBetween, 145, 155)
		So(begun, ShouldBeBetween, 90, 110)
	})
	Convey("a more urgent response is not refused for less urgent ones before it", t, func() {
		var listed promises
		for range 10 {
			listed = append(listed, &promise{need: Need{Rank: 3, TargetBy: time.Second, DeadlineBy: 3 * time.Second}, bytes: 100_000})
		}
		x := promise{need: Need{Rank: 1, TargetBy: 200 * time.Millisecond, DeadlineBy: time.Second}, bytes: 100_000}
		_, fits := listed.admit(&x, testRate, 0, half)
		So(fits, ShouldBeTrue)
		x.need.Rank, x.need.TargetBy = 3, time.Second
		_, fits = listed.admit(&x, testRate, 0, half)
		So(fits, ShouldBeFalse)
	})
	Convey("a response that misses its target anyhow gets the room that is left over", t, func() {
		x := promise{need: Need{Rank: 2, TargetBy: 0, DeadlineBy: time.Second}, bytes: 100_000}
		alone := x
		_, fits := promises(nil).admit(&alone, testRate, 0, half)
		So(fits, ShouldBeTrue)
		So(alone.need.TargetBy, ShouldEqual, time.Second)
		full := promises{&promise{need: Need{Rank: 2, TargetBy: time.Second, DeadlineBy: time.Second}, bytes: 450_000}}
		retryAfter, fits := full.admit(&x, testRate, 0, half)
		So(fits, ShouldBeFalse)
		So(retryAfter, ShouldEqual, 330*time.Millisecond)
	})
}

// Guards against a link that is trusted to carry what its setting says.
func TestTheRateIsMeasured(t *testing.T) {
	Convey("slow credits lower the rate to what is carried, and quick ones raise it again", t, func() {
		r := newRateEstimate(8)
		So(r.long(), ShouldEqual, 860_000)
		now := boottime.Time(0)
		run := func(credits int, delay, last time.Duration) {
			for range 12 {
				for i := range credits {
					d := delay
					if i == credits-1 {
						d = last
					}
					now += rateInterval / boottime.Time(credits)
					r.observeCredit(16<<10, d, now)
				}
			}
		}
		run(8, 400*time.Millisecond, 300*time.Millisecond)
		So(r.usable, ShouldBeBetween, 450_000, 600_000)
		Convey("callers that read slowly do not lower it", func() {
			run(8, 20*time.Millisecond, 20*time.Millisecond)
			So(r.usable, ShouldEqual, r.limit)
			run(8, 2*time.Second, 20*time.Millisecond)
			So(r.usable, ShouldEqual, r.limit)
		})
		Convey("it recovers without traffic, and never ends at 0", func() {
			r.usable = 0
			run(8, time.Second, time.Second)
			So(r.usable, ShouldBeGreaterThanOrEqualTo, minRateFraction*r.limit)
			r.update(now + 10*time.Second)
			So(r.usable, ShouldEqual, r.limit)
		})
	})
	Convey("short frames are taken off what is left for long responses", t, func() {
		r := newRateEstimate(8)
		for now := boottime.Time(0); now < boottime.Time(5*time.Second); now += boottime.Time(10 * time.Millisecond) {
			r.observeShort(4000, now)
		}
		So(r.long(), ShouldBeBetween, 440_000, 480_000)
	})
}
