package authority

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// listLimit is the number of audit keys that one listing returns. It leaves
// room for the records of attempts that lost the race for the head and were not
// deleted.
const listLimit = 2 * MaxAuditRecords

// findAccepted returns the accepted change with the request's change ID, if
// there is one. It searches the audit trail for changes that the head no longer
// lists, but only once per request: changes accepted after that are in the head,
// unless there are very many.
func (a *Authority) findAccepted(ctx context.Context, head Head, r *request) (RecentChange, bool, error) {
	recent, found := lo.Find(head.Recent, func(e RecentChange) bool { return e.Change == r.change.ID })
	lastUnlisted := head.Version.Sequence - min(head.Version.Sequence, mesh.Sequence(len(head.Recent)))
	if found || lastUnlisted <= r.searchedTo {
		return recent, found, nil
	}
	recent, found, err := a.findInAuditTrail(ctx, head, r.change.ID)
	if err == nil {
		r.searchedTo = head.Version.Sequence
	}
	return recent, found, err
}

// checkReuse returns the accepted version of a change ID when the content is
// the same, and rejects the request otherwise.
func (a *Authority) checkReuse(ctx context.Context, r *request, head Head, recent RecentChange) (Accepted, error) {
	if recent.Proposal != (mesh.Digest{}) && recent.Proposal != r.proposal {
		return Accepted{}, a.reject(ctx, r, head, ErrChangeIDReused)
	}
	return Accepted{Version: recent.Version, Change: recent.Change, Repeated: true}, nil
}

// findInAuditTrail searches the audit records for an accepted change. A record
// alone proves only that the change was attempted for its sequence. Every record
// of the following sequence names the change that was accepted, because it was
// made from that version.
func (a *Authority) findInAuditTrail(ctx context.Context, head Head, change mesh.ChangeID) (RecentChange, bool, error) {
	keys, err := a.store.List(ctx, prefixChange, listLimit)
	if err != nil {
		return RecentChange{}, false, markStoreError(err, "list audit records")
	}
	successors := map[mesh.Sequence]mesh.ChangeID{}
	var candidates []mesh.Sequence
	for _, key := range keys {
		sequence, id, ok := parseChangeKey(key)
		if !ok || sequence > head.Version.Sequence {
			continue
		}
		successors[sequence-1] = id
		if id == change {
			candidates = append(candidates, sequence)
		}
	}
	for _, sequence := range candidates {
		recent, found, err := a.confirmAccepted(ctx, sequence, change, successors[sequence])
		if found || err != nil {
			return recent, found, err
		}
	}
	return RecentChange{}, false, nil
}

// confirmAccepted reports whether the successor's record shows that change was
// accepted as sequence. A record that was deleted since the listing belonged to
// an attempt that lost the race for the head; the error is errRaceLost then, so
// that the request is attempted again.
func (a *Authority) confirmAccepted(ctx context.Context, sequence mesh.Sequence, change, successor mesh.ChangeID) (RecentChange, bool, error) {
	if successor == "" {
		return RecentChange{}, false, nil
	}
	next, _, err := a.readRecord(ctx, sequence+1, successor)
	if err == nil && next.PreviousChange != change {
		return RecentChange{}, false, nil
	}
	var record Record
	if err == nil {
		record, _, err = a.readRecord(ctx, sequence, change)
	}
	if errors.Is(err, ErrVersionNotFound) {
		err = errors.Mark(err, errRaceLost)
	}
	return RecentChange{Change: change, Version: record.Version, Proposal: record.Proposal}, err == nil, err
}

// Lookup returns the version that an accepted change made, or
// ErrChangeNotFound. It finds changes as far back as the audit trail goes. A
// change that is in flight may still be accepted afterwards.
func (a *Authority) Lookup(ctx context.Context, change mesh.ChangeID) (Accepted, error) {
	head, _, err := a.Head(ctx)
	if err != nil {
		return Accepted{}, err
	}
	recent, found, err := a.findAccepted(ctx, head, &request{change: lists.Change{ID: change}})
	if err != nil {
		return Accepted{}, err
	}
	if !found {
		return Accepted{}, errors.Wrapf(ErrChangeNotFound, "change %s", change)
	}
	return Accepted{Version: recent.Version, Change: recent.Change, Repeated: true}, nil
}
