package callmux

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a narrow link that long bodies fill for seconds, and against
// permits that are lost when calls end in any order.
func TestBodiesAreBoundedByTheLink(t *testing.T) {
	Convey("a link of 7 Mbit/s has room for three windows in a quarter of a second", t, func() {
		b := NewBodies(7)
		never, ended := make(chan struct{}), make(chan struct{})
		close(ended)
		held := []*permit{{bodies: b}, {bodies: b}, {bodies: b}}
		for _, p := range held {
			So(p.acquire(never), ShouldBeTrue)
		}
		waiting := &permit{bodies: b}
		So(waiting.acquire(ended), ShouldBeFalse)
		waiting.release()
		held[0].release()
		held[0].release()
		next := &permit{bodies: b}
		So(next.acquire(never), ShouldBeTrue)
		late := &permit{bodies: b}
		late.release()
		held[1].release()
		So(late.acquire(never), ShouldBeFalse)
		held[2].release()
		next.release()
		So(len(b.permits), ShouldEqual, 0)
	})
	Convey("an unknown bandwidth bounds nothing", t, func() {
		for range 1000 {
			So((&permit{bodies: NewBodies(0)}).acquire(nil), ShouldBeTrue)
		}
	})
}
