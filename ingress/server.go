// Package ingress is the HTTP server for clients and for the host's own endpoint.
// It forwards each call to an endpoint and writes the responses of a connection
// in the order of its requests.
package ingress

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/connlimit"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/internal/readlimit"
	"geraniumnotch.example/geraniumnotch/internal/sockpoll"
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
	// writeTimeout bounds the writing of maxWriteBytes of a response to a client that does
	// not read.
	writeTimeout  = 10 * time.Second
	maxWriteBytes = 16 << 10
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
	// Rank is that of the workspace or else of the route, or for a nested call that of its
	// parent, whose workspace it has as well.
	Rank      uint8
	Workspace mesh.WorkspaceName
	// UnknownKey is the fingerprint of the key if no workspace holds it, nil if the client
	// sent none.
	UnknownKey *routeplan.Fingerprint
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
	Plan    *routeplan.ActivePlan
	Headers call.Headers
	// Keys reads the keys of clients; nil if the deployment has none.
	Keys call.KeyHeaders
	// NewerPlanKnown reports whether another host has a newer plan; nil if none ever has.
	NewerPlanKnown func() bool
	Forwarder      *Forwarder
	Clock          boottime.Clock
	Observer       Observer
	// LocalService returns the service of this host.
	LocalService func() mesh.ServiceName
	// RunningCalls tracks the calls that the endpoint of this host is executing.
	RunningCalls *localendpoint.RunningCalls
	// Quotas limits the calls of workspaces; nil limits nothing.
	Quotas Quotas
	// Memory is what clients may hold with requests and responses; nil limits nothing.
	Memory *heldmemory.Account
	// MaxConnections bounds the open connections; 0 limits nothing.
	MaxConnections int
}

// Server serves the connections of clients.
type Server struct {
	config   Config
	started  boottime.Time
	splitter routeplan.Splitter
	ages     ageEstimator

	draining atomic.Bool
	// From the boot time rejectFrom on, a draining server accepts only calls of
	// clients that end before drainDeadline.
	rejectFrom, drainDeadline atomic.Int64
	active                    atomic.Int64
	mu                        sync.Mutex
	conns                     map[*connection]struct{}
	// aborted is set when the calls of all connections are rejected.
	aborted bool

	evictions, refusedConnections atomic.Int64
}

// New returns a server that serves no listener yet.
func New(config Config) *Server {
	if config.Memory == nil {
		config.Memory = heldmemory.NewAccount(math.MaxInt64, config.Clock)
	}
	return &Server{config: config, started: config.Clock(), conns: map[*connection]struct{}{}}
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
		if accepted := s.addConnection(c); accepted != nil {
			go s.serveConnection(accepted)
		}
	}
}

// acceptRetryDelay is the delay after a temporary accept error, such as a lack of
// file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Drain reads no further request of a connection once it writes a response on it, and
// closes the connection after the last response that is due. From rejectFrom on, calls
// of clients that may last beyond the deadline are rejected.
func (s *Server) Drain(rejectFrom, deadline boottime.Time) {
	s.drainDeadline.Store(int64(deadline))
	s.rejectFrom.Store(int64(rejectFrom))
	s.draining.Store(true)
}

// Abort ends the calls in flight before the process ends. Each still gets a response: a
// rejection if no endpoint has received the call. Later calls are rejected.
func (s *Server) Abort() {
	// Waiting calls are rejected first, or they would get the slots of the running ones.
	s.config.Forwarder.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	for c := range s.conns {
		c.cancel(call.ErrNodeStopping)
	}
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
	s.config.Forwarder.Sizes.Retain(p)
}

// Active returns the number of requests without a complete response.
func (s *Server) Active() int { return int(s.active.Load()) }

