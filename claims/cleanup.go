package claims

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// cleanupBatch bounds the number of segments that one call of Clean deletes.
const cleanupBatch = 256

// ErrNoShard means that a shard number is out of range.
var ErrNoShard = errors.New("claims: no such shard")

// Clean deletes segments of a shard that are past the retention, at most 256, and
// returns their number. It raises the low watermark first, so that a deleted segment
// cannot make an old key valid again. Any host may call it at any time; normally the
// preferred owner of the shard does.
func (c *Claimer) Clean(ctx context.Context, id ShardID) (deleted int, err error) {
	if id >= ShardCount {
		return 0, errors.Wrapf(ErrNoShard, "%d", id)
	}
	defer func() {
		if err != nil {
			eventCleanupFailed.Log(c.config.Logger, "shard", id, "error", err)
		}
	}()
	oldest := c.config.Now().Add(-c.config.Retention)
	if oldest.Unix() < 0 {
		return 0, nil
	}
	lowWatermark, err := c.raiseLowWatermark(ctx, id, bucketAt(oldest))
	if err != nil {
		return 0, err
	}
	return c.deleteBelow(ctx, id, lowWatermark)
}

// raiseLowWatermark raises the stored low watermark to at least target and returns it.
func (c *Claimer) raiseLowWatermark(ctx context.Context, id ShardID, target Bucket) (Bucket, error) {
	stored, revision, err := c.storedLowWatermark(ctx, id)
	if err != nil || stored >= target {
		return stored, err
	}
	value := strconv.AppendUint(nil, uint64(target), 10)
	_, err = c.config.Store.CompareAndSwap(ctx, id.lowWatermarkKey(), value, revision)
	return target, errors.Wrap(err, "claims: raise low watermark")
}

func (c *Claimer) deleteBelow(ctx context.Context, id ShardID, lowWatermark Bucket) (int, error) {
	keys, err := c.config.Store.List(ctx, id.keyPrefix(), cleanupBatch)
	if err != nil {
		return 0, errors.Wrap(err, "claims: list segments")
	}
	deleted := 0
	for _, key := range keys {
		if bucket, ok := id.parseSegmentKey(key); !ok || bucket >= lowWatermark {
			continue
		}
		if err := c.deleteSegment(ctx, key); err != nil {
			return deleted, err
		}
		deleted++
	}
	if deleted > 0 {
		eventCleaned.Log(c.config.Logger, "shard", id, "segments", deleted, "floor", lowWatermark)
	}
	return deleted, nil
}

// deleteSegment deletes a segment below the low watermark. A conflict means that a
// late writer changed it or that another host deleted it; if it still exists, the
// next cleanup deletes it.
func (c *Claimer) deleteSegment(ctx context.Context, key string) error {
	e, err := c.config.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "claims: read expired segment")
	}
	_, err = c.config.Store.CompareAndSwap(ctx, key, nil, e.Revision)
	if errors.Is(err, kvstore.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, "claims: delete expired segment")
}
