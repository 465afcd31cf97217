package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// exchange is a request of a connection and its response.
type exchange struct {
	Exchange
	c       *connection
	method  string
	started boottime.Time
	// number counts the requests of the connection.
	number int
	// previousDone is closed when the response to the previous request of the
	// connection is complete, done when the response to this one is.
	previousDone, done chan struct{}
	closeAfter         bool
	// parentClassRank is the class rank of the parent of a nested call.
	parentClassRank uint8
	// workspace is that of the client's key, nil for nested calls and without keys.
	workspace *routeplan.Workspace
	// streamed is the request body if it is forwarded while it arrives, else nil.
	streamed *streamedBody
	// isStreamed is set if the response is streamed.
	isStreamed bool
	// held is the memory of the request body, nil before the body is read.
	held *heldmemory.Holder
	// head and room are the parts of the memory of the connection for the head and for the
	// response.
	head, room int64
}

func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (c *connection) newExchange(id string, started boottime.Time) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &exchange{c: c, started: started, previousDone: c.lastDone, done: make(chan struct{})}
	x.ID = id
	c.requests++
	x.number = c.requests
	c.lastDone = x.done
	c.pending++
	c.server.active.Add(1)
	return x
}

// awaitTurn waits until the previous response of the connection is complete. It
// reports false when the response to this request cannot be written.
func (x *exchange) awaitTurn() bool {
	<-x.previousDone
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	return !x.c.failed
}

// closeWhenDraining makes the response the last one of a draining connection, unless
// a later request is being read or has been forwarded: its response is still due.
func (x *exchange) closeWhenDraining() {
	c := x.c
	if !c.server.draining.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle {
		c.stopReadingLocked()
	}
	if c.pending == 1 && x.hasUnreadBody() {
		// The body may still arrive. What follows it would be sent behind the last response.
		c.stopReadingLocked()
	}
	x.closeAfter = x.closeAfter || (c.pending == 1 && c.state == stateClosed)
}

// hasUnreadBody reports whether a part of the request body has not been read. The next
// request of the connection cannot be read then.
func (x *exchange) hasUnreadBody() bool { return x.streamed != nil && !x.streamed.isComplete() }

// finish ends the exchange after its response.
func (x *exchange) finish() {
	c := x.c
	x.Duration = c.server.config.Clock() - x.started
	if x.held != nil {
		x.held.Close()
	}
	c.held.Shrink(x.head + x.room)
	c.server.config.Observer.Finished(&x.Exchange)
	c.server.active.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	switch {
	case x.closeAfter:
		c.stopReadingLocked()
	case c.state == stateIdle:
		c.setIdleDeadline()
	}
	if x.isStreamed {
		c.streaming--
	}
	close(x.done)
}

// isFollowed reports whether a later request of the connection has been forwarded.
func (x *exchange) isFollowed() bool {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	return x.c.lastForwarded > x.number
}

// setForwarded records that the request is forwarded.
func (x *exchange) setForwarded() {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.c.lastForwarded = x.number
}

// setStreaming records that the response is streamed until the exchange has finished.
func (x *exchange) setStreaming() {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.isStreamed = true
	x.c.streaming++
}

// isStreaming reports whether a response is being streamed, or will be.
func (c *connection) isStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streaming > 0
}

// fail ends the responses of the connection after an incomplete one, so that the client
// does not mistake it for a complete one or the next response for the rest of it. The
// client can still read the responses before it.
func (x *exchange) fail() {
	c := x.c
	x.closeAfter = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = true
	c.closeWrite()
	c.cancel(nil) // The other calls cannot get a response.
	if c.state != stateClosed {
		_ = c.conn.SetReadDeadline(time.Now()) // Unblocks readRequests.
	}
}

