// Package sockpoll queries sockets without waiting.
package sockpoll

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Readable reports whether a read from the connection, or an accept from the listener,
// would return at once. It reports false if s is closed or has no file descriptor.
//
// A read whose deadline has passed fails even if bytes have arrived. They can be found
// with this function.
func Readable(s any) bool {
	socket, ok := s.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	// The error means that the socket is closed.
	_ = raw.Control(func(fd uintptr) { readable = poll(int32(fd)) })
	return readable
}

func poll(fd int32) bool {
	for {
		n, err := unix.Poll([]unix.PollFd{{Fd: fd, Events: unix.POLLIN}}, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0
		}
	}
}
