package routeplan

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Errors of Compile for workspaces.
var (
	ErrWorkspace = errors.New("routeplan: malformed workspace")
	ErrSharedKey = errors.New("routeplan: two workspaces with the same key")
)

// Fingerprint identifies a key without revealing it. Plans, logs and messages between
// hosts hold fingerprints only. 128 bits of SHA-256 leave no chance of two keys with the
// same one.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a key.
func FingerprintOf(key string) Fingerprint {
	digest := sha256.Sum256([]byte(key))
	return Fingerprint(digest[:16])
}

// String returns the first 8 hexadecimal digits, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:4]) }

// Workspace is a group of callers that share keys, a rank and a quota.
type Workspace struct {
	_    struct{} `cbor:",toarray"`
	Name mesh.WorkspaceName
	Keys []Fingerprint
	// Rank replaces the rank of the route if HasRank is set.
	HasRank bool
	Rank    uint8
	// CallsPerSecond and Burst are the quota over all hosts; no limit if CallsPerSecond
	// is 0.
	CallsPerSecond float64
	Burst          float64
}

// HasQuota reports whether the calls of the workspace are limited.
func (w *Workspace) HasQuota() bool { return w.CallsPerSecond > 0 }

// indexWorkspaces validates the workspaces and builds the index of their keys.
func (p *Plan) indexWorkspaces() error {
	p.byKey = make(map[Fingerprint]*Workspace, len(p.Workspaces))
	names := make(map[mesh.WorkspaceName]bool, len(p.Workspaces))
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		if w.Name == "" || names[w.Name] {
			return errors.Wrapf(ErrWorkspace, "name %q is empty or used twice", w.Name)
		}
		names[w.Name] = true
		if !isHeaderValue(string(w.Name)) {
			return errors.Wrapf(ErrWorkspace, "name %q cannot be sent in a header", w.Name)
		}
		if !isQuota(w.CallsPerSecond) || !isQuota(w.Burst) {
			return errors.Wrapf(ErrWorkspace, "%s: %g calls a second, burst %g", w.Name, w.CallsPerSecond, w.Burst)
		}
		for _, key := range w.Keys {
			if other := p.byKey[key]; other != nil && other != w {
				return errors.Wrapf(ErrSharedKey, "%s and %s", other.Name, w.Name)
			}
			p.byKey[key] = w
		}
	}
	return nil
}

// isHeaderValue reports whether endpoints read the same text from a header (RFC 9110,
// section 5.5).
func isHeaderValue(s string) bool {
	return strings.TrimSpace(s) == s && !strings.ContainsFunc(s, unicode.IsControl)
}

func isQuota(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

// RequiresKeys reports whether calls on routes that are not public need a key.
func (p *Plan) RequiresKeys() bool { return len(p.Workspaces) > 0 }

// WorkspaceOf returns the workspace that holds the key, or nil. The look-up is by the hash
// of the key, so that its duration tells nothing about the keys of the plan.
func (p *Plan) WorkspaceOf(key string) *Workspace { return p.byKey[FingerprintOf(key)] }

// KeyChanges counts the keys in which two plans differ.
type KeyChanges struct {
	Added, Removed int
	// Moved counts the keys that another workspace holds.
	Moved int
}

// KeyChanges returns the differences to the keys of a plan before, which may be nil.
func (p *Plan) KeyChanges(old *Plan) KeyChanges {
	changes := KeyChanges{}
	if old == nil {
		changes.Added = len(p.byKey)
		return changes
	}
	kept := 0
	for key, w := range p.byKey {
		before := old.byKey[key]
		switch {
		case before == nil:
			changes.Added++
			continue
		case before.Name != w.Name:
			changes.Moved++
		}
		kept++
	}
	changes.Removed = len(old.byKey) - kept
	return changes
}
