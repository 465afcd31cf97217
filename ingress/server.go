// Package ingress takes calls from the clients and the endpoint of its host,
// chooses where they go, and returns the answers in the order of the requests of
// each connection.
package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// readBufferBytes holds the head of most requests.
	readBufferBytes = 2 << 10
	// maxPipelined bounds the requests of a connection that run side by side.
	maxPipelined = 16
	// keptBodyBytes is the longest request body that is read whole before the
	// call is forwarded, so that a slow client holds no slot.
	keptBodyBytes = 1 << 20
	// writeTimeout bounds the writing of an answer to a client that does not read.
	writeTimeout = 10 * time.Second
	// startIdle applies while no plan is known.
	startIdle = 10 * time.Second
	// startHeaderBytes applies while no plan is known.
	startHeaderBytes = 16 << 10
)

// Observer is told the outcome of each call. Its methods must not block.
type Observer interface {
	Finished(e *Exchange)
}

// Exchange is a request with its outcome, for logs and metrics.
type Exchange struct {
	ID      string
	Route   *routeplan.Route
	Service mesh.ServiceName
	Plan    uint64
	// Nested is set for a call that the endpoint makes while it runs another.
	Nested bool
	// Rank is that of the route, or of the call that made this one.
	Rank   uint8
	Wait   time.Duration
	Age    time.Duration
	Result call.Result
	// Status is what the client got, 0 when the client left before.
	Status   int
	Reason   string
	Sent     int
	Refusals int
	Host     mesh.HostID
	Took     time.Duration
}

// Config configures a Server.
type Config struct {
	Plan      *routeplan.Current
	Headers   call.Headers
	Forwarder *Forwarder
	Clock     boottime.Clock
	Observer  Observer
	// Caller returns the service of this host.
	Caller func() mesh.ServiceName
	// Running holds the calls that the endpoint of this host runs.
	Running *localendpoint.Running
}

// Server serves connections of clients.
type Server struct {
	config   Config
	splitter routeplan.Splitter
	ages     ages

	draining atomic.Bool
	// closing is the boot time from which only calls that end before until are
	// taken; 0 while the server takes all.
	closing, until atomic.Int64
	active         atomic.Int64
	mu             sync.Mutex
	conns          map[*connection]struct{}
}

// New returns a server without connections.
func New(config Config) *Server {
	return &Server{config: config, conns: map[*connection]struct{}{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				time.Sleep(acceptPause)
				continue
			}
			return errors.Wrap(err, "ingress: accept")
		}
		// Counted before anything is read from it.
		go s.connect(s.register(c))
	}
}

// acceptPause is the pause after a failed accept, such as for lack of
// descriptors.
const acceptPause = 10 * time.Millisecond

// Drain makes each further answer the last one of its connection. From the time
// closing, calls of clients that may last beyond the time until are refused.
func (s *Server) Drain(closing, until boottime.Time) {
	s.until.Store(int64(until))
	s.closing.Store(int64(closing))
	s.draining.Store(true)
}

// refuses reports whether a call comes too late to be answered before the server
// ends.
func (s *Server) refuses(left time.Duration) bool {
	if !s.draining.Load() {
		return false
	}
	now := s.config.Clock()
	return int64(now) >= s.closing.Load() && int64(now+left) > s.until.Load()
}

// PlanChanged forgets what belongs to routes that the plan lacks.
func (s *Server) PlanChanged(p *routeplan.Plan) {
	s.splitter.Keep(p)
	s.ages.Keep(p)
}

// Active returns the number of requests that are not answered yet.
func (s *Server) Active() int { return int(s.active.Load()) }

// CloseIdle closes the connections on which no request is under way. It returns
// the number of the others: a request is being read from them or not answered yet.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c := range s.conns {
		switch {
		case c.pending.Load() == 0 && c.state.CompareAndSwap(stateIdle, stateClosed):
			_ = c.net.Close()
		case c.pending.Load() != 0 || c.state.Load() != stateClosed:
			open++
		}
	}
	return open
}

