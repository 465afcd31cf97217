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
}

// NewConn returns a connection without a limit.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, remaining: math.MaxInt} }

// SetLimit limits the bytes that further reads return in total.
func (c *Conn) SetLimit(bytes int) { c.remaining = bytes }

// RemoveLimit removes the limit.
func (c *Conn) RemoveLimit() { c.remaining = math.MaxInt }

// Read returns ErrExceeded when the limit is reached.
func (c *Conn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, ErrExceeded
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
