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

// request is a change that is being submitted, with the state of its attempts.
type request struct {
	kind       RecordKind
	change     lists.Change
	proposal   mesh.Digest
	rollbackTo mesh.Sequence

	// swapRevision is the revision that the last swap of the head with a lost
	// response expected, be it of this call or of an earlier one with the same
	// change ID. While the head still has this revision, the swap may take
	// effect; swapPending is set as long as that is possible.
	swapRevision kvstore.Revision
	swapPending  bool
	// searchedTo is the sequence up to which the audit trail has been searched
	// for the change ID.
	searchedTo mesh.Sequence
	// garbage holds what earlier attempts wrote for versions that were not
	// accepted.
	garbage keyRevisions
}

// keyRevisions maps keys that may be deleted to the revisions that they had.
type keyRevisions map[string]kvstore.Revision

// Propose applies the edits to the latest version and accepts the result as a
// new version. A retry with the same change ID and edits is idempotent: it
// returns the version that the first call made, for as long as the audit trail
// contains it. Edits of entries that other changes touched meanwhile are
// conflicts; edits of other entries are rebased.
//
// The errors are ErrStoreUnavailable (this call changed nothing; the outcome of
// an earlier one that was unknown still is), ErrOutcomeUnknown (retry with the
// same ID), ErrStoreRolledBack, ErrChangeIDReused, ErrBadProposal,
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

// proposalDigest identifies the content of a proposal. It does not depend on
// the order of the edits, the author or the comment.
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

// submit attempts the request until it is accepted or rejected, within the
// limits of Options.MaxAttempts and Options.Timeout.
func (a *Authority) submit(ctx context.Context, r *request) (Accepted, error) {
	if err := r.validate(); err != nil {
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	r.change.Time = a.options.Now().UTC()
	r.garbage = keyRevisions{}
	for attempt := 1; ; attempt++ {
		accepted, err := a.submitOnce(ctx, r)
		if err == nil {
			accepted.Attempts = attempt
			return accepted, nil
		}
		if !errors.Is(err, errRaceLost) {
			return Accepted{}, a.finalError(r, err)
		}
		if attempt >= a.options.MaxAttempts {
			return Accepted{}, a.finalError(r, errors.Mark(err, ErrContention))
		}
		if err := a.backOff(ctx, attempt); err != nil {
			return Accepted{}, a.finalError(r, markStoreError(err, "wait for the next attempt"))
		}
	}
}

// finalError returns ErrOutcomeUnknown instead of err while a swap with a lost
// response may still take effect.
func (a *Authority) finalError(r *request, err error) error {
	if !r.swapPending {
		return err
	}
	eventOutcomeUnknown.Log(a.options.Logger, "change", r.change.ID, "error", err)
	return errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", r.change.ID, err)
}

// backOff waits for the jittered pause after an attempt.
func (a *Authority) backOff(ctx context.Context, attempt int) error {
	delay := time.Duration(a.options.Jitter() * float64(attempt) * float64(a.options.Backoff))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// submitOnce attempts the request once on the head that it reads.
func (a *Authority) submitOnce(ctx context.Context, r *request) (Accepted, error) {
	head, revision, err := a.Head(ctx)
	if err != nil {
		return Accepted{}, err
	}
	accepted, found, err := a.findAccepted(ctx, head, r)
	if err != nil {
		return Accepted{}, err
	}
	// Once the head has moved on without this change, an earlier swap can no
	// longer take effect, because it expects the old revision.
	r.swapPending = r.swapPending && !found && r.swapRevision == revision
	if found {
		return a.checkReuse(ctx, r, head, accepted)
	}
	if a.isRolledBack(head) {
		// Nothing is written, not even the record of the rejection, because the
		// store's address may be wrong.
		eventStoreRolledBack.Log(a.options.Logger, "store", head.Version.Sequence, "held", a.options.ActiveVersion().Sequence)
		return Accepted{}, ErrStoreRolledBack
	}
	next, err := a.prepare(ctx, r, head)
	if err != nil {
		return Accepted{}, err
	}
	return a.accept(ctx, r, head, revision, next)
}

// isRolledBack reports whether the store has rolled back: the active version of
// the node is later than the store's, or another one with the same sequence.
func (a *Authority) isRolledBack(head Head) bool {
	if a.options.ActiveVersion == nil {
		return false
	}
	active := a.options.ActiveVersion()
	return active.Sequence > head.Version.Sequence ||
		active.Sequence == head.Version.Sequence && active.Digest != head.Version.Digest
}

// preparedVersion is a validated and encoded version that is not written yet.
type preparedVersion struct {
	cachedLists
	version mesh.VersionID
}

// prepare applies the edits to the head's lists and validates the result.
func (a *Authority) prepare(ctx context.Context, r *request, head Head) (preparedVersion, error) {
	if len(r.change.Edits) == 0 {
		return preparedVersion{}, ErrNoChange
	}
	base, err := a.loadLists(ctx, head.Version, head.Chunks)
	if errors.Is(err, ErrVersionNotFound) {
		// So many changes were accepted since the head was read that its body has
		// been deleted.
		return preparedVersion{}, errors.Mark(err, errRaceLost)
	}
	if err != nil {
		return preparedVersion{}, err
	}
	next, err := lists.Apply(base, r.change.Edits)
	if err != nil {
		return preparedVersion{}, a.reject(ctx, r, head, err)
	}
	if _, err := lists.Compile(next); err != nil {
		return preparedVersion{}, a.reject(ctx, r, head, err)
	}
	body, err := lists.Encode(next)
	if err != nil {
		return preparedVersion{}, a.reject(ctx, r, head, err)
	}
	digest := mesh.DigestOf(body)
	if digest == head.Version.Digest {
		return preparedVersion{}, ErrNoChange
	}
	return preparedVersion{
		cachedLists: cachedLists{digest: digest, lists: next, body: body},
		version:     mesh.VersionID{Sequence: head.Version.Sequence + 1, Digest: digest},
	}, nil
}
