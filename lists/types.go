// Package lists holds the operators' two lists as values: their text format,
// validation, edits and the compiled form that routing uses. It does no I/O.
package lists

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// ListName names one of the two lists.
type ListName string

// The two lists.
const (
	ListPlans      ListName = "plans"
	ListAllowances ListName = "allowances"
)

// EntryKind is the kind of an entry, the first word of its section.
type EntryKind string

// The kinds of entries. KindCustomer belongs to the plans list, the others to
// the allowances list.
const (
	KindCustomer EntryKind = "customer"
	KindPlan     EntryKind = "plan"
	KindService  EntryKind = "service"
	KindRoute    EntryKind = "route"
)

// EntryKey identifies an entry of a list.
type EntryKey struct {
	List ListName  `cbor:"1,keyasint" json:"list"`
	Kind EntryKind `cbor:"2,keyasint" json:"kind"`
	Name string    `cbor:"3,keyasint" json:"name"`
}

// Fields are the keys and values of an entry as they stand in the text format.
type Fields map[string]string

// Lists is the content of one version: both lists together. A Lists value that
// has been published is immutable.
type Lists map[EntryKey]Fields

// Edit changes one entry. A nil Before creates the entry, a nil After deletes
// it. The encodings distinguish nil from an entry without fields.
type Edit struct {
	Key    EntryKey `cbor:"1,keyasint" json:"key"`
	Before Fields   `cbor:"2,keyasint,omitzero" json:"before,omitzero"`
	After  Fields   `cbor:"3,keyasint,omitzero" json:"after,omitzero"`
}

// Customer is a compiled customer entry.
type Customer struct {
	ID   mesh.CustomerID
	Plan *Plan
	// TokenSHA256 is the hash of the bearer token that identifies the caller.
	TokenSHA256 [32]byte
}

// Plan is a compiled plan entry. Its limits apply to each customer in each
// failure domain.
type Plan struct {
	Name mesh.PlanName
	// RatePerSecond is the number of root requests per second.
	RatePerSecond float64
	// Burst is the number of root requests that may arrive at the same moment.
	Burst int
	// Concurrency is the number of root requests that may be in flight.
	Concurrency int
	// Routes are the plan's routes, longest path prefix first.
	Routes []*Route
}

// Service is a compiled service entry.
type Service struct {
	Name mesh.ServiceName
	// OtherShare is the share of slots kept for ranks below urgent, 0 to 0.9.
	OtherShare float64
	// LongShare is the largest share of slots that long calls hold, 0.05 to 0.9.
	LongShare float64
	// MaxQueue is the number of calls that may wait for one endpoint.
	MaxQueue int
}

// Route is a compiled route entry.
type Route struct {
	Name       mesh.RouteName
	Service    *Service
	PathPrefix string
	Rank       mesh.Rank
	// Deadline is the longest time that a call may take, measured from its
	// arrival.
	Deadline time.Duration
	// Repeatable calls may be executed more than once.
	Repeatable bool
	// Keyed calls need an idempotency key and are executed at most once.
	Keyed bool
	// Long calls may hold a slot for minutes.
	Long bool
}

// Config is the compiled form of a version. It is immutable.
type Config struct {
	Customers map[mesh.CustomerID]*Customer
	// ByToken finds a customer by the SHA-256 of the bearer token.
	ByToken  map[[32]byte]*Customer
	Plans    map[mesh.PlanName]*Plan
	Services map[mesh.ServiceName]*Service
	Routes   map[mesh.RouteName]*Route
}
