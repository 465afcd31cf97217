// Package peers tracks the other hosts of the mesh: their addresses, the links to
// them, their status reports, and which of their endpoints accept calls. Hosts read
// each other's addresses from the store once and exchange everything else over
// their links.
package peers

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/rollout"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Record is what is needed to reach a host. It is stored in the store.
type Record struct {
	Host          mesh.HostID        `cbor:"1,keyasint"`
	Address       string             `cbor:"2,keyasint"`
	FailureDomain mesh.FailureDomain `cbor:"3,keyasint"`
	// Incarnation is the time of day at which the process started, in
	// nanoseconds. A later record of a host replaces an earlier one.
	Incarnation int64 `cbor:"4,keyasint"`
	// LinkMbps is the bandwidth of the host's network link in Mbit/s. When one host
	// acts for all, it is the one with the highest bandwidth.
	LinkMbps float64 `cbor:"5,keyasint"`
}

// precedes reports whether the host has precedence over the other one when one host
// acts for all.
func (r Record) precedes(other Record) bool {
	if r.LinkMbps != other.LinkMbps {
		return r.LinkMbps > other.LinkMbps
	}
	return r.Host < other.Host
}

// EncodeRecord encodes a record for the store.
func EncodeRecord(r Record) ([]byte, error) { return cbor.Marshal(r) }

// DecodeRecord decodes a record from the store.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(value, &r)
	return r, err
}

// EndpointStatus is what a host reports about its endpoint.
type EndpointStatus struct {
	ID      mesh.EndpointID  `cbor:"1,keyasint"`
	Service mesh.ServiceName `cbor:"2,keyasint"`
	Slots   int              `cbor:"3,keyasint"`
	Running int              `cbor:"4,keyasint,omitempty"`
	Waiting int              `cbor:"5,keyasint,omitempty"`
	// MeanServiceTime is the mean service time, 0 when unknown.
	MeanServiceTime time.Duration `cbor:"6,keyasint,omitempty"`
	// FailurePercent is the recent percentage of failed responses.
	FailurePercent int  `cbor:"7,keyasint,omitempty"`
	Cold           bool `cbor:"8,keyasint,omitempty"`
	// CallsPerSecond is the rate of calls that the endpoint takes, 0 when it has named none.
	CallsPerSecond float64 `cbor:"9,keyasint,omitempty"`
	// StartedAtMs is the time of day at which the endpoint started. It orders the
	// incarnations of an endpoint.
	StartedAtMs int64 `cbor:"10,keyasint,omitempty"`
	// Classes holds the known mean service times of classes of calls.
	Classes []ClassStatus `cbor:"11,keyasint,omitempty"`
	// Software is the version of the endpoint, empty where no versions are rolled out.
	Software string `cbor:"12,keyasint,omitempty"`
}

// ClassStatus is the mean service time of the calls of one class at an endpoint.
type ClassStatus struct {
	_           struct{} `cbor:",toarray"`
	Kind        routeplan.Kind
	Rank        uint8
	Nested      bool
	ServiceTime time.Duration
}

// maxServiceTime bounds the service times that a peer may report.
const maxServiceTime = time.Hour

// ClassServiceTime returns the reported mean service time of the calls of a class, 0 when
// there is none.
func (e *EndpointStatus) ClassServiceTime(class slotqueue.Class) time.Duration {
	for _, c := range e.Classes {
		if c.Kind == class.Kind && c.Rank == class.Rank && c.Nested == class.Nested && c.ServiceTime > 0 && c.ServiceTime < maxServiceTime {
			return c.ServiceTime
		}
	}
	return 0
}

