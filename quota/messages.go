package quota

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Demand is the message of a host to another one as the possible owner of quotas.
type Demand struct {
	// Version is messageVersion.
	Version uint8 `cbor:"1,keyasint"`
	// View is set when the hosts that the sender reaches have changed.
	View *View `cbor:"3,keyasint,omitempty"`
	// WantsView asks the receiver for its view.
	WantsView bool  `cbor:"4,keyasint,omitempty"`
	Asks      []Ask `cbor:"5,keyasint,omitempty"`
}

// View states which of the hosts that the sender knows it does not reach.
type View struct {
	_ struct{} `cbor:",toarray"`
	// Number rises with each change, also over restarts of the sender.
	Number int64
	// Known is the number of hosts that the sender knows, itself included.
	Known int
	// Unreached holds the hashes of the hosts without a link.
	Unreached []uint64
}

// Ask asks for tokens of a workspace.
type Ask struct {
	_         struct{} `cbor:",toarray"`
	Workspace mesh.WorkspaceName
	// Number identifies the demand in the grant.
	Number uint32
	// Calls is the number of tokens that the sender can use.
	Calls uint32
	// Refunds are calls that no endpoint received, Rejected calls that the sender has
	// rejected since its last demand.
	Refunds, Rejected uint32
}

// Grant is the answer to a Demand with asks.
type Grant struct {
	Version uint8        `cbor:"1,keyasint"`
	Grants  []GrantEntry `cbor:"2,keyasint"`
}

// GrantEntry answers an Ask.
type GrantEntry struct {
	_         struct{} `cbor:",toarray"`
	Workspace mesh.WorkspaceName
	Number    uint32
	Calls     uint32
	// RetryMs is the time after which there is room for calls that are rejected now.
	RetryMs uint32
}

// messageVersion is the version of the messages of this package. Others are rejected.
const messageVersion = 1

const (
	// maxEntries bounds the entries of a message, far above the workspaces for which one
	// host asks another at a time.
	maxEntries = 4096
	// maxHosts bounds the hosts that a view may name, far above the largest mesh.
	maxHosts = 1 << 16
	// maxCalls bounds the calls that an entry may name, far above the calls of a host
	// within the life of a token.
	maxCalls = 1 << 20
)

// ErrMessage means that a message is malformed.
var ErrMessage = errors.New("quota: malformed message")

// Validate reports an error for a message that no host sends.
func (d *Demand) Validate() error {
	switch {
	case d.Version != messageVersion:
		return errors.Wrapf(ErrMessage, "version %d", d.Version)
	case len(d.Asks) > maxEntries:
		return errors.Wrapf(ErrMessage, "%d asks", len(d.Asks))
	case d.View != nil && (d.View.Known < 1 || d.View.Known > maxHosts || len(d.View.Unreached) >= d.View.Known):
		return errors.Wrapf(ErrMessage, "%d unreached of %d hosts", len(d.View.Unreached), d.View.Known)
	}
	for _, a := range d.Asks {
		if a.Workspace == "" || max(a.Calls, a.Refunds, a.Rejected) > maxCalls {
			return errors.Wrapf(ErrMessage, "%d calls, %d refunds, %d rejected", a.Calls, a.Refunds, a.Rejected)
		}
	}
	return nil
}

// Validate reports an error for a message that no host sends.
func (g *Grant) Validate() error {
	if g.Version != messageVersion || len(g.Grants) > maxEntries {
		return errors.Wrapf(ErrMessage, "version %d, %d grants", g.Version, len(g.Grants))
	}
	for _, e := range g.Grants {
		if e.Calls > maxCalls {
			return errors.Wrapf(ErrMessage, "%d calls", e.Calls)
		}
	}
	return nil
}

// Output is what a State wants done.
type Output struct {
	Messages  []Message
	Decisions []Decision
}

// Message is a message to another host; one of Demand and Grant is set.
type Message struct {
	To     mesh.HostID
	Demand *Demand
	Grant  *Grant
}

// Decision is the decision about a call.
type Decision struct {
	Call     uint64
	Admitted bool
	// RetryAfter is the time after which there is room for a rejected call.
	RetryAfter boottime.Time
}

// toCalls rounds tokens down to whole calls.
func toCalls(tokens float64) uint32 { return uint32(lo.Clamp(math.Floor(tokens), 0, maxCalls)) }
