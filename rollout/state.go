// Package rollout decides which software versions of a service calls may go to while the
// operator has a new version brought in: how many calls try it, whether its answers are
// worse than those of the earlier versions at the same time, and when all calls move to it
// or none may reach it any more. It does no I/O and takes the time as an argument.
//
// It is made for versions that fail or slow down at once, later, under load or for one kind
// of calls only, beside endpoints that fail for reasons of their own; and for hosts that
// stop, restart or lose each other or the store while a version is brought in.
package rollout

import (
	"slices"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Revision identifies an order or a status in the store, across restores of the store.
type Revision struct {
	_      struct{} `cbor:",toarray"`
	Epoch  uint64
	Number uint64
}

// Before reports whether the revision is an earlier one.
func (r Revision) Before(other Revision) bool {
	return r.Epoch < other.Epoch || r.Epoch == other.Epoch && r.Number < other.Number
}

// Phase is how far a roll-out has come.
type Phase uint8

// Phases of a roll-out.
const (
	// Verifying means that a small share of the calls goes to the target version.
	Verifying Phase = iota + 1
	// Shifting means that the calls move to the target version.
	Shifting
	// Completed means that the store has the status that ends the earlier versions.
	Completed
	// RolledBack means that no call may go to the target version.
	RolledBack
)

// String returns the name of the phase, for logs and metrics.
func (p Phase) String() string {
	return [...]string{"none", "verifying", "shifting", "completed", "rolled_back"}[min(p, RolledBack)]
}

// State is the state of the roll-out of a service. Hosts send it to each other.
type State struct {
	_       struct{} `cbor:",toarray"`
	Service mesh.ServiceName
	// Order is the revision of the operator's order.
	Order    Revision
	Target   string
	Duration time.Duration
	// Started is when a host first read the order. In messages it is the time since then.
	Started boottime.Time
	Phase   Phase
	// Step counts the changes of the fields below.
	Step uint32
	// Share is the share of the calls that go to the target version first.
	Share float64
	// Trial are the only endpoints of the target version that get calls; empty means all.
	Trial []mesh.EndpointID
	// Old are the versions that the target version replaces.
	Old []string
	// Stored is set when the store has the final phase.
	Stored bool
	// SteppedAt is when this host learned of the step.
	SteppedAt boottime.Time `cbor:"-"`
}

// IsFinal reports whether the phase is one that no decision follows.
func (s *State) IsFinal() bool { return s.Phase == Completed || s.Phase == RolledBack }

// precedence orders states of the same order: a decision in the store precedes a withdrawal
// that is not there yet, which precedes everything else.
func (s *State) precedence() int {
	switch {
	case s.IsFinal() && s.Stored:
		return 3
	case s.Phase == RolledBack:
		return 2
	case s.Phase == Shifting:
		return 1
	}
	return 0
}

// Merge returns the state that follows from two that are known, whatever the order in which
// they became known: that of the later order, and of the same order the one that has come
// further. A decision in the store is not reversed, nor is a withdrawal, but by the store.
func Merge(a, b State) State {
	if a.Order != b.Order {
		if a.Order.Before(b.Order) {
			return b
		}
		return a
	}
	further, other := a, b
	if b.precedence() > a.precedence() || b.precedence() == a.precedence() && b.Step > a.Step {
		further, other = b, a
	}
	further.Started = min(a.Started, b.Started)
	if len(further.Old) == 0 {
		further.Old = other.Old
	}
	return further
}

// Message is what a host tells others about the roll-outs that it knows.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// ReadAge is the time since a read of all orders began that the states reflect, 0
	// when the sender knows of none.
	ReadAge time.Duration
	States  []State
	Role    Role
	// Report is set in the answer to a host that decides.
	Report *Report
}

// Role is what the sender of a message does.
type Role uint8

// Roles of hosts.
const (
	// Follows means that the host follows the decisions of another one.
	Follows Role = iota
	// DecidesAlone means that the host decides but cannot read the store.
	DecidesAlone
	// Decides means that the host decides and reads the store.
	Decides
)

// Report is what a host tells the one that decides.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Applied are the steps that the host follows.
	Applied []Applied
	// Endpoint is nil without an endpoint of a service that is rolled out.
	Endpoint *EndpointReport
}

// Applied is the step of a roll-out that a host follows.
type Applied struct {
	_       struct{} `cbor:",toarray"`
	Service mesh.ServiceName
	Order   Revision
	Phase   Phase
	Step    uint32
}

// EndpointReport holds the answers of an endpoint since the roll-out of its service began.
type EndpointReport struct {
	_           struct{} `cbor:",toarray"`
	ID          mesh.EndpointID
	StartedAtMs int64
	Service     mesh.ServiceName
	Software    string
	Order       Revision
	Classes     []ClassAnswers
}

// Export returns the state for a message.
func (s State) Export(now boottime.Time) State {
	s.Started = max(0, now-s.Started)
	return s
}

// maxStates bounds the states of a message, which hold one for each service.
const maxStates = 256

// Import returns the states of a message that a host can have, with times of this host.
func (m *Message) Import(now boottime.Time) []State {
	states := slices.Clone(m.States[:min(len(m.States), maxStates)])
	states = slices.DeleteFunc(states, func(s State) bool {
		return s.Service == "" || s.Target == "" || s.Phase < Verifying || s.Phase > RolledBack || !(s.Share >= 0 && s.Share <= 1) ||
			s.Started < 0 || s.Duration <= 0 || s.Phase == Completed && !s.Stored
	})
	for i := range states {
		states[i].Started, states[i].SteppedAt = now-states[i].Started, now
	}
	return states
}
