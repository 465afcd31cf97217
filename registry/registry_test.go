package registry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRegistry guards against lists in random order and against a value that
// silently replaces another one with the same ID.
func TestRegistry(t *testing.T) {
	Convey("Values come back in the order of their IDs", t, func() {
		r := New[string, int]("number")
		r.Add("b", 2)
		r.Add("a", 1)
		So(r.IDs(), ShouldResemble, []string{"a", "b"})
		So(r.All(), ShouldResemble, []int{1, 2})
		value, found := r.Get("b")
		So(value, ShouldEqual, 2)
		So(found, ShouldBeTrue)
		_, found = r.Get("c")
		So(found, ShouldBeFalse)
	})
	Convey("Adding a value under an ID that is taken panics", t, func() {
		r := New[string, int]("number")
		r.Add("a", 1)
		So(func() { r.Add("a", 2) }, ShouldPanicWith, "registry: number a registered twice")
	})
}
