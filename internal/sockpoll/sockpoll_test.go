package sockpoll_test

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/internal/sockpoll"
)

// Guards against bytes, an end of input or a connection that has arrived unnoticed.
func TestReadable(t *testing.T) {
	Convey("a listener and a connection over loopback", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		So(sockpoll.Readable(l), ShouldBeFalse)
		client, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = client.Close() }()
		So(sockpoll.Readable(l), ShouldBeTrue)
		server, err := l.Accept()
		So(err, ShouldBeNil)
		So(sockpoll.Readable(l), ShouldBeFalse)
		So(sockpoll.Readable(server), ShouldBeFalse)
		_, err = io.WriteString(client, "x")
		So(err, ShouldBeNil)
		So(sockpoll.Readable(server), ShouldBeTrue)
		_, err = io.ReadFull(server, make([]byte, 1))
		So(err, ShouldBeNil)
		So(sockpoll.Readable(server), ShouldBeFalse)
		So(client.Close(), ShouldBeNil)
		So(sockpoll.Readable(server), ShouldBeTrue)
		So(server.Close(), ShouldBeNil)
		So(sockpoll.Readable(server), ShouldBeFalse)
	})
	Convey("a connection without a file descriptor", t, func() {
		c, _ := net.Pipe()
		So(sockpoll.Readable(c), ShouldBeFalse)
	})
}
