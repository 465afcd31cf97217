package hostlink

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
)

// inBubble runs a specification with a link of 8 Mbit/s in a synctest bubble.
func inBubble(t *testing.T, name string, specification func(l *Link, clock boottime.Clock)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			began := time.Now()
			clock := func() boottime.Time { return time.Since(began) }
			specification(New(Config{Mbps: 8, Clock: clock, Logger: hclog.NewNullLogger()}), clock)
		})
	})
}

// Guards against room that is lost with the responses that never leave.
func TestRoomIsReleased(t *testing.T) {
	inBubble(t, "a response that fills the link", func(l *Link, clock boottime.Clock) {
		l.SetEnabled(true)
		need := Need{Rank: 1, TargetBy: clock() + time.Second, DeadlineBy: clock() + time.Second}
		full := l.NewTransfer(need)
		_, fits := full.Reserve(800_000, 0)
		So(fits, ShouldBeTrue)
		_, fits = l.NewTransfer(need).Reserve(800_000, 0)
		So(fits, ShouldBeFalse)
		So(l.Stats().Refused, ShouldEqual, 1)
		fitsAgain := func() {
			next := Need{Rank: 1, TargetBy: clock() + time.Second, DeadlineBy: clock() + time.Second}
			_, fits := l.NewTransfer(next).Reserve(800_000, 0)
			So(fits, ShouldBeTrue)
		}
		Convey("its attempt fails, or its caller's host vanishes", func() {
			full.Close()
			fitsAgain()
		})
		Convey("it is shorter than expected", func() {
			full.Begin(100)
			fitsAgain()
		})
		Convey("it leaves", func() {
			full.Begin(800_000)
			for left := 800_000; left > 0; left -= ChunkBytes {
				So(full.Wait(nil, min(left, ChunkBytes)), ShouldBeTrue)
			}
			fitsAgain()
		})
	})
}

// Guards against chunks that wait for ever: of a caller that left, and of a plan without
// downloads.
func TestWaitingEnds(t *testing.T) {
	inBubble(t, "a chunk behind many", func(l *Link, _ boottime.Clock) {
		So(l.NewTransfer(Need{}), ShouldBeNil)
		So((*Transfer)(nil).Wait(nil, ChunkBytes), ShouldBeTrue)
		l.SetEnabled(true)
		l.RecordShort(10_000_000)
		wait := func(ended <-chan struct{}) <-chan bool {
			result := make(chan bool, 1)
			go func() { result <- l.NewTransfer(Need{}).Wait(ended, ChunkBytes) }()
			synctest.Wait()
			So(l.Stats().WaitingBytes, ShouldEqual, ChunkBytes)
			return result
		}
		Convey("of a caller that leaves", func() {
			ended := make(chan struct{})
			result := wait(ended)
			close(ended)
			So(<-result, ShouldBeFalse)
			So(l.Stats().WaitingBytes, ShouldEqual, 0)
		})
		Convey("while the order ends", func() {
			result := wait(nil)
			l.SetEnabled(false)
			So(<-result, ShouldBeTrue)
			So(l.Enabled(), ShouldBeFalse)
		})
		Convey("until it is its turn", func() {
			So(<-wait(nil), ShouldBeTrue)
		})
	})
}

// Guards against responses that are begun by the setting of a link that carries half of it.
func TestSlowCreditsReduceWhatIsBegun(t *testing.T) {
	inBubble(t, "credits for a long response that come late", func(l *Link, clock boottime.Clock) {
		l.SetEnabled(true)
		fits := func() bool {
			t := l.NewTransfer(Need{TargetBy: clock() + time.Second, DeadlineBy: clock() + time.Second})
			defer t.Close()
			_, fits := t.Reserve(800_000, 0)
			return fits
		}
		So(fits(), ShouldBeTrue)
		slow := l.NewTransfer(Need{TargetBy: clock() + time.Minute})
		const half = 470_000 // bytes per second
		for range 200 {
			So(slow.Wait(nil, ChunkBytes), ShouldBeTrue)
			time.AfterFunc(300*time.Millisecond, func() { slow.Credited(ChunkBytes) })
			time.Sleep(time.Second * ChunkBytes / half)
		}
		So(l.Stats().BytesPerSecond, ShouldBeBetween, 0.7*half, 1.3*half)
		So(fits(), ShouldBeFalse)
		time.Sleep(5 * time.Second)
		So(fits(), ShouldBeTrue)
	})
}

// Guards against clients of one host that ask for more than its link carries, and against
// nested calls that are refused for it while they can be answered.
func TestIncomingResponsesAreBounded(t *testing.T) {
	inBubble(t, "responses worth twice the link", func(l *Link, clock boottime.Clock) {
		need := Need{Rank: 1, TargetBy: clock() + time.Second, DeadlineBy: clock() + 3*time.Second}
		ask := func(n Need) (func(), bool) {
			release, retryAfter, fits := l.ReserveIncoming(n, 100_000, 50*time.Millisecond)
			So(retryAfter > 0, ShouldNotEqual, fits)
			return release, fits
		}
		for range 20 {
			_, fits := ask(need)
			So(fits, ShouldBeTrue)
		}
		l.SetEnabled(true)
		var release func()
		begun := 0
		for range 20 {
			if r, fits := ask(need); fits {
				release = r
				begun++
			}
		}
		So(begun, ShouldBeBetween, 5, 8) // In 0.85 s the link carries 7.
		nested := need
		nested.Nested = true
		_, fits := ask(nested)
		So(fits, ShouldBeTrue)
		release()
		release()
		_, fits = ask(need)
		So(fits, ShouldBeFalse)
		Convey("there is room again once enough have arrived", func() {
			l.incoming = nil
			_, fits = ask(need)
			So(fits, ShouldBeTrue)
		})
	})
}
