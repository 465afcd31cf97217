package localendpoint

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/internal/readlimit"
)

const (
	// connectTimeout is the timeout for connecting to the endpoint on this host.
	connectTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout assumed for an endpoint that does not
	// state its own.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the endpoint's idle timeout a connection is no
	// longer used, so that no call is sent while the endpoint closes it.
	idleMargin = time.Second
	// maxRecentIdle is the idle time up to which a connection is used for calls that
	// must not be executed twice. If the endpoint closes the connection while such a
	// call is sent, it is unknown whether the call was executed.
	maxRecentIdle = time.Second
	// readBufferBytes is large enough for most response heads with a small body.
	readBufferBytes = 2 << 10
)

// conn is a connection to the endpoint. It carries one call at a time.
type conn struct {
	net.Conn
	// limited is Conn with a limit on the bytes that r reads.
	limited     *readlimit.Conn
	r           *bufio.Reader
	idleSince   boottime.Time
	idleTimeout time.Duration
	used        bool

	// writeMu is held during writes; writeErr is the error of the first one that failed.
	writeMu  sync.Mutex
	writeErr error
}

// Write writes to the endpoint.
func (c *conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// writeError returns the error of the first write that failed, or nil.
func (c *conn) writeError() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}

// endedInOrder reports whether the endpoint has ended its side of the connection, after a
// read has found the end of it. The kernel reports a reset once, either to a read or to a
// write, and the end of the connection from then on. A write gets EPIPE in its place if the
// endpoint had ended its side before the reset. It ends the writing of the request.
func (c *conn) endedInOrder() bool {
	_ = c.SetWriteDeadline(time.Now()) // A write in progress may have consumed the reset.
	err := c.writeError()
	return err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded)
}

// pool keeps the idle connections to one endpoint, the most recently used last.
type pool struct {
	address string
	maxIdle int
	clock   boottime.Clock
	dial    DialFunc

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newPool(address string, maxIdle int, clock boottime.Clock, dial DialFunc) *pool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &pool{address: address, maxIdle: maxIdle, clock: clock, dial: dial}
}

// get returns an idle connection or a new one. With recentOnly, an idle connection
// is reused only within maxRecentIdle.
func (p *pool) get(ctx context.Context, recentOnly bool) (*conn, error) {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		idle := p.clock() - c.idleSince
		if idle < c.idleTimeout-idleMargin && (!recentOnly || idle < maxRecentIdle) && c.isUsable() {
			c.used = true
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	limited := readlimit.NewConn(raw)
	return &conn{Conn: raw, limited: limited, r: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put returns a connection whose last response was complete. A full pool closes
// its least recently used connection.
func (p *pool) put(c *conn) {
	c.idleSince = p.clock()
	p.mu.Lock()
	var surplus *conn
	switch {
	case p.closed:
		surplus = c
	case len(p.idle) >= p.maxIdle:
		surplus = p.idle[0]
		p.idle = append(p.idle[1:], c)
	default:
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if surplus != nil {
		_ = surplus.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// isUsable reports whether the idle connection is open and has no unread bytes. Bytes
// after a complete response belong to no call.
func (c *conn) isUsable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
