package localendpoint

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const reasonDraining = call.ReasonEndpointDraining

// minTimeLeft is the minimum time to the deadline with which a call is sent to the
// endpoint.
const minTimeLeft = 5 * time.Millisecond

// hungAfterMeans is the number of mean service times after which a call that was given up
// counts as one that took so long. Callers also leave for other reasons.
const hungAfterMeans = 2

// Observer is notified of the attempts at the gate. Its methods must not block.
type Observer interface {
	// Attempted is called after each attempt, with its queueing delay and service
	// time. The service time of a streamed response ends when the stream begins. The
	// endpoint is nil if there is none.
	Attempted(c *call.Call, e *Endpoint, r call.Result, queueDelay, serviceTime time.Duration)
	// RateNamed is called when the endpoint names another rate of calls that it takes, in
	// calls per second, and with 0 when it no longer names one.
	RateNamed(e *Endpoint, callsPerSecond float64)
	// Leaving is called when the endpoint first states in a response that it leaves.
	Leaving(e *Endpoint)
}

// Gate executes calls at the local endpoint, within its slots. It implements
// call.Runner.
type Gate struct {
	registration *Registration
	headers      call.Headers
	clock        boottime.Clock
	observer     Observer
	buffers      *call.Buffers
	// RunningCalls tracks the calls that the endpoint is executing.
	RunningCalls *RunningCalls
	// NestedAdmission limits the calls of workspaces whose nested calls are rejected.
	NestedAdmission *NestedAdmission
	// OnResult is called with each call that the endpoint has received, whether it failed,
	// and its service time; nil ignores it. It must not block.
	OnResult func(e *Endpoint, class slotqueue.Class, r Result, took time.Duration)
}

// Result is how a call ended that the endpoint has received.
type Result uint8

// Results of calls.
const (
	Succeeded Result = iota + 1
	Failed
	// GivenUp means that the caller did not wait for the answer.
	GivenUp
)

// NewGate returns a gate for the registered endpoint. Long responses are read into the
// buffers while these have room.
func NewGate(registration *Registration, headers call.Headers, clock boottime.Clock, observer Observer, buffers *call.Buffers) *Gate {
	return &Gate{registration: registration, headers: headers, clock: clock, observer: observer, buffers: buffers, RunningCalls: NewRunningCalls(), NestedAdmission: NewNestedAdmission()}
}

