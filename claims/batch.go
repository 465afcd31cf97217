package claims

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// decision is the planned change and result for one operation of a batch.
type decision struct {
	op     *operation
	target *draft
	result opResult
	// deferred means that the operation has to wait for the next segment of the
	// bucket.
	deferred bool
}

// isReady reports whether the result can be delivered: the store is known to hold the
// content on which it is based.
func (d decision) isReady() bool {
	if d.deferred || d.target.newContent != nil {
		return false
	}
	return d.result.final || d.target.confirmed
}

// batch is the operations on one bucket, applied to drafts of the segments as this
// writer knows them.
type batch struct {
	drafts    []*draft
	decisions []decision
}

// newBatch decides the operations in order.
func (s *shard) newBatch(ch *chain, ops []*operation) *batch {
	b := &batch{drafts: lo.Map(ch.segments, func(seg *segment, _ int) *draft { return newDraft(seg) })}
	for _, op := range ops {
		b.decisions = append(b.decisions, s.decide(b, op))
	}
	return b
}

// decide applies one operation to the drafts of the batch.
func (s *shard) decide(b *batch, op *operation) decision {
	target, e, found := b.find(op.ticket.Key)
	next, change, result := op.decide(e, found)
	if !change {
		return decision{op: op, target: target, result: result}
	}
	if !found && (target.willBeSealed() || !target.hasRoom(s.claimer.config.MaxSegmentBytes)) {
		return s.overflow(b, target, op)
	}
	target.put(next)
	return decision{op: op, target: target, result: result}
}

// overflow handles a new key for which the last segment has no room.
func (s *shard) overflow(b *batch, target *draft, op *operation) decision {
	if len(b.drafts) >= s.claimer.config.MaxSegments {
		return decision{op: op, target: target, result: opResult{
			reason: mesh.ReasonQueueFull, cause: ErrBucketFull, final: true,
		}}
	}
	if !target.willBeSealed() {
		target.seal()
	}
	return decision{op: op, target: target, deferred: true}
}

// find returns the draft that holds the key and its entry, or else the last draft.
func (b *batch) find(key KeyHash) (*draft, entry, bool) {
	for _, d := range b.drafts {
		if e, found := d.lookup(key); found {
			return d, e, true
		}
	}
	return lo.LastOrEmpty(b.drafts), entry{}, false
}

// maxRounds bounds the rounds of calls to the store after which the worker collects
// new operations and drops expired ones.
const maxRounds = 8

// processBucket works on the bucket of the oldest active operation until all
// operations on it are resolved, or a call to the store fails or conflicts.
func (s *shard) processBucket() {
	if len(s.active) == 0 {
		return
	}
	bucket := s.active[0].ticket.Bucket
	for range maxRounds {
		ops := lo.Filter(s.active, func(op *operation, _ int) bool { return op.ticket.Bucket == bucket })
		if len(ops) == 0 {
			return
		}
		ch, err := s.load(bucket)
		if errors.Is(err, ErrFormat) {
			s.rejectBucket(bucket, ops, reject(mesh.ReasonStoreUnavailable, err))
			return
		}
		if err != nil {
			s.recordStoreFailure(err)
			return
		}
		if bucket < s.lowWatermark {
			s.rejectBucket(bucket, ops, reject(mesh.ReasonKeyExpired, nil))
			return
		}
		b := s.newBatch(ch, ops)
		s.resolveReady(b)
		if !s.writeOrRefresh(ch, b) {
			return
		}
	}
}

// writeOrRefresh writes the first changed segment of the batch. Without changes it
// marks the segments stale on which the remaining results depend, so that they are
// read again. It reports whether processBucket may go on.
func (s *shard) writeOrRefresh(ch *chain, b *batch) bool {
	changed, ok := lo.Find(b.drafts, func(d *draft) bool { return d.newContent != nil })
	if ok {
		return s.write(ch, b, changed)
	}
	for _, d := range b.decisions {
		if !d.isReady() {
			d.target.stale = true
		}
	}
	return true
}

// resolveReady delivers the results that need no further call to the store and
// removes their operations.
func (s *shard) resolveReady(b *batch) {
	resolved := map[*operation]bool{}
	for _, d := range b.decisions {
		if d.isReady() {
			resolved[d.op] = true
			s.resolve(d.op, d.result)
		}
	}
	s.active = lo.Reject(s.active, func(op *operation, _ int) bool { return resolved[op] })
}

// rejectBucket rejects the claims of a bucket that cannot be used, and resolves its
// other operations without a write.
func (s *shard) rejectBucket(bucket Bucket, ops []*operation, rejection opResult) {
	for _, op := range ops {
		if op.kind == opClaim {
			op.resolve(rejection)
		} else {
			op.resolve(opResult{})
		}
	}
	s.active = lo.Without(s.active, ops...)
	delete(s.chains, bucket)
}

// write writes a draft by one compare-and-swap and reports whether it succeeded.
func (s *shard) write(ch *chain, b *batch, d *draft) bool {
	s.throttle()
	s.lastWrite = s.claimer.config.Now()
	var revision kvstore.Revision
	err := s.callStore(func(ctx context.Context) (err error) {
		revision, err = s.claimer.config.Store.CompareAndSwap(ctx, s.id.segmentKey(ch.bucket, d.number), d.encode(), d.revision)
		return err
	})
	s.claimer.metrics.recordWrite(err, len(b.decisions))
	if err == nil {
		s.recordStoreSuccess()
		d.commit(revision)
		b.markWritten(d)
		return true
	}
	s.writeFailed(b, d, err)
	return false
}

func (s *shard) writeFailed(b *batch, d *draft, err error) {
	switch {
	case errors.Is(err, kvstore.ErrConflict):
		d.stale, d.contended = true, true
	case errors.Is(err, kvstore.ErrUnknown):
		// Reading the segment again shows whether it holds the nonces.
		d.stale = true
		b.markWritten(d)
	case errors.IsAny(err, kvstore.ErrUnavailable, kvstore.ErrRateLimited):
		s.recordStoreFailure(err)
	default:
		d.stale = true
		b.markWritten(d)
		s.recordStoreFailure(err)
	}
}

// markWritten records that the store may hold the operations on target.
func (b *batch) markWritten(target *draft) {
	for _, d := range b.decisions {
		if d.target == target && !d.deferred {
			d.op.written = true
		}
	}
}
