package claims

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// errStoreTimeout is the cause when a claim waited longer than Config.MaxWait.
var errStoreTimeout = errors.New("claims: timeout waiting for the store")

// Rejection is the error for a key that was not claimed.
type Rejection struct {
	Reason mesh.Reason
	// Outcome is the known outcome of the call that the key identifies. A key that is
	// in use or expired may belong to a call that was executed.
	Outcome mesh.Outcome
	// Status is the HTTP status of the executed call when Reason is
	// mesh.ReasonAlreadyExecuted.
	Status int
	// Cause is the error that caused the rejection, or nil.
	Cause error
}

// Error implements error.
func (r *Rejection) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("claims: rejected: %s: %v", r.Reason, r.Cause)
	}
	return fmt.Sprintf("claims: rejected: %s", r.Reason)
}

// Unwrap returns the cause.
func (r *Rejection) Unwrap() error { return r.Cause }

var outcomes = map[mesh.Reason]mesh.Outcome{
	mesh.ReasonAlreadyExecuted: mesh.OutcomeExecuted,
	mesh.ReasonInProgress:      mesh.OutcomeUnknown,
	mesh.ReasonKeyExpired:      mesh.OutcomeUnknown,
}

func outcomeOf(reason mesh.Reason) mesh.Outcome {
	if outcome, ok := outcomes[reason]; ok {
		return outcome
	}
	return mesh.OutcomeNotExecuted
}

// opResult is the result of an operation. An empty reason means success.
type opResult struct {
	reason mesh.Reason
	status uint16
	cause  error
	// final means that the result stays valid whatever other writers do to the entry.
	final bool
}

func reject(reason mesh.Reason, cause error) opResult { return opResult{reason: reason, cause: cause} }

func (r opResult) ok() bool { return r.reason == "" }

func (r opResult) err() error {
	if r.ok() {
		return nil
	}
	return &Rejection{Reason: r.reason, Outcome: outcomeOf(r.reason), Status: int(r.status), Cause: r.cause}
}

// rejectionReason returns the reason of a rejection because ctx ended.
func rejectionReason(ctx context.Context) mesh.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStoreTimeout):
		return mesh.ReasonStoreUnavailable
	case errors.Is(cause, context.DeadlineExceeded):
		return mesh.ReasonDeadline
	default:
		return mesh.ReasonCancelled
	}
}
