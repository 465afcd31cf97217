// Package ingress is the HTTP server for clients and for the host's own endpoint.
// It forwards each call to an endpoint and writes the responses of a connection
// in the order of its requests.
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
	"geraniumnotch.example/geraniumnotch/internal/readlimit"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// readBufferBytes is large enough for the head of most requests.
	readBufferBytes = 2 << 10
	// maxPipelined bounds the concurrent requests of a connection.
	maxPipelined = 16
	// maxBufferedBodyBytes is the longest request body that is read completely
	// before the call is forwarded, so that a slow client holds no slot.
	maxBufferedBodyBytes = 1 << 20
	// writeTimeout bounds the writing of a response to a client that does not read.
	writeTimeout = 10 * time.Second
	// defaultTimeout is the header and idle timeout while no plan is known.
	defaultTimeout = 10 * time.Second
	// defaultHeaderBytes is the limit of a request head while no plan is known.
	defaultHeaderBytes = 16 << 10
)

// Observer is notified when an exchange ends. Its methods must not block.
type Observer interface {
	Finished(e *Exchange)
}

// Exchange describes a request and its result, for logs and metrics.
type Exchange struct {
	ID          string
	Route       *routeplan.Route
	Service     mesh.ServiceName
	PlanVersion uint64
	// Nested is set for a call that the endpoint makes while it executes another.
	Nested bool
	// Rank is that of the route, or for a nested call that of its parent.
	Rank uint8
	// ClientTimeout is the timeout that the client states, 0 when it states none.
	ClientTimeout time.Duration
	// Age is the estimated time since the client's first attempt.
	Age    time.Duration
	Result call.Result
	// Status is the status of the response, 0 when the client disconnected before.
	Status int
	Reason string
	// SentAttempts is the number of attempts that may have reached an endpoint,
	// and Rejections the number that a gate rejected.
	SentAttempts int
	Rejections   int
	// Host is the host of the last attempt, empty for this host or if there was no
	// attempt.
	Host mesh.HostID
	// Duration is the time from the first byte of the request to the end of the
	// response.
	Duration time.Duration
}

// Config configures a Server.
type Config struct {
	Plan      *routeplan.ActivePlan
	Headers   call.Headers
	Forwarder *Forwarder
	Clock     boottime.Clock
	Observer  Observer
	// LocalService returns the service of this host.
	LocalService func() mesh.ServiceName
	// RunningCalls tracks the calls that the endpoint of this host is executing.
	RunningCalls *localendpoint.RunningCalls
}

// Server serves the connections of clients.
type Server struct {
	config   Config
	splitter routeplan.Splitter
	ages     ageEstimator

	draining atomic.Bool
	// From the boot time rejectFrom on, a draining server accepts only calls of
	// clients that end before drainDeadline.
	rejectFrom, drainDeadline atomic.Int64
	active                    atomic.Int64
	mu                        sync.Mutex
	conns                     map[*connection]struct{}
}

// New returns a server that serves no listener yet.
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
				time.Sleep(acceptRetryDelay)
				continue
			}
			return errors.Wrap(err, "ingress: accept")
		}
		// The connection is registered before its first read, so that CloseIdle sees it.
		go s.serveConnection(s.addConnection(c))
	}
}

// acceptRetryDelay is the delay after a temporary accept error, such as a lack of
// file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Drain closes each connection after its next response. From rejectFrom on, calls
// of clients that may last beyond the deadline are rejected.
func (s *Server) Drain(rejectFrom, deadline boottime.Time) {
	s.drainDeadline.Store(int64(deadline))
	s.rejectFrom.Store(int64(rejectFrom))
	s.draining.Store(true)
}

// outlastsDrain reports whether a call with the given remaining time may end after the
// server has stopped.
func (s *Server) outlastsDrain(remaining time.Duration) bool {
	if !s.draining.Load() {
		return false
	}
	now := s.config.Clock()
	return int64(now) >= s.rejectFrom.Load() && int64(now+remaining) > s.drainDeadline.Load()
}

// PlanChanged deletes the state of routes that the new plan does not have.
func (s *Server) PlanChanged(p *routeplan.Plan) {
	s.splitter.Retain(p)
	s.ages.Prune(p)
}

// Active returns the number of requests without a complete response.
func (s *Server) Active() int { return int(s.active.Load()) }

