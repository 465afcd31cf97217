package callmux

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/heldmemory"
)

// Guards against long bodies that occupy a slow network link for seconds, and against
// permits that leak, in whatever order calls end.
func TestBodiesAreBoundedByTheLink(t *testing.T) {
	Convey("a network link of 7 Mbit/s has three permits: it carries three windows in 250 ms", t, func() {
		limiter := NewBodyLimiter(7)
		never, ended := make(chan struct{}), make(chan struct{})
		close(ended)
		held := []*permit{{limiter: limiter}, {limiter: limiter}, {limiter: limiter}}
		for _, p := range held {
			So(p.acquire(never), ShouldBeTrue)
		}
		waiting := &permit{limiter: limiter}
		So(waiting.acquire(ended), ShouldBeFalse)
		waiting.release()
		held[0].release()
		held[0].release()
		next := &permit{limiter: limiter}
		So(next.acquire(never), ShouldBeTrue)
		late := &permit{limiter: limiter}
		late.release()
		held[1].release()
		So(late.acquire(never), ShouldBeFalse)
		held[2].release()
		next.release()
		So(len(limiter.permits), ShouldEqual, 0)
	})
	Convey("an unknown bandwidth limits nothing", t, func() {
		for range 1000 {
			So((&permit{limiter: NewBodyLimiter(0)}).acquire(nil), ShouldBeTrue)
		}
	})
}

// Guards against calls of other hosts that take more than the memory of this one while they
// wait for its endpoint.
func TestCallsOfPeersAreBounded(t *testing.T) {
	Convey("heads of 1,000 fields, and memory for five", t, func() {
		limiter := NewBodyLimiter(0)
		account := heldmemory.NewAccount(1<<20, boottime.Now)
		limiter.SetMemory(account)
		open := &openFrame{Header: make([]string, 2000)}
		var calls []*incoming
		for range 100 {
			if in := (&incoming{permit: permit{limiter: limiter}}); in.hold(open) {
				calls = append(calls, in)
			}
		}
		So(len(calls), ShouldBeBetween, 2, 8)
		Convey("leave room for a call with few fields", func() {
			So((&incoming{permit: permit{limiter: limiter}}).hold(&openFrame{Header: make([]string, 20)}), ShouldBeTrue)
		})
		Convey("return their memory", func() {
			for _, in := range calls {
				in.release()
			}
			So(account.Usage().Used, ShouldEqual, 0)
		})
	})
}