// Status is what a host reports to its peers.
type Status struct {
	// Record is set only in the first report on a link.
	Record      *Record `cbor:"1,keyasint,omitempty"`
	PlanVersion uint64  `cbor:"2,keyasint,omitempty"`
	// PlanRead is the stamp of the latest store read that is known to have returned
	// that version.
	PlanRead plansync.Stamp `cbor:"5,keyasint"`
	// Draining is set once the host has begun to drain.
	Draining bool `cbor:"3,keyasint,omitempty"`
	// Endpoint is nil while the host has no endpoint that accepts calls.
	Endpoint *EndpointStatus `cbor:"4,keyasint,omitempty"`
	// StoreEpoch is the latest known epoch of the store, in which PlanRead was made.
	// It is 0 when it is not known, and in reports of earlier versions of the program.
	StoreEpoch uint64 `cbor:"6,keyasint,omitempty"`
	// PlanReadAge is the time from the beginning of that read to SentAt.
	PlanReadAge time.Duration `cbor:"7,keyasint,omitempty"`
	// SentAt is the sender's boot time, from which the receiver estimates how long the
	// report was in transit. It is 0 in reports of earlier versions of the program.
	SentAt boottime.Time `cbor:"8,keyasint,omitempty"`
	// LimitedEndpoint is the endpoint of the receiver, if the sender knows that it has named
	// a rate of calls. It is set only in the first report on a link: the receiver may have
	// restarted.
	LimitedEndpoint *LimitedEndpoint `cbor:"9,keyasint,omitempty"`
	// Protocol is the version of the messages that the sender reads, stated in the first
	// report on a link.
	Protocol int `cbor:"10,keyasint,omitempty"`
	// Departed are the latest endpoints of the host that have left.
	Departed departures.List `cbor:"11,keyasint,omitempty"`
	// ReceiverDeparted are the latest endpoints of the receiver that have left, as the
	// sender knows it. It is set only in the first report on a link: the receiver may have
	// restarted.
	ReceiverDeparted departures.List `cbor:"12,keyasint,omitempty"`
	// ReceiverEndpoint is the endpoint that the receiver has reported last, if it has not left
	// as the sender knows it. It is set only in the first report on a link, as
	// ReceiverDeparted is.
	ReceiverEndpoint *departures.Incarnation `cbor:"14,keyasint,omitempty"`
	// Rollouts is what the sender knows of the versions of services. It is set only in the
	// first report on a link: a receiver that has restarted knows it before it knows the
	// endpoint of the sender.
	Rollouts *rollout.Message `cbor:"13,keyasint,omitempty"`
}

// protocolReceipts is the version from which hosts read status deltas, confirm the calls
// that they receive, and hold calls until they are released.
const protocolReceipts = 1

// protocolByteStrings is the version from which hosts read strings that are not UTF-8.
const protocolByteStrings = 2

// protocolWorkspaces is the version from which hosts know workspaces, quotas and roll-outs.
const protocolWorkspaces = 3

// currentProtocol is the version of this program.
const currentProtocol = protocolWorkspaces

// LimitedEndpoint is an endpoint that takes a limited rate of calls.
type LimitedEndpoint struct {
	_              struct{} `cbor:",toarray"`
	ID             mesh.EndpointID
	CallsPerSecond float64
}

// keyedPlan is a plan with workspaces. Peers that do not know it would ignore it.
type keyedPlan struct {
	_          struct{} `cbor:",toarray"`
	Plan       routeplan.Delta
	Workspaces *routeplan.WorkspaceDelta
}

var errKeyedPlan = errors.New("peers: plan without workspaces in a message for one with them")

// decodeKeyedPlan decodes a plan with workspaces.
func decodeKeyedPlan(m transport.Message) (routeplan.Delta, error) {
	var p keyedPlan
	if err := m.Decode(&p); err != nil {
		return routeplan.Delta{}, err
	}
	if p.Workspaces == nil {
		return routeplan.Delta{}, errKeyedPlan
	}
	p.Plan.Workspaces = p.Workspaces
	return p.Plan, nil
}

// planRequest requests the active plan as a delta to the version that the
// requesting host has.
type planRequest struct {
	_    struct{} `cbor:",toarray"`
	Have uint64
}
