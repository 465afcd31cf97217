// Package peers knows the other hosts of the mesh: their addresses, the links to
// them, what they report, and which of their endpoints can take calls. Hosts
// find each other in the store once and tell each other everything else.
package peers

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/plansync"
)

// Record is what has to be known of a host to reach it. It is what the store
// keeps.
type Record struct {
	Host          mesh.HostID        `cbor:"1,keyasint"`
	Address       string             `cbor:"2,keyasint"`
	FailureDomain mesh.FailureDomain `cbor:"3,keyasint"`
	// Incarnation is the time of day at which the process started, in
	// nanoseconds. A later record of a host replaces an earlier one.
	Incarnation int64 `cbor:"4,keyasint"`
	// LinkMbps is the bandwidth of the host's link. Hosts with the widest links
	// come first where one host acts for all.
	LinkMbps float64 `cbor:"5,keyasint"`
}

// before reports whether a host comes before another one where one acts for all.
func (r Record) before(o Record) bool {
	if r.LinkMbps != o.LinkMbps {
		return r.LinkMbps > o.LinkMbps
	}
	return r.Host < o.Host
}

// EncodeRecord returns the store's form of a record.
func EncodeRecord(r Record) ([]byte, error) { return cbor.Marshal(r) }

// DecodeRecord reads a record of the store.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(value, &r)
	return r, err
}

// EndpointStatus is what a host reports of its endpoint.
type EndpointStatus struct {
	ID      mesh.EndpointID  `cbor:"1,keyasint"`
	Service mesh.ServiceName `cbor:"2,keyasint"`
	Slots   int              `cbor:"3,keyasint"`
	Running int              `cbor:"4,keyasint,omitempty"`
	Waiting int              `cbor:"5,keyasint,omitempty"`
	// MeanRun is the mean run time of calls, 0 when unknown.
	MeanRun time.Duration `cbor:"6,keyasint,omitempty"`
	// FailPercent is the recent share of failed answers.
	FailPercent int  `cbor:"7,keyasint,omitempty"`
	Cold        bool `cbor:"8,keyasint,omitempty"`
}

// Status is what a host reports to its peers.
type Status struct {
	// Record is left out of all reports on a link but the first.
	Record      *Record `cbor:"1,keyasint,omitempty"`
	PlanVersion uint64  `cbor:"2,keyasint,omitempty"`
	// PlanRead is the latest read known to have shown that version.
	PlanRead plansync.Stamp `cbor:"5,keyasint"`
	// Leaving is set once the host's process has begun to stop.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Endpoint is nil while the host has none that takes calls.
	Endpoint *EndpointStatus `cbor:"4,keyasint,omitempty"`
}

// planRequest asks for the plan in force, as a difference to the version that
// the asking host has.
type planRequest struct {
	_    struct{} `cbor:",toarray"`
	Have uint64
}
