package authority

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// maxDomains is the number of failure domains that Summaries expects. Each has
// two keys with the same prefix: its summary and its contacts.
const maxDomains = 64

// WriteSummary writes the convergence summary of a failure domain.
// ErrStaleSummary means that the store has a summary of a later version, which
// is kept.
func (a *Authority) WriteSummary(ctx context.Context, s Summary) error {
	data, err := encode(s)
	if err != nil {
		return err
	}
	for range writeAttempts {
		var entry kvstore.Entry
		if entry, err = a.readSummary(ctx, s); err != nil {
			break
		}
		if string(entry.Value) == string(data) {
			return nil
		}
		_, err = a.store.CompareAndSwap(ctx, summaryKey(s.Domain), data, entry.Revision)
		if err == nil {
			return nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			break
		}
	}
	return markStoreError(err, "write a summary")
}

// readSummary returns the entry that s may replace, or ErrStaleSummary.
func (a *Authority) readSummary(ctx context.Context, s Summary) (kvstore.Entry, error) {
	entry, err := a.store.Get(ctx, summaryKey(s.Domain))
	if errors.Is(err, kvstore.ErrNotFound) {
		return kvstore.Entry{}, nil
	}
	if err != nil {
		return entry, err
	}
	if found, err := decode[Summary](entry, maxSmallValueBytes); err == nil && found.Sequence > s.Sequence {
		return entry, ErrStaleSummary
	}
	return entry, nil
}

// Summaries returns the convergence summaries of all failure domains that have
// written one, in the order of their names. They are no consistent snapshot.
func (a *Authority) Summaries(ctx context.Context) ([]Summary, error) {
	keys, err := a.store.List(ctx, prefixDomain, 2*maxDomains)
	if err != nil {
		return nil, markStoreError(err, "list summaries")
	}
	var summaries []Summary
	for _, key := range keys {
		if !strings.HasSuffix(key, suffixSummary) {
			continue
		}
		entry, err := a.store.Get(ctx, key)
		if errors.Is(err, kvstore.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, markStoreError(err, "read a summary")
		}
		summary, err := decode[Summary](entry, maxSmallValueBytes)
		if err != nil {
			return nil, err
		}
		summaries = append(summaries, summary)
	}
	return summaries, nil
}