// Run waits for a slot and executes the call. When ctx ends, a waiting call is
// cancelled, and a running one only if it is idempotent.
func (g *Gate) Run(ctx context.Context, c *call.Call) call.Result {
	arrived := g.clock()
	e := g.registration.Current()
	if e == nil || e.Draining || e.Service != c.Service {
		r := call.Result{Outcome: call.Rejected, Reason: call.ReasonNoEndpoint}
		g.observer.Attempted(c, e, r, 0, 0)
		return r
	}
	deadline := arrived + c.Remaining
	queued := slotqueue.Call{
		Class: slotqueue.Class{Kind: c.Kind, Rank: c.ClassRank, Nested: c.Nested}, Rank: c.Rank, Workspace: c.Workspace,
		TargetBy: arrived + c.TargetRemaining, DeadlineBy: deadline,
	}
	limitsNested := c.Workspace != "" && !c.Nested
	if limitsNested && !g.NestedAdmission.Admits(queued.Class, c.Workspace, rand.Float64(), arrived) {
		return g.report(c, e, call.Result{Outcome: call.Rejected, Reason: call.ReasonNestedRejected}, 0, 0)
	}
	remote, _ := c.Body.(call.RemoteBody)
	if remote != nil {
		queued.Preparing, queued.ReadyBy = true, arrived+remote.ExpectedFetchTime()
	}
	if retryAfter, fits := reserveTransfer(c, e, arrived); !fits {
		return g.report(c, e, call.Result{Outcome: call.Rejected, Reason: call.ReasonLinkFull, RetryAfter: retryAfter}, 0, 0)
	}
	ticket, rejection := e.Queue.Offer(queued, arrived)
	if rejection != nil {
		return g.report(c, e, call.Result{Outcome: call.Rejected, Reason: rejection.Reason, RetryAfter: rejection.RetryAfter}, 0, 0)
	}
	if remote != nil {
		if reason := g.fetchBody(ctx, e, ticket, c, remote); reason != "" {
			return g.report(c, e, call.Result{Outcome: call.Rejected, Reason: reason}, g.clock()-arrived, 0)
		}
	}
	if reason := g.waitForSlot(ctx, e, ticket); reason != "" {
		return g.report(c, e, call.Result{Outcome: call.Rejected, Reason: reason, RetryAfter: ticket.RetryAfter()}, g.clock()-arrived, 0)
	}
	started := g.clock()
	x := &exchange{gate: g, endpoint: e, call: c, remaining: deadline - started}
	var once sync.Once
	isRunning := false
	x.releaseSlot = func(r call.Result) {
		once.Do(func() {
			if isRunning {
				// A response that is streamed ends here: until then the endpoint may make calls.
				g.RunningCalls.remove(c.ID, r.Outcome == call.Answered)
			}
			g.finishAttempt(e, ticket, r, queued.Class, g.clock()-started)
		})
	}
	if reason := x.rejectionReason(ctx); reason != "" {
		r := call.Result{Outcome: call.Rejected, Reason: reason}
		x.releaseSlot(r)
		return g.report(c, e, r, started-arrived, 0)
	}
	isRunning = true
	g.RunningCalls.add(c.ID, Parent{Rank: c.Rank, ClassRank: c.ClassRank, Workspace: c.Workspace})
	r := x.roundTrip(ctx)
	nested := g.RunningCalls.nestedResults(c.ID)
	r.NestedFailed = nested.failed
	if limitsNested && (nested.rejected || r.Outcome == call.Answered) {
		g.NestedAdmission.Record(queued.Class, c.Workspace, nested.rejected, g.clock())
	}
	if r.Response == nil || r.Response.Stream == nil {
		x.releaseSlot(r)
	}
	if r.Reason == call.ReasonOtherEndpoint || x.connectionRefused {
		g.registration.Remove(e)
	}
	return g.report(c, e, r, started-arrived, g.clock()-started)
}

// reserveTransfer decides whether the response of a call of another host can leave by this
// host's link in time, if it is expected to be long.
func reserveTransfer(c *call.Call, e *Endpoint, now boottime.Time) (retryAfter time.Duration, fits bool) {
	isLong := c.ResponseBytes > hostlink.LongBytes || c.ResponseBytes == 0 && c.Kind == routeplan.Download
	if c.Transfer == nil || !isLong {
		return 0, true
	}
	load, mean := e.Queue.Load(), e.Queue.MeanServiceTime(now)
	rounds := float64(max(0, load.Running+load.Waiting+1-e.Slots)) / float64(max(1, e.Slots))
	return c.Transfer.Reserve(c.ResponseBytes, mean+time.Duration(rounds*float64(mean)))
}

// fetchBody fetches the body of a call from the sending host before the call gets a
// slot, so that no slot is held while a long body crosses a slow link. It returns the
// reason if the call is rejected, else "".
func (g *Gate) fetchBody(ctx context.Context, e *Endpoint, ticket *slotqueue.Ticket, c *call.Call, remote call.RemoteBody) string {
	now := g.clock()
	fetchCtx, cancel := context.WithTimeout(ctx, max(0, e.Queue.LatestStart(ticket, now)-now))
	defer cancel()
	body, err := remote.Fetch(fetchCtx)
	if err == nil {
		c.Body = body
		e.Queue.MarkPrepared(ticket, g.clock())
		return ""
	}
	e.Queue.Cancel(ticket)
	switch {
	case ctx.Err() != nil:
		return call.ReasonCancelled
	case fetchCtx.Err() != nil:
		return call.ReasonCannotFinishInTime
	}
	return call.ReasonBodyIncomplete
}