// handleRequest starts the exchange of a request. It reports false when no further
// request can be read.
func (c *connection) handleRequest(request *http.Request, heldBytes int64, started boottime.Time) bool {
	id, clientTimeout, err := c.server.config.Headers.ReadRequest(request.Header)
	x := c.newExchange(id, started)
	x.head = heldBytes
	x.method = request.Method
	x.closeAfter = request.Close || !request.ProtoAtLeast(1, 1)
	if err != nil {
		x.closeAfter = true
		x.writeFailure(http.StatusBadRequest, "malformed_request", 0)
		return false
	}
	limits := c.limits()
	if c.server.config.Plan.Load() != nil && request.ContentLength > limits.BodyBytes {
		x.closeAfter = true
		x.writeFailure(http.StatusRequestEntityTooLarge, "body_too_long", 0)
		return false
	}
	x.ClientTimeout = clientTimeout
	parent, nested := c.server.config.RunningCalls.Parent(id)
	x.Rank, x.Workspace, x.parentClassRank, x.Nested = parent.Rank, parent.Workspace, parent.ClassRank, nested
	if failure := x.matchRoute(request); failure != nil {
		x.closeAfter = x.closeAfter || request.ContentLength != 0
		x.writeFailure(failure.status, failure.reason, failure.retryAfter)
		return !x.closeAfter
	}
	cl := x.newCall(request)
	isLast := x.closeAfter
	if !x.Nested && x.c.server.outlastsDrain(cl.Remaining) {
		x.closeAfter = true
		x.writeFailure(http.StatusServiceUnavailable, call.ReasonNodeStopping, drainRetryAfter)
		return false
	}
	if !x.holdRoom() {
		return x.rejectForMemory(request)
	}
	if request.ContentLength == 0 {
		return x.startWithoutBody(cl) && !isLast
	}
	return x.receiveBody(cl, request, limits.BodyBytes) && !isLast
}

// drainRetryAfter is the retry-after in rejections by a draining node. By then other
// nodes of the client's failure domain accept its calls.
const drainRetryAfter = 50 * time.Millisecond

type routeFailure struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// noPlanRetryAfter is the retry-after while no plan is known.
const noPlanRetryAfter = 300 * time.Millisecond

// matchRoute finds the route of a request, or returns the reason why there is none.
func (x *exchange) matchRoute(request *http.Request) *routeFailure {
	plan := x.c.server.config.Plan.Load()
	if plan == nil {
		return &routeFailure{http.StatusServiceUnavailable, "no_plan", noPlanRetryAfter}
	}
	x.PlanVersion = plan.Version
	x.Route = plan.Match(request.Host, request.URL.EscapedPath())
	if x.Route == nil {
		return &routeFailure{http.StatusNotFound, "no_route", 0}
	}
	return x.identifyCaller(plan, request.Header)
}

// newCall returns the call for the request.
func (x *exchange) newCall(request *http.Request) *call.Call {
	s := x.c.server
	part := s.splitter.Choose(x.Route)
	x.Service = part.Service
	timeout := x.Route.Timeout
	if x.ClientTimeout > 0 {
		timeout = min(timeout, x.ClientTimeout)
	}
	classRank := x.parentClassRank
	if !x.Nested {
		x.Rank, classRank = x.Route.Rank, x.Route.Rank
	}
	if x.workspace != nil && x.workspace.HasRank {
		x.Rank = x.workspace.Rank
	}
	if !x.Nested && x.ClientTimeout > 0 {
		x.Age = s.ages.Observe(x.Route, x.ClientTimeout, x.started)
	}
	removeConnectionHeaders(request.Header)
	if x.workspace != nil {
		// Set last: a client may name the header in "Connection".
		s.config.Keys.SetWorkspace(request.Header, x.workspace.Name)
	}
	return &call.Call{
		Followed: x.isFollowed,
		ID:       x.ID, Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header,
		Caller: s.config.LocalService(), Service: part.Service, Kind: x.Route.Kind, Rank: x.Rank, ClassRank: classRank, Workspace: x.Workspace, Nested: x.Nested,
		Remaining: timeout, TargetRemaining: min(x.Route.LatencyTarget-x.Age, timeout), BodyBytes: request.ContentLength,
	}
}

