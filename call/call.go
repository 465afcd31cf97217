// Package call holds the types of a call on its way from a client to an
// endpoint and back, shared by the entry, the hop between hosts and the gate.
package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// Call is one attempt of a client, as an entry passes it to a gate.
type Call struct {
	ID     string
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	// Caller is the service of the host where the call began.
	Caller  mesh.ServiceName
	Service mesh.ServiceName
	Kind    routeplan.Kind
	Rank    uint8
	// Nested is set for calls that a running call made.
	Nested bool
	// Left is the time until the caller or the route gives up.
	Left time.Duration
	// TargetLeft is the time until the answer loses its full worth; negative
	// when that has passed.
	TargetLeft time.Duration
	// BodyBytes is the length of the body, -1 when it is sent in chunks.
	BodyBytes int64
	// Body is nil when there is none.
	Body Body
}

// Idempotent reports whether the call may run more than once.
func (c *Call) Idempotent() bool { return c.Kind == routeplan.Idempotent }

// Body is the body of a request.
type Body interface {
	io.Reader
	// Rewind makes the body readable from its beginning again. It reports false
	// when bytes have been read that were not kept.
	Rewind() bool
}

// RemoteBody is a body that is still at another host.
type RemoteBody interface {
	Body
	// Expected is the time until the body would be here if it were fetched now, by
	// the bandwidth of this host's link and the bodies that come before.
	Expected() time.Duration
	// Fetch brings the body here. It fails when ctx ends first or the other host
	// cannot send all of it.
	Fetch(ctx context.Context) (Body, error)
}

// Load is the occupancy of a gate.
type Load struct {
	Running int
	Waiting int
}

// Fate is what is known about a call after an attempt.
type Fate uint8

// The fates of an attempt.
const (
	// Answered means that the endpoint answered and the answer is complete or
	// being streamed.
	Answered Fate = iota + 1
	// Refused means that the call has not run and never will.
	Refused
	// Broken means that the endpoint or the way to it failed after the call may
	// have started.
	Broken
	// Expired means that no answer came in time.
	Expired
)

// String returns the name of the fate for logs.
func (f Fate) String() string {
	return [...]string{"none", "answered", "refused", "broken", "expired"}[min(f, Expired)]
}

// Reasons of refusals and failures, for logs.
const (
	ReasonFull        = "gate_full"
	ReasonTooLate     = "cannot_finish_in_time"
	ReasonNoEndpoint  = "no_endpoint"
	ReasonLeaving     = "endpoint_leaving"
	ReasonConnect     = "connect_failed"
	ReasonDeclined    = "endpoint_declined"
	ReasonMoved       = "other_endpoint_at_address"
	ReasonLinkLost    = "link_lost"
	ReasonNoLink      = "no_link"
	ReasonTruncated   = "answer_truncated"
	ReasonGarbage     = "answer_malformed"
	ReasonNoAnswer    = "no_answer"
	ReasonCancelled   = "caller_left"
	ReasonBodyMissing = "request_body_incomplete"
)

// Result is the outcome of one attempt.
type Result struct {
	Fate   Fate
	Reason string
	// Sent is set when the call may have been handed to an endpoint.
	Sent bool
	// RetryAfter is when a refused caller may find room; zero when unknown.
	RetryAfter time.Duration
	// Load is the occupancy of the gate after the attempt, valid if HasLoad.
	Load    Load
	HasLoad bool
	// NestedFailed is set when a call failed that the endpoint made meanwhile. A
	// repeat would only make that call again.
	NestedFailed bool
	// Answer is set when Fate is Answered.
	Answer *Answer
}

// Answer is the answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	// Bytes is the length of the body, -1 when it is unknown.
	Bytes int64
	// Body holds a body that is complete. Stream is used instead for long ones
	// and must be closed; a read error other than io.EOF means that the body is
	// incomplete.
	Body   []byte
	Stream io.ReadCloser
}

// Close releases a streamed body.
func (a *Answer) Close() {
	if a != nil && a.Stream != nil {
		_ = a.Stream.Close()
	}
}

// Runner carries out one attempt of a call. It returns when the answer or its
// head is there. When ctx ends, an idempotent call is abandoned at the endpoint
// and any call that waits is withdrawn.
type Runner interface {
	Run(ctx context.Context, c *Call) Result
}