// connection is a connection of a client.
type connection struct {
	server *Server
	net    net.Conn
	r      *bufio.Reader
	limit  *headLimit
	ctx    context.Context
	// pending counts the requests that are not answered yet.
	pending atomic.Int64
	// state keeps a request that is being read from being lost to CloseIdle.
	state atomic.Int32
	// finished is closed once the connection takes no further request.
	finished atomic.Bool
	// tail is closed when the latest request has been answered.
	tail chan struct{}
	idle atomic.Int64
}

// States of a connection between two requests.
const (
	// stateIdle means that nothing of a next request has been read.
	stateIdle int32 = iota
	// stateReading means that a request is being read.
	stateReading
	// stateClosed means that no further request is read.
	stateClosed
)

// headLimit bounds the bytes read for the head of a request.
type headLimit struct {
	net.Conn
	left int
}

var errHeadTooLong = errors.New("ingress: request head too long")

func (h *headLimit) Read(b []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.Conn.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

const unlimited = 1 << 62

// register adds a connection.
func (s *Server) register(raw net.Conn) *connection {
	c := &connection{server: s, net: raw, limit: &headLimit{Conn: raw}, tail: make(chan struct{})}
	c.r = bufio.NewReaderSize(c.limit, readBufferBytes)
	close(c.tail)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// connect serves a connection until its end.
func (s *Server) connect(c *connection) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.ctx = ctx
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	c.readRequests()
	if c.gone() {
		cancel()
	}
	<-c.tail
	_ = c.net.Close()
}

// gone waits until the client closes the connection or all requests have been
// answered. It reports true for the former.
func (c *connection) gone() bool {
	if c.pending.Load() == 0 {
		return true
	}
	_ = c.net.SetReadDeadline(time.Time{}) // An error shows in the next read.
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		var b [1]byte
		for {
			if _, err := c.net.Read(b[:]); err != nil {
				return
			}
		}
	}()
	select {
	case <-closed:
		return true
	case <-c.tail:
		return false
	}
}

// readRequests reads requests until the connection ends or must take no more.
// An idempotent request without a body runs beside the ones before it.
func (c *connection) readRequests() {
	for !c.finished.Load() {
		limits := c.limits()
		c.idle.Store(int64(limits.IdleTimeout))
		c.armIdle()
		if !c.awaitByte(limits) || !c.state.CompareAndSwap(stateIdle, stateReading) {
			return
		}
		// A plan may have come while the connection was idle.
		limits = c.limits()
		started := c.server.config.Clock()
		c.limit.left = limits.HeaderBytes
		_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // An error shows in the next read.
		request, err := http.ReadRequest(c.r)
		c.limit.left = unlimited
		if err != nil {
			c.refuseHead(err)
			return
		}
		if !c.take(request, started) {
			return
		}
		c.state.Store(stateIdle)
	}
}

// armIdle sets the idle limit when no request is under way.
func (c *connection) armIdle() {
	if c.pending.Load() == 0 {
		_ = c.net.SetReadDeadline(time.Now().Add(time.Duration(c.idle.Load()))) // An error shows in the next read.
	} else {
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// awaitByte waits for the first byte of a request.
func (c *connection) awaitByte(limits routeplan.Limits) bool {
	c.limit.left = limits.HeaderBytes
	_, err := c.r.Peek(1)
	return err == nil
}

func (c *connection) limits() routeplan.Limits {
	if plan := c.server.config.Plan.Load(); plan != nil {
		return plan.Limits
	}
	return routeplan.Limits{HeaderBytes: startHeaderBytes, BodyBytes: keptBodyBytes, HeaderTimeout: startIdle, IdleTimeout: startIdle}
}

// refuseHead answers a request whose head cannot be read.
func (c *connection) refuseHead(err error) {
	status, reason := http.StatusBadRequest, "malformed_request"
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errHeadTooLong):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "head_too_long"
	case errors.As(err, &timeout) && timeout.Timeout():
		status, reason = http.StatusRequestTimeout, "head_too_slow"
	case c.disconnected(err):
		return
	}
	x := c.newExchange("", c.server.config.Clock())
	x.closing = true
	x.fail(status, reason, 0)
}
