package authority

import (
	"context"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// maxReasonBytes limits the recorded reason of a rejection.
const maxReasonBytes = 4096

// reject records a rejected change and returns reason. The record is best
// effort: a failure to write it is only logged.
func (a *Authority) reject(ctx context.Context, r *request, head Head, reason error) error {
	eventRejected.Log(a.options.Logger, "change", r.change.ID, "author", r.change.Author, "reason", reason)
	text := reason.Error()
	refusal := Refusal{Change: r.change, Head: head.Version, Reason: text[:min(len(text), maxReasonBytes)]}
	refusal.Change.Edits, refusal.OmittedEdits = truncateEdits(r.change.Edits)
	if err := a.writeRefusal(ctx, refusal); err != nil {
		eventRejectionNotRecorded.Log(a.options.Logger, "change", r.change.ID, "error", err)
	}
	return reason
}

// rejectReuse rejects the request when err reports a reused change ID. It
// returns err in every case.
func (a *Authority) rejectReuse(ctx context.Context, r *request, head Head, err error) error {
	if errors.Is(err, ErrChangeIDReused) {
		return a.reject(ctx, r, head, err)
	}
	return err
}

// writeRefusal overwrites the oldest slot of the ring of MaxRefusals records.
func (a *Authority) writeRefusal(ctx context.Context, refusal Refusal) error {
	data, err := encode(refusal)
	if err != nil {
		return err
	}
	slot, err := a.allocateSlot(ctx)
	if err != nil {
		return err
	}
	key := refusalKey(slot)
	entry, err := a.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	_, err = a.store.CompareAndSwap(ctx, key, data, entry.Revision)
	return err
}

// allocateSlot increments the counter of rejected changes and returns its value
// before that. The record goes to the slot at this number modulo MaxRefusals.
func (a *Authority) allocateSlot(ctx context.Context) (uint64, error) {
	var err error
	for range writeAttempts {
		var slot uint64
		var entry kvstore.Entry
		if slot, entry, err = a.refusalCount(ctx); err != nil {
			return 0, err
		}
		next := binary.BigEndian.AppendUint64(nil, slot+1)
		if _, err = a.store.CompareAndSwap(ctx, keyRefusalCount, next, entry.Revision); err == nil {
			return slot, nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			break
		}
	}
	return 0, err
}

// refusalCount returns the number of rejected changes ever recorded, with the
// store's entry of the counter. A malformed counter counts as zero.
func (a *Authority) refusalCount(ctx context.Context) (uint64, kvstore.Entry, error) {
	entry, err := a.store.Get(ctx, keyRefusalCount)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, kvstore.Entry{}, nil
	}
	if err != nil || len(entry.Value) != 8 {
		return 0, entry, err
	}
	return binary.BigEndian.Uint64(entry.Value), entry, nil
}

// Refusals returns the records of at most limit rejected changes, latest first.
// A record that is being written may be missing.
func (a *Authority) Refusals(ctx context.Context, limit int) ([]Refusal, error) {
	count, _, err := a.refusalCount(ctx)
	if err != nil {
		return nil, markStoreError(err, "read the records of rejected changes")
	}
	var refusals []Refusal
	for i := range min(count, MaxRefusals, uint64(max(limit, 0))) {
		entry, err := a.store.Get(ctx, refusalKey(count-1-i))
		if errors.Is(err, kvstore.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, markStoreError(err, "read the records of rejected changes")
		}
		refusal, err := decode[Refusal](entry, kvstore.MaxValueBytes)
		if err != nil {
			return nil, err
		}
		refusals = append(refusals, refusal)
	}
	return refusals, nil
}
