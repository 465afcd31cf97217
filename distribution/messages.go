package distribution

import (
	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// hello is the first message on a link in each direction.
type hello struct {
	Host        mesh.HostID        `cbor:"1,keyasint"`
	Domain      mesh.FailureDomain `cbor:"2,keyasint"`
	Incarnation uint64             `cbor:"3,keyasint"`
	Version     mesh.VersionID     `cbor:"4,keyasint"`
	TableDigest uint64             `cbor:"5,keyasint"`
	// OnDemand marks a link that carries only direct messages of other packages;
	// versions and member records are not gossiped over it.
	OnDemand bool `cbor:"6,keyasint,omitempty"`
	// Unready marks a node that still compares its own version, so that it cannot
	// confirm the versions of others.
	Unready bool `cbor:"7,keyasint,omitempty"`
}

// announce tells a peer that the sender holds a version.
type announce struct {
	Version mesh.VersionID `cbor:"1,keyasint"`
}

// pull asks for a version.
type pull struct {
	Held   mesh.VersionID `cbor:"1,keyasint"`
	Wanted mesh.VersionID `cbor:"2,keyasint"`
	// Whole asks for the whole body, because edits did not lead to the wanted
	// digest.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// versionStatus states what a version message contains.
type versionStatus uint8

const (
	versionWhole versionStatus = iota
	versionEdits
	// versionBusy asks the puller to try another peer or to retry later.
	versionBusy
	// versionUnknown means that the responder does not hold the version.
	versionUnknown
)

// version is the response to a pull. With versionEdits the receiver applies the edits
// of each of Steps in turn, and then Change.Edits if ThenChange is set, to the
// version Base.
type version struct {
	Status     versionStatus  `cbor:"1,keyasint,omitempty"`
	ID         mesh.VersionID `cbor:"2,keyasint"`
	Change     lists.Change   `cbor:"3,keyasint"`
	Base       mesh.VersionID `cbor:"4,keyasint"`
	Steps      [][]lists.Edit `cbor:"5,keyasint,omitempty"`
	ThenChange bool           `cbor:"7,keyasint,omitempty"`
	// Body is the DEFLATE-compressed encoding of the lists.
	Body []byte `cbor:"6,keyasint,omitempty"`
}

// memberRecord is a host record in a message.
type memberRecord = membership.Record

// members carries host records. Want names hosts, by hash, whose records the
// sender lacks.
type members struct {
	Records []memberRecord `cbor:"1,keyasint,omitempty"`
	Want    []uint64       `cbor:"2,keyasint,omitempty"`
}

// memberDigest carries the digest of each failure domain.
type memberDigest struct {
	Digests map[mesh.FailureDomain]uint64 `cbor:"1,keyasint"`
}

// memberRequest carries the pairs of host hash and record hash of a domain, or
// of all domains when Domain is empty.
type memberRequest struct {
	Domain  mesh.FailureDomain `cbor:"1,keyasint,omitempty"`
	Summary []byte             `cbor:"2,keyasint"`
}

// ping checks a link. It carries the accepted sequence, so that a lost
// announcement is repaired within one ping interval.
type ping struct {
	Number  uint32        `cbor:"1,keyasint"`
	Version mesh.Sequence `cbor:"2,keyasint"`
	Unready bool          `cbor:"3,keyasint,omitempty"`
}

// applied reports the accepted versions of a host and the hosts below it in the
// tree of its failure domain.
type applied struct {
	Domain mesh.FailureDomain `cbor:"1,keyasint"`
	// Sequence is the accepted version of the reporting host.
	Sequence mesh.Sequence `cbor:"2,keyasint"`
	Hosts    int           `cbor:"3,keyasint"`
	// Current is the number of hosts at Sequence, Lowest the lowest sequence.
	Current int           `cbor:"4,keyasint"`
	Lowest  mesh.Sequence `cbor:"5,keyasint"`
	// Lagging lists at most maxLaggingHosts hosts below Sequence.
	Lagging []authority.LaggingHost `cbor:"6,keyasint,omitempty"`
}
