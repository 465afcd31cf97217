package statuscode_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/internal/statuscode"
)

// Guards against statuses outside of RFC 9110, section 15, that are taken for responses.
func TestStatuses(t *testing.T) {
	Convey("final and interim statuses", t, func() {
		for status, want := range map[int][2]bool{
			-1: {}, 0: {}, 99: {}, 100: {false, true}, 101: {}, 103: {false, true}, 199: {false, true},
			200: {true, false}, 204: {true, false}, 304: {true, false}, 599: {true, false}, 600: {}, 999: {}, 1000: {},
		} {
			So([2]bool{statuscode.IsFinal(status), statuscode.IsInterim(status)}, ShouldResemble, want)
		}
	})
}