// CloseIdle closes the connections without a request. It returns the number of
// the other connections, on which a request is being read or has no response yet.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c := range s.conns {
		switch {
		case c.pending.Load() == 0 && c.state.CompareAndSwap(stateIdle, stateClosed):
			_ = c.conn.Close()
		case c.pending.Load() != 0 || c.state.Load() != stateClosed:
			open++
		}
	}
	return open
}

// connection is a client connection.
type connection struct {
	server  *Server
	conn    net.Conn
	r       *bufio.Reader
	limited *readlimit.Conn
	ctx     context.Context
	// pending counts the requests without a complete response.
	pending atomic.Int64
	// state prevents CloseIdle from closing the connection while a request is read.
	state atomic.Int32
	// closing is set when the connection accepts no further request.
	closing atomic.Bool
	// lastDone is closed when the latest request has its response.
	lastDone    chan struct{}
	idleTimeout atomic.Int64
}

// States of the reading side of a connection.
const (
	// stateIdle means that nothing of the next request has been read.
	stateIdle int32 = iota
	// stateReading means that a request is being read.
	stateReading
	// stateClosed means that no further request will be read.
	stateClosed
)

// addConnection registers an accepted connection.
func (s *Server) addConnection(raw net.Conn) *connection {
	c := &connection{server: s, conn: raw, limited: readlimit.NewConn(raw), lastDone: make(chan struct{})}
	c.r = bufio.NewReaderSize(c.limited, readBufferBytes)
	close(c.lastDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// serveConnection serves a connection until it is closed.
func (s *Server) serveConnection(c *connection) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.ctx = ctx
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	c.readRequests()
	if c.waitForDisconnect() {
		cancel()
	}
	<-c.lastDone
	_ = c.conn.Close()
}

// waitForDisconnect waits until the client closes the connection or all requests
// have their responses. It reports true in the first case.
func (c *connection) waitForDisconnect() bool {
	if c.pending.Load() == 0 {
		return true
	}
	_ = c.conn.SetReadDeadline(time.Time{}) // The next read returns the error.
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		var b [1]byte
		for {
			if _, err := c.conn.Read(b[:]); err != nil {
				return
			}
		}
	}()
	select {
	case <-closed:
		return true
	case <-c.lastDone:
		return false
	}
}

// readRequests reads requests until the connection ends or is closing. An
// idempotent request without a body is executed concurrently with those before it.
func (c *connection) readRequests() {
	for !c.closing.Load() {
		limits := c.limits()
		c.idleTimeout.Store(int64(limits.IdleTimeout))
		c.setIdleDeadline()
		if !c.waitForRequest(limits) || !c.state.CompareAndSwap(stateIdle, stateReading) {
			return
		}
		// The plan may have changed while the connection was idle.
		limits = c.limits()
		started := c.server.config.Clock()
		c.limited.SetLimit(limits.HeaderBytes)
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // The next read returns the error.
		request, err := http.ReadRequest(c.r)
		c.limited.RemoveLimit()
		if err != nil {
			c.rejectHead(err)
			return
		}
		if !c.handleRequest(request, started) {
			return
		}
		c.state.Store(stateIdle)
	}
}

// setIdleDeadline applies the idle timeout while no request is pending.
func (c *connection) setIdleDeadline() {
	if c.pending.Load() == 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.idleTimeout.Load()))) // The next read returns the error.
	} else {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

// waitForRequest waits for the first byte of a request.
func (c *connection) waitForRequest(limits routeplan.Limits) bool {
	c.limited.SetLimit(limits.HeaderBytes)
	_, err := c.r.Peek(1)
	return err == nil
}

func (c *connection) limits() routeplan.Limits {
	if plan := c.server.config.Plan.Load(); plan != nil {
		return plan.Limits
	}
	return routeplan.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: maxBufferedBodyBytes, HeaderTimeout: defaultTimeout, IdleTimeout: defaultTimeout}
}

// rejectHead responds to a request whose head cannot be read.
func (c *connection) rejectHead(err error) {
	status, reason := http.StatusBadRequest, "malformed_request"
	var timeout interface{ Timeout() bool }
	switch {
	case c.limited.Exceeded():
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "head_too_long"
	case errors.As(err, &timeout) && timeout.Timeout():
		status, reason = http.StatusRequestTimeout, "head_too_slow"
	case c.isDisconnect(err):
		return
	}
	x := c.newExchange("", c.server.config.Clock())
	x.closeAfter = true
	x.writeFailure(status, reason, 0)
}
