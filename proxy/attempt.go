package proxy

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/internal/statuscode"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/retry"
	"geraniumnotch.example/geraniumnotch/selection"

	"github.com/cockroachdb/errors"
)

// attempt is one try to have a call executed by one endpoint.
type attempt struct {
	call     *call
	choice   selection.Choice
	id       mesh.CallID
	started  time.Time
	exchange *exchange
	body     *detachableBody
	result   selection.Result
	record   *AttemptRecord

	// Exactly one of response and failure is set after run.
	response *response
	failure  *callFailure
}

func (c *call) newAttempt(choice selection.Choice) *attempt {
	c.decision.Attempts = append(c.decision.Attempts, AttemptRecord{
		Host: choice.Target.Host, Endpoint: choice.Target.Endpoint.ID, Domain: choice.Target.Domain,
	})
	a := &attempt{call: c, choice: choice, id: newCallID(), started: c.entry.cfg.Now()}
	a.record = &c.decision.Attempts[len(c.decision.Attempts)-1]
	a.record.Call, a.record.Start = a.id, a.started
	return a
}

// run sends the call to the gate and reads its response.
func (a *attempt) run() {
	x, out := newExchange(a.call.ctx, a.call.w)
	a.exchange = x
	a.prepareRequest(out)
	x.send(a.call.entry.poolsFor(a.call.body), out)
	a.result.Waited = a.call.entry.cfg.Now().Sub(a.started)
	if a.exchange.err != nil {
		a.classifyExchangeError()
		return
	}
	a.handleResponse(a.exchange.resp)
	// The queueing delay at the gate says nothing about the endpoint.
	a.result.Waited -= a.record.QueueingDelay
}

// prepareRequest fills in the request to the gate. The attempts of a call, which
// do not overlap, share its header except for the values set here.
func (a *attempt) prepareRequest(out *http.Request) {
	c := a.call
	h := c.header
	if len(c.decision.Attempts) > 1 {
		// The transport may still read the header of an earlier, cancelled attempt.
		h = maps.Clone(h)
	}
	values := &headerValues{}
	values.set(h, mesh.HeaderCall, string(a.id))
	values.set(h, mesh.HeaderEndpoint, string(a.choice.Target.Endpoint.ID))
	values.set(h, mesh.HeaderDeadlineMs, strconv.FormatInt(deadlineMs(c.deadline.Sub(a.started)), 10))
	delete(h, mesh.HeaderResponseTimeoutMs)
	if timeout := a.responseTimeout(); timeout > 0 {
		values.set(h, mesh.HeaderResponseTimeoutMs, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	in := c.r.URL
	out.Method, out.Host, out.Header = c.r.Method, c.r.Host, h
	out.URL = &url.URL{
		Scheme: "http", Host: a.choice.Target.CallAddress,
		Path: in.Path, RawPath: in.RawPath, RawQuery: in.RawQuery, ForceQuery: in.ForceQuery,
	}
	a.body = c.body.attach(out)
}

// responseTimeout returns how long the gate waits for the first byte of a
// response once the call has a slot, so that a repeatable call can be retried at
// another endpoint when this one hangs. Zero means until the deadline: the call
// must not be executed again, may be long, cannot be retried because its body is
// streamed or this is its last attempt, or the retry budget is empty.
func (a *attempt) responseTimeout() time.Duration {
	c := a.call
	isLast := len(c.decision.Attempts) == retry.MaxAttempts
	if !c.route.Repeatable || c.route.Long || c.body.stream != nil || isLast || !c.entry.budgets.For(c.route.Service.Name).HasToken() {
		return 0
	}
	// Half of the remaining time is reserved for a retry at another endpoint.
	return min(a.choice.HangTime(), c.deadline.Sub(a.started)/2).Truncate(time.Millisecond)
}

// fail records that the attempt ended without a response from the endpoint.
func (a *attempt) fail(class selection.Class, f *callFailure) {
	a.failure, a.result.Class = f, class
}

// classifyExchangeError records why an exchange with the gate failed.
func (a *attempt) classifyExchangeError() {
	c, sent := a.call, !a.exchange.conn.cancelUnsent()
	dialled := a.exchange.conn.conn.Load() != nil
	f := notExecuted(mesh.ReasonConnectFailed, "the host does not accept connections")
	if sent {
		f = &callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonBrokenConnection, detail: "the connection to the host broke"}
	}
	switch {
	case a.body.endedEarly():
		f.reason, f.detail = mesh.ReasonCancelled, "the request body ended early"
		if a.body.tooLong.Load() {
			f.reason, f.detail, f.status = mesh.ReasonMalformed, "the request body is too long", http.StatusRequestEntityTooLarge
		}
		a.fail(selection.ClassNeutral, f)
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		f.reason, f.detail = mesh.ReasonDeadline, "no answer before the deadline"
		a.fail(interruptedClass(dialled, sent), f)
	case c.ctx.Err() != nil:
		f.reason, f.detail = mesh.ReasonCancelled, "the caller left"
		a.fail(interruptedClass(true, sent), f)
	case sent:
		a.fail(selection.ClassBroken, f)
	case dialled:
		// The gate had closed an idle connection, which says nothing about the host.
		a.fail(selection.ClassNeutral, f)
	default:
		a.fail(selection.ClassUnreachable, f)
	}
}

// interruptedClass returns the class of an attempt that was ended by the deadline
// or cancelled by the caller.
func interruptedClass(dialled, sent bool) selection.Class {
	switch {
	case sent:
		return selection.ClassTimedOut
	case !dialled:
		return selection.ClassUnreachable
	}
	return selection.ClassNeutral
}

// handleResponse reads the outcome from the header of the gate's response.
func (a *attempt) handleResponse(resp *http.Response) {
	if mesh.CallID(resp.Header.Get(mesh.HeaderCall)) != a.id {
		a.discardResponse(resp)
		a.fail(selection.ClassBroken, &callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonCrossedResponse, detail: "the host answered another call"})
		return
	}
	pressure := a.readLoad(resp.Header)
	a.call.reportPressure(pressure)
	outcome := mesh.Outcome(resp.Header.Get(mesh.HeaderOutcome))
	if outcome == mesh.OutcomeExecuted {
		a.readExecuted(resp)
		return
	}
	a.readProblem(resp, outcome)
}

