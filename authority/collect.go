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
	// maxCollected is the number of keys that one change deletes at most.
	maxCollected = 64
	// sweepLimit is the number of chunk keys that one search looks at: all chunks
	// of the recent versions at the largest size, and as many again.
	sweepLimit = 2 * RecentChanges * maxChunks
)

// findGarbage returns the chunks that no version uses once next is accepted,
// with their revisions. It must run after the head was read and before it is
// swapped.
//
// Why a deletion at these revisions is safe: the chunk's revision was read
// before this proposer's successful swap. A concurrent proposer whose version
// needs the chunk either started from an older head, then its swap fails, or it
// started from the new head, then it wrote the chunk anew afterwards (writeBody
// always writes) and the deletion fails.
func (a *Authority) findGarbage(ctx context.Context, head Head, next mesh.VersionID) leftovers {
	garbage := leftovers{}
	for _, key := range a.garbageKeys(ctx, head, next) {
		entry, err := a.store.Get(ctx, key)
		if errors.Is(err, kvstore.ErrNotFound) {
			continue
		}
		if err != nil {
			eventCollection.Log(a.options.Logger, "key", key, "error", err)
			return garbage
		}
		garbage[key] = entry.Revision
	}
	return garbage
}

// garbageKeys names the chunks of the version that next displaces from the
// recent ones and, now and then, all others that no recent version uses.
func (a *Authority) garbageKeys(ctx context.Context, head Head, next mesh.VersionID) []string {
	if len(head.Recent) < a.bounds.recent {
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
	if next.Sequence%a.bounds.sweep == 0 {
		keys = append(keys, a.strayChunks(ctx, used)...)
	}
	keys = lo.Uniq(keys)
	return keys[:min(len(keys), maxCollected)]
}

func usedDigests(recent []Recent, next mesh.Digest) map[string]bool {
	used := map[string]bool{next.String(): true}
	for _, e := range recent {
		used[e.Version.Digest.String()] = true
	}
	return used
}

func (a *Authority) strayChunks(ctx context.Context, used map[string]bool) []string {
	keys, err := a.store.List(ctx, prefixVersion, sweepLimit)
	if err != nil {
		eventCollection.Log(a.options.Logger, "error", err)
		return nil
	}
	return lo.Filter(keys, func(key string, _ int) bool {
		digest, _, _ := strings.Cut(strings.TrimPrefix(key, prefixVersion), "/")
		return !used[digest]
	})
}

// collect deletes the garbage of an accepted change and the oldest audit
// records. It is best effort: what remains is found by a later search.
func (a *Authority) collect(ctx context.Context, head Head, garbage leftovers) {
	used := usedDigests(head.Recent, head.Version.Digest)
	for _, key := range slices.Sorted(maps.Keys(garbage)) {
		digest, _, _ := strings.Cut(strings.TrimPrefix(key, prefixVersion), "/")
		if used[digest] || key == changeKey(head.Version.Sequence, head.Change) {
			continue
		}
		_, err := a.store.CompareAndSwap(ctx, key, nil, garbage[key])
		if err != nil && !errors.Is(err, kvstore.ErrConflict) {
			eventCollection.Log(a.options.Logger, "key", key, "error", err)
			return
		}
	}
	a.collectRecords(ctx, head)
}

// collectRecords deletes the audit records that fall out of the bound.
func (a *Authority) collectRecords(ctx context.Context, head Head) {
	if head.Version.Sequence <= a.bounds.audit {
		return
	}
	oldest := head.Version.Sequence - a.bounds.audit + 1
	keys, err := a.store.List(ctx, prefixChange, maxCollected)
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
		eventCollection.Log(a.options.Logger, "error", err)
	}
}
