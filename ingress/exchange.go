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
)

// exchange is one request of a connection on its way to its answer.
type exchange struct {
	Exchange
	c       *connection
	method  string
	started boottime.Time
	// before is closed when the request before it has been answered, done when
	// this one has.
	before, done chan struct{}
	closing      bool
	// streamed is the body when it is forwarded while it arrives.
	streamed *streamedBody
}

func (c *connection) disconnected(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (c *connection) newExchange(id string, started boottime.Time) *exchange {
	x := &exchange{c: c, started: started, before: c.tail, done: make(chan struct{})}
	x.ID = id
	c.tail = x.done
	c.pending.Add(1)
	c.server.active.Add(1)
	return x
}

// finish ends the exchange after its answer.
func (x *exchange) finish() {
	c := x.c
	x.Took = c.server.config.Clock() - x.started
	c.server.config.Observer.Finished(&x.Exchange)
	c.server.active.Add(-1)
	if x.closing {
		c.finished.Store(true)
	}
	last := c.pending.Add(-1) == 0
	close(x.done)
	switch {
	case x.closing:
		_ = c.net.SetReadDeadline(time.Now()) // Ends the reading of requests.
	case last && c.state.Load() == stateIdle:
		_ = c.net.SetReadDeadline(time.Now().Add(time.Duration(c.idle.Load())))
	}
}

// take starts the exchange of a request. It reports false when no further
// request can be read.
func (c *connection) take(request *http.Request, started boottime.Time) bool {
	id, wait, err := c.server.config.Headers.Request(request.Header)
	x := c.newExchange(id, started)
	x.method = request.Method
	x.closing = request.Close || !request.ProtoAtLeast(1, 1)
	if err != nil {
		x.closing = true
		x.fail(http.StatusBadRequest, "malformed_request", 0)
		return false
	}
	limits := c.limits()
	if request.ContentLength > limits.BodyBytes {
		x.closing = true
		x.fail(http.StatusRequestEntityTooLarge, "body_too_long", 0)
		return false
	}
	x.Wait = wait
	x.Rank, x.Nested = c.server.config.Running.Parent(id)
	if failure := x.route(request); failure != nil {
		x.closing = x.closing || request.ContentLength != 0
		x.fail(failure.status, failure.reason, failure.retryAfter)
		return !x.closing
	}
	cl := x.call(request)
	if !x.Nested && x.c.server.refuses(cl.Left) {
		x.closing = true
		x.fail(http.StatusServiceUnavailable, "node_stopping", stoppingRetry)
		return false
	}
	if x.closing {
		// What the client sends after its last request is not read.
		c.finished.Store(true)
	}
	if request.ContentLength == 0 {
		return x.startBodyless(cl)
	}
	return x.startBody(cl, request, limits.BodyBytes)
}

// stoppingRetry is when a client that a stopping node refused is told to return.
// Other nodes of its failure domain take its calls by then.
const stoppingRetry = 50 * time.Millisecond

type routeFailure struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// startTime is when a client is told to return while no plan is known.
const startTime = 300 * time.Millisecond

// route finds the route of a request. It returns why there is none.
func (x *exchange) route(request *http.Request) *routeFailure {
	plan := x.c.server.config.Plan.Load()
	if plan == nil {
		return &routeFailure{http.StatusServiceUnavailable, "no_plan", startTime}
	}
	x.Plan = plan.Version
	x.Route = plan.Match(request.Host, request.URL.EscapedPath())
	if x.Route == nil {
		return &routeFailure{http.StatusNotFound, "no_route", 0}
	}
	return nil
}

// call makes the call of the request.
func (x *exchange) call(request *http.Request) *call.Call {
	s := x.c.server
	part := s.splitter.Choose(x.Route)
	x.Service = part.Service
	left := x.Route.Timeout
	if x.Wait > 0 {
		left = min(left, x.Wait)
	}
	if !x.Nested {
		x.Rank = x.Route.Rank
	}
	if !x.Nested && x.Wait > 0 {
		x.Age = s.ages.Observe(x.Route, x.Wait, x.started)
	}
	removeConnectionHeaders(request.Header)
	return &call.Call{
		ID: x.ID, Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header,
		Caller: s.config.Caller(), Service: part.Service, Kind: x.Route.Kind, Rank: x.Rank, Nested: x.Nested,
		Left: left, TargetLeft: min(x.Route.Target-x.Age, left), BodyBytes: request.ContentLength,
	}
}

// startBodyless runs a request without a body beside those before it.
func (x *exchange) startBodyless(cl *call.Call) bool {
	if cl.Kind != 0 && !cl.Idempotent() || x.c.pending.Load() > maxPipelined {
		// A request that must not run twice is sent only when nothing before it
		// can end the connection.
		<-x.before
		if x.c.finished.Load() && !x.closing {
			x.abandon()
			return false
		}
	}
	go x.run(x.c.ctx, cl)
	return true
}

// noteFailure tells the running call that made this one, before that can see the
// answer and end.
func (x *exchange) noteFailure() {
	if x.Nested && (x.Status >= http.StatusBadRequest || x.Status == 0) {
		x.c.server.config.Running.ChildFailed(x.ID)
	}
}

// abandon ends an exchange without an answer, because the connection ends.
func (x *exchange) abandon() {
	x.Reason, x.closing = call.ReasonCancelled, true
	x.noteFailure()
	<-x.before
	x.finish()
}

// run forwards the call and answers it.
func (x *exchange) run(ctx context.Context, cl *call.Call) {
	forwarder := x.c.server.config.Forwarder
	spent := x.c.server.config.Clock() - x.started
	cl.Left -= spent
	cl.TargetLeft -= spent
	r, a := forwarder.Forward(ctx, cl, x.Route)
	x.Result, x.Reason, x.Sent, x.Refusals, x.Host = r, r.Reason, a.sent, a.refusals, a.last
	switch r.Fate {
	case call.Answered:
		x.answer(r.Answer)
	case call.Refused:
		x.c.server.ages.Refused(x.c.server.config.Clock())
		x.fail(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	case call.Expired:
		if x.streamed != nil && x.streamed.tooLong.Load() {
			x.closing = true
			x.fail(http.StatusRequestEntityTooLarge, "body_too_long", 0)
			return
		}
		if ctx.Err() != nil {
			x.abandon()
			return
		}
		x.fail(http.StatusGatewayTimeout, r.Reason, 0)
	case call.Broken:
		x.fail(http.StatusBadGateway, r.Reason, 0)
	}
}
