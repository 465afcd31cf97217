package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/internal/statuscode"
	"geraniumnotch.example/geraniumnotch/mesh"

	"github.com/cockroachdb/errors"
)

// gateCall is a call that holds a slot of an endpoint of this host.
type gateCall struct {
	gate          *Gate
	w             http.ResponseWriter
	r             *http.Request
	in            incomingCall
	body          *requestBody
	endpoint      *endpoints.Endpoint
	slot          *gate.Slot
	started       time.Time
	queueingDelay time.Duration
	running       *runningCall
	// hasServiceTime is set if the endpoint may have executed the call, so that the
	// time counts as service time.
	hasServiceTime bool
}

// forward sends the call to the endpoint and relays its response. It panics with
// http.ErrAbortHandler if a response that was started cannot be completed.
func (c *gateCall) forward(ctx context.Context) {
	c.running = &runningCall{
		call: c.in.call, root: c.in.root, customer: c.in.customer,
		rank: c.in.rank, depth: c.in.depth, deadline: c.in.deadline, ctx: ctx,
	}
	c.gate.cfg.Running.add(c.running)
	defer c.gate.cfg.Running.remove(c.running)

	ctx, stopTimeout := startResponseTimeout(ctx, c.in.responseTimeout, c.running)
	x, out := newExchange(ctx, c.w)
	body := c.prepareRequest(out)
	if body != nil {
		// An endpoint may respond while the upload is still in progress.
		_ = http.NewResponseController(c.w).EnableFullDuplex()
	}
	x.send(c.gate.pools, out)
	stopTimeout()
	if x.err != nil {
		c.handleExchangeError(ctx, x, body)
		return
	}
	c.handleResponse(ctx, x)
}

func (c *gateCall) release() {
	serviceTime := time.Duration(0)
	if c.hasServiceTime {
		serviceTime = c.gate.cfg.Now().Sub(c.started)
	}
	c.slot.Release(serviceTime)
}

// prepareRequest fills in the request to the endpoint. Its deadline header holds
// the time that remains after the queueing delay.
func (c *gateCall) prepareRequest(out *http.Request) *detachableBody {
	u := *c.r.URL
	u.Scheme, u.Host = "http", c.endpoint.Announcement().Address
	out.Method, out.URL, out.Host, out.Header = c.r.Method, &u, c.r.Host, c.header()
	return c.body.attach(out)
}

func (c *gateCall) header() http.Header {
	h := endToEndHeaders(c.r.Header)
	for _, name := range [...]string{
		mesh.HeaderCall, mesh.HeaderRoot, mesh.HeaderRank, mesh.HeaderDepth,
		mesh.HeaderCustomer, mesh.HeaderSequence, mesh.HeaderIssuedAt,
	} {
		if value, ok := c.r.Header[name]; ok {
			h[name] = value
		}
	}
	remaining := c.in.deadline.Sub(c.gate.cfg.Now())
	h[mesh.HeaderDeadlineMs] = []string{strconv.FormatInt(max(0, remaining.Milliseconds()), 10)}
	suppressUserAgent(h)
	return h
}

// handleExchangeError responds to a call for which the endpoint returned no
// response.
func (c *gateCall) handleExchangeError(ctx context.Context, x *exchange, body *detachableBody) {
	if c.r.Context().Err() != nil || body.endedEarly() {
		// The node that sent the call cancelled it, so nobody reads a response.
		panic(http.ErrAbortHandler)
	}
	f := &callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonBrokenConnection, detail: "the endpoint closed the connection without an answer"}
	if x.conn.cancelUnsent() {
		f = notExecuted(mesh.ReasonConnectFailed, "the endpoint does not accept connections")
	} else {
		c.hasServiceTime = true
	}
	c.setTimeoutReason(ctx, f)
	c.writeFailure(f)
}

// setTimeoutReason changes the reason if the call was ended by the response
// timeout or by the deadline.
func (c *gateCall) setTimeoutReason(ctx context.Context, f *callFailure) {
	switch {
	case errors.Is(context.Cause(ctx), errNoResponse):
		f.reason, f.detail = mesh.ReasonNoResponse, "no answer for far longer than usual"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.reason, f.detail = mesh.ReasonDeadline, "no answer before the deadline"
	}
}

