package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds a connect. It allows several round trips between regions,
	// and is short enough to leave time for another endpoint.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is how long the data of a short request may stay unacknowledged.
	// It detects a network partition independently of the deadline of the call. It
	// must not apply to uploads: it would also close connections whose receiver
	// stops reading for a while.
	userTimeout = 3 * time.Second
	// keepAlive is how long a connection is idle before TCP keep-alive probes it.
	keepAlive = 3 * time.Second
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
	// syscall lacks.
	tcpUserTimeout = 0x12
	// idleConnTimeout is shorter than the time after which servers close idle
	// connections, so that a call is rarely sent on a connection that is closing.
	idleConnTimeout = 20 * time.Second
	// idlePerHost is the number of idle connections kept to one address.
	idlePerHost = 100
	// continueTimeout is how long an upload waits for 100 Continue from the gate
	// before it sends its body. The deadline of the call ends the wait earlier.
	continueTimeout = time.Hour
	// poolLifetime is how long the pool of an unused address is kept.
	poolLifetime = 5 * time.Minute
)

// errCancelledUnsent is returned for a write to a connection whose call was
// cancelled before its first byte was written.
var errCancelledUnsent = errors.New("proxy: call was cancelled before it was sent")

// States of a connection during one call.
const (
	connIdle int32 = iota
	connUnsent
	connSent
	connCancelled
)

// guardedConn records whether any byte of the current call was passed to the
// operating system.
type guardedConn struct {
	net.Conn
	state atomic.Int32
}

// startCall starts a call on the connection.
func (c *guardedConn) startCall() { c.state.Store(connUnsent) }

// Write returns errCancelledUnsent if the call was cancelled unsent.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.state.Load() == connCancelled {
		return 0, errCancelledUnsent
	}
	if c.state.Load() == connUnsent && !c.state.CompareAndSwap(connUnsent, connSent) {
		return 0, errCancelledUnsent
	}
	return c.Conn.Write(b)
}

// cancelUnsent closes the connection and returns true if nothing of the call was
// written. After that nothing of the call can be written.
func (c *guardedConn) cancelUnsent() bool {
	if c.state.Load() != connCancelled && !c.state.CompareAndSwap(connUnsent, connCancelled) {
		return false
	}
	_ = c.Close()
	return true
}

// connTracker tracks the connection that the transport uses for one exchange.
type connTracker struct {
	conn atomic.Pointer[guardedConn]
}

// gotConn is called by the transport when it has chosen a connection. A second
// connection would mean that the transport sends the request again by itself
// (design, section 1.8), which must never happen; that connection is closed before
// anything is written to it.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*guardedConn)
	if !ok {
		return
	}
	c.startCall()
	if !t.conn.CompareAndSwap(nil, c) {
		c.cancelUnsent()
	}
}

// cancelUnsent reports whether no byte of the exchange was or will be written. It
// closes the connection if so, and must be called only after the exchange failed.
func (t *connTracker) cancelUnsent() bool {
	c := t.conn.Load()
	return c == nil || c.cancelUnsent()
}

// discard closes the connection, so that it is not reused for another call.
func (t *connTracker) discard() {
	if c := t.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// pools holds one connection pool per address, so that calls to different
// addresses share no lock.
type pools struct {
	byAddress sync.Map // string to *pool
	maxConns  int
	dial      DialFunc
	now       func() time.Time
}

// pool is a transport for one address, with its spare connections and the time of
// its last use in Unix nanoseconds.
type pool struct {
	*http.Transport
	spares  spares
	lastUse atomic.Int64
}

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withDialTimeout gives a dialer the same timeout as the default dialer has.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// newPools returns empty pools. maxConns bounds the connections to one address;
// zero means no bound.
func newPools(maxConns int, now func() time.Time) *pools {
	return &pools{maxConns: maxConns, dial: newDialer().DialContext, now: now}
}

// newShortPools returns pools for requests that their receiver reads immediately.
// Their connections have a user timeout.
func newShortPools(now func() time.Time) *pools {
	dialer := newDialer()
	dialer.Control = setUserTimeout
	return &pools{dial: dialer.DialContext, now: now}
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: time.Second, Count: 3},
	}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var setErr error
	err := conn.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, setErr)
}

func (p *pools) get(address string) *pool {
	found, ok := p.byAddress.Load(address)
	if !ok {
		found, _ = p.byAddress.LoadOrStore(address, p.newPool())
	}
	t := found.(*pool)
	t.lastUse.Store(p.now().UnixNano())
	return t
}

// newPool returns a pool whose transport never sends a request twice, follows no
// redirects and does not change the encoding of a body.
func (p *pools) newPool() *pool {
	t := &pool{}
	t.Transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if conn := t.spares.pop(); conn != nil {
				return &guardedConn{Conn: conn}, nil
			}
			conn, err := p.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		// The next hop does not accept a larger header.
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxConnsPerHost:        p.maxConns,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  continueTimeout,
	}
	return t
}

// prune closes the pools that have not been used for poolLifetime.
func (p *pools) prune() {
	oldest := p.now().Add(-poolLifetime).UnixNano()
	p.byAddress.Range(func(address, value any) bool {
		if t := value.(*pool); t.lastUse.Load() < oldest {
			p.byAddress.Delete(address)
			t.close()
		}
		return true
	})
}

// close closes the idle connections of all pools.
func (p *pools) close() {
	p.byAddress.Range(func(_, value any) bool {
		value.(*pool).close()
		return true
	})
}

func (t *pool) close() {
	for conn := t.spares.pop(); conn != nil; conn = t.spares.pop() {
		_ = conn.Close()
	}
	t.CloseIdleConnections()
}

// has reports whether there is a pool for the address.
func (p *pools) has(address string) bool {
	_, ok := p.byAddress.Load(address)
	return ok
}