// readLoad records the reported load and returns the pressure that the gate and
// nested calls of this call reported.
func (a *attempt) readLoad(h http.Header) float64 {
	var pressure float64
	if load, err := gate.ParseLoad(h.Get(mesh.HeaderLoad)); err == nil {
		a.result.Report = selection.Report{InUse: load.InUse, Slots: load.Slots, Queued: load.Queued}
		a.result.HasReport = true
		a.result.Report.EndpointLoad, _ = parseLoad(h.Get(mesh.HeaderEndpointLoad))
		pressure = load.For(a.call.rank)
	}
	if nested, ok := parseLoad(h.Get(mesh.HeaderNestedPressure)); ok {
		pressure = max(pressure, nested)
	}
	if waited, err := strconv.ParseInt(h.Get(mesh.HeaderQueueingDelayUs), 10, 64); err == nil {
		a.record.QueueingDelay = time.Duration(waited) * time.Microsecond
	}
	return pressure
}

// maxPressure is the largest reported load or pressure that is accepted.
const maxPressure = 100

// parseLoad parses a load or pressure. It returns false if the value is absent or
// out of range.
func parseLoad(text string) (float64, bool) {
	if text == "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxPressure) {
		return 0, false
	}
	return value, true
}

// reportPressure reports the pressure to admission and, for a nested call, to its
// parent call.
func (c *call) reportPressure(pressure float64) {
	c.entry.cfg.Admission.Observe(c.route.Service.Name, c.rank, pressure)
	if c.parent != nil {
		c.parent.recordPressure(pressure)
	}
}

// readExecuted reads the endpoint's response, the whole body if it is short.
func (a *attempt) readExecuted(resp *http.Response) {
	if !statuscode.IsFinal(resp.StatusCode) {
		// Earlier programs pass such a response of an endpoint on.
		a.discardResponse(resp)
		a.fail(selection.ClassBroken, &callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonBrokenConnection, detail: "a status that HTTP does not have"})
		return
	}
	response, err := readResponse(resp)
	if err != nil {
		a.exchange.conn.discard()
		a.fail(selection.ClassBroken, &callFailure{outcome: mesh.OutcomeUnknown, reason: mesh.ReasonBrokenConnection, detail: "the answer ended early"})
		return
	}
	a.response = response
	a.result.Class, a.result.Status = selection.ClassAnswered, resp.StatusCode
	if !a.call.route.Long {
		a.result.Latency = max(a.result.Waited-a.record.QueueingDelay, time.Microsecond)
	}
}

// readProblem reads a problem response that the gate generated.
func (a *attempt) readProblem(resp *http.Response, outcome mesh.Outcome) {
	f := &callFailure{outcome: outcome, reason: mesh.Reason(resp.Header.Get(mesh.HeaderReason))}
	if outcome != mesh.OutcomeNotExecuted {
		f.outcome = mesh.OutcomeUnknown
	}
	if f.reason == "" {
		f.reason = mesh.ReasonBrokenConnection
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f.retryAfter = time.Duration(seconds) * time.Second
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardedBodyBytes)
	_ = resp.Body.Close()
	a.fail(failureClass(f), f)
}

// failureClass returns what a problem response of the gate says about the
// endpoint.
func failureClass(f *callFailure) selection.Class {
	switch f.reason {
	case mesh.ReasonNoResponse:
		return selection.ClassHung
	case mesh.ReasonDraining, mesh.ReasonNoEndpoint:
		return selection.ClassDraining
	case mesh.ReasonConnectFailed:
		return selection.ClassDown
	case mesh.ReasonBrokenConnection, mesh.ReasonCrossedResponse:
		return selection.ClassBroken
	case mesh.ReasonDeadline:
		if f.outcome != mesh.OutcomeNotExecuted {
			return selection.ClassTimedOut
		}
	case mesh.ReasonNestedRejected, mesh.ReasonCancelled:
		return selection.ClassNeutral
	}
	return selection.ClassRejected
}

// recordAborted records that a response could not be completed after it was
// started.
func (a *attempt) recordAborted(err error) {
	a.result.Latency = 0
	a.result.Class = selection.ClassBroken
	if errors.Is(err, errDownstream) || a.call.ctx.Err() != nil {
		a.result.Class = selection.ClassNeutral
	}
}

func (a *attempt) discardResponse(resp *http.Response) {
	a.exchange.conn.discard()
	_ = resp.Body.Close()
}

// finish reports the result to selection and completes the record.
func (a *attempt) finish() {
	a.choice.Done(a.result)
	a.record.Duration = a.call.entry.cfg.Now().Sub(a.started)
	a.record.Outcome, a.record.Status = mesh.OutcomeExecuted, a.result.Status
	if a.failure != nil {
		a.record.Outcome, a.record.Reason = a.failure.outcome, a.failure.reason
	}
}
