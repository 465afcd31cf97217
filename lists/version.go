package lists

import (
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Change records who changed the lists, when and how.
type Change struct {
	ID     mesh.ChangeID `cbor:"1,keyasint" json:"id"`
	Author string        `cbor:"2,keyasint" json:"author"`
	// Time is the time of the proposal by the proposer's clock.
	Time    time.Time `cbor:"3,keyasint" json:"time"`
	Comment string    `cbor:"4,keyasint,omitempty" json:"comment,omitempty"`
	Edits   []Edit    `cbor:"5,keyasint" json:"edits"`
}

// Version is an accepted version of both lists. It is immutable.
type Version struct {
	ID mesh.VersionID
	// Change is the change that made this version from the one before it.
	Change Change
	// Lists is the decoded content of Body.
	Lists Lists
	// Body is the canonical encoding whose digest is ID.Digest.
	Body []byte
	// Config is the compiled form of Lists.
	Config *Config
}

// ErrDigest means that the digest of a body is not the one in its version's ID.
var ErrDigest = errors.New("lists: the body does not match the digest")

// NewVersion verifies the digest of body and decodes and compiles it. The version
// that it returns is complete and valid; after an error no part of the body may
// be used. The error is ErrDigest, ErrTooLarge, ErrEncoding or a *ProblemsError.
func NewVersion(id mesh.VersionID, change Change, body []byte) (*Version, error) {
	if len(body) > MaxBodyBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(body), MaxBodyBytes)
	}
	if got := mesh.DigestOf(body); got != id.Digest {
		return nil, errors.Wrapf(ErrDigest, "version %d: got %s, want %s", id.Sequence, got.Short(), id.Digest.Short())
	}
	decoded, err := Decode(body)
	if err != nil {
		return nil, err
	}
	config, err := Compile(decoded)
	if err != nil {
		return nil, err
	}
	return &Version{ID: id, Change: change, Lists: decoded, Body: body, Config: config}, nil
}
