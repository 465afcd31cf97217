package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/placement"
)

// attemptResult is the result of an attempt and the destination that it was made at.
type attemptResult struct {
	call.Result
	at destination
}

// maxConcurrentAttempts is the number of attempts of a call that are made at a time.
const maxConcurrentAttempts = 2

// run makes an attempt at a destination. When an idempotent call has no answer after a
// time, it makes another one elsewhere, within the retry budget, and returns the first
// good answer. The attempt that is not needed any more is cancelled.
func (s *callState) run(ctx context.Context, first destination) call.Result {
	if !s.mayHedge() {
		return s.record(attemptResult{first.runner.Run(ctx, s.c), first})
	}
	results := make(chan attemptResult, maxConcurrentAttempts)
	silence := make(chan struct{}, 1)
	s.c.OnSilence = func() {
		select {
		case silence <- struct{}{}:
		default:
		}
	}
	cancelFirst := s.start(ctx, first, results)
	var slow <-chan time.Time
	if expected := first.expectedTime; expected != 0 {
		timer := time.NewTimer(placement.HedgeDelay(expected, s.c.TargetRemaining))
		defer timer.Stop()
		slow = timer.C
	}
	select {
	case r := <-results:
		context.AfterFunc(ctx, cancelFirst)
		return s.record(r)
	case <-slow:
	case <-silence:
	}
	s.c.OnSilence = nil
	s.exclude(first.host)
	second, found := s.chooseHedge()
	if !found {
		context.AfterFunc(ctx, cancelFirst)
		return s.record(<-results)
	}
	s.hedged = true
	if s.forwarder.OnHedge != nil {
		s.forwarder.OnHedge()
	}
	cancelSecond := s.start(ctx, second, results)
	r := <-results
	if isGoodAnswer(r.Result) {
		s.sentAttempts++ // The other attempt may be at its endpoint.
		go func() {
			other := <-results
			other.Response.Close()
		}()
	} else {
		var other attemptResult
		r, other = orderResults(r, <-results)
		other.Response.Close()
		if other.Sent {
			s.sentAttempts++
		}
	}
	s.exclude(second.host)
	// The response of the returned attempt may be streamed until the end of the call.
	if r.at.host == first.host {
		cancelSecond()
		context.AfterFunc(ctx, cancelFirst)
	} else {
		cancelFirst()
		context.AfterFunc(ctx, cancelSecond)
	}
	return s.record(r)
}

// mayHedge reports whether the call may be sent to two endpoints at a time.
func (s *callState) mayHedge() bool {
	return s.c.Idempotent() && s.c.Body == nil && !s.hedged && s.sentAttempts+maxConcurrentAttempts <= s.route.MaxAttempts
}

// chooseHedge returns the destination of a second attempt, if one has free slots and the
// retry budget allows it.
func (s *callState) chooseHedge() (destination, bool) {
	now := s.forwarder.Clock()
	s.c.Remaining, s.c.TargetRemaining = s.deadline-now, s.targetBy-now
	if s.c.Remaining <= 0 || s.forwarder.stopped.Load() {
		return destination{}, false
	}
	candidates, destinations := s.candidates()
	i := placement.ChooseFree(candidates, s.placementCall(), rand.Float64)
	if i < 0 || !s.forwarder.RetryBudget.Withdraw(s.c.Service) {
		return destination{}, false
	}
	return destinations[i], true
}

// start makes an attempt in the background, on a copy of the call.
func (s *callState) start(ctx context.Context, at destination, results chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	c := *s.c
	c.Header = s.c.Header.Clone()
	go func() { results <- attemptResult{at.runner.Run(ctx, &c), at} }()
	return cancel
}

// isGoodAnswer reports whether no other attempt can have a better result.
func isGoodAnswer(r call.Result) bool {
	return r.Outcome == call.Answered && r.Response.Status < http.StatusInternalServerError
}

// orderResults returns first the result that says more about the call: an answer, or else
// the one that says that the call may have been executed.
func orderResults(a, b attemptResult) (better, other attemptResult) {
	if isGoodAnswer(b.Result) || a.Outcome != call.Answered && (b.Outcome == call.Answered || a.Outcome == call.Rejected) {
		return b, a
	}
	return a, b
}