// startWithoutBody forwards a request without a body, concurrently with those
// before it if it may be executed twice.
func (x *exchange) startWithoutBody(cl *call.Call) bool {
	if cl.Kind != 0 && !cl.Idempotent() || x.c.pendingCount() > maxPipelined || x.c.isStreaming() {
		// A request that must not be executed twice is sent only after the earlier
		// responses, because one of them may close the connection. None is sent while an
		// earlier response is streamed: it may break off.
		if !x.awaitTurn() {
			x.finishCancelled()
			return false
		}
	}
	x.setForwarded()
	go x.forward(x.c.ctx, cl)
	return true
}

// reportNestedFailure marks the parent of a failed nested call. It is called before
// the response is written, because the parent may end as soon as it has that.
func (x *exchange) reportNestedFailure() {
	if x.Nested && (x.Status >= http.StatusBadRequest || x.Status == 0) {
		x.c.server.config.RunningCalls.MarkNestedFailed(x.ID, x.Result.Outcome == call.Rejected && call.IsLackOfRoom(x.Reason))
	}
}

// finishCancelled ends an exchange without a response, because the connection ends.
func (x *exchange) finishCancelled() {
	x.Reason, x.closeAfter = call.ReasonCancelled, true
	x.reportNestedFailure()
	<-x.previousDone
	x.finish()
}

// finishUnanswered ends an exchange whose response cannot be written, because an
// earlier response closed the connection.
func (x *exchange) finishUnanswered() {
	x.Reason = call.ReasonConnectionClosed
	x.reportNestedFailure()
	x.finish()
}

// writeAborted responds to a call that was ended because the node stops.
func (x *exchange) writeAborted() {
	if x.SentAttempts == 0 {
		x.writeFailure(http.StatusServiceUnavailable, call.ReasonNodeStopping, drainRetryAfter)
		return
	}
	x.writeFailure(http.StatusBadGateway, call.ReasonNodeStopping, 0)
}

// writeBodyFailure responds to a call whose body failed while it was forwarded.
func (x *exchange) writeBodyFailure(f bodyFailure) {
	x.closeAfter = true
	if f.status == http.StatusRequestTimeout && x.SentAttempts > 0 {
		// The status 408 states that the call has not been executed.
		f.status = http.StatusGatewayTimeout
	}
	x.writeFailure(f.status, f.reason, 0)
}

// forward forwards the call and writes its response.
func (x *exchange) forward(ctx context.Context, cl *call.Call) {
	if !x.admit(ctx) {
		return
	}
	forwarder := x.c.server.config.Forwarder
	elapsed := x.c.server.config.Clock() - x.started
	cl.Remaining -= elapsed
	cl.TargetRemaining -= elapsed
	r, state := forwarder.Forward(ctx, cl, x.Route)
	x.Result, x.Reason, x.SentAttempts, x.Rejections, x.Host = r, r.Reason, state.sentAttempts, state.rejections, state.lastHost
	x.refund()
	switch r.Outcome {
	case call.Answered:
		x.holdResponse(r.Response)
		if r.Response.Stream != nil {
			x.setStreaming()
		}
		x.writeResponse(r.Response)
	case call.Rejected:
		x.c.server.ages.RecordRejection(x.c.server.config.Clock())
		x.writeFailure(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	case call.Expired:
		switch {
		case x.streamed != nil && x.streamed.failure.Load() != nil:
			x.writeBodyFailure(*x.streamed.failure.Load())
		case errors.Is(context.Cause(ctx), call.ErrNodeStopping):
			x.writeAborted()
		case ctx.Err() != nil:
			x.finishCancelled()
		default:
			x.writeFailure(http.StatusGatewayTimeout, r.Reason, 0)
		}
	case call.Broken:
		x.writeFailure(http.StatusBadGateway, r.Reason, 0)
	}
}