func (c *gateCall) writeFailure(f *callFailure) {
	c.setLoadHeaders(c.w.Header())
	f.writeProblem(c.w, c.in.call)
}

// handleResponse relays the endpoint's response.
func (c *gateCall) handleResponse(ctx context.Context, x *exchange) {
	if !statuscode.IsFinal(x.resp.StatusCode) {
		x.conn.discard()
		_ = x.resp.Body.Close()
		c.hasServiceTime = true
		c.writeFailure(&callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonBrokenConnection, detail: "the endpoint answered with a status that HTTP does not have"})
		return
	}
	if c.isCrossed(x.resp) {
		x.conn.discard()
		_ = x.resp.Body.Close()
		c.hasServiceTime = true
		c.writeFailure(&callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonCrossedResponse, detail: "the endpoint answered another call"})
		return
	}
	if isShed(x.resp) {
		c.handleShed(x.resp)
		return
	}
	c.hasServiceTime = true
	response, err := readResponse(x.resp)
	if err != nil {
		x.conn.discard()
		c.failIncomplete(ctx, err)
		return
	}
	defer response.close()
	c.setLoadHeaders(c.w.Header())
	c.w.Header()[mesh.HeaderCall] = c.r.Header[mesh.HeaderCall]
	c.w.Header()[mesh.HeaderOutcome] = outcomeExecuted
	if err := response.relay(c.w); err != nil {
		x.conn.discard()
		panic(http.ErrAbortHandler)
	}
	c.running.finished.Store(true)
}

// outcomeExecuted is shared by all responses and never modified.
var outcomeExecuted = []string{string(mesh.OutcomeExecuted)}

// isCrossed reports whether the response belongs to another call: it carries
// another call ID, or none although the endpoint announced that it echoes the ID.
func (c *gateCall) isCrossed(resp *http.Response) bool {
	echoed := resp.Header.Get(mesh.HeaderCall)
	if echoed == "" {
		return c.endpoint.Announcement().EchoesCall
	}
	return echoed != string(c.in.call)
}

// failIncomplete responds to a call whose short response was incomplete.
func (c *gateCall) failIncomplete(ctx context.Context, err error) {
	f := &callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonBrokenConnection, detail: err.Error()}
	c.setTimeoutReason(ctx, f)
	c.writeFailure(f)
}

// isShed reports whether the response states that the endpoint did not execute
// the call.
func isShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(mesh.HeaderOutcome) == string(mesh.OutcomeNotExecuted)
}

// maxDiscardedBodyBytes is how much of the body of a problem or shed response is read,
// so that the connection can be reused.
const maxDiscardedBodyBytes = 4 << 10

func (c *gateCall) handleShed(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardedBodyBytes)
	_ = resp.Body.Close()
	reason := mesh.ReasonEndpointShed
	if c.running.nestedRejected.Load() {
		reason = mesh.ReasonNestedRejected
	} else {
		c.endpoint.Gate.ReportShed()
	}
	c.running.finished.Store(true)
	f := notExecuted(reason, "the endpoint refused the call")
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f.retryAfter = time.Duration(seconds) * time.Second
	}
	c.writeFailure(f)
}

// setLoadHeaders sets the load of the gate, the queueing delay of the call, the
// load that the endpoint announced, and the highest pressure that nested calls of
// this call reported.
func (c *gateCall) setLoadHeaders(h http.Header) {
	values := &headerValues{}
	values.set(h, mesh.HeaderLoad, c.endpoint.Gate.Load().String())
	values.set(h, mesh.HeaderQueueingDelayUs, strconv.FormatInt(c.queueingDelay.Microseconds(), 10))
	if load := c.endpoint.Announcement().Load; load > 0 {
		values.set(h, mesh.HeaderEndpointLoad, formatPressure(load))
	}
	if pressure := c.running.highestPressure(); pressure > 0 {
		values.set(h, mesh.HeaderNestedPressure, formatPressure(pressure))
	}
}
