package gate

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Policy selects the order in which a gate serves waiting calls.
type Policy uint8

// The policies. PolicyRanked is the default. PolicyFIFO serves calls in the order
// of arrival, with the same queue bound but without ranks, reserved shares or
// deadlines; it is the baseline of experiments.
const (
	PolicyRanked Policy = iota
	PolicyFIFO
)

// Mechanisms is a set of parts of PolicyRanked that experiments can disable.
type Mechanisms uint8

// The mechanisms. The reserved shares are disabled by the service's limits instead.
const (
	// CustomerFairness serves the customers of a rank by deficit round robin.
	CustomerFairness Mechanisms = 1 << iota
	// NestedFirst serves nested calls before roots.
	NestedFirst
	// DeadlineRejection rejects calls that cannot meet their deadline.
	DeadlineRejection
	// UrgentHeadroom keeps slots free for urgent calls beside slower calls.
	UrgentHeadroom
)

// Call describes a call that needs a slot.
type Call struct {
	ID, Root mesh.CallID
	Customer mesh.CustomerID
	// Rank is the priority of the call; an unknown rank counts as the least urgent.
	Rank mesh.Rank
	// Depth is 0 for a root call and grows by one with each nested call.
	Depth int
	// Long marks a call that may hold a slot for minutes.
	Long bool
	// Deadline is the time by which the call must have ended; zero means none.
	Deadline time.Time
}

// DefaultTargetDelay is the default of Config.TargetDelay.
const DefaultTargetDelay = 20 * time.Millisecond

// Config configures a gate.
type Config struct {
	Endpoint mesh.EndpointID
	Service  lists.Service
	// Slots is the number of calls that the endpoint executes at the same time.
	Slots int
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Meter receives the gate's metrics; nil means none.
	Meter  metric.Meter
	Policy Policy
	// Disabled is the set of mechanisms that the gate does not use.
	Disabled Mechanisms
	// TargetDelay is the queueing delay that counts as pressure 1 when the mean
	// service time is shorter; otherwise the mean service time takes its place.
	// Zero means DefaultTargetDelay.
	TargetDelay time.Duration
	// Logger receives the gate's events; nil discards them.
	Logger hclog.Logger
}
