package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/placement"
	"geraniumnotch.example/geraniumnotch/retrybudget"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// answerSlack is how long after the caller's time an answer may still come
	// in. Endpoints answer at their deadline themselves.
	answerSlack = 30 * time.Millisecond
	// maxRefusals bounds the gates that are asked in turn. Each costs a round
	// trip, and refusals carry the load, so that the third is seldom wrong.
	maxRefusals = 3
	// repeatShare is the part of the target that must be left for a repeat after
	// a failed answer; later ones would only add load.
	repeatShare = 0.25
	// retryShare is the part of the caller's time after which it is told to
	// return when the gate named none.
	retryShare = 0.2
)

// Forwarder sends calls to endpoints.
type Forwarder struct {
	Domain   mesh.FailureDomain
	Peers    *peers.Directory
	Local    *localendpoint.Gate
	Endpoint *localendpoint.Registration
	Repeats  *retrybudget.Budget
	Clock    boottime.Clock
}

// target is a candidate with the runner that reaches it.
type target struct {
	host   mesh.HostID
	runner call.Runner
}

// attempts is the state of one call over its attempts.
type attempts struct {
	f        *Forwarder
	c        *call.Call
	route    *routeplan.Route
	deadline boottime.Time
	targetBy boottime.Time
	tried    map[mesh.HostID]bool
	sent     int
	refusals int
	// refused is the refusal with the longest wait; broken the latest attempt
	// that may have run without an answer; fallback the answer that a repeat may
	// better.
	refused  call.Result
	broken   call.Result
	fallback *call.Answer
	last     mesh.HostID
}

// Forward runs the call until it is answered, must not be repeated, or has no
// time left. The result's fate is never Broken with a fallback answer at hand.
func (f *Forwarder) Forward(ctx context.Context, c *call.Call, route *routeplan.Route) (call.Result, *attempts) {
	now := f.Clock()
	a := &attempts{f: f, c: c, route: route, deadline: now + c.Left, targetBy: now + c.TargetLeft}
	ctx, cancel := context.WithTimeout(ctx, c.Left+answerSlack)
	f.Repeats.Earn(c.Service)
	for {
		r, again := a.once(ctx)
		if again {
			continue
		}
		if r.Fate != call.Answered && a.fallback != nil {
			r = call.Result{Fate: call.Answered, Sent: true, Answer: a.fallback}
		}
		if r.Answer != nil && r.Answer.Stream != nil {
			context.AfterFunc(ctx, cancel)
			return r, a
		}
		cancel()
		return r, a
	}
}

// once makes one attempt and reports whether another one follows.
func (a *attempts) once(ctx context.Context) (call.Result, bool) {
	now := a.f.Clock()
	a.c.Left, a.c.TargetLeft = a.deadline-now, a.targetBy-now
	t, found := a.choose()
	if !found {
		return a.unserved(), false
	}
	r := t.runner.Run(ctx, a.c)
	a.last = t.host
	a.mark(t.host)
	if r.Sent {
		a.sent++
	}
	switch {
	case ctx.Err() != nil && r.Fate != call.Answered:
		return call.Result{Fate: call.Expired, Reason: r.Reason, Sent: r.Sent}, false
	case r.Fate == call.Refused:
		a.refused = longerWait(a.refused, r)
		a.refusals++
		if a.refusals < maxRefusals && r.Reason != call.ReasonTooLate && a.maySendElsewhere(r) {
			return r, true
		}
		return a.unserved(), false
	case r.Fate == call.Broken && a.c.Idempotent():
		a.broken = r
		return r, a.mayRepeat()
	case r.Fate == call.Answered && a.c.Idempotent() && r.Answer.Status >= http.StatusInternalServerError &&
		r.Answer.Stream == nil && !r.NestedFailed && a.timeForRepeat() && a.mayRepeat():
		a.fallback = r.Answer
		return r, true
	}
	return r, false
}

// maySendElsewhere reports whether a refused call may go to another gate. That is
// free as long as no endpoint got it.
func (a *attempts) maySendElsewhere(r call.Result) bool {
	if r.Sent {
		return a.mayRepeat()
	}
	return a.rewind()
}

// longerWait keeps the refusal that names the longer wait.
func longerWait(a, b call.Result) call.Result {
	if a.RetryAfter > b.RetryAfter {
		return a
	}
	return b
}

func (a *attempts) mark(host mesh.HostID) {
	if a.tried == nil {
		a.tried = map[mesh.HostID]bool{}
	}
	a.tried[host] = true
}

func (a *attempts) rewind() bool { return a.c.Body == nil || a.c.Body.Rewind() }

// mayRepeat reports whether the call may be sent to a further endpoint.
func (a *attempts) mayRepeat() bool {
	return a.sent < a.route.MaxAttempts && a.rewind() && a.f.Repeats.Spend(a.c.Service)
}

func (a *attempts) timeForRepeat() bool {
	return a.targetBy-a.f.Clock() > time.Duration(repeatShare*float64(a.route.Target))
}

// unserved is the result when no further endpoint takes the call. It is a refusal
// only if no earlier attempt may have run.
func (a *attempts) unserved() call.Result {
	if a.broken.Fate != 0 {
		return a.broken
	}
	r := a.refused
	if r.Fate == 0 {
		r = call.Result{Fate: call.Refused, Reason: call.ReasonNoEndpoint}
	}
	if r.RetryAfter == 0 {
		left := float64(a.deadline - a.f.Clock())
		r.RetryAfter = time.Duration(max(0, left) * retryShare * (0.5 + rand.Float64()))
	}
	return r
}

// choose returns where the next attempt goes.
func (a *attempts) choose() (target, bool) {
	offering := a.f.Peers.Offering(a.c.Service)
	candidates := make([]placement.Candidate, 0, len(offering)+1)
	targets := make([]target, 0, len(offering)+1)
	for _, p := range offering {
		e := p.Endpoint()
		if e == nil {
			continue
		}
		candidates = append(candidates, placement.Candidate{
			SameDomain: p.FailureDomain() == a.f.Domain, Slots: e.Slots, Occupied: p.Occupied(), MeanRun: e.MeanRun,
			FailShare: float64(e.FailPercent) / 100, Cold: e.Cold, Doubtful: p.Doubtful(), Tried: a.tried[p.Host()],
		})
		targets = append(targets, target{p.Host(), p})
	}
	if e := a.f.Endpoint.Current(); e != nil && !e.Leaving && e.Service == a.c.Service {
		load := e.Queue.Load()
		now := a.f.Clock()
		candidates = append(candidates, placement.Candidate{
			SameDomain: true, Slots: e.Slots, Occupied: load.Running + load.Waiting, MeanRun: e.Queue.MeanRun(now),
			FailShare: e.Health.FailShare(), Cold: e.ColdUntil > now, Tried: a.tried[localHost],
		})
		targets = append(targets, target{localHost, a.f.Local})
	}
	i := placement.Choose(candidates, placement.Call{TargetLeft: a.c.TargetLeft, BodyBytes: a.c.BodyBytes}, rand.Float64)
	if i < 0 {
		return target{}, false
	}
	return targets[i], true
}

// localHost stands for this host among the targets.
const localHost mesh.HostID = ""
