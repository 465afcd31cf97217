// Package readlimit limits the bytes that are read from a connection, for parsers that
// buffer a message head of any length.
package readlimit

import (
	"math"
	"net"

	"github.com/cockroachdb/errors"
)

// ErrExceeded is returned by reads after the limit.
var ErrExceeded = errors.New("readlimit: read limit exceeded")

// Conn is a connection whose reads can be limited. The limit may be changed between
// reads, by the goroutine that reads.
type Conn struct {
	net.Conn
	remaining int
	exceeded  bool
}

// NewConn returns a connection without a limit.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, remaining: math.MaxInt} }

// SetLimit limits the bytes that further reads return in total.
func (c *Conn) SetLimit(bytes int) { c.remaining, c.exceeded = bytes, false }

// RemoveLimit removes the limit.
func (c *Conn) RemoveLimit() { c.remaining = math.MaxInt }

// Exceeded reports whether a read has returned ErrExceeded since the limit was set. A
// parser may return another error instead, because bufio.Reader.ReadLine takes the bytes
// before an error for a line.
func (c *Conn) Exceeded() bool { return c.exceeded }

// Read returns ErrExceeded when the limit is reached.
func (c *Conn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		c.exceeded = true
		return 0, ErrExceeded
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
