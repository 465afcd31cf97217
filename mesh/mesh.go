// Package mesh defines the types and constants that all packages share:
// identifiers, ranks, versions, outcomes, reasons and header names. It has no
// state.
package mesh

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// HostID names a host and the node that runs on it.
type HostID string

// FailureDomain names a set of hosts that can fail or become unreachable together.
type FailureDomain string

// CustomerID names a customer in the plans list.
type CustomerID string

// PlanName names a plan in the allowances list.
type PlanName string

// ServiceName names a service that endpoints offer.
type ServiceName string

// WorkspaceName names a workspace: those who share API keys, a rank and a quota.
type WorkspaceName string

// RouteName names a route in the allowances list, in the form PLAN/NAME.
type RouteName string

// EndpointID names one endpoint. It is unique within its host.
type EndpointID string

// CallID identifies one call between two nodes.
type CallID string

// ChangeID identifies one proposed change of the lists. Proposing a change
// again with the same ID is idempotent.
type ChangeID string

// Sequence numbers accepted versions of the lists. Zero means no version.
type Sequence uint64

// Digest is the SHA-256 of the canonical encoding of a version's lists.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an encoded body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:6]) }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// VersionID identifies an accepted version.
type VersionID struct {
	Sequence Sequence `cbor:"1,keyasint" json:"sequence"`
	Digest   Digest   `cbor:"2,keyasint" json:"digest"`
}

// Rank is the priority of a call. A lower value is more urgent.
type Rank uint8

// The ranks, most urgent first, and their number.
const (
	RankUrgent Rank = iota
	RankStandard
	RankBulk
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "standard", "bulk"}

// String returns the name of the rank as the lists spell it.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank returns the rank with the given name.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q, want urgent, standard or bulk", name)
}

// Outcome states what is known about the execution of a call.
type Outcome string

// The outcomes. OutcomeNotExecuted is definite: no endpoint executed the
// call.
const (
	OutcomeExecuted    Outcome = "executed"
	OutcomeNotExecuted Outcome = "not_executed"
	OutcomeUnknown     Outcome = "unknown"
)

// Reason states why a node rejected a call or why the call failed.
type Reason string

// The reasons that nodes give.
const (
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonNoRoute          Reason = "no_route"
	ReasonNoEndpoint       Reason = "no_endpoint"
	ReasonRateLimit        Reason = "rate_limit"
	ReasonConcurrencyLimit Reason = "concurrency_limit"
	ReasonOverload         Reason = "overload"
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonDraining         Reason = "draining"
	ReasonTooDeep          Reason = "too_deep"
	ReasonKeyRequired      Reason = "key_required"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonKeyConflict      Reason = "key_conflict"
	ReasonInProgress       Reason = "in_progress"
	ReasonAlreadyExecuted  Reason = "already_executed"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonConnectFailed    Reason = "connect"
	ReasonBrokenConnection Reason = "broken_connection"
	ReasonCrossedResponse  Reason = "crossed_answer"
	ReasonEndpointShed     Reason = "endpoint_shed"
	// ReasonNestedRejected is given when an endpoint shed a call because one of its
	// nested calls was rejected. It is final, so that retries do not multiply with
	// the depth.
	ReasonNestedRejected Reason = "nested_refused"
	// ReasonNoResponse is given for a repeatable call whose endpoint returned no
	// response for far longer than usual.
	ReasonNoResponse Reason = "no_answer"
	// ReasonMalformed is given for a request that is not valid as a call.
	ReasonMalformed Reason = "malformed"
)

// MaxDepth is the maximum nesting depth of calls below a root call.
const MaxDepth = 7

// Header names of a call. Durations in headers are in milliseconds.
const (
	HeaderCall           = "Geraniumnotch-Call"
	HeaderRoot           = "Geraniumnotch-Root"
	HeaderParent         = "Geraniumnotch-Parent"
	HeaderRank           = "Geraniumnotch-Rank"
	HeaderDeadlineMs     = "Geraniumnotch-Deadline-Ms"
	HeaderDepth          = "Geraniumnotch-Depth"
	HeaderCustomer       = "Geraniumnotch-Customer"
	HeaderService        = "Geraniumnotch-Service"
	HeaderEndpoint       = "Geraniumnotch-Endpoint"
	HeaderSequence       = "Geraniumnotch-Sequence"
	HeaderOutcome        = "Geraniumnotch-Outcome"
	HeaderReason         = "Geraniumnotch-Reason"
	HeaderLoad           = "Geraniumnotch-Load"
	HeaderNestedPressure = "Geraniumnotch-Pressure"
	HeaderLong           = "Geraniumnotch-Long"
	// HeaderQueueingDelayUs is the queueing delay of a call in microseconds.
	HeaderQueueingDelayUs = "Geraniumnotch-Wait-Us"
	// HeaderResponseTimeoutMs is how long a gate waits for the first byte of a response
	// once the call has a slot. It is set for repeatable calls only.
	HeaderResponseTimeoutMs = "Geraniumnotch-Patience-Ms"
	// HeaderEndpointLoad is the load that the endpoint itself announced; 1 means full.
	HeaderEndpointLoad   = "Geraniumnotch-Own-Load"
	HeaderIssuedAt       = "Geraniumnotch-Issued-At"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a replay: the stored response of an earlier call with the
	// same key.
	HeaderReplayed = "Geraniumnotch-Replayed"
)

// HeaderPrefix is the prefix of the headers that nodes add. Callers and endpoints
// cannot set such headers, except where the design allows it.
const HeaderPrefix = "Geraniumnotch-"
