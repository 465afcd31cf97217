package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/placement"
	"geraniumnotch.example/geraniumnotch/responsesize"
	"geraniumnotch.example/geraniumnotch/retrybudget"
	"geraniumnotch.example/geraniumnotch/rollout"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const (
	// responseGrace is how long after the caller's deadline a response is still
	// awaited, because endpoints respond at their deadline themselves.
	responseGrace = 30 * time.Millisecond
	// maxRejections bounds the gates that are tried one after the other. Each
	// costs a round trip, and rejections carry the load of their gate, so that the
	// third choice is seldom wrong.
	maxRejections = 3
	// minRetryTargetFraction is the fraction of the latency target that must be
	// left for a retry after a failed response; later retries would only add load.
	minRetryTargetFraction = 0.25
	// retryAfterFraction is the mean retry-after as a fraction of the caller's
	// remaining time, for gates that gave none.
	retryAfterFraction = 0.2
)

// Forwarder chooses endpoints for calls, sends the calls there and retries them.
type Forwarder struct {
	Domain       mesh.FailureDomain
	Headers      call.Headers
	Peers        *peers.Directory
	LocalGate    *localendpoint.Gate
	Registration *localendpoint.Registration
	RetryBudget  *retrybudget.Budget
	Clock        boottime.Clock
	// Sizes estimates the responses that calls will have.
	Sizes *responsesize.Estimator
	// Buffers hold long responses.
	Buffers *call.Buffers
	// RemoteByteCost is the cost of a byte between failure domains, as a fraction of the
	// value of a call.
	RemoteByteCost float64
	// Versions says which software versions of a service calls may go to while a new one is
	// brought in; nil allows all.
	Versions *rollout.Table
	// HostLink tells whether long responses are ordered on the links of hosts; nil means
	// that they are not.
	HostLink *hostlink.Link

	// Domains decides which calls leave the failure domain.
	Domains *placement.Domains
	// OnPlaced is called for each choice of an endpoint; nil ignores it.
	OnPlaced func(service mesh.ServiceName, reason placement.Reason)
	// OnHedge is called for each second attempt of a call while the first has no answer;
	// nil ignores it.
	OnHedge func()

	stopped atomic.Bool
}

// stop ends the attempts of all calls: none begins any more, and those that wait for the
// local endpoint are rejected.
func (f *Forwarder) stop() {
	f.stopped.Store(true)
	f.Registration.RejectWaiting()
}

// destination is a host and the runner that sends calls to its endpoint.
type destination struct {
	host   mesh.HostID
	runner call.Runner
	// markLeaving records that the endpoint has stated that it leaves; nil for the local
	// one, whose gate does.
	markLeaving func()
	// expectedTime is the time in which the endpoint is expected to answer, 0 when it is
	// not known.
	expectedTime time.Duration
}

// callState is the state of a call across its attempts.
type callState struct {
	forwarder    *Forwarder
	c            *call.Call
	route        *routeplan.Route
	deadline     boottime.Time
	targetBy     boottime.Time
	excluded     map[mesh.HostID]bool
	sentAttempts int
	rejections   int
	// hedged is set when two endpoints have been asked at a time.
	hedged bool
	// rejected is the rejection with the longest retry-after; broken the latest
	// attempt that may have been executed without a response; fallback the error
	// response that is returned if the retries give no better one.
	rejected call.Result
	broken   call.Result
	fallback *call.Response
	lastHost mesh.HostID
	// versions says which endpoints the call may go to, nil for all. versionUnavailable is
	// set when the version that it was to try first has no endpoint.
	versions           *rollout.Choice
	versionUnavailable bool
}

