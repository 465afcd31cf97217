package readlimit_test

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/internal/readlimit"
)

// Guards against a read beyond the limit, and against a limit that still applies after
// its removal.
func TestLimit(t *testing.T) {
	Convey("a connection with ten bytes and a limit of four", t, func() {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = io.WriteString(far, "0123456789") // A failed write shows as a short read.
			_ = far.Close()
		}()
		c := readlimit.NewConn(near)
		c.SetLimit(4)
		So(c.Exceeded(), ShouldBeFalse)
		got, err := io.ReadAll(c)
		So(string(got), ShouldEqual, "0123")
		So(err, ShouldEqual, readlimit.ErrExceeded)
		So(c.Exceeded(), ShouldBeTrue)
		c.RemoveLimit()
		got, err = io.ReadAll(c)
		So(string(got), ShouldEqual, "456789")
		So(err, ShouldBeNil)
	})
}
