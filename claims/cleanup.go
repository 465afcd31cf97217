package claims

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// cleanupBatch bounds the segments that one Clean deletes.
const cleanupBatch = 256

// ErrNoShard means that a shard number is out of range.
var ErrNoShard = errors.New("claims: no such shard")

// Clean deletes segments of a shard that are past the retention, at most 256,
// and returns their number. It raises the floor first, so that a deleted
// segment cannot make an old key valid again. Any host may call it at any time;
// normally the preferred owner of the shard does.
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
	floor, err := c.raiseFloor(ctx, id, bucketOf(oldest))
	if err != nil {
		return 0, err
	}
	return c.deleteBelow(ctx, id, floor)
}

// raiseFloor makes the stored floor at least want and returns it.
func (c *Claimer) raiseFloor(ctx context.Context, id ShardID, want Bucket) (Bucket, error) {
	floor, revision, err := c.storedFloor(ctx, id)
	if err != nil || floor >= want {
		return floor, err
	}
	value := strconv.AppendUint(nil, uint64(want), 10)
	_, err = c.config.Store.CompareAndSwap(ctx, id.floorKey(), value, revision)
	return want, errors.Wrap(err, "claims: raise floor")
}

func (c *Claimer) deleteBelow(ctx context.Context, id ShardID, floor Bucket) (int, error) {
	keys, err := c.config.Store.List(ctx, id.prefix(), cleanupBatch)
	if err != nil {
		return 0, errors.Wrap(err, "claims: list segments")
	}
	deleted := 0
	for _, key := range keys {
		if bucket, ok := id.bucketOfKey(key); !ok || bucket >= floor {
			continue
		}
		if err := c.deleteSegment(ctx, key); err != nil {
			return deleted, err
		}
		deleted++
	}
	if deleted > 0 {
		eventCleaned.Log(c.config.Logger, "shard", id, "segments", deleted, "floor", floor)
	}
	return deleted, nil
}

// deleteSegment deletes a segment below the floor. A conflict means that a late
// writer changed it or that another host deleted it; the next cleanup sees.
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
