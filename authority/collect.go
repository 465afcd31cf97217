package authority

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// maxDeletedKeys limits the chunks that findGarbage returns and, separately,
	// the audit records that one change deletes.
	maxDeletedKeys = 64
	// maxSweptKeys is the number of chunk keys that one search for unused chunks
	// lists: all chunks of the recent versions at the largest size, and as many
	// again.
	maxSweptKeys = 2 * MaxRecentChanges * maxChunks
)

// findGarbage returns the chunks that no version uses once next is accepted,
// with their revisions. It must run after the head was read and before it is
// swapped.
//
// It is safe to delete the chunks at these revisions, because the revisions were
// read before this proposer's successful swap. A concurrent proposer whose
// version needs a chunk started either from an older head, and then its swap
// fails, or from the new head, and then it wrote the chunk again afterwards
// (writeBody always writes) and the deletion fails.
func (a *Authority) findGarbage(ctx context.Context, head Head, next mesh.VersionID) keyRevisions {
	garbage := keyRevisions{}
	for _, key := range a.garbageKeys(ctx, head, next) {
		entry, err := a.store.Get(ctx, key)
		if errors.Is(err, kvstore.ErrNotFound) {
			continue
		}
		if err != nil {
			eventDeleteFailed.Log(a.options.Logger, "key", key, "error", err)
			return garbage
		}
		garbage[key] = entry.Revision
	}
	return garbage
}

// garbageKeys returns the chunks of the version that next removes from the
// recent ones. At every sweep it adds all other chunks that no recent version
// uses.
func (a *Authority) garbageKeys(ctx context.Context, head Head, next mesh.VersionID) []string {
	if len(head.Recent) < a.bounds.recentChanges {
		return nil
	}
	oldest := head.Recent[0]
	used := usedDigests(head.Recent[1:], next.Digest)
	var keys []string
	if !used[oldest.Version.Digest.String()] {
		for i := range oldest.Chunks {
			keys = append(keys, chunkKey(oldest.Version.Digest, i))
		}
	}
	if next.Sequence%a.bounds.sweepInterval == 0 {
		keys = append(keys, a.unusedChunks(ctx, used)...)
	}
	keys = lo.Uniq(keys)
	return keys[:min(len(keys), maxDeletedKeys)]
}

func usedDigests(recent []RecentChange, next mesh.Digest) map[string]bool {
	used := map[string]bool{next.String(): true}
	for _, e := range recent {
		used[e.Version.Digest.String()] = true
	}
	return used
}

// unusedChunks lists the chunks in the store whose digest is not in used.
func (a *Authority) unusedChunks(ctx context.Context, used map[string]bool) []string {
	keys, err := a.store.List(ctx, prefixVersion, maxSweptKeys)
	if err != nil {
		eventDeleteFailed.Log(a.options.Logger, "error", err)
		return nil
	}
	return lo.Filter(keys, func(key string, _ int) bool {
		digest, _, _ := strings.Cut(strings.TrimPrefix(key, prefixVersion), "/")
		return !used[digest]
	})
}

// collectGarbage deletes the garbage of an accepted change and the oldest audit
// records. It is best effort: a later sweep finds what remains.
func (a *Authority) collectGarbage(ctx context.Context, head Head, garbage keyRevisions) {
	used := usedDigests(head.Recent, head.Version.Digest)
	for _, key := range slices.Sorted(maps.Keys(garbage)) {
		digest, _, _ := strings.Cut(strings.TrimPrefix(key, prefixVersion), "/")
		if used[digest] || key == changeKey(head.Version.Sequence, head.Change) {
			continue
		}
		_, err := a.store.CompareAndSwap(ctx, key, nil, garbage[key])
		if err != nil && !errors.Is(err, kvstore.ErrConflict) {
			eventDeleteFailed.Log(a.options.Logger, "key", key, "error", err)
			return
		}
	}
	a.deleteOldRecords(ctx, head)
}

// deleteOldRecords deletes the audit records beyond the newest auditRecords.
func (a *Authority) deleteOldRecords(ctx context.Context, head Head) {
	if head.Version.Sequence <= a.bounds.auditRecords {
		return
	}
	oldest := head.Version.Sequence - a.bounds.auditRecords + 1
	keys, err := a.store.List(ctx, prefixChange, maxDeletedKeys)
	for _, key := range keys {
		sequence, _, ok := parseChangeKey(key)
		if !ok || sequence >= oldest {
			continue
		}
		var entry kvstore.Entry
		if entry, err = a.store.Get(ctx, key); err == nil {
			_, err = a.store.CompareAndSwap(ctx, key, nil, entry.Revision)
		}
	}
	if err != nil {
		eventDeleteFailed.Log(a.options.Logger, "error", err)
	}
}
