package localendpoint

import (
	"context"
	"net/http"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const reasonLeaving = call.ReasonLeaving

// leastLeft is the least time for which a call is sent to the endpoint.
const leastLeft = 5 * time.Millisecond

// Observer is told what the gate decided. Its methods must not block.
type Observer interface {
	// Attempted is called after each attempt with the time in the queue and at
	// the endpoint.
	Attempted(c *call.Call, e *Endpoint, r call.Result, waited, ran time.Duration)
}

// Gate runs calls at the endpoint beside the node. It implements call.Runner.
type Gate struct {
	registration *Registration
	headers      call.Headers
	clock        boottime.Clock
	observer     Observer
	// Running holds the calls that the endpoint runs.
	Running *Running
}

// NewGate returns the gate of the registered endpoint.
func NewGate(registration *Registration, headers call.Headers, clock boottime.Clock, observer Observer) *Gate {
	return &Gate{registration: registration, headers: headers, clock: clock, observer: observer, Running: NewRunning()}
}

// Run waits for a slot and runs the call. The call is withdrawn when ctx ends
// while it waits, and abandoned if it is idempotent and runs.
func (g *Gate) Run(ctx context.Context, c *call.Call) call.Result {
	arrived := g.clock()
	e := g.registration.Current()
	if e == nil || e.Leaving || e.Service != c.Service {
		r := call.Result{Fate: call.Refused, Reason: call.ReasonNoEndpoint}
		g.observer.Attempted(c, e, r, 0, 0)
		return r
	}
	deadline := arrived + c.Left
	work := slotqueue.Work{
		Class:    slotqueue.Class{Kind: c.Kind, Rank: c.Rank, Nested: c.Nested},
		TargetBy: arrived + c.TargetLeft, DeadlineBy: deadline,
	}
	remote, _ := c.Body.(call.RemoteBody)
	if remote != nil {
		work.Preparing, work.ReadyBy = true, arrived+remote.Expected()
	}
	ticket, refusal := e.Queue.Offer(work, arrived)
	if refusal != nil {
		return g.done(c, e, call.Result{Fate: call.Refused, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}, 0, 0)
	}
	if remote != nil {
		if reason := g.fetch(ctx, e, ticket, c, remote); reason != "" {
			return g.done(c, e, call.Result{Fate: call.Refused, Reason: reason}, g.clock()-arrived, 0)
		}
	}
	if reason := g.await(ctx, e, ticket); reason != "" {
		return g.done(c, e, call.Result{Fate: call.Refused, Reason: reason}, g.clock()-arrived, 0)
	}
	started := g.clock()
	x := &exchange{gate: g, e: e, c: c, left: deadline - started}
	var once sync.Once
	x.release = func(r call.Result) {
		once.Do(func() {
			g.account(e, ticket, r, g.clock()-started)
		})
	}
	if x.left < leastLeft {
		r := call.Result{Fate: call.Refused, Reason: call.ReasonTooLate}
		x.release(r)
		return g.done(c, e, r, started-arrived, 0)
	}
	g.Running.begin(c.ID, c.Rank)
	r := x.run(ctx)
	r.NestedFailed = g.Running.end(c.ID)
	if r.Answer == nil || r.Answer.Stream == nil {
		x.release(r)
	}
	if r.Reason == call.ReasonMoved || x.gone {
		g.registration.Suspect(e)
	}
	return g.done(c, e, r, started-arrived, g.clock()-started)
}

// fetch brings the body of a call to this host before the call gets a slot, so that
// no slot is held while a long body crosses a narrow link. It returns the reason
// when the call cannot go on.
func (g *Gate) fetch(ctx context.Context, e *Endpoint, ticket *slotqueue.Ticket, c *call.Call, remote call.RemoteBody) string {
	now := g.clock()
	inTime, cancel := context.WithTimeout(ctx, max(0, e.Queue.LatestStart(ticket, now)-now))
	defer cancel()
	body, err := remote.Fetch(inTime)
	if err == nil {
		c.Body = body
		e.Queue.Prepared(ticket, g.clock())
		return ""
	}
	e.Queue.Withdraw(ticket)
	switch {
	case ctx.Err() != nil:
		return call.ReasonCancelled
	case inTime.Err() != nil:
		return call.ReasonTooLate
	}
	return call.ReasonBodyMissing
}

// await waits for the ticket's slot. It returns the reason when there is none.
func (g *Gate) await(ctx context.Context, e *Endpoint, ticket *slotqueue.Ticket) string {
	select {
	case granted := <-ticket.Ready():
		return refusedFor(granted, ticket)
	default:
	}
	now := g.clock()
	timer := time.NewTimer(max(0, e.Queue.LatestStart(ticket, now)-now))
	defer timer.Stop()
	reason := call.ReasonCancelled
	select {
	case granted := <-ticket.Ready():
		return refusedFor(granted, ticket)
	case <-timer.C:
		reason = call.ReasonTooLate
	case <-ctx.Done():
	}
	if !e.Queue.Withdraw(ticket) && <-ticket.Ready() {
		e.Queue.Done(ticket, 0, g.clock())
	}
	return reason
}

func refusedFor(granted bool, ticket *slotqueue.Ticket) string {
	if granted {
		return ""
	}
	return ticket.Reason()
}

// account gives the slot back and follows the endpoint's health.
func (g *Gate) account(e *Endpoint, ticket *slotqueue.Ticket, r call.Result, ran time.Duration) {
	sample := time.Duration(0)
	switch {
	case r.Fate == call.Answered:
		failed := r.Answer != nil && r.Answer.Status >= http.StatusInternalServerError
		if !failed || !r.NestedFailed {
			e.Health.Observe(failed)
		}
		if !failed {
			sample = ran
		}
	case r.Reason == call.ReasonCancelled:
	case r.Sent || r.Reason == call.ReasonConnect:
		e.Health.Observe(true)
	}
	e.Queue.Done(ticket, sample, g.clock())
}

func (g *Gate) done(c *call.Call, e *Endpoint, r call.Result, waited, ran time.Duration) call.Result {
	r.Load, r.HasLoad = e.Queue.Load(), true
	g.observer.Attempted(c, e, r, waited, ran)
	return r
}
