package authority

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Restore writes the version of the mesh, with its sequence, to a store that
// holds an older one or another one of the same sequence. It is idempotent: when
// the store has the version already, nothing is written.
// ErrStoreNotRolledBack means that the store holds a later version. Only an
// operator starts it, because a wrong store address looks like a store that lost
// writes.
func (a *Authority) Restore(ctx context.Context, version *lists.Version, author, comment string) (Accepted, error) {
	r := &request{kind: KindRestore, change: version.Change, garbage: keyRevisions{}}
	restoration := Restoration{Author: author, Comment: comment, Time: a.options.Now().UTC()}
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		accepted, err := a.restoreOnce(ctx, r, version, restoration)
		if err == nil {
			accepted.Attempts = attempt
			return accepted, nil
		}
		if !errors.Is(err, errRaceLost) {
			return Accepted{}, a.finalError(r, err)
		}
		if attempt >= a.options.MaxAttempts {
			return Accepted{}, a.finalError(r, errors.Mark(err, ErrContention))
		}
		if err := a.backOff(ctx, attempt); err != nil {
			return Accepted{}, a.finalError(r, markStoreError(err, "wait for the next attempt"))
		}
	}
}

func (a *Authority) restoreOnce(ctx context.Context, r *request, version *lists.Version, restoration Restoration) (Accepted, error) {
	head, revision, err := a.Head(ctx)
	if err != nil {
		return Accepted{}, err
	}
	r.swapPending = r.swapPending && r.swapRevision == revision
	if head.Version == version.ID {
		return Accepted{Version: version.ID, Change: version.Change.ID, Repeated: true}, nil
	}
	if head.Version.Sequence > version.ID.Sequence {
		return Accepted{}, errors.Wrapf(ErrStoreNotRolledBack, "store %d, mesh %d", head.Version.Sequence, version.ID.Sequence)
	}
	if _, err := a.writeBody(ctx, version.ID.Digest, version.Body); err != nil {
		return Accepted{}, err
	}
	restoration.Over = head.Version
	record, err := a.writeRestoration(ctx, version, restoration)
	if err != nil {
		return Accepted{}, err
	}
	if err := a.swapHead(ctx, r, a.restoredHead(head, version, record.Proposal), revision); err != nil {
		return Accepted{}, err
	}
	r.swapPending = false
	eventRestored.Log(a.options.Logger, "sequence", version.ID.Sequence, "over", head.Version.Sequence, "author", restoration.Author)
	return Accepted{Version: version.ID, Change: version.Change.ID}, nil
}

// writeRestoration adds the restoration to the audit record of the version. A
// new record is made when the store lost it; then the previous change and the
// proposal's digest are unknown.
func (a *Authority) writeRestoration(ctx context.Context, version *lists.Version, restoration Restoration) (Record, error) {
	record, revision, err := a.readRecord(ctx, version.ID.Sequence, version.Change.ID)
	if err != nil && !errors.Is(err, ErrVersionNotFound) && !errors.Is(err, ErrCorrupt) {
		return Record{}, err
	}
	if err != nil || record.Version != version.ID {
		record = Record{Kind: KindRestore, Change: version.Change, Version: version.ID}
		record.Change.Edits, record.OmittedEdits = truncateEdits(version.Change.Edits)
	}
	record.Restored = &restoration
	data, err := encode(record)
	if err != nil {
		return Record{}, err
	}
	_, err = a.store.CompareAndSwap(ctx, changeKey(version.ID.Sequence, version.Change.ID), data, revision)
	if errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrUnknown) {
		err = errors.Mark(err, errRaceLost)
	}
	return record, markStoreError(err, "write an audit record")
}

// restoredHead returns a head for version that keeps the older changes of the
// store's head, so that their IDs are still recognised.
func (a *Authority) restoredHead(head Head, version *lists.Version, proposal mesh.Digest) Head {
	head.Recent = lo.Filter(head.Recent, func(e RecentChange, _ int) bool {
		return e.Version.Sequence < version.ID.Sequence && e.Change != version.Change.ID
	})
	return a.nextHead(head, Record{Change: version.Change, Version: version.ID, Proposal: proposal}, len(version.Body))
}
