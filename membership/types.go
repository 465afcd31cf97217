// Package membership holds the table of hosts and their endpoints: record types,
// the rules that order conflicting records, and failure suspicion. It does no I/O
// and gets the current time from its callers.
package membership

import (
	"geraniumnotch.example/geraniumnotch/mesh"
)

// State is the state of a host.
type State uint8

// The states of a host. StateLeft and StateDead records are kept for a time so
// that stale records cannot make a host alive again.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDraining
	StateDead
	StateLeft
)

// EndpointState is the state of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointSlowStart EndpointState = iota + 1
	EndpointReady
	EndpointDraining
)

// Endpoint describes an endpoint in the record of its host.
type Endpoint struct {
	ID      mesh.EndpointID  `cbor:"1,keyasint" json:"id"`
	Service mesh.ServiceName `cbor:"2,keyasint" json:"service"`
	// Slots is the number of calls that the endpoint executes concurrently.
	Slots uint16 `cbor:"3,keyasint" json:"slots"`
	// Connections is the number of connections that the endpoint accepts.
	Connections uint16        `cbor:"4,keyasint" json:"connections"`
	State       EndpointState `cbor:"5,keyasint" json:"state"`
	// ColdStartMs is the slow start of a new endpoint: the time in milliseconds
	// until it reaches its full speed.
	ColdStartMs uint32 `cbor:"6,keyasint,omitempty" json:"coldStartMs,omitempty"`
}

// Record describes a host. Only the host itself changes Revision, addresses and
// endpoints; other hosts may only mark an incarnation as suspect or dead.
type Record struct {
	Host   mesh.HostID        `cbor:"1,keyasint" json:"host"`
	Domain mesh.FailureDomain `cbor:"2,keyasint" json:"domain"`
	// PeerAddress is the IP address and port for links between nodes.
	PeerAddress string `cbor:"3,keyasint" json:"peerAddress"`
	// CallAddress is the IP address and port of the host's gate.
	CallAddress string     `cbor:"4,keyasint" json:"callAddress"`
	Incarnation uint64     `cbor:"5,keyasint" json:"incarnation"`
	Revision    uint32     `cbor:"6,keyasint" json:"revision"`
	State       State      `cbor:"7,keyasint" json:"state"`
	Endpoints   []Endpoint `cbor:"8,keyasint,omitempty" json:"endpoints,omitempty"`
}

// View is an immutable snapshot of the member table.
type View struct {
	// Hosts holds every known record, including those of dead and left hosts.
	Hosts map[mesh.HostID]*Record
	// Generation grows with every change of the table on this node.
	Generation uint64
}
