package claims

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// ErrBucketFull means that all segments of a bucket are full.
var ErrBucketFull = errors.New("claims: all segments of the bucket are full")

// chain is the segments of a bucket. All but the last are sealed, so a key that is
// in none of them can only be added to the last one.
type chain struct {
	bucket   Bucket
	segments []*segment
	lastUsed uint64
}

func (ch *chain) last() *segment { return ch.segments[len(ch.segments)-1] }

func (ch *chain) clearConfirmed() {
	for _, seg := range ch.segments {
		seg.confirmed = false
	}
}

// cachedBytesPerByte is the ratio of the memory of a segment, with its index, to its
// stored size.
const cachedBytesPerByte = 3

// bytes estimates the memory of the chain.
func (ch *chain) bytes() int {
	sum := 0
	for _, seg := range ch.segments {
		sum += cachedBytesPerByte * len(seg.raw)
	}
	return sum
}

// load returns the chain of a bucket after reading what is missing: stale segments,
// the next segment after a sealed one, and, when a segment may have been created
// after cleanup, the low watermark. The caller must compare the bucket with the low
// watermark.
func (s *shard) load(bucket Bucket) (*chain, error) {
	ch := s.ensureChain(bucket)
	if bucket < s.lowWatermark {
		return ch, nil
	}
	for i := 0; i < len(ch.segments); i++ {
		seg := ch.segments[i]
		if seg.stale || seg.contended && !seg.confirmed {
			if err := s.read(ch, seg); err != nil {
				return nil, err
			}
		}
		if bucket < s.lowWatermark {
			return ch, nil
		}
		if seg == ch.last() && seg.isSealed() && len(ch.segments) < s.claimer.config.MaxSegments {
			ch.segments = append(ch.segments, unreadSegment(i+1))
		}
	}
	return ch, s.checkLowWatermark(ch)
}

// unreadSegment returns a segment that must be read before it is used.
func unreadSegment(number int) *segment {
	seg := newSegment(number)
	seg.stale = true
	return seg
}

// ensureChain returns the cached chain of a bucket, or adds a new one to the cache.
func (s *shard) ensureChain(bucket Bucket) *chain {
	ch := s.chains[bucket]
	if ch == nil {
		ch = &chain{bucket: bucket, segments: []*segment{unreadSegment(0)}}
		s.chains[bucket] = ch
	}
	s.useCount++
	ch.lastUsed = s.useCount
	s.evict(ch)
	return ch
}

// evict removes the least recently used chains while the cache exceeds the shard's
// share of Config.CacheBytes. An evicted chain is read again when it is needed.
func (s *shard) evict(current *chain) {
	limit := s.claimer.config.CacheBytes / ShardCount
	total := 0
	for _, ch := range s.chains {
		total += ch.bytes()
	}
	for total > limit && len(s.chains) > 1 {
		oldest := current
		for _, ch := range s.chains {
			if ch.lastUsed < oldest.lastUsed {
				oldest = ch
			}
		}
		total -= oldest.bytes()
		delete(s.chains, oldest.bucket)
	}
}

// read updates a segment from the store.
func (s *shard) read(ch *chain, seg *segment) error {
	key := s.id.segmentKey(ch.bucket, seg.number)
	var e kvstore.Entry
	err := s.callStore(func(ctx context.Context) (err error) {
		e, err = s.claimer.get(ctx, key)
		return err
	})
	if err != nil {
		return err
	}
	lost, err := seg.update(e.Value, e.Revision)
	if err != nil {
		eventUnreadable.Log(s.claimer.config.Logger, "key", key, "error", err)
		return err
	}
	if lost == 0 {
		return nil
	}
	// Entries are also missing after cleanup, but only below the low watermark.
	if err := s.readLowWatermark(); err != nil {
		seg.stale = true
		return err
	}
	if ch.bucket >= s.lowWatermark {
		eventClaimsLost.Log(s.claimer.config.Logger, "key", key, "entries", lost)
	}
	return nil
}

// checkLowWatermark reads the low watermark if there is a segment that may have been
// created after cleanup deleted an earlier one. The order matters: cleanup raises the
// low watermark before it deletes, so a low watermark that is read after the segment
// covers every deletion before the segment's creation.
func (s *shard) checkLowWatermark(ch *chain) error {
	needed := false
	for _, seg := range ch.segments {
		needed = needed || seg.revision != 0 && !seg.watermarkChecked
	}
	if !needed {
		return nil
	}
	if err := s.readLowWatermark(); err != nil {
		return err
	}
	for _, seg := range ch.segments {
		seg.watermarkChecked = seg.revision != 0
	}
	return nil
}

func (s *shard) readLowWatermark() error {
	return s.callStore(func(ctx context.Context) error {
		lowWatermark, _, err := s.claimer.storedLowWatermark(ctx, s.id)
		s.lowWatermark = max(s.lowWatermark, lowWatermark)
		return err
	})
}

// storedLowWatermark returns the low watermark in the store, the first bucket that is
// still valid, and its revision.
func (c *Claimer) storedLowWatermark(ctx context.Context, id ShardID) (Bucket, kvstore.Revision, error) {
	e, err := c.get(ctx, id.lowWatermarkKey())
	if err != nil || e.Revision == 0 {
		return 0, 0, err
	}
	n, err := strconv.ParseUint(string(e.Value), 10, 32)
	return Bucket(n), e.Revision, errors.Wrap(err, "claims: parse low watermark")
}

// get returns the store's entry of key, with revision zero if the key is absent.
func (c *Claimer) get(ctx context.Context, key string) (kvstore.Entry, error) {
	e, err := c.config.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return kvstore.Entry{Key: key}, nil
	}
	return e, err
}
