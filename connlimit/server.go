package connlimit

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/heldmemory"
)

const (
	// serverBufferBytes is the size of the buffer with which net/http reads a connection. It
	// may hold a part of the next head when a request ends.
	serverBufferBytes = 4 << 10
	// minCountedLines is the number of lines in that buffer from which they are counted.
	// Bodies that are no heads have fewer line ends.
	minCountedLines = 64
	// maxWriteBytes is what a client must read within the write timeout.
	maxWriteBytes = 16 << 10
	// DefaultWriteTimeout bounds the writing of 16 KiB to a client that does not read.
	DefaultWriteTimeout = 10 * time.Second
)

// Config configures a Limiter.
type Config struct {
	// Connections is the number of connections that may be open; 0 limits nothing.
	Connections int
	// Memory is what the heads of requests may hold; nil limits nothing.
	Memory *heldmemory.Account
	// RequestBytes is what a request takes besides its head until its response has been
	// written.
	RequestBytes int64
	// HoldsBodies is set if the handlers hold the bodies of requests whole, so that these
	// count like heads.
	HoldsBodies bool
	// WriteTimeout replaces DefaultWriteTimeout when it is not 0.
	WriteTimeout time.Duration
	Clock        boottime.Clock
}

// Limiter limits the connections of one HTTP server.
type Limiter struct {
	config Config

	mu    sync.Mutex
	conns map[*conn]struct{}

	evicted, refused atomic.Int64
}

// New returns a limiter without connections.
func New(config Config) *Limiter {
	if config.WriteTimeout == 0 {
		config.WriteTimeout = DefaultWriteTimeout
	}
	if config.Clock == nil {
		config.Clock = boottime.Now
	}
	if config.Memory == nil {
		config.Memory = heldmemory.NewAccount(math.MaxInt64, config.Clock)
	}
	return &Limiter{config: config, conns: map[*conn]struct{}{}}
}

// Usage is the state of a limiter, for metrics.
type Usage struct {
	Open, Limit int
	// Evicted and Refused count the connections that were closed for others, and those
	// that were closed at once.
	Evicted, Refused int64
}

// Usage returns the state of the limiter.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Open: len(l.conns), Limit: l.config.Connections, Evicted: l.evicted.Load(), Refused: l.refused.Load()}
}

// Listener returns a listener whose connections are limited, for the server of Apply.
func (l *Limiter) Listener(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection. Those beyond the limit are closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // Nothing was read from it.
	}
}

// add registers a connection, for which another one may be closed. It returns nil if there is
// no room.
func (l *Limiter) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, limiter: l}
	c.held = l.config.Memory.NewHolder(c.evict)
	c.Waits = NewWaits(l.config.Clock, c.held)
	c.SetReading(Request)
	l.mu.Lock()
	var victim *conn
	if l.config.Connections > 0 && len(l.conns) >= l.config.Connections {
		var found bool
		if victim, found = Victim(l.conns, l.config.Clock()); !found {
			l.mu.Unlock()
			l.refused.Add(1)
			return nil
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		l.evicted.Add(1)
		victim.evict()
	}
	return c
}

func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Apply has the server record what its connections wait for. It must be called before the
// server is started, and the server must use Listener.
func (l *Limiter) Apply(server *http.Server) {
	handler, onState := server.Handler, server.ConnState
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		c.beginRequest()
		if r.Body != http.NoBody {
			r.Body = &requestBody{ReadCloser: r.Body, conn: c}
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle:
			c.(*conn).endRequest()
		case http.StateHijacked:
			c.(*conn).hijack()
		}
		if onState != nil {
			onState(c, state)
		}
	}
}

// phase is what the bytes that a connection reads belong to.
type phase uint8

const (
	inHead phase = iota
	inRequest
	hijacked
)

// conn is a limited connection.
type conn struct {
	net.Conn
	*Waits
	limiter *Limiter
	held    *heldmemory.Holder

	mu    sync.Mutex
	phase phase
	// counted is the memory that the request holds.
	counted int64
	// read and lines are the length and the number of lines of what was read last while a
	// request was handled. The server may have it in its buffer.
	read, lines int
	// writeBy is the write deadline that the handler has set, zero for none.
	writeBy time.Time
}

