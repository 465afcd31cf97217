// Package call holds the types of a call on its way from a client to an endpoint
// and back, shared by the ingress, the links between hosts and the gate.
package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// Call is a call of a client as the ingress passes it to a gate for one attempt.
type Call struct {
	ID     string
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	// Caller is the service of the host that accepted the call.
	Caller  mesh.ServiceName
	Service mesh.ServiceName
	Kind    routeplan.Kind
	// Rank is the rank of the workspace or else of the route, for a nested call that of
	// its parent. ClassRank is the rank of the route in either case: calls of one route
	// have similar service times, whoever makes them.
	Rank      uint8
	ClassRank uint8
	// Workspace is the workspace that the call uses the share of, for a nested call that
	// of its parent; empty if there is none.
	Workspace mesh.WorkspaceName
	// ResponseBytes is the expected length of the response, 0 when it is not known.
	ResponseBytes int64
	// Nested is set for a call that the endpoint made while it executed another one.
	Nested bool
	// Remaining is the time until the deadline of the caller or the timeout of
	// the route.
	Remaining time.Duration
	// TargetRemaining is the remaining time of the latency target, negative after it.
	TargetRemaining time.Duration
	// BodyBytes is the length of the body, -1 when it is sent in chunks.
	BodyBytes int64
	// Body is nil when there is none.
	Body Body
	// Transfer is set for a call of another host whose response leaves by this host's link,
	// while long responses are ordered there.
	Transfer Transfer
	// Followed reports whether later requests of the client have been forwarded, whose
	// responses are lost if this one breaks off while it is streamed; nil means that none have.
	Followed func() bool
	// OnSilence is called when the host that the call was sent to does not confirm its
	// arrival, which may have been lost; nil ignores it. It must not block.
	OnSilence func()
}

// Idempotent reports whether the call may be executed more than once.
func (c *Call) Idempotent() bool { return c.Kind.IsIdempotent() }

// Body is the body of a request.
type Body interface {
	io.Reader
	// Rewind returns the body for another attempt, from its beginning. It reports false
	// when bytes have been read that were not buffered. The goroutine of an earlier
	// attempt may still read the old one.
	Rewind() (Body, bool)
}

// RemoteBody is a body that is still at the host that accepted the call.
type RemoteBody interface {
	Body
	// ExpectedFetchTime estimates how long Fetch would take if it began now, by the
	// bandwidth of this host's link and the bodies that are fetched before.
	ExpectedFetchTime() time.Duration
	// Fetch transfers the body to this host. It fails when ctx ends first or the
	// other host cannot send all of it.
	Fetch(ctx context.Context) (Body, error)
}

// Transfer is the place of a response on the link by which it leaves this host.
type Transfer interface {
	// Reserve decides whether a long response of the expected length, 0 when unknown, that
	// will be ready after readyIn can leave in time. If not, the call must not be executed,
	// and retryAfter is when the link is expected to have room.
	Reserve(expectedBytes int64, readyIn time.Duration) (retryAfter time.Duration, fits bool)
}

// Load is the number of calls that execute and that wait at a gate.
type Load struct {
	Running int
	Waiting int
}

// AttemptOutcome is what is known about a call after an attempt.
type AttemptOutcome uint8

// Outcomes of an attempt.
const (
	// Answered means that the endpoint responded, and that the response is
	// complete or being streamed.
	Answered AttemptOutcome = iota + 1
	// Rejected means that the call was not executed and will not be.
	Rejected
	// Broken means that the endpoint or the connection to it failed after the call
	// may have started.
	Broken
	// Expired means that no response came before the timeout.
	Expired
)

// String returns the name of the outcome for logs.
func (o AttemptOutcome) String() string {
	return [...]string{"none", "answered", "refused", "broken", "expired"}[min(o, Expired)]
}

// Reasons of rejections and failures, for logs.
const (
	ReasonGateFull           = "gate_full"
	ReasonCannotFinishInTime = "cannot_finish_in_time"
	ReasonNoEndpoint         = "no_endpoint"
	ReasonEndpointDraining   = "endpoint_leaving"
	ReasonConnectFailed      = "connect_failed"
	ReasonDeclined           = "endpoint_declined"
	ReasonOtherEndpoint      = "other_endpoint_at_address"
	ReasonLinkLost           = "link_lost"
	ReasonNoLink             = "no_link"
	ReasonNotReceived        = "not_received"
	ReasonHostCannotRead     = "host_cannot_read"
	ReasonResponseTruncated  = "answer_truncated"
	ReasonResponseMalformed  = "answer_malformed"
	ReasonResponseUnstamped  = "answer_unstamped"
	ReasonResponseTooLong    = "answer_too_long"
	ReasonNoResponse         = "no_answer"
	ReasonCancelled          = "caller_left"
	ReasonBodyIncomplete     = "request_body_incomplete"
	ReasonConnectionClosed   = "connection_closed"
	ReasonNodeStopping       = "node_stopping"
	ReasonUnknownKey         = "unknown_key"
	ReasonUnknownParent      = "unknown_parent"
	ReasonPlanBehind         = "plan_behind"
	ReasonQuotaExceeded      = "quota_exceeded"
	ReasonLinkFull           = "link_full"
	ReasonNestedRejected     = "nested_refused"
	ReasonNoMemory           = "no_memory"
)

// IsLackOfRoom reports whether a call was rejected because there was no room for it in time.
func IsLackOfRoom(reason string) bool {
	switch reason {
	case ReasonGateFull, ReasonCannotFinishInTime, ReasonLinkFull, ReasonNestedRejected, ReasonNoMemory:
		return true
	}
	return false
}

// ErrNodeStopping is the cause of a cancelled context when the node that accepted the
// call ends. The client still gets a response.
var ErrNodeStopping = errors.New("call: node is stopping")

// Result is the outcome of one attempt.
type Result struct {
	Outcome AttemptOutcome
	Reason  string
	// Sent is set when the call may have been sent to an endpoint.
	Sent bool
	// RetryAfter is how long a rejected client should wait before it sends the call
	// again, 0 when unknown.
	RetryAfter time.Duration
	// Load is the load of the gate after the attempt, valid if HasLoad.
	Load    Load
	HasLoad bool
	// NestedFailed is set when a nested call of the endpoint failed. A retry would
	// only make that nested call again.
	NestedFailed bool
	// Response is set when Outcome is Answered.
	Response *Response
}

// Response is the response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	// BodyBytes is the length of the body, -1 when it is unknown.
	BodyBytes int64
	// Body holds a complete body. Stream is used instead for a long one and must be
	// closed; a read error other than io.EOF means that the body is incomplete.
	Body   []byte
	Stream io.ReadCloser
	// release returns the memory of Body to the buffers that it was read into.
	release func()
}

// Close releases a streamed or buffered body.
func (a *Response) Close() {
	if a == nil {
		return
	}
	if a.Stream != nil {
		_ = a.Stream.Close()
	}
	if a.release != nil {
		a.release()
		a.release = nil
	}
}

// Runner makes one attempt of a call. Run returns when the response has arrived,
// or its header if the body is streamed. When ctx ends, a waiting call is cancelled,
// and an idempotent call is also cancelled while the endpoint executes it.
type Runner interface {
	Run(ctx context.Context, c *Call) Result
}
