package authority

import (
	"context"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// maxReasonBytes limits the text of a refusal's reason.
const maxReasonBytes = 4096

// refuse records a refused change and returns reason. The record is best
// effort: a failure to write it does not change the answer.
func (a *Authority) refuse(ctx context.Context, r *request, head Head, reason error) error {
	eventRefused.Log(a.options.Logger, "change", r.change.ID, "author", r.change.Author, "reason", reason)
	text := reason.Error()
	refusal := Refusal{Change: r.change, Head: head.Version, Reason: text[:min(len(text), maxReasonBytes)]}
	refusal.Change.Edits, refusal.OmittedEdits = limitEdits(r.change.Edits)
	if err := a.writeRefusal(ctx, refusal); err != nil {
		eventRefusalLost.Log(a.options.Logger, "change", r.change.ID, "error", err)
	}
	return reason
}

// refuseReuse records the refusal of a reused change ID and passes on every
// other error.
func (a *Authority) refuseReuse(ctx context.Context, r *request, head Head, err error) error {
	if errors.Is(err, ErrChangeReused) {
		return a.refuse(ctx, r, head, err)
	}
	return err
}

// writeRefusal takes the next slot of the ring and overwrites it.
func (a *Authority) writeRefusal(ctx context.Context, refusal Refusal) error {
	data, err := encode(refusal)
	if err != nil {
		return err
	}
	slot, err := a.nextSlot(ctx)
	if err != nil {
		return err
	}
	key := refusedKey(slot)
	entry, err := a.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	_, err = a.store.CompareAndSwap(ctx, key, data, entry.Revision)
	return err
}

// nextSlot draws a number from the counter of refusals.
func (a *Authority) nextSlot(ctx context.Context) (uint64, error) {
	var err error
	for range writeAttempts {
		var slot uint64
		var entry kvstore.Entry
		if slot, entry, err = a.refusalCount(ctx); err != nil {
			return 0, err
		}
		next := binary.BigEndian.AppendUint64(nil, slot+1)
		if _, err = a.store.CompareAndSwap(ctx, keyRefusedNext, next, entry.Revision); err == nil {
			return slot, nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			break
		}
	}
	return 0, err
}

func (a *Authority) refusalCount(ctx context.Context) (uint64, kvstore.Entry, error) {
	entry, err := a.store.Get(ctx, keyRefusedNext)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, kvstore.Entry{}, nil
	}
	if err != nil || len(entry.Value) != 8 {
		return 0, entry, err
	}
	return binary.BigEndian.Uint64(entry.Value), entry, nil
}

// Refusals returns the last refused changes, latest first, at most limit of
// them. A refusal that is being written may be missing.
func (a *Authority) Refusals(ctx context.Context, limit int) ([]Refusal, error) {
	count, _, err := a.refusalCount(ctx)
	if err != nil {
		return nil, translate(err, "read refusals")
	}
	var refusals []Refusal
	for i := range min(count, RefusedRecords, uint64(max(limit, 0))) {
		entry, err := a.store.Get(ctx, refusedKey(count-1-i))
		if errors.Is(err, kvstore.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, translate(err, "read refusals")
		}
		refusal, err := decode[Refusal](entry, kvstore.MaxValueBytes)
		if err != nil {
			return nil, err
		}
		refusals = append(refusals, refusal)
	}
	return refusals, nil
}