func (c *conn) evict() {
	c.SetEvicted(true)
	_ = c.Conn.Close() // What waits for the client ends with an error.
}

// Close closes the connection.
func (c *conn) Close() error {
	c.limiter.remove(c)
	c.held.Close()
	return c.Conn.Close()
}

// CloseWrite tells the client that no response follows, as net/http does before it closes a
// connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read reads from the client, and takes memory for what the server makes of it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(p[:n]) {
		// net/http sends no response after this error.
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: heldmemory.ErrNoMemory}
	}
	return n, err
}

// count takes memory for bytes of the client. It reports false if there is none.
func (c *conn) count(read []byte) bool {
	c.held.Received(len(read))
	c.mu.Lock()
	phase := c.phase
	lines := 0
	if phase != hijacked {
		lines = bytes.Count(read, []byte{'\n'})
	}
	if phase == inRequest {
		c.read, c.lines = min(len(read), serverBufferBytes), lines
	}
	c.mu.Unlock()
	if phase == hijacked || phase == inRequest && !c.limiter.config.HoldsBodies {
		return true
	}
	if phase == inRequest {
		lines = 0
	}
	more := heldmemory.HeadBytes(len(read), lines)
	waits := c.Reading()
	c.SetReading(Nothing)
	grown := c.held.Grow(context.Background(), more)
	if phase == inHead {
		waits = Head
	}
	c.SetReading(waits)
	if grown {
		c.mu.Lock()
		c.counted += more
		c.mu.Unlock()
	}
	return grown
}

// beginRequest records that a request is handled.
func (c *conn) beginRequest() {
	c.SetReading(Nothing)
	c.held.Take(c.limiter.config.RequestBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = inRequest
	c.counted += c.limiter.config.RequestBytes
}

// endRequest returns the memory of a request that has its response. What has been read of the
// next head counts.
func (c *conn) endRequest() {
	c.mu.Lock()
	released, next := c.counted, int64(0)
	if c.lines >= minCountedLines {
		next = heldmemory.HeadBytes(c.read, c.lines)
	}
	c.phase, c.counted, c.read, c.lines, c.writeBy = inHead, next, 0, 0, time.Time{}
	c.SetReading(Request)
	c.mu.Unlock()
	c.held.Shrink(released)
	c.held.Take(next)
}

// hijack records that the connection no longer carries requests.
func (c *conn) hijack() {
	c.SetReading(Nothing)
	c.mu.Lock()
	released := c.counted
	c.phase, c.counted = hijacked, 0
	c.mu.Unlock()
	c.held.Shrink(released)
}

// SetWriteDeadline limits the time of the response, which ends with the request.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write writes to the client. It fails when the client reads nothing for the write timeout.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	phase, writeBy := c.phase, c.writeBy
	c.mu.Unlock()
	if phase == hijacked {
		return c.Conn.Write(b)
	}
	written := 0
	defer c.SetWriting(false)
	for written < len(b) {
		c.SetWriting(true)
		deadline := time.Now().Add(c.limiter.config.WriteTimeout)
		if !writeBy.IsZero() && writeBy.Before(deadline) {
			deadline = writeBy
		}
		_ = c.Conn.SetWriteDeadline(deadline) // The write returns the error.
		n, err := c.Conn.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		c.held.Received(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// requestBody is the body of a request.
type requestBody struct {
	io.ReadCloser
	conn *conn
}

// Read returns the next bytes.
func (b *requestBody) Read(p []byte) (int, error) {
	b.conn.setBody(Body)
	defer b.conn.setBody(Nothing)
	return b.ReadCloser.Read(p)
}

// setBody records whether the connection waits for the body, unless the request has ended
// meanwhile.
func (c *conn) setBody(kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inRequest {
		c.SetReading(kind)
	}
}