// CloseIdle closes the connections without a request. It returns the number of
// connections with a request, which is being read or has no response yet.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// Connections returns the number of open connections, including those on which only
// the client's close is awaited.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// connection is a client connection.
type connection struct {
	// Waits is what the connection waits for.
	*connlimit.Waits
	server  *Server
	conn    net.Conn
	r       *bufio.Reader
	limited *readlimit.Conn
	// ahead is what r reads: the connection, after what checkHead has read of it.
	ahead *aheadReader
	// ctx ends when the client disconnects, or with the cause call.ErrNodeStopping.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// held is the memory of the heads and the responses of the requests in flight.
	held *heldmemory.Holder
	// heldAhead is the part of it for a head that is being read. Only readRequests uses it.
	heldAhead int64
	// lacksMemory is set if the last head was read without memory for it. Only readRequests
	// uses it.
	lacksMemory bool

	mu sync.Mutex
	// pending counts the requests without a complete response.
	pending int
	// state prevents the connection from being closed while a request is read.
	state connectionState
	// failed is set when a response was not written completely. No response may
	// follow it.
	failed bool
	// requests counts the requests, lastForwarded is the number of the latest one without a
	// body that was forwarded.
	requests, lastForwarded int
	// streaming is the number of requests whose response is streamed.
	streaming int
	// lastDone is closed when the latest request has its response.
	lastDone chan struct{}
}

type connectionState uint8

// States of the reading side of a connection.
const (
	// stateIdle means that nothing of the next request has been read.
	stateIdle connectionState = iota
	// stateClosing means that the connection is to be closed unless a request has
	// arrived on it.
	stateClosing
	// stateReading means that a request is being read.
	stateReading
	// stateClosed means that no further request will be read.
	stateClosed
)

// addConnection registers an accepted connection, or closes it and returns nil.
func (s *Server) addConnection(raw net.Conn) *connection {
	c := &connection{server: s, conn: raw, limited: readlimit.NewConn(raw), lastDone: make(chan struct{})}
	c.ahead = &aheadReader{source: c.limited}
	c.r = bufio.NewReaderSize(c.ahead, readBufferBytes)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.held = s.config.Memory.NewHolder(c.evict)
	c.Waits = connlimit.NewWaits(s.config.Clock, c.held)
	close(c.lastDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.makeRoom() {
		refuseConnection(raw)
		return nil
	}
	s.conns[c] = struct{}{}
	if s.aborted {
		c.cancel(call.ErrNodeStopping)
	}
	return c
}

// lingerTimeout is how long a client has to close its end after the last response.
// Closing before resets the connection if a further request has arrived, and the
// client may lose the response.
const lingerTimeout = 500 * time.Millisecond

// serveConnection serves a connection until it is closed.
func (s *Server) serveConnection(c *connection) {
	defer c.cancel(nil)
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	c.readRequests()
	c.stopReading()
	disconnected := c.discardInput()
	select {
	case <-disconnected:
		c.cancel(nil)
	case <-c.lastDone:
	}
	<-c.lastDone
	c.closeWrite()
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // Ends discardInput.
	<-disconnected
	_ = c.conn.Close()
}

// discardInput reads what the client still sends. The returned channel is closed when
// the client has closed the connection or the read deadline has passed.
func (c *connection) discardInput() <-chan struct{} {
	_ = c.conn.SetReadDeadline(time.Time{}) // The next read returns the error.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c.conn) // Both an error and the end of input end the connection.
	}()
	return ended
}

// closeWrite tells the client that no response follows.
func (c *connection) closeWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // The client may have closed the connection.
	}
}

// readRequests reads requests until the connection ends or is closed. An idempotent
// request without a body is executed concurrently with those before it.
func (c *connection) readRequests() {
	for c.awaitRequest() {
		limits := c.limits()
		if !c.waitForRequest(limits) || !c.beginReading() {
			return
		}
		// The plan may have changed while the connection was idle.
		limits = c.limits()
		started := c.server.config.Clock()
		c.limited.SetLimit(limits.HeaderBytes)
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // The next read returns the error.
		request, bytes, err := c.readRequest()
		c.releaseAhead()
		c.limited.RemoveLimit()
		if err != nil {
			c.rejectHead(err)
			return
		}
		if !c.handleRequest(request, bytes, started) {
			return
		}
	}
}

