package authority

import (
	"context"
	"maps"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// accept writes the body and the audit record and then swaps the head. The
// change is accepted when the swap succeeds.
func (a *Authority) accept(ctx context.Context, r *request, head Head, revision kvstore.Revision, next preparedVersion) (Accepted, error) {
	garbage := a.findGarbage(ctx, head, next.version)
	written, err := a.writeBody(ctx, next.digest, next.body)
	if err != nil {
		return Accepted{}, err
	}
	record, recordRevision, existed, err := a.writeRecord(ctx, newRecord(r, head, next.version))
	if existed && !errors.Is(err, ErrChangeIDReused) {
		// An earlier call with this change ID wrote its record on the same head. Its
		// swap may still be on its way to the store.
		r.swapPending, r.swapRevision = true, revision
	}
	if err != nil {
		return Accepted{}, a.rejectReuse(ctx, r, head, err)
	}
	if record.Version != next.version {
		maps.Copy(r.garbage, written)
		return Accepted{}, r.adoptEdits(record)
	}
	newHead := a.nextHead(head, record, len(next.body))
	if err := a.swapHead(ctx, r, newHead, revision); err != nil {
		maps.Copy(r.garbage, written)
		r.garbage[changeKey(next.version.Sequence, r.change.ID)] = recordRevision
		return Accepted{}, err
	}
	r.swapPending = false
	a.cached.Store(&next.cachedLists)
	eventAccepted.Log(a.options.Logger, "sequence", next.version.Sequence, "digest", next.digest.Short(),
		"change", r.change.ID, "author", r.change.Author, "kind", string(r.kind), "edits", len(r.change.Edits))
	maps.Copy(garbage, r.garbage)
	a.collectGarbage(ctx, newHead, garbage)
	return Accepted{Version: next.version, Change: r.change.ID}, nil
}

// adoptEdits takes over the edits of an attempt with the same change ID that
// made another version from the same base. Only rollbacks can differ in this
// way, because their edits depend on the head at their start.
func (r *request) adoptEdits(record Record) error {
	if record.OmittedEdits > 0 {
		return errors.Wrap(ErrContention, "another rollback with the same change ID is in flight; use a new change ID")
	}
	r.change.Edits = record.Change.Edits
	return errors.Mark(errors.New("authority: another attempt of the change is in flight"), errRaceLost)
}

func newRecord(r *request, head Head, version mesh.VersionID) Record {
	record := Record{
		Kind: r.kind, Change: r.change, Version: version, Previous: head.Version,
		PreviousChange: head.Change, Proposal: r.proposal, RollbackTo: r.rollbackTo,
	}
	record.Change.Edits, record.OmittedEdits = truncateEdits(r.change.Edits)
	return record
}

// nextHead returns the head after the record's change is accepted. Author and
// time are those of the record, which an earlier attempt may have written.
func (a *Authority) nextHead(head Head, record Record, bytes int) Head {
	recent := append(head.Recent[:len(head.Recent):len(head.Recent)], RecentChange{
		Change: record.Change.ID, Version: record.Version, Chunks: chunkCount(bytes), Proposal: record.Proposal,
	})
	return Head{
		Version: record.Version, Bytes: bytes, Chunks: chunkCount(bytes), Change: record.Change.ID,
		Author: record.Change.Author, Time: record.Change.Time,
		Recent: recent[max(0, len(recent)-a.bounds.recentChanges):],
	}
}

// swapHead writes the head. errRaceLost means that the request must be
// attempted again: another change was accepted, or the store's response was lost
// and the head must be read again.
func (a *Authority) swapHead(ctx context.Context, r *request, head Head, revision kvstore.Revision) error {
	data, err := encode(head)
	if err != nil {
		return err
	}
	_, err = a.store.CompareAndSwap(ctx, keyHead, data, revision)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kvstore.ErrConflict):
		return errors.Mark(err, errRaceLost)
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrRateLimited):
		return markStoreError(err, "swap the head")
	}
	// After any other error, including the end of the context, it is unknown
	// whether the store has carried out the swap.
	r.swapPending, r.swapRevision = true, revision
	return errors.Mark(err, errRaceLost)
}
