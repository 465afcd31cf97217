package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// statusClientClosedRequest is the status of a call that its caller cancelled. The
// caller does not receive it; it appears only in metrics and decisions.
const statusClientClosedRequest = 499

// Problem is the body of every response that a node generates itself.
type Problem struct {
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Outcome mesh.Outcome `json:"outcome"`
	Reason  mesh.Reason  `json:"reason"`
	Call    mesh.CallID  `json:"call,omitempty"`
	Detail  string       `json:"detail,omitempty"`
}

// callFailure is why a node responds to a call itself, with a Problem.
type callFailure struct {
	outcome    mesh.Outcome
	reason     mesh.Reason
	detail     string
	retryAfter time.Duration
	// status replaces the status of the reason if it is not zero.
	status int
}

// notExecuted returns the failure of a call that no endpoint executed.
func notExecuted(reason mesh.Reason, detail string) *callFailure {
	return &callFailure{outcome: mesh.OutcomeNotExecuted, reason: reason, detail: detail}
}

var statusByReason = map[mesh.Reason]int{
	mesh.ReasonUnauthenticated:  http.StatusUnauthorized,
	mesh.ReasonNoRoute:          http.StatusNotFound,
	mesh.ReasonRateLimit:        http.StatusTooManyRequests,
	mesh.ReasonConcurrencyLimit: http.StatusTooManyRequests,
	mesh.ReasonDeadline:         http.StatusGatewayTimeout,
	mesh.ReasonNoResponse:       http.StatusGatewayTimeout,
	mesh.ReasonCancelled:        statusClientClosedRequest,
	mesh.ReasonTooDeep:          http.StatusLoopDetected,
	mesh.ReasonKeyRequired:      http.StatusBadRequest,
	mesh.ReasonMalformed:        http.StatusBadRequest,
	mesh.ReasonKeyExpired:       http.StatusGone,
	mesh.ReasonKeyConflict:      http.StatusUnprocessableEntity,
	mesh.ReasonInProgress:       http.StatusConflict,
	mesh.ReasonAlreadyExecuted:  http.StatusConflict,
	mesh.ReasonBrokenConnection: http.StatusBadGateway,
	mesh.ReasonCrossedResponse:  http.StatusBadGateway,
}

func (f *callFailure) statusCode() int {
	if f.status != 0 {
		return f.status
	}
	if status, ok := statusByReason[f.reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// writeProblem responds to the call with a Problem.
func (f *callFailure) writeProblem(w http.ResponseWriter, call mesh.CallID) {
	status := f.statusCode()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(mesh.HeaderOutcome, string(f.outcome))
	h.Set(mesh.HeaderReason, string(f.reason))
	if call != "" {
		h.Set(mesh.HeaderCall, string(call))
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body, err := json.Marshal(Problem{
		Title: "call refused or failed", Status: status, Outcome: f.outcome,
		Reason: f.reason, Call: call, Detail: f.detail,
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
