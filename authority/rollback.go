package authority

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Rollback accepts a new version with the lists of an older one. Changes that
// are accepted while it runs are kept when they touch other entries, and are
// conflicts otherwise. It is idempotent by its change ID, as Propose is.
func (a *Authority) Rollback(ctx context.Context, req RollbackRequest) (Accepted, error) {
	r := newRollback(req)
	if err := r.validate(); err != nil {
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	head, _, err := a.Head(ctx)
	if err != nil {
		return Accepted{}, err
	}
	// A rollback that was accepted before must be recognised before the target is
	// looked up, because the target may no longer be retained.
	recent, found, err := a.findAccepted(ctx, head, r)
	if err != nil {
		return Accepted{}, err
	}
	if found {
		return a.checkReuse(ctx, r, head, recent)
	}
	if r.change.Edits, err = a.rollbackEdits(ctx, head, req.To); err != nil {
		return Accepted{}, err
	}
	return a.submit(ctx, r)
}

func newRollback(req RollbackRequest) *request {
	return &request{
		kind: KindRollback, rollbackTo: req.To,
		proposal: mesh.DigestOf(fmt.Appendf(nil, "rollback to %d", req.To)),
		change:   lists.Change{ID: req.ChangeID, Author: req.Author, Comment: req.Comment},
	}
}

// rollbackEdits returns the edits that turn the head's lists into those of the
// version to.
func (a *Authority) rollbackEdits(ctx context.Context, head Head, to mesh.Sequence) ([]lists.Edit, error) {
	target, err := a.listsAt(ctx, head, to)
	if err != nil {
		return nil, err
	}
	current, err := a.loadLists(ctx, head.Version, head.Chunks)
	if err != nil {
		return nil, err
	}
	return lists.Diff(current, target), nil
}

// ListsAt returns the lists of a version, zero for the latest, and its ID. A
// version that is no longer retained is rebuilt from the audit records.
func (a *Authority) ListsAt(ctx context.Context, sequence mesh.Sequence) (lists.Lists, mesh.VersionID, error) {
	head, _, err := a.Head(ctx)
	if err != nil {
		return nil, mesh.VersionID{}, err
	}
	if sequence == 0 {
		sequence = head.Version.Sequence
	}
	l, err := a.listsAt(ctx, head, sequence)
	if err != nil {
		return nil, mesh.VersionID{}, err
	}
	body, err := lists.Encode(l)
	return l, mesh.VersionID{Sequence: sequence, Digest: mesh.DigestOf(body)}, err
}

func (a *Authority) listsAt(ctx context.Context, head Head, sequence mesh.Sequence) (lists.Lists, error) {
	if sequence == 0 && head.Version.Sequence == 0 {
		return lists.Lists{}, nil
	}
	recent, found := lo.Find(head.Recent, func(e RecentChange) bool { return e.Version.Sequence == sequence })
	if found {
		return a.loadLists(ctx, recent.Version, recent.Chunks)
	}
	if sequence == 0 || len(head.Recent) == 0 || sequence > head.Recent[0].Version.Sequence {
		return nil, errors.Wrapf(ErrVersionNotFound, "version %d", sequence)
	}
	return a.rebuild(ctx, head, sequence)
}

// rebuild returns the lists of a version that is no longer retained. It starts
// from the oldest retained version and undoes the edits of the audit records
// back to sequence.
func (a *Authority) rebuild(ctx context.Context, head Head, sequence mesh.Sequence) (lists.Lists, error) {
	oldest := head.Recent[0]
	l, err := a.loadLists(ctx, oldest.Version, oldest.Chunks)
	if err != nil {
		return nil, err
	}
	reached, undoErr := oldest.Version, error(nil)
	err = a.walkHistory(ctx, head, oldest.Version.Sequence+1, func(r Record) bool {
		if r.Version != reached || r.OmittedEdits > 0 {
			return false
		}
		if l, undoErr = lists.Apply(l, lists.Invert(r.Change.Edits)); undoErr != nil {
			return false
		}
		reached = r.Previous
		return reached.Sequence > sequence
	})
	if err != nil {
		return nil, err
	}
	if reached.Sequence != sequence || undoErr != nil {
		return nil, errors.Wrapf(ErrVersionNotFound, "version %d cannot be rebuilt, the audit records go back to version %d", sequence, reached.Sequence)
	}
	return l, verifyDigest(l, reached)
}

func verifyDigest(l lists.Lists, want mesh.VersionID) error {
	body, err := lists.Encode(l)
	if err == nil && mesh.DigestOf(body) != want.Digest {
		err = errors.Wrapf(ErrCorrupt, "undoing the audit records does not give the digest of version %d", want.Sequence)
	}
	return err
}
