package authority

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// readRecord returns the audit record that a change wrote for a sequence. It
// does not prove acceptance: an attempt that lost the race for the head wrote
// one, too.
func (a *Authority) readRecord(ctx context.Context, sequence mesh.Sequence, change mesh.ChangeID) (Record, kvstore.Revision, error) {
	entry, err := a.store.Get(ctx, changeKey(sequence, change))
	if errors.Is(err, kvstore.ErrNotFound) {
		return Record{}, 0, errors.Wrapf(ErrVersionNotFound, "audit record of %d", sequence)
	}
	if err != nil {
		return Record{}, 0, markStoreError(err, "read an audit record")
	}
	record, err := decode[Record](entry, kvstore.MaxValueBytes)
	return record, entry.Revision, err
}

// writeRecord writes the audit record, before the head is swapped, and returns
// the record that the store has afterwards. It keeps a record that another
// attempt of the same change wrote on the same base, because overwriting it
// could give that attempt's version the edits of this one. existed reports
// whether there was a record, also when an error is returned. ErrChangeIDReused
// means that the change ID was used for this sequence with other content.
func (a *Authority) writeRecord(ctx context.Context, record Record) (_ Record, _ kvstore.Revision, existed bool, _ error) {
	data, err := encode(record)
	if err != nil {
		return Record{}, 0, existed, err
	}
	key := changeKey(record.Version.Sequence, record.Change.ID)
	var expected kvstore.Revision
	var lastErr error
	for range writeAttempts {
		revision, err := a.store.CompareAndSwap(ctx, key, data, expected)
		if err == nil {
			return record, revision, existed, nil
		}
		lastErr = err
		existed = existed || errors.Is(err, kvstore.ErrConflict)
		if !errors.Is(err, kvstore.ErrConflict) && !errors.Is(err, kvstore.ErrUnknown) {
			break
		}
		var found Record
		found, expected, err = a.readRecord(ctx, record.Version.Sequence, record.Change.ID)
		switch {
		case errors.Is(err, ErrVersionNotFound):
			expected = 0
		case err != nil:
			return Record{}, 0, existed, err
		case found.Proposal != record.Proposal:
			return Record{}, 0, existed, ErrChangeIDReused
		case found.Previous == record.Previous:
			return found, expected, existed, nil
		}
	}
	return Record{}, 0, existed, markStoreError(lastErr, "write an audit record")
}

// truncateEdits returns the edits that fit into MaxRecordBytes and the number
// of those that do not.
func truncateEdits(edits []lists.Edit) ([]lists.Edit, int) {
	size := 0
	for i, e := range edits {
		data, err := encode(e)
		size += len(data)
		if err != nil || size > MaxRecordBytes {
			return edits[:i], len(edits) - i
		}
	}
	return edits, 0
}

// History returns the audit records of at most limit accepted changes with
// sequences below before, latest first. Zero for before starts at the latest
// change. It returns fewer records where the audit trail ends.
func (a *Authority) History(ctx context.Context, before mesh.Sequence, limit int) ([]Record, error) {
	head, _, err := a.Head(ctx)
	if err != nil {
		return nil, err
	}
	var records []Record
	err = a.walkHistory(ctx, head, before, func(r Record) bool {
		records = append(records, r)
		return len(records) < limit
	})
	return records, err
}

// walkHistory follows the chain of accepted changes backwards from the head and
// calls visit for those with a sequence below before, until visit returns false
// or the chain ends. Zero for before means all of them.
func (a *Authority) walkHistory(ctx context.Context, head Head, before mesh.Sequence, visit func(Record) bool) error {
	next, ok := startOfWalk(head, before)
	for ok {
		record, _, err := a.readRecord(ctx, next.Version.Sequence, next.Change)
		switch {
		case errors.Is(err, ErrVersionNotFound), errors.Is(err, ErrCorrupt):
			next, ok = recentBelow(head, next.Version.Sequence)
			continue
		case err != nil:
			return err
		}
		if (before == 0 || record.Version.Sequence < before) && !visit(record) {
			return nil
		}
		next, ok = previousChange(head, record)
	}
	return nil
}

// startOfWalk returns the latest recent change below before, or the oldest
// recent one when before is older than all of them.
func startOfWalk(head Head, before mesh.Sequence) (RecentChange, bool) {
	if len(head.Recent) == 0 {
		return RecentChange{}, false
	}
	if before == 0 {
		return head.Recent[len(head.Recent)-1], true
	}
	if start, ok := recentBelow(head, before); ok {
		return start, true
	}
	return head.Recent[0], true
}

// recentBelow returns the latest recent change with a sequence below sequence.
func recentBelow(head Head, sequence mesh.Sequence) (RecentChange, bool) {
	for i := len(head.Recent) - 1; i >= 0; i-- {
		if head.Recent[i].Version.Sequence < sequence {
			return head.Recent[i], true
		}
	}
	return RecentChange{}, false
}

// previousChange returns the change that was accepted before record. The record
// of a restored version may not name it; then it is the one before it in the
// head's list.
func previousChange(head Head, record Record) (RecentChange, bool) {
	if record.PreviousChange != "" {
		return RecentChange{Change: record.PreviousChange, Version: record.Previous}, true
	}
	if record.Restored != nil {
		return recentBelow(head, record.Version.Sequence)
	}
	return RecentChange{}, false
}
