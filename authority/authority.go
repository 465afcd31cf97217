package authority

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Defaults of Options.
const (
	DefaultMaxAttempts = 16
	DefaultTimeout     = 10 * time.Second
	DefaultBackoff     = 20 * time.Millisecond
)

// Options configures an Authority. The zero value is usable.
type Options struct {
	Logger hclog.Logger
	// Now is the clock of the audit records.
	Now func() time.Time
	// ActiveVersion returns the active version of the node. When it is set, changes
	// are rejected while the store has rolled back: see isRolledBack.
	ActiveVersion func() mesh.VersionID
	// MaxAttempts is the number of attempts of a change when other changes are
	// accepted first.
	MaxAttempts int
	// Timeout limits a whole Propose, Rollback or Restore with all its attempts.
	Timeout time.Duration
	// Backoff is the longest pause before the second attempt. The longest pause
	// grows linearly with the number of attempts, and each pause is jittered.
	Backoff time.Duration
	// Jitter returns the fraction of the longest pause to wait, from 0 to 1.
	Jitter func() float64
}

// Authority reads and changes the versions in the store. It is safe for
// concurrent use. Reads are as consistent as the store's Get.
type Authority struct {
	store   kvstore.Store
	options Options
	// cached holds the last version that was read or accepted. It is looked up by
	// the digest of the body, so it can never be stale.
	cached atomic.Pointer[cachedLists]
	bounds bounds
}

// bounds limits what the store keeps. Tests use small bounds.
type bounds struct {
	// recentChanges and auditRecords are MaxRecentChanges and MaxAuditRecords
	// outside of tests.
	recentChanges int
	auditRecords  mesh.Sequence
	// sweepInterval is the number of changes between two searches for bodies
	// that interrupted proposals left behind.
	sweepInterval mesh.Sequence
}

type cachedLists struct {
	digest mesh.Digest
	lists  lists.Lists
	body   []byte
}

// New returns an authority over the store.
func New(store kvstore.Store, options Options) *Authority {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MaxAttempts <= 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Backoff <= 0 {
		options.Backoff = DefaultBackoff
	}
	if options.Jitter == nil {
		options.Jitter = rand.Float64
	}
	return &Authority{
		store: store, options: options,
		bounds: bounds{recentChanges: MaxRecentChanges, auditRecords: MaxAuditRecords, sweepInterval: MaxRecentChanges},
	}
}

// Head returns the accepted version and the revision of the head. It returns
// the zero Head and revision zero when the store has no version.
func (a *Authority) Head(ctx context.Context) (Head, kvstore.Revision, error) {
	entry, err := a.store.Get(ctx, keyHead)
	if errors.Is(err, kvstore.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, markStoreError(err, "read the head")
	}
	head, err := decodeHead(entry)
	return head, entry.Revision, err
}

// WatchHead waits until the revision of the head is higher than after. It
// returns the zero Head when the head was deleted. With ErrCorrupt it returns
// the revision, too, so that the caller can wait for the next one.
func (a *Authority) WatchHead(ctx context.Context, after kvstore.Revision) (Head, kvstore.Revision, error) {
	entry, err := a.store.Watch(ctx, keyHead, after)
	if err != nil {
		return Head{}, after, markStoreError(err, "watch the head")
	}
	if entry.Value == nil {
		return Head{}, entry.Revision, nil
	}
	head, err := decodeHead(entry)
	return head, entry.Revision, err
}

// Load reads, verifies and compiles the version that head names. A version
// whose audit record is no longer kept has a Change without edits.
// ErrVersionNotFound means that the head is no longer current and the body was
// deleted as garbage.
func (a *Authority) Load(ctx context.Context, head Head) (*lists.Version, error) {
	if head.Version.Sequence == 0 {
		return nil, errors.Wrap(ErrVersionNotFound, "the store has no version")
	}
	body, err := a.readBody(ctx, head.Version.Digest, head.Chunks)
	if err != nil {
		return nil, err
	}
	change := lists.Change{ID: head.Change, Author: head.Author, Time: head.Time}
	record, _, err := a.readRecord(ctx, head.Version.Sequence, head.Change)
	switch {
	case err == nil:
		change = record.Change
	case !errors.Is(err, ErrVersionNotFound) && !errors.Is(err, ErrCorrupt):
		return nil, err
	}
	return lists.NewVersion(head.Version, change, body)
}

// loadLists returns the decoded lists of a retained version.
func (a *Authority) loadLists(ctx context.Context, version mesh.VersionID, chunks int) (lists.Lists, error) {
	if version.Sequence == 0 {
		return lists.Lists{}, nil
	}
	if c := a.cached.Load(); c != nil && c.digest == version.Digest {
		return c.lists, nil
	}
	body, err := a.readBody(ctx, version.Digest, chunks)
	if err != nil {
		return nil, err
	}
	if mesh.DigestOf(body) != version.Digest {
		return nil, errors.Wrapf(ErrCorrupt, "the body of version %d does not match its digest", version.Sequence)
	}
	decoded, err := lists.Decode(body)
	if err != nil {
		return nil, errors.Mark(err, ErrCorrupt)
	}
	a.cached.Store(&cachedLists{digest: version.Digest, lists: decoded, body: body})
	return decoded, nil
}
