package transport

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a peer whose handshake response without end fills the memory of the
// node.
func TestUnboundedHandshakeResponse(t *testing.T) {
	for name, start := range map[string]string{"head": "HTTP/1.1 101 Switching Protocols\r\nA: ", "body": "HTTP/1.1 500 Error\r\n\r\n"} {
		Convey("the dial fails while the connection is open: "+name, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			written := make(chan int, 1)
			go func() { written <- respondForever(l, start) }()
			m := NewManager(Config{Self: "a", DialTimeout: 10 * time.Second})
			defer m.Close()
			_, err = m.Dial(context.Background(), l.Addr().String())
			So(err, ShouldNotBeNil)
			So(<-written, ShouldBeLessThan, 4<<20)
		})
	}
}

// respondForever accepts a connection and writes start and then other bytes until the
// connection is closed. It returns the number of bytes written.
func respondForever(l net.Listener, start string) int {
	c, err := l.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // The bound allows for a larger buffer.
	const maxBytes = 64 << 20
	written, err := io.WriteString(c, start)
	for n := 0; err == nil && written < maxBytes; written += n {
		n, err = io.WriteString(c, strings.Repeat("x", 16<<10))
	}
	_, _ = io.Copy(io.Discard, c) // Waits until the manager closes the connection.
	return written
}