// Forward makes attempts until the call has a response, must not be retried, or
// has no time left. If the last attempt has no response, the fallback response is
// returned if there is one.
func (f *Forwarder) Forward(ctx context.Context, c *call.Call, route *routeplan.Route) (call.Result, *callState) {
	now := f.Clock()
	s := &callState{forwarder: f, c: c, route: route, deadline: now + c.Remaining, targetBy: now + c.TargetRemaining}
	ctx, cancel := context.WithTimeout(ctx, c.Remaining+responseGrace)
	f.RetryBudget.Deposit(c.Service)
	if f.Versions != nil {
		s.versions = f.Versions.Choose(c.Service)
		defer func() { s.versions.Done(s.sentAttempts > 0, s.versionUnavailable) }()
	}
	if expected := f.Sizes.Expected(route); f.HostLink.Enabled() && expected > hostlink.LongBytes {
		c.ResponseBytes = expected
	}
	for {
		r, retry := s.attempt(ctx)
		if retry {
			continue
		}
		if r.Outcome != call.Answered && s.fallback != nil {
			r = call.Result{Outcome: call.Answered, Sent: true, Response: s.fallback}
		}
		if r.Response != nil && r.Response.Stream != nil {
			context.AfterFunc(ctx, cancel)
			return r, s
		}
		cancel()
		return r, s
	}
}

// attempt makes one attempt and reports whether another one follows.
func (s *callState) attempt(ctx context.Context) (call.Result, bool) {
	if ctx.Err() != nil {
		return call.Result{Outcome: call.Expired, Reason: call.ReasonCancelled}, false
	}
	if s.forwarder.stopped.Load() {
		s.rejected = call.Result{Outcome: call.Rejected, Reason: call.ReasonNodeStopping, RetryAfter: drainRetryAfter}
		return s.exhaustedResult(), false
	}
	now := s.forwarder.Clock()
	s.c.Remaining, s.c.TargetRemaining = s.deadline-now, s.targetBy-now
	next, found := s.chooseDestination()
	if !found {
		return s.exhaustedResult(), false
	}
	release, fits := s.reserveIncoming(next)
	if !fits {
		return s.exhaustedResult(), false
	}
	r := s.run(ctx, next)
	if r.Outcome == call.Answered {
		r = s.receive(ctx, r)
	}
	release()
	switch {
	case ctx.Err() != nil && r.Outcome != call.Answered:
		return call.Result{Outcome: call.Expired, Reason: r.Reason, Sent: r.Sent}, false
	case r.Outcome == call.Rejected:
		s.rejected = longerRetryAfter(s.rejected, r)
		s.rejections++
		if s.rejections < maxRejections && r.Reason != call.ReasonCannotFinishInTime && r.Reason != call.ReasonNestedRejected && s.mayTryAnotherGate(r) {
			return r, true
		}
		return s.exhaustedResult(), false
	case r.Outcome == call.Broken && s.c.Idempotent():
		s.broken = r
		return r, s.mayRetry()
	case r.Outcome == call.Answered && s.c.Idempotent() && r.Response.Status >= http.StatusInternalServerError &&
		r.Response.Stream == nil && !r.NestedFailed && s.hasTimeForRetry() && s.mayRetry():
		s.fallback = r.Response
		return r, true
	}
	return r, false
}

// record applies the result of an attempt to the state of the call.
func (s *callState) record(r attemptResult) call.Result {
	s.lastHost = r.at.host
	s.exclude(r.at.host)
	if r.Sent {
		s.sentAttempts++
	}
	if r.Response != nil && r.at.markLeaving != nil && s.forwarder.Headers.ReadResponse(r.Response.Status, r.Response.Header).Leaving {
		r.at.markLeaving()
	}
	return r.Result
}

// receive reads a long response if the buffers have room. Before its first byte is passed
// on, a response that breaks off is a broken attempt.
func (s *callState) receive(ctx context.Context, r call.Result) call.Result {
	if r.Response.Status < http.StatusBadRequest && r.Response.BodyBytes >= 0 {
		s.forwarder.Sizes.Observe(s.route, r.Response.BodyBytes)
	}
	if r.Response.BodyBytes < 0 && s.c.Followed != nil && s.c.Followed() {
		if err := s.forwarder.Buffers.ReadUnknown(ctx, r.Response); err != nil {
			return call.Result{Outcome: call.Broken, Reason: call.ReasonResponseTruncated, Sent: true}
		}
	}
	if err := s.forwarder.Buffers.ReadWhole(ctx, r.Response); err != nil {
		return call.Result{Outcome: call.Broken, Reason: call.ReasonResponseTruncated, Sent: true}
	}
	return r
}