// waitForSlot waits until the ticket gets a slot. It returns the reason if the call
// is rejected, else "".
func (g *Gate) waitForSlot(ctx context.Context, e *Endpoint, ticket *slotqueue.Ticket) string {
	select {
	case granted := <-ticket.Ready():
		return rejectionReason(granted, ticket)
	default:
	}
	now := g.clock()
	timer := time.NewTimer(max(0, e.Queue.LatestStart(ticket, now)-now))
	defer timer.Stop()
	reason := call.ReasonCancelled
	select {
	case granted := <-ticket.Ready():
		return rejectionReason(granted, ticket)
	case <-timer.C:
		reason = call.ReasonCannotFinishInTime
	case <-ctx.Done():
	}
	if !e.Queue.Cancel(ticket) && <-ticket.Ready() {
		e.Queue.Release(ticket, 0, g.clock())
	}
	return reason
}

func rejectionReason(granted bool, ticket *slotqueue.Ticket) string {
	if granted {
		return ""
	}
	return ticket.Reason()
}

// finishAttempt releases the slot and records the result in the endpoint's health.
// The service time is recorded for successful responses only.
func (g *Gate) finishAttempt(e *Endpoint, ticket *slotqueue.Ticket, r call.Result, class slotqueue.Class, elapsed time.Duration) {
	serviceTime := time.Duration(0)
	if result := resultOf(r); result != 0 && g.OnResult != nil {
		g.OnResult(e, class, result, elapsed)
	}
	switch {
	case r.Outcome == call.Answered:
		failed := r.Response != nil && r.Response.Status >= http.StatusInternalServerError
		if !failed || !r.NestedFailed {
			e.Health.Observe(failed)
		}
		if !failed {
			serviceTime = elapsed
		}
	case r.Reason == call.ReasonCancelled:
		// A call that was given up after a long time shows that the endpoint is slow.
		if elapsed > hungAfterMeans*e.Queue.MeanServiceTime(g.clock()) {
			serviceTime = elapsed
		}
	case r.Sent || r.Reason == call.ReasonConnectFailed:
		e.Health.Observe(true)
	}
	e.Queue.Release(ticket, serviceTime, g.clock())
}

// resultOf returns how a call ended, 0 if the endpoint has not executed it or a nested call
// of it failed.
func resultOf(r call.Result) Result {
	failed := r.Response != nil && r.Response.Status >= http.StatusInternalServerError
	switch {
	case r.Outcome == call.Answered && !failed:
		return Succeeded
	case r.Outcome == call.Answered && !r.NestedFailed:
		return Failed
	case r.Outcome == call.Answered || r.Outcome == call.Rejected || !r.Sent:
		return 0
	case r.Reason == call.ReasonCancelled || r.Outcome == call.Expired:
		return GivenUp
	}
	return Failed
}

// recordState applies what the endpoint says of itself in a response: that it leaves, and
// the rate of calls that it takes.
func (g *Gate) recordState(e *Endpoint, info call.ResponseInfo) {
	if info.Leaving && g.registration.Leave(e) {
		g.observer.Leaving(e)
	}
	switch {
	case info.NamesRate && e.Queue.RecordStartLimit(info.CallsPerSecond, g.clock()):
		g.observer.RateNamed(e, info.CallsPerSecond)
	case !info.NamesRate && e.Queue.RecordNoStartLimit(g.clock()):
		g.observer.RateNamed(e, 0)
	}
}

// Load returns the load of the endpoint, zero if there is none.
func (g *Gate) Load() call.Load {
	if e := g.registration.Current(); e != nil {
		return e.Queue.Load()
	}
	return call.Load{}
}

func (g *Gate) report(c *call.Call, e *Endpoint, r call.Result, queueDelay, serviceTime time.Duration) call.Result {
	r.Load, r.HasLoad = e.Queue.Load(), true
	g.observer.Attempted(c, e, r, queueDelay, serviceTime)
	return r
}
