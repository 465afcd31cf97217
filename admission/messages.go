package admission

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Demand asks a quota coordinator for shares of customers' limits.
type Demand struct {
	// Number identifies the message among those of its sender.
	Number  uint32        `cbor:"1,keyasint"`
	Entries []DemandEntry `cbor:"2,keyasint"`
}

// DemandEntry is the demand for one customer. Rates are in hundredths of a root
// per second.
type DemandEntry struct {
	_           struct{} `cbor:",toarray"`
	Customer    mesh.CustomerID
	Rate        uint32
	Concurrency uint32
	// Held is the serial of the valid grant of the sender, zero for none.
	Held uint32
}

// Grant carries shares of customers' limits to one host.
type Grant struct {
	// Number is the number of the demand that the grant responds to. The shares are
	// valid for GrantValidity from when the receiver sent that demand, so that they
	// expire at the receiver before they do at the coordinator.
	Number  uint32       `cbor:"1,keyasint"`
	Entries []GrantEntry `cbor:"2,keyasint"`
	// Change marks shares that replace those first granted for the demand. The
	// receiver confirms them with its next demand.
	Change bool `cbor:"3,keyasint,omitempty"`
}

// GrantEntry is the share of one customer's limits.
type GrantEntry struct {
	_           struct{} `cbor:",toarray"`
	Customer    mesh.CustomerID
	Rate        uint32
	Concurrency uint32
	Serial      uint32
}

const (
	// GrantValidity is the time for which a grant is valid.
	GrantValidity = 12 * time.Second
	// ImplicitGrantValidity is the time for which a coordinator counts the demand
	// of a host that needs no grant because the equal share covers it.
	ImplicitGrantValidity = 60 * time.Second
	// DemandInterval is the time between two calls of Controller.Tick.
	DemandInterval = time.Second
	// renewGranted and renewImplicit are the ages at which a node sends a demand
	// again, with and without the need for a grant.
	renewGranted  = GrantValidity / 2
	renewImplicit = ImplicitGrantValidity / 2
	// viewConvergence is the time in which a change of the member table reaches the
	// hosts of a failure domain. A previous coordinator may grant until then.
	viewConvergence = 2 * time.Second
)

// Sizes of messages in bytes. An entry is a CBOR array of four elements: the
// customer's name with at most 2 bytes of length up to 255 bytes, and three
// integers of at most 5 bytes. messageBytes is the map with number, the kind and
// the headers of CBOR frame, WebSocket and TCP.
const (
	entryBytes   = 1 + 2 + 3*5
	messageBytes = 70
)

// entrySize returns the largest encoded size of an entry for the customer, in
// bytes.
func entrySize(customer mesh.CustomerID) int { return entryBytes + len(customer) }

// ErrBadMessage reports a quota message that cannot be decoded.
var ErrBadMessage = errors.New("admission: malformed quota message")

// maxEntries is the largest number of entries in a message that a node decodes.
const maxEntries = 4096

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxEntries, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func decode[T any](body []byte) (T, error) {
	var v T
	if err := decoder.Unmarshal(body, &v); err != nil {
		return v, errors.Mark(errors.Wrap(err, "admission: decode"), ErrBadMessage)
	}
	return v, nil
}

// rateUnits is the number of units of DemandEntry.Rate in one root per second.
const rateUnits = 100

func rateToWire(r float64) uint32 {
	return uint32(min(max(r, 0)*rateUnits, math.MaxUint32))
}

func rateFromWire(u uint32) float64 { return float64(u) / rateUnits }

// byteBudget is a token bucket that limits the bytes of messages sent.
type byteBudget struct {
	bytesPerSecond, available float64
	refilled                  time.Time
}

// budgetBurstSeconds is the capacity of the bucket, in seconds of its rate.
const budgetBurstSeconds = 2

func newByteBudget(perSecond int, now time.Time) byteBudget {
	return byteBudget{bytesPerSecond: float64(perSecond), available: float64(perSecond) * budgetBurstSeconds, refilled: now}
}

func (b *byteBudget) refill(now time.Time) {
	b.available = min(b.available+b.bytesPerSecond*now.Sub(b.refilled).Seconds(), b.bytesPerSecond*budgetBurstSeconds)
	b.refilled = now
}

// has reports whether that many bytes may be sent.
func (b *byteBudget) has(bytes int) bool { return b.available >= float64(bytes) }

// withdraw takes bytes from the bucket and reports whether there were enough.
func (b *byteBudget) withdraw(bytes int) bool {
	if !b.has(bytes) {
		return false
	}
	b.available -= float64(bytes)
	return true
}
