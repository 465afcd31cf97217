package claims

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// decision is what a plan foresees for one operation.
type decision struct {
	op      *operation
	home    *draft
	verdict verdict
	// deferred operations need the next segment of the bucket.
	deferred bool
}

// ready tells whether the verdict holds now: the store holds what the plan saw.
func (d decision) ready() bool {
	if d.deferred || d.home.changed != nil {
		return false
	}
	return d.verdict.final || d.home.confirmed
}

// plan is a batch of operations on one bucket, worked out against the segments
// as this writer knows them.
type plan struct {
	drafts    []*draft
	decisions []decision
}

// newPlan decides the operations in order.
func (s *shard) newPlan(ch *chain, ops []*operation) *plan {
	p := &plan{drafts: lo.Map(ch.segments, func(seg *segment, _ int) *draft { return newDraft(seg) })}
	for _, op := range ops {
		p.decisions = append(p.decisions, s.decide(p, op))
	}
	return p
}

func (s *shard) decide(p *plan, op *operation) decision {
	home, e, found := p.find(op.ticket.Key)
	next, change, v := op.decide(e, found)
	if !change {
		return decision{op: op, home: home, verdict: v}
	}
	if !found && (home.closed() || !home.fits(s.c.config.MaxSegmentBytes)) {
		return s.overflow(p, home, op)
	}
	home.put(next)
	return decision{op: op, home: home, verdict: v}
}

// overflow handles a key that the last segment cannot take.
func (s *shard) overflow(p *plan, home *draft, op *operation) decision {
	if len(p.drafts) >= s.c.config.MaxSegments {
		return decision{op: op, home: home, verdict: verdict{
			reason: mesh.ReasonQueueFull, cause: ErrBucketFull, final: true,
		}}
	}
	if !home.closed() {
		home.seal()
	}
	return decision{op: op, home: home, deferred: true}
}

// find returns the segment that holds key, or the last one.
func (p *plan) find(key KeyHash) (*draft, entry, bool) {
	for _, d := range p.drafts {
		if e, found := d.lookup(key); found {
			return d, e, true
		}
	}
	return lo.LastOrEmpty(p.drafts), entry{}, false
}

// maxRounds bounds the calls to the store between two looks at the queue, at
// which operations expire.
const maxRounds = 8

// step works on the bucket of the oldest open operation until all operations on
// it are settled or a call to the store fails or conflicts.
func (s *shard) step() {
	if len(s.open) == 0 {
		return
	}
	bucket := s.open[0].ticket.Bucket
	for range maxRounds {
		ops := lo.Filter(s.open, func(op *operation, _ int) bool { return op.ticket.Bucket == bucket })
		if len(ops) == 0 {
			return
		}
		ch, err := s.load(bucket)
		if errors.Is(err, ErrFormat) {
			s.drop(bucket, ops, refuse(mesh.ReasonStore, err))
			return
		}
		if err != nil {
			s.failed(err)
			return
		}
		if bucket < s.floor {
			s.drop(bucket, ops, refuse(mesh.ReasonKeyExpired, nil))
			return
		}
		p := s.newPlan(ch, ops)
		s.settleReady(p)
		if !s.advance(ch, p) {
			return
		}
	}
}

// advance writes the first changed segment of the plan, or makes the segments
// be read again on which an open verdict depends.
func (s *shard) advance(ch *chain, p *plan) bool {
	changed, ok := lo.Find(p.drafts, func(d *draft) bool { return d.changed != nil })
	if ok {
		return s.write(ch, p, changed)
	}
	for _, d := range p.decisions {
		if !d.ready() {
			d.home.stale = true
		}
	}
	return true
}

// settleReady settles the decisions that need no further call and removes their
// operations.
func (s *shard) settleReady(p *plan) {
	settled := map[*operation]bool{}
	for _, d := range p.decisions {
		if d.ready() {
			settled[d.op] = true
			s.settle(d.op, d.verdict)
		}
	}
	s.open = lo.Reject(s.open, func(op *operation, _ int) bool { return settled[op] })
}

// drop refuses the claims of a bucket that cannot be used and gives up its other
// operations.
func (s *shard) drop(bucket Bucket, ops []*operation, refusal verdict) {
	for _, op := range ops {
		if op.kind == opClaim {
			op.settle(refusal)
		} else {
			op.settle(verdict{})
		}
	}
	s.open = lo.Without(s.open, ops...)
	delete(s.chains, bucket)
}

// write makes one compare-and-swap. It reports whether it succeeded.
func (s *shard) write(ch *chain, p *plan, d *draft) bool {
	s.pace()
	s.lastWrite = s.c.config.Now()
	var revision kvstore.Revision
	err := s.call(func(ctx context.Context) (err error) {
		revision, err = s.c.config.Store.CompareAndSwap(ctx, s.id.segmentKey(ch.bucket, d.number), d.encode(), d.revision)
		return err
	})
	s.c.metrics.wrote(err, len(p.decisions))
	if err == nil {
		s.succeeded()
		d.commit(revision)
		p.markWritten(d)
		return true
	}
	s.writeFailed(p, d, err)
	return false
}

func (s *shard) writeFailed(p *plan, d *draft, err error) {
	switch {
	case errors.Is(err, kvstore.ErrConflict):
		d.stale, d.contended = true, true
	case errors.Is(err, kvstore.ErrUnknown):
		// Reading back shows whether the nonces are there.
		d.stale = true
		p.markWritten(d)
	case errors.IsAny(err, kvstore.ErrUnavailable, kvstore.ErrRateLimited):
		s.failed(err)
	default:
		d.stale = true
		p.markWritten(d)
		s.failed(err)
	}
}

// markWritten notes that the store may hold the operations planned for home.
func (p *plan) markWritten(home *draft) {
	for _, d := range p.decisions {
		if d.home == home && !d.deferred {
			d.op.written = true
		}
	}
}
