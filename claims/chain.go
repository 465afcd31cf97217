package claims

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// ErrBucketFull means that all segments of a bucket are full.
var ErrBucketFull = errors.New("claims: all segments of the bucket are full")

// chain is the segments of a bucket. All but the last are sealed, so a key that
// is in none of them can be added to the last one only.
type chain struct {
	bucket   Bucket
	segments []*segment
	lastUse  uint64
}

func (ch *chain) last() *segment { return ch.segments[len(ch.segments)-1] }

func (ch *chain) unconfirm() {
	for _, seg := range ch.segments {
		seg.confirmed = false
	}
}

// cachedBytesPerByte is the memory of a segment with its index relative to the
// stored bytes.
const cachedBytesPerByte = 3

func (ch *chain) bytes() int {
	sum := 0
	for _, seg := range ch.segments {
		sum += cachedBytesPerByte * len(seg.raw)
	}
	return sum
}

// load brings the chain of a bucket up to date: stale segments are read, the
// next segment follows a sealed one, and the floor is read after any segment
// that may have been created after cleanup.
func (s *shard) load(bucket Bucket) (*chain, error) {
	ch := s.chain(bucket)
	if bucket < s.floor {
		return ch, nil
	}
	for i := 0; i < len(ch.segments); i++ {
		seg := ch.segments[i]
		if seg.stale || seg.contended && !seg.confirmed {
			if err := s.read(ch, seg); err != nil {
				return nil, err
			}
		}
		if bucket < s.floor {
			return ch, nil
		}
		if seg == ch.last() && seg.sealed() && len(ch.segments) < s.c.config.MaxSegments {
			ch.segments = append(ch.segments, unreadSegment(i+1))
		}
	}
	return ch, s.checkFloor(ch)
}

// unreadSegment returns a segment that must be read before its use.
func unreadSegment(number int) *segment {
	seg := newSegment(number)
	seg.stale = true
	return seg
}

// chain returns the cached chain of bucket, or a new one.
func (s *shard) chain(bucket Bucket) *chain {
	ch := s.chains[bucket]
	if ch == nil {
		ch = &chain{bucket: bucket, segments: []*segment{unreadSegment(0)}}
		s.chains[bucket] = ch
	}
	s.uses++
	ch.lastUse = s.uses
	s.evict(ch)
	return ch
}

// evict drops the chains used least recently while the shard's part of the
// cache is exceeded. A dropped chain is read again when it is needed.
func (s *shard) evict(used *chain) {
	limit := s.c.config.CacheBytes / ShardCount
	total := 0
	for _, ch := range s.chains {
		total += ch.bytes()
	}
	for total > limit && len(s.chains) > 1 {
		oldest := used
		for _, ch := range s.chains {
			if ch.lastUse < oldest.lastUse {
				oldest = ch
			}
		}
		total -= oldest.bytes()
		delete(s.chains, oldest.bucket)
	}
}

// read replaces a segment by what the store holds.
func (s *shard) read(ch *chain, seg *segment) error {
	key := s.id.segmentKey(ch.bucket, seg.number)
	var e kvstore.Entry
	err := s.call(func(ctx context.Context) (err error) {
		e, err = s.c.get(ctx, key)
		return err
	})
	if err != nil {
		return err
	}
	lost, err := seg.update(e.Value, e.Revision)
	if err != nil {
		eventFormat.Log(s.c.config.Logger, "key", key, "error", err)
		return err
	}
	if lost == 0 {
		return nil
	}
	// Cleanup deletes segments too, but only below the floor.
	if err := s.readFloor(); err != nil {
		seg.stale = true
		return err
	}
	if ch.bucket >= s.floor {
		eventLost.Log(s.c.config.Logger, "key", key, "entries", lost)
	}
	return nil
}

// checkFloor reads the floor if a segment exists that may have been created
// after cleanup deleted an earlier one. The order matters: cleanup raises the
// floor before it deletes, so a floor read after the segment was seen covers
// every deletion before its creation.
func (s *shard) checkFloor(ch *chain) error {
	needed := false
	for _, seg := range ch.segments {
		needed = needed || seg.revision != 0 && !seg.checked
	}
	if !needed {
		return nil
	}
	if err := s.readFloor(); err != nil {
		return err
	}
	for _, seg := range ch.segments {
		seg.checked = seg.revision != 0
	}
	return nil
}

func (s *shard) readFloor() error {
	return s.call(func(ctx context.Context) error {
		floor, _, err := s.c.storedFloor(ctx, s.id)
		s.floor = max(s.floor, floor)
		return err
	})
}

// storedFloor returns the floor in the store and its revision.
func (c *Claimer) storedFloor(ctx context.Context, id ShardID) (Bucket, kvstore.Revision, error) {
	e, err := c.get(ctx, id.floorKey())
	if err != nil || e.Revision == 0 {
		return 0, 0, err
	}
	n, err := strconv.ParseUint(string(e.Value), 10, 32)
	return Bucket(n), e.Revision, errors.Wrap(err, "claims: floor")
}

// get returns the entry of key, with revision zero if the key is absent.
func (c *Claimer) get(ctx context.Context, key string) (kvstore.Entry, error) {
	e, err := c.config.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return kvstore.Entry{Key: key}, nil
	}
	return e, err
}
