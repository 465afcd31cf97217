// Package settings reads the INI settings of a node and checks them as a whole:
// all problems are reported together, each with its section, key, line, value and
// what is expected.
package settings

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Settings are the checked settings of a node.
type Settings struct {
	Node       Node
	Listen     Listen
	Peers      Peers
	Store      Store
	Limits     Limits
	Log        Log
	Membership Membership
	Retry      Retry
	Selection  Selection
	Claims     Claims
}

// Node identifies the node.
type Node struct {
	Host          mesh.HostID
	FailureDomain mesh.FailureDomain
	// DrainLimit bounds a graceful shutdown. Zero means no limit.
	DrainLimit time.Duration
}

// Listen holds the node's addresses, each an IP address with a port.
type Listen struct {
	Peer      string
	Call      string
	Entry     string
	Operator  string
	Endpoints string
}

// Peers holds the seeds: the peer addresses that the node dials while it has no peer.
type Peers struct{ Seeds []string }

// Store holds how to reach the platform's service.
type Store struct {
	Adapter string
	Address string
	// Timeout bounds each call to the platform's service when idempotency keys are
	// claimed.
	Timeout time.Duration
}

// Limits bounds what callers may hold.
type Limits struct {
	// Connections is the number of connections of callers that may be open.
	Connections int
	// BodyBytes is the longest body of a request.
	BodyBytes int64
}

// Log holds the level and format of the log on standard error.
type Log struct {
	Level string
	JSON  bool
}

// Membership holds the timing of failure detection.
type Membership struct {
	PingInterval     time.Duration
	SuspicionTimeout time.Duration
	DigestInterval   time.Duration
}

// Retry holds the retry budget.
type Retry struct {
	// BudgetShare is the number of retries allowed per call, 0.001 to 1.
	BudgetShare float64
}

// Selection holds the limits of endpoint selection.
type Selection struct {
	// MaxEjectedShare is the largest share of a service's endpoints that outlier
	// ejection removes, 0.01 to 1.
	MaxEjectedShare float64
}

// Claims holds how long idempotency keys are kept and how often they are written.
type Claims struct {
	Retention     time.Duration
	BatchInterval time.Duration
}
