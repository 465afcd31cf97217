package departures_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func departure(id string, startedAtMs int64) departures.Departure {
	return departures.Departure{ID: mesh.EndpointID(id), StartedAtMs: startedAtMs}
}

// Guards against a list that keeps out a later incarnation, lets an earlier one in, or
// grows without bound.
func TestList(t *testing.T) {
	Convey("a list with one departure", t, func() {
		l := departures.List{}.Add(4, departure("a", 100))
		Convey("covers the incarnation and earlier ones with its ID, nothing else", func() {
			So(l.Covers("a", 100), ShouldBeTrue)
			So(l.Covers("a", 99), ShouldBeTrue)
			So(l.Covers("a", 101), ShouldBeFalse)
			So(l.Covers("b", 100), ShouldBeFalse)
			So(departures.List(nil).Covers("a", 0), ShouldBeFalse)
		})
		Convey("a later departure with the ID replaces it, an earlier one does not", func() {
			So(l.Add(4, departure("a", 50)), ShouldResemble, l)
			later := l.Add(4, departure("b", 1), departure("a", 200))
			So(later, ShouldResemble, departures.List{departure("b", 1), departure("a", 200)})
			So(l, ShouldResemble, departures.List{departure("a", 100)})
		})
		Convey("the oldest departures beyond the limit are dropped", func() {
			for i := range 10 {
				l = l.Add(4, departure(fmt.Sprint("e", i), 1))
			}
			So(l, ShouldHaveLength, 4)
			So(l.Covers("e5", 1), ShouldBeFalse)
			So(l.Covers("e6", 1), ShouldBeTrue)
		})
		Convey("what another list does not cover remains", func() {
			other := l.Add(4, departure("b", 1))
			So(other.Without(l), ShouldResemble, departures.List{departure("b", 1)})
			So(l.Without(other), ShouldBeEmpty)
		})
	})
}
