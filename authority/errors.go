package authority

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// Errors of the authority. The error of a rejected change may also be an error
// of package lists: lists.ErrConflict, lists.ErrInvalid or lists.ErrTooLarge.
var (
	ErrStoreUnavailable   = errors.New("authority: store unavailable, nothing was accepted")
	ErrOutcomeUnknown     = errors.New("authority: the store's response was lost, the change may have been accepted; retry it with the same change ID")
	ErrStoreRolledBack    = errors.New("authority: the store has rolled back: it holds an older version than the mesh")
	ErrStoreNotRolledBack = errors.New("authority: the store has not rolled back, there is nothing to restore")
	ErrChangeIDReused     = errors.New("authority: the change ID was used for a change with other content")
	ErrBadProposal        = errors.New("authority: malformed proposal")
	ErrNoChange           = errors.New("authority: the lists already have this content")
	ErrContention         = errors.New("authority: other changes were accepted first in every attempt, nothing was accepted")
	ErrChangeNotFound     = errors.New("authority: no accepted change has this ID")
	ErrVersionNotFound    = errors.New("authority: the version is not retained")
	ErrCorrupt            = errors.New("authority: malformed value in the store")
	ErrStaleSummary       = errors.New("authority: the store has a summary of a later version")
)

// errRaceLost means that the attempt must start again from the current head,
// usually because another change was accepted first.
var errRaceLost = errors.New("authority: the head changed during the attempt")

// markStoreError marks an error of a read, or of a write other than the swap of
// the head, with an error of this package.
func markStoreError(err error, action string) error {
	if err == nil {
		return nil
	}
	err = errors.Wrapf(err, "authority: %s", action)
	for _, kind := range []error{
		kvstore.ErrUnavailable, kvstore.ErrRateLimited, kvstore.ErrUnknown,
		context.Canceled, context.DeadlineExceeded,
	} {
		if errors.Is(err, kind) {
			return errors.Mark(err, ErrStoreUnavailable)
		}
	}
	if errors.Is(err, kvstore.ErrConflict) {
		return errors.Mark(err, ErrContention)
	}
	return err
}