// mayTryAnotherGate reports whether a rejected call may go to another gate. Only a
// call that an endpoint may have received counts against the retry budget.
func (s *callState) mayTryAnotherGate(r call.Result) bool {
	if r.Sent {
		return s.mayRetry()
	}
	return s.rewindBody()
}

// longerRetryAfter returns the rejection with the longer retry-after.
func longerRetryAfter(a, b call.Result) call.Result {
	if a.RetryAfter > b.RetryAfter {
		return a
	}
	return b
}

func (s *callState) exclude(host mesh.HostID) {
	if s.excluded == nil {
		s.excluded = map[mesh.HostID]bool{}
	}
	s.excluded[host] = true
}

// rewindBody prepares the body for another attempt and reports whether it can be sent.
func (s *callState) rewindBody() bool {
	if s.c.Body == nil {
		return true
	}
	body, rewound := s.c.Body.Rewind()
	if rewound {
		s.c.Body = body
	}
	return rewound
}

// mayRetry reports whether the call may be retried. If the other conditions hold, it
// withdraws a retry from the retry budget.
func (s *callState) mayRetry() bool {
	return s.sentAttempts < s.route.MaxAttempts && s.rewindBody() && s.forwarder.RetryBudget.Withdraw(s.c.Service)
}

func (s *callState) hasTimeForRetry() bool {
	return s.targetBy-s.forwarder.Clock() > time.Duration(minRetryTargetFraction*float64(s.route.LatencyTarget))
}

// exhaustedResult is the result when no further endpoint accepts the call. It is a
// rejection only if no earlier attempt may have been executed.
func (s *callState) exhaustedResult() call.Result {
	if s.broken.Outcome != 0 {
		return s.broken
	}
	r := s.rejected
	if r.Outcome == 0 {
		r = call.Result{Outcome: call.Rejected, Reason: call.ReasonNoEndpoint}
	}
	if r.RetryAfter == 0 {
		remaining := float64(s.deadline - s.forwarder.Clock())
		r.RetryAfter = time.Duration(max(0, remaining) * retryAfterFraction * (0.5 + rand.Float64()))
	}
	return r
}

// chooseDestination returns the destination of the next attempt.
func (s *callState) chooseDestination() (destination, bool) {
	candidates, destinations := s.candidates()
	f := s.forwarder
	class := slotqueue.Class{Kind: s.c.Kind, Rank: s.c.ClassRank, Nested: s.c.Nested}
	i, reason := f.Domains.Choose(placement.ServiceClass{Service: s.c.Service, Class: class}, candidates, s.placementCall(), f.Clock(), rand.Float64)
	if i < 0 && s.versions.TriesVersion() && len(s.excluded) == 0 && !s.versionUnavailable {
		s.versionUnavailable = true
		return s.chooseDestination()
	}
	if f.OnPlaced != nil {
		f.OnPlaced(s.c.Service, reason)
	}
	if i < 0 {
		s.rejectByLink(candidates)
		return destination{}, false
	}
	return destinations[i], true
}

// allows reports whether the call may go to an endpoint of a software version.
func (s *callState) allows(software string, endpoint mesh.EndpointID) bool {
	if s.versions == nil {
		return true
	}
	attempt := rollout.First
	switch {
	case s.versionUnavailable || s.rejections > 0:
		attempt = rollout.AfterRejection
	case len(s.excluded) > 0:
		attempt = rollout.Again
	}
	return s.versions.Allows(software, endpoint, attempt)
}

