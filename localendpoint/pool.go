package localendpoint

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// connectTimeout bounds a connect to the endpoint on the same host.
	connectTimeout = 500 * time.Millisecond
	// defaultIdleLimit applies when an endpoint does not say how long it keeps a
	// connection idle.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how long before the endpoint's limit a connection is no longer
	// used, so that a call does not meet the close.
	idleMargin = time.Second
	// freshLimit is the idle time up to which a connection is used for calls that
	// must not run twice. A close that crosses such a call leaves its fate open.
	freshLimit = time.Second
	// readBufferBytes holds the head of most answers and small bodies.
	readBufferBytes = 2 << 10
)

// conn is a connection to the endpoint. It carries one call at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince boottime.Time
	idleLimit time.Duration
	used      bool
}

// pool keeps the idle connections to one endpoint, the latest used last.
type pool struct {
	address string
	most    int
	clock   boottime.Clock

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

func newPool(address string, most int, clock boottime.Clock) *pool {
	return &pool{address: address, most: most, clock: clock}
}

// get returns an idle connection or a new one. With fresh, only a connection
// that was used lately is reused.
func (p *pool) get(ctx context.Context, fresh bool) (*conn, error) {
	for c := p.take(); c != nil; c = p.take() {
		idle := p.clock() - c.idleSince
		if idle < c.idleLimit-idleMargin && (!fresh || idle < freshLimit) && c.quiet() {
			c.used = true
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBufferBytes), idleLimit: defaultIdleLimit}, nil
}

func (p *pool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put keeps a connection whose last answer was complete.
func (p *pool) put(c *conn) {
	c.idleSince = p.clock()
	p.mu.Lock()
	var surplus *conn
	switch {
	case p.closed:
		surplus = c
	case len(p.idle) >= p.most:
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

// quiet reports whether the idle connection is open and nothing has arrived on
// it. Bytes after a complete answer belong to no call.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
