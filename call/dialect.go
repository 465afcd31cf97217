package call

import (
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// AnswerFacts is what the headers of an endpoint's answer say.
type AnswerFacts struct {
	RequestID string
	// NotRun is set when the endpoint states that it did not run the request.
	NotRun bool
	// Stamped is set when the answer bears the signature of an endpoint.
	Stamped bool
	// IdleLimit is how long the endpoint keeps the connection idle, 0 when it
	// does not say.
	IdleLimit time.Duration
}

// Headers translates the headers of calls. The names belong to the platform.
type Headers interface {
	// Request returns the ID of a client's request and the time that the client
	// waits, 0 when it does not say.
	Request(h http.Header) (id string, wait time.Duration, err error)
	// ForEndpoint sets what an endpoint expects of a request.
	ForEndpoint(h http.Header, left time.Duration, endpoint mesh.EndpointID, caller mesh.ServiceName)
	// Answer reads the headers of an endpoint's answer.
	Answer(status int, h http.Header) AnswerFacts
	// SetRetryAfter tells a refused client when to return.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID names the request that an answer of the node belongs to.
	SetRequestID(h http.Header, id string)
}
