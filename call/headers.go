package call

import (
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// ResponseInfo holds what the headers of an endpoint's response say.
type ResponseInfo struct {
	RequestID string
	// EndpointID is the endpoint that responds, empty when it does not say.
	EndpointID mesh.EndpointID
	// NotExecuted is set when the endpoint states that it did not execute the request.
	NotExecuted bool
	// Stamped is set when the response has the signature of an endpoint.
	Stamped bool
	// Leaving is set when the endpoint states that it takes no further calls.
	Leaving bool
	// IdleTimeout is how long the endpoint keeps an idle connection open, 0 when it
	// does not say.
	IdleTimeout time.Duration
	// CallsPerSecond is the rate of calls that the endpoint takes from all hosts together,
	// valid if NamesRate.
	CallsPerSecond float64
	NamesRate      bool
}

// Headers reads and writes the headers of calls, whose names the platform defines.
type Headers interface {
	// ReadRequest returns the ID of a client's request and how long the client waits
	// for the answer, 0 when it does not say.
	ReadRequest(h http.Header) (id string, clientTimeout time.Duration, err error)
	// SetForEndpoint sets the headers that an endpoint expects of a request.
	SetForEndpoint(h http.Header, remaining time.Duration, endpoint mesh.EndpointID, caller mesh.ServiceName)
	// ReadResponse reads the headers of an endpoint's response.
	ReadResponse(status int, h http.Header) ResponseInfo
	// SetRetryAfter sets how long a rejected client should wait before it retries.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID sets the ID of the request that a response of the node belongs to.
	SetRequestID(h http.Header, id string)
}

// KeyHeaders reads and writes the headers of keys and workspaces.
type KeyHeaders interface {
	// TakeKey returns the key of a client's request, or the empty string, and removes it
	// and any name of a workspace from the headers.
	TakeKey(h http.Header) string
	// SetWorkspace names the workspace that a request belongs to.
	SetWorkspace(h http.Header, name mesh.WorkspaceName)
}
