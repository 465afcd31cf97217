package fieldname_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/internal/fieldname"
)

// Guards against names outside of RFC 9110, section 5.6.2, that are passed on, and against
// unusual ones that are not.
func TestCheck(t *testing.T) {
	Convey("names of fields", t, func() {
		for _, name := range []string{"Date", "x", "1", "!#$%&'*+-.^_`|~09AZaz"} {
			So(fieldname.Check(map[string][]string{"Date": nil, name: {"v"}}), ShouldBeNil)
		}
		for _, name := range []string{"", " ", "Content-Length ", " X", "X A", "X\tA", "X\x00", "X\x7f", "X:", "X\r", "X\xff", "X(", "Ä"} {
			So(fieldname.Check(map[string][]string{"Date": nil, name: {"v"}}), ShouldWrap, fieldname.ErrInvalid)
		}
		So(fieldname.Check(nil), ShouldBeNil)
	})
}
