package gate

import (
	"fmt"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Rejection is the error of a rejected call. The endpoint never received the call,
// so its outcome is always mesh.OutcomeNotExecuted.
type Rejection struct {
	Reason mesh.Reason
	// Load is the load of the gate when it rejected the call.
	Load Load
}

// Error returns the reason and the load.
func (r *Rejection) Error() string {
	return fmt.Sprintf("gate: call rejected: %s (load %s)", r.Reason, r.Load)
}

// Outcome returns mesh.OutcomeNotExecuted.
func (r *Rejection) Outcome() mesh.Outcome { return mesh.OutcomeNotExecuted }