// reserveIncoming reserves a long response of another host on the link of this one. If there
// is no room, it records the rejection and reports false.
func (s *callState) reserveIncoming(from destination) (release func(), fits bool) {
	if from.host == localHost {
		return func() {}, true
	}
	need := hostlink.Need{Nested: s.c.Nested, Rank: s.c.Rank, TargetBy: s.targetBy, DeadlineBy: s.deadline}
	release, retryAfter, fits := s.forwarder.HostLink.ReserveIncoming(need, s.c.ResponseBytes, from.expectedTime)
	if !fits {
		s.rejected = longerRetryAfter(s.rejected, call.Result{Outcome: call.Rejected, Reason: call.ReasonLinkFull, RetryAfter: retryAfter})
	}
	return release, fits
}

// rejectByLink records that a call is rejected because the links of all hosts that could
// answer it are full for longer than it has time.
func (s *callState) rejectByLink(candidates []placement.Candidate) {
	if s.rejected.Outcome == 0 && slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return !c.Excluded && c.ExceedsLink(s.c.Remaining) }) {
		s.rejected = call.Result{Outcome: call.Rejected, Reason: call.ReasonLinkFull}
	}
}

func (s *callState) placementCall() placement.Call {
	return placement.Call{
		TargetRemaining: s.c.TargetRemaining, Remaining: s.c.Remaining, RemoteByteCost: s.forwarder.RemoteByteCost,
		Bytes: max(0, s.c.BodyBytes) + s.forwarder.Sizes.Expected(s.route),
	}
}

// candidates returns the endpoints of the service and the destinations that they are
// reached at.
func (s *callState) candidates() ([]placement.Candidate, []destination) {
	remotes := s.forwarder.Peers.ByService(s.c.Service)
	class := slotqueue.Class{Kind: s.c.Kind, Rank: s.c.ClassRank, Nested: s.c.Nested}
	candidates := make([]placement.Candidate, 0, len(remotes)+1)
	destinations := make([]destination, 0, len(remotes)+1)
	add := func(c placement.Candidate, d destination) {
		d.expectedTime = c.ExpectedTime()
		candidates, destinations = append(candidates, c), append(destinations, d)
	}
	for _, p := range remotes {
		e := p.Endpoint()
		if e == nil || p.IsLeaving(e) || !s.allows(e.Software, e.ID) {
			continue
		}
		add(placement.Candidate{
			SameDomain: p.FailureDomain() == s.forwarder.Domain, Slots: e.Slots, Occupied: p.Occupied(), MeanServiceTime: e.MeanServiceTime,
			ClassServiceTime: e.ClassServiceTime(class), LinkDelay: p.LinkDelay(s.c.ResponseBytes), CallsPerSecond: e.CallsPerSecond, FailureRatio: float64(e.FailurePercent) / 100,
			Cold: e.Cold, Stale: p.Stale(), Excluded: s.excluded[p.Host()],
		}, destination{host: p.Host(), runner: p, markLeaving: func() { p.MarkLeaving(e) }})
	}
	if e := s.forwarder.Registration.Current(); e != nil && !e.Draining && e.Service == s.c.Service && s.allows(e.Software, e.ID) {
		load := e.Queue.Load()
		now := s.forwarder.Clock()
		add(placement.Candidate{
			SameDomain: true, Slots: e.Slots, Occupied: load.Running + load.Waiting, MeanServiceTime: e.Queue.MeanServiceTime(now),
			ClassServiceTime: e.Queue.ClassServiceTime(class, now), CallsPerSecond: e.Queue.StartsPerSecond(), FailureRatio: e.Health.FailureRatio(),
			Cold: e.ColdUntil > now, Excluded: s.excluded[localHost],
		}, destination{host: localHost, runner: s.forwarder.LocalGate})
	}
	return candidates, destinations
}

// localHost is the ID of this host among the destinations.
const localHost mesh.HostID = ""
