package authority

import (
	"context"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Limits of a proposal's texts.
const (
	maxAuthorBytes  = 128
	maxCommentBytes = 1024
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// request is a change on its way to the head.
type request struct {
	kind       RecordKind
	change     lists.Change
	proposal   mesh.Digest
	rollbackTo mesh.Sequence

	// swapped is the head's revision that the last swap with a lost answer
	// expected, of this call or an earlier one with the same change ID. While the
	// head still has it, the swap may take effect.
	swapped   kvstore.Revision
	uncertain bool
	// searched is the sequence up to which the audit trail has been searched for
	// the change ID.
	searched mesh.Sequence
	// lost holds what earlier attempts wrote for versions that were not accepted.
	lost leftovers
}

// leftovers are keys that no accepted version uses, with their revisions.
type leftovers map[string]kvstore.Revision

// Propose makes the edits on the latest version and accepts the result as a new
// version. Proposing again with the same change ID and edits is idempotent: it
// returns the version that the first call made, for as long as the audit trail
// reaches. Edits of entries that other changes touched meanwhile are conflicts;
// edits of other entries are rebased.
//
// The errors are ErrStoreUnavailable (this call changed nothing; an earlier one
// with unknown outcome is still open), ErrOutcomeUnknown (repeat with the same
// ID), ErrStoreBehind, ErrChangeReused, ErrBadProposal,
// ErrNoChange, ErrContention, ErrCorrupt, *lists.ConflictError,
// *lists.ProblemsError and lists.ErrTooLarge.
func (a *Authority) Propose(ctx context.Context, p Proposal) (Accepted, error) {
	digest, err := proposalDigest(p.Edits)
	if err != nil {
		return Accepted{}, err
	}
	return a.submit(ctx, &request{
		kind: KindChange, proposal: digest,
		change: lists.Change{ID: p.ChangeID, Author: p.Author, Comment: p.Comment, Edits: p.Edits},
	})
}

// proposalDigest identifies the content of a proposal. The order of the edits
// does not matter; author and comment do not count.
func proposalDigest(edits []lists.Edit) (mesh.Digest, error) {
	if len(edits) > maxDecodedEdits {
		return mesh.Digest{}, errors.Wrapf(lists.ErrTooLarge, "%d edits", len(edits))
	}
	data, err := encode(lists.SortEdits(edits))
	return mesh.DigestOf(data), err
}

func (r *request) validate() error {
	switch {
	case !changeIDPattern.MatchString(string(r.change.ID)):
		return errors.Wrap(ErrBadProposal, "a change ID has 1 to 64 letters, digits, dots, underscores or hyphens")
	case r.change.Author == "" || len(r.change.Author) > maxAuthorBytes:
		return errors.Wrapf(ErrBadProposal, "an author has 1 to %d bytes", maxAuthorBytes)
	case len(r.change.Comment) > maxCommentBytes:
		return errors.Wrapf(ErrBadProposal, "a comment has at most %d bytes", maxCommentBytes)
	}
	return nil
}

// submit tries the request until it is decided, within bounded attempts and
// time.
func (a *Authority) submit(ctx context.Context, r *request) (Accepted, error) {
	if err := r.validate(); err != nil {
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	r.change.Time = a.options.Now().UTC()
	r.lost = leftovers{}
	for attempt := 1; ; attempt++ {
		accepted, err := a.attempt(ctx, r)
		if err == nil {
			accepted.Attempts = attempt
			return accepted, nil
		}
		if !errors.Is(err, errRaceLost) {
			return Accepted{}, a.failed(r, err)
		}
		if attempt >= a.options.Attempts {
			return Accepted{}, a.failed(r, errors.Mark(err, ErrContention))
		}
		if err := a.pause(ctx, attempt); err != nil {
			return Accepted{}, a.failed(r, translate(err, "wait for the next attempt"))
		}
	}
}

// failed returns ErrOutcomeUnknown instead of err while a swap with a lost
// answer may still take effect.
func (a *Authority) failed(r *request, err error) error {
	if !r.uncertain {
		return err
	}
	eventOutcomeUnknown.Log(a.options.Logger, "change", r.change.ID, "error", err)
	return errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", r.change.ID, err)
}

func (a *Authority) pause(ctx context.Context, attempt int) error {
	wait := time.Duration(a.options.Jitter() * float64(attempt) * float64(a.options.Backoff))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// attempt tries the request once on the head that it reads.
func (a *Authority) attempt(ctx context.Context, r *request) (Accepted, error) {
	head, revision, err := a.Head(ctx)
	if err != nil {
		return Accepted{}, err
	}
	accepted, found, err := a.recall(ctx, head, r)
	if err != nil {
		return Accepted{}, err
	}
	// Once the head has moved on without this change, an earlier swap can no
	// longer take effect, because it expects the old revision.
	r.uncertain = r.uncertain && !found && r.swapped == revision
	if found {
		return a.checkReuse(ctx, r, head, accepted)
	}
	if a.isBehind(head) {
		// Nothing is written, not even the refusal: the address may be wrong.
		eventStoreBehind.Log(a.options.Logger, "store", head.Version.Sequence, "held", a.options.Held().Sequence)
		return Accepted{}, ErrStoreBehind
	}
	next, err := a.prepare(ctx, r, head)
	if err != nil {
		return Accepted{}, err
	}
	return a.accept(ctx, r, head, revision, next)
}

// isBehind reports whether the node holds a later version than the store, or
// another one with the same sequence.
func (a *Authority) isBehind(head Head) bool {
	if a.options.Held == nil {
		return false
	}
	held := a.options.Held()
	return held.Sequence > head.Version.Sequence ||
		held.Sequence == head.Version.Sequence && held.Digest != head.Version.Digest
}

// prepared is a version that is ready to be written.
type prepared struct {
	cachedLists
	version mesh.VersionID
}

// prepare makes the edits on the head's lists and validates the result.
func (a *Authority) prepare(ctx context.Context, r *request, head Head) (prepared, error) {
	if len(r.change.Edits) == 0 {
		return prepared{}, ErrNoChange
	}
	base, err := a.listsOf(ctx, head.Version, head.Chunks)
	if errors.Is(err, ErrVersionNotFound) {
		// So many changes landed since the head was read that its body is gone.
		return prepared{}, errors.Mark(err, errRaceLost)
	}
	if err != nil {
		return prepared{}, err
	}
	next, err := lists.Apply(base, r.change.Edits)
	if err != nil {
		return prepared{}, a.refuse(ctx, r, head, err)
	}
	if _, err := lists.Compile(next); err != nil {
		return prepared{}, a.refuse(ctx, r, head, err)
	}
	body, err := lists.Encode(next)
	if err != nil {
		return prepared{}, a.refuse(ctx, r, head, err)
	}
	digest := mesh.DigestOf(body)
	if digest == head.Version.Digest {
		return prepared{}, ErrNoChange
	}
	return prepared{
		cachedLists: cachedLists{digest: digest, lists: next, body: body},
		version:     mesh.VersionID{Sequence: head.Version.Sequence + 1, Digest: digest},
	}, nil
}
