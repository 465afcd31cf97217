// Package authority keeps the versions of the lists in the platform's store.
// It accepts changes by compare-and-swap on one key, keeps the audit trail and
// the version history within stated bounds, and holds no durable state itself.
// Any number of authorities may work on one store at the same time.
package authority

import (
	"time"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Bounds of what the store keeps.
const (
	// MaxRecentChanges is the number of latest changes that the head lists and
	// whose bodies are retained. An older version is rebuilt from the audit
	// records.
	MaxRecentChanges = 64
	// MaxAuditRecords is the number of latest accepted changes whose audit records
	// are kept, about one and a half days at 1,300 changes per day. A change ID
	// that is used again is recognised within the same period.
	MaxAuditRecords = 2048
	// MaxRefusals is the number of latest rejected changes whose records are kept.
	MaxRefusals = 64
	// MaxRecordBytes limits the edits that one audit record contains, so that
	// the record stays below the store's limit of 1 MB.
	MaxRecordBytes = 512 << 10
	// ChunkBytes is the size of all chunks of a body but the last. It is part of
	// the storage format and must not change.
	ChunkBytes = 1_000_000
)

// Head names the accepted version. The zero Head means that there is none.
type Head struct {
	Version mesh.VersionID `cbor:"1,keyasint" json:"version"`
	// Bytes is the size of the body, Chunks the number of keys that hold it.
	Bytes  int           `cbor:"2,keyasint" json:"bytes"`
	Chunks int           `cbor:"3,keyasint" json:"chunks"`
	Change mesh.ChangeID `cbor:"4,keyasint" json:"change"`
	Author string        `cbor:"5,keyasint" json:"author"`
	Time   time.Time     `cbor:"6,keyasint" json:"time"`
	// Recent holds the last accepted changes, this one included, oldest first.
	Recent []RecentChange `cbor:"7,keyasint" json:"recent"`
}

// RecentChange is one of the last accepted changes.
type RecentChange struct {
	Change  mesh.ChangeID  `cbor:"1,keyasint" json:"change"`
	Version mesh.VersionID `cbor:"2,keyasint" json:"version"`
	Chunks  int            `cbor:"3,keyasint" json:"chunks"`
	// Proposal is the digest of the proposal's content. Zero means unknown, which
	// is possible for a restored version.
	Proposal mesh.Digest `cbor:"4,keyasint" json:"proposal"`
}

// Proposal is a change that an operator proposes.
type Proposal struct {
	// ChangeID has 1 to 64 letters, digits, dots, underscores or hyphens.
	ChangeID mesh.ChangeID
	Author   string
	Comment  string
	Edits    []lists.Edit
}

// RollbackRequest asks for a new version with the lists of an older one.
type RollbackRequest struct {
	ChangeID mesh.ChangeID
	Author   string
	Comment  string
	// To is the sequence of the version whose lists the new version has.
	To mesh.Sequence
}

// Accepted describes an accepted change.
type Accepted struct {
	Version mesh.VersionID `json:"version"`
	Change  mesh.ChangeID  `json:"change"`
	// Repeated is set when an earlier call with the same change ID was accepted
	// and this call changed nothing.
	Repeated bool `json:"repeated"`
	// Attempts is the number of attempts that this call made.
	Attempts int `json:"attempts"`
}

// RecordKind is the operation that made a version.
type RecordKind string

// The kinds of audit records.
const (
	KindChange   RecordKind = "change"
	KindRollback RecordKind = "rollback"
	KindRestore  RecordKind = "restore"
)

// Record is the audit record of an accepted change.
type Record struct {
	Kind   RecordKind   `cbor:"1,keyasint" json:"kind"`
	Change lists.Change `cbor:"2,keyasint" json:"change"`
	// OmittedEdits is the number of edits beyond MaxRecordBytes.
	OmittedEdits int `cbor:"3,keyasint,omitempty" json:"omittedEdits,omitempty"`
	// Version is the result, Previous the version that it was made from.
	// PreviousChange links the records into a chain: it names the accepted one
	// among the changes with a record for the previous sequence.
	Version        mesh.VersionID `cbor:"4,keyasint" json:"version"`
	Previous       mesh.VersionID `cbor:"5,keyasint" json:"previous"`
	PreviousChange mesh.ChangeID  `cbor:"6,keyasint,omitempty" json:"previousChange,omitempty"`
	Proposal       mesh.Digest    `cbor:"7,keyasint" json:"proposal"`
	// RollbackTo is the version whose lists a rollback took over.
	RollbackTo mesh.Sequence `cbor:"8,keyasint,omitempty" json:"rollbackTo,omitempty"`
	// Restored is set when the version was written back to a store that had
	// rolled back.
	Restored *Restoration `cbor:"9,keyasint,omitempty" json:"restored,omitempty"`
}

// Restoration records who wrote a version back, when, and which version it
// replaced in the store.
type Restoration struct {
	Author  string         `cbor:"1,keyasint" json:"author"`
	Comment string         `cbor:"2,keyasint,omitempty" json:"comment,omitempty"`
	Time    time.Time      `cbor:"3,keyasint" json:"time"`
	Over    mesh.VersionID `cbor:"4,keyasint" json:"over"`
}

// Refusal is the audit record of a rejected change.
type Refusal struct {
	Change       lists.Change `cbor:"1,keyasint" json:"change"`
	OmittedEdits int          `cbor:"2,keyasint,omitempty" json:"omittedEdits,omitempty"`
	// Head is the version that the change was checked against.
	Head   mesh.VersionID `cbor:"3,keyasint" json:"head"`
	Reason string         `cbor:"4,keyasint" json:"reason"`
}

// Summary reports how many hosts of a failure domain have its latest version.
type Summary struct {
	Domain mesh.FailureDomain `cbor:"1,keyasint" json:"domain"`
	// Sequence is the version that the host that wrote the summary had accepted.
	Sequence mesh.Sequence `cbor:"2,keyasint" json:"sequence"`
	// Hosts is the number of live hosts, AtSequence the number of those that have
	// accepted Sequence.
	Hosts      int `cbor:"3,keyasint" json:"hosts"`
	AtSequence int `cbor:"4,keyasint" json:"atSequence"`
	// Lagging names some of the hosts whose accepted version is older.
	Lagging []LaggingHost `cbor:"5,keyasint,omitempty" json:"lagging,omitempty"`
}

// LaggingHost is a host whose accepted version is older than the summary's.
type LaggingHost struct {
	Host     mesh.HostID   `cbor:"1,keyasint" json:"host"`
	Sequence mesh.Sequence `cbor:"2,keyasint" json:"sequence"`
}
