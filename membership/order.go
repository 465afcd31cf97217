package membership

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Limits of a record that comes from a peer.
const (
	MaxEndpoints = 256
	// MaxIncarnation leaves room for increments, so that a corrupt record cannot
	// make a host run out of incarnations.
	MaxIncarnation = 1 << 62
	maxNameBytes   = 256
)

// ErrInvalidRecord marks errors of records that exceed the limits of this package.
var ErrInvalidRecord = errors.New("membership: invalid record")

// String returns the name of the state as used in status responses.
func (s State) String() string {
	return lo.ValueOr(map[State]string{
		StateAlive: "alive", StateSuspect: "suspect", StateDraining: "draining",
		StateDead: "dead", StateLeft: "left",
	}, s, "unknown")
}

// DeadOrLeft reports whether the host is dead or has left, which is final for its
// incarnation.
func (s State) DeadOrLeft() bool { return s == StateDead || s == StateLeft }

// HasLeft reports whether the host itself announced that it left.
func (r *Record) HasLeft() bool { return r.State == StateLeft }

// Validate checks the limits of a record.
func (r *Record) Validate() error {
	switch {
	case r.Host == "" || len(r.Host) > maxNameBytes:
		return errors.Wrapf(ErrInvalidRecord, "host ID of %d bytes", len(r.Host))
	case r.Domain == "" || len(r.Domain) > maxNameBytes:
		return errors.Wrapf(ErrInvalidRecord, "host %s: failure domain of %d bytes", r.Host, len(r.Domain))
	case r.State < StateAlive || r.State > StateLeft:
		return errors.Wrapf(ErrInvalidRecord, "host %s: unknown state %d", r.Host, r.State)
	case r.Incarnation > MaxIncarnation:
		return errors.Wrapf(ErrInvalidRecord, "host %s: incarnation %d exceeds the limit", r.Host, r.Incarnation)
	case len(r.Endpoints) > MaxEndpoints:
		return errors.Wrapf(ErrInvalidRecord, "host %s: too many endpoints (%d)", r.Host, len(r.Endpoints))
	}
	if _, err := netip.ParseAddrPort(r.PeerAddress); err != nil {
		return errors.Wrapf(ErrInvalidRecord, "host %s: invalid peer address %q", r.Host, r.PeerAddress)
	}
	return nil
}

// statePrecedence orders the states that override the host's own state within an
// incarnation. It is zero for the states that a host sets itself while it runs.
func statePrecedence(s State) int {
	switch s {
	case StateSuspect:
		return 1
	case StateDead:
		return 2
	case StateLeft:
		return 3
	default:
		return 0
	}
}

// Join returns the newer combination of two records of the same host. A higher
// incarnation replaces a lower one. Within an incarnation the higher revision
// gives the content, and the higher of the overriding states (suspect, dead, left)
// gives the state. Join is commutative, associative and idempotent, so that hosts
// agree regardless of the order in which records arrive.
func Join(a, b Record) Record {
	if a.Incarnation != b.Incarnation {
		return lo.Ternary(a.Incarnation > b.Incarnation, a, b)
	}
	result, other := a, b
	if b.Revision > a.Revision {
		result, other = b, a
	}
	if statePrecedence(other.State) > statePrecedence(result.State) {
		result.State = other.State
	}
	return result
}

var canonicalEncoding = lo.Must(cbor.CanonicalEncOptions().EncMode())

// hashRecord returns the hash of a record that the digests are made of.
func hashRecord(r *Record) uint64 {
	encoded, err := canonicalEncoding.Marshal(r)
	if err != nil {
		// Records hold only strings and integers, which always encode.
		panic(errors.Wrap(err, "membership: encode record"))
	}
	return xxhash.Sum64(encoded)
}

// HostHash returns the hash that identifies a host in messages that compare tables.
func HostHash(h mesh.HostID) uint64 { return xxhash.Sum64String(string(h)) }

// RendezvousWeight mixes the hash of a host with an item, using the finalizer of
// SplitMix64: the host with the highest weight owns the item. That is cheaper than
// hashing both: 64 items and a view of 750 hosts need 48,000 weights.
func RendezvousWeight(item, hash uint64) uint64 {
	const increment, factor1, factor2 = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x := hash + increment*(item+1)
	x = (x ^ x>>30) * factor1
	x = (x ^ x>>27) * factor2
	return x ^ x>>31
}

func equal(a, b *Record) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation && a.Revision == b.Revision &&
		a.State == b.State && a.Domain == b.Domain &&
		a.PeerAddress == b.PeerAddress && a.CallAddress == b.CallAddress &&
		slices.Equal(a.Endpoints, b.Endpoints)
}
