package proxy

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against uploads whose connection is closed because their receiver stops
// reading for longer than userTimeout (I8).
func TestUploadsHaveNoUserTimeout(t *testing.T) {
	Convey("Only connections for short requests have a user timeout", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		entry := NewEntry(EntryConfig{})
		for body, want := range map[*requestBody]int{
			{length: -1, stream: http.NoBody}: 0,
			{buffered: []byte("short")}:       int(userTimeout.Milliseconds()),
		} {
			conn, err := entry.poolsFor(body).dial(t.Context(), "tcp", listener.Addr().String())
			// The connect times out if the process does not run for dialTimeout.
			for timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout(); {
				conn, err = entry.poolsFor(body).dial(t.Context(), "tcp", listener.Addr().String())
			}
			So(err, ShouldBeNil)
			raw, err := conn.(syscall.Conn).SyscallConn()
			So(err, ShouldBeNil)
			So(raw.Control(func(fd uintptr) {
				got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
				So(err, ShouldBeNil)
				So(got, ShouldEqual, want)
			}), ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
		}
	})
}

// Guards against calls written to a spare connection that the endpoint has
// closed, whose outcome would be unknown, and against calls that wait for a
// connect although a spare connection is there.
func TestSpareConnections(t *testing.T) {
	Convey("Given a listener and a warm pool", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		now := time.Unix(1000, 0)
		p := newPools(0, func() time.Time { return now })
		defer p.close()
		address := listener.Addr().String()
		p.warm(context.Background(), address, 1)
		server, err := listener.Accept()
		So(err, ShouldBeNil)
		s := &p.get(address).spares
		Convey("an open spare connection is used", func() {
			conn := s.pop()
			So(conn, ShouldNotBeNil)
			So(conn.Close(), ShouldBeNil)
			So(s.pop(), ShouldBeNil)
		})
		Convey("a spare connection that the server closed is not used", func() {
			So(server.Close(), ShouldBeNil)
			var b [1]byte
			// Reading until the end of the stream waits for the close to arrive.
			_, err := s.conns[0].conn.Read(b[:])
			So(err, ShouldNotBeNil)
			So(s.pop(), ShouldBeNil)
		})
		Convey("an expired spare connection is closed and replaced", func() {
			old := s.conns[0].conn
			now = now.Add(spareLifetime + 1)
			p.warm(context.Background(), address, 1)
			So(s.conns, ShouldHaveLength, 1)
			So(s.conns[0].conn, ShouldNotEqual, old)
		})
	})
	Convey("A gate calls an endpoint over its spare connection", t, func() {
		m := newTestMesh(t, http.HandlerFunc(echo))
		g := m.hosts[0].gate
		m.hosts[0].registry.Configure(testConfig())
		g.pools.warm(context.Background(), m.hosts[0].endpoint.Listener.Addr().String(), 1)
		m.hosts[0].gate.pools.dial = nil // a new connection would panic
		So(m.get("/lookup").outcomeAndReason(), ShouldEqual, "executed")
	})
}