// readRequest reads the head of the next request. It returns the memory that the connection
// holds for it.
func (c *connection) readRequest() (*http.Request, int64, error) {
	bytes, err := c.checkHead()
	c.SetReading(connlimit.Nothing)
	if err != nil {
		return nil, 0, err
	}
	if !c.holdHead(bytes) {
		return nil, 0, heldmemory.ErrNoMemory
	}
	request, err := http.ReadRequest(c.r)
	if err != nil {
		c.held.Shrink(bytes)
	}
	return request, bytes, err
}

// awaitRequest makes the connection idle, unless a part of the next request has been
// read. It reports false when no further request is read.
func (c *connection) awaitRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed || c.failed {
		return false
	}
	if c.r.Buffered() > 0 || len(c.ahead.ahead) > 0 {
		c.state = stateReading
		c.SetReading(connlimit.Head)
		return true
	}
	if c.state != stateClosing {
		c.state = stateIdle
		c.setIdleDeadline()
	}
	return true
}

// setIdleDeadline applies the idle timeout while no request is pending. The caller
// holds the lock.
func (c *connection) setIdleDeadline() {
	deadline := time.Time{}
	if c.pending == 0 {
		c.SetReading(connlimit.Request)
		deadline = time.Now().Add(c.limits().IdleTimeout)
	}
	_ = c.conn.SetReadDeadline(deadline) // The next read returns the error.
}

// waitForRequest waits for the first byte of a request. It reports false when the
// connection ends.
func (c *connection) waitForRequest(limits routeplan.Limits) bool {
	c.limited.SetLimit(limits.HeaderBytes)
	for {
		_, err := c.r.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.resumeIfReadable(limits) {
			return false
		}
	}
}

// resumeIfReadable resumes reading at the end of the idle time if a request has arrived
// that could not be read in time, and reports whether one has.
func (c *connection) resumeIfReadable(limits routeplan.Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed || c.failed || !sockpoll.Readable(c.conn) {
		return false
	}
	c.state = stateIdle
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // The next read returns the error.
	return true
}

// beginReading reports whether the request whose first byte has arrived may be read.
func (c *connection) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	c.state = stateReading
	c.SetReading(connlimit.Head)
	return true
}

// stopReading prevents further requests from being read.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadingLocked()
}

// stopReadingLocked is stopReading for a caller that holds the lock.
func (c *connection) stopReadingLocked() {
	if c.state == stateIdle {
		_ = c.conn.SetReadDeadline(time.Now()) // Unblocks readRequests.
	}
	c.state = stateClosed
}

// closeIfIdle closes the connection if it has no request, and reports whether it has
// none.
func (c *connection) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && c.state == stateIdle && !sockpoll.Readable(c.conn) {
		c.state = stateClosing
		_ = c.conn.SetReadDeadline(time.Now()) // Unblocks readRequests.
	}
	return c.pending == 0 && (c.state == stateClosing || c.state == stateClosed)
}

// pendingCount returns the number of requests without a complete response.
func (c *connection) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *connection) limits() routeplan.Limits {
	if plan := c.server.config.Plan.Load(); plan != nil {
		return plan.Limits
	}
	return routeplan.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: maxBufferedBodyBytes, HeaderTimeout: defaultTimeout, IdleTimeout: defaultTimeout}
}

// rejectHead responds to a request whose head cannot be read.
func (c *connection) rejectHead(err error) {
	status, reason, retryAfter := http.StatusBadRequest, "malformed_request", time.Duration(0)
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, heldmemory.ErrNoMemory):
		status, reason, retryAfter = http.StatusServiceUnavailable, call.ReasonNoMemory, noMemoryRetryAfter
	case c.limited.Exceeded():
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "head_too_long"
	case errors.As(err, &timeout) && timeout.Timeout():
		status, reason = http.StatusRequestTimeout, "head_too_slow"
	case isDisconnect(err):
		return
	}
	x := c.newExchange("", c.server.config.Clock())
	x.closeAfter = true
	x.writeFailure(status, reason, retryAfter)
}
