package authority

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// Errors of the authority. A refused change is also marked with the error of
// package lists that explains it: lists.ErrConflict, lists.ErrInvalid or
// lists.ErrTooLarge.
var (
	ErrStoreUnavailable = errors.New("authority: the store is unavailable, nothing was accepted")
	ErrOutcomeUnknown   = errors.New("authority: the store's answer was lost, the change may have been accepted; repeat it with the same change ID")
	ErrStoreBehind      = errors.New("authority: the store holds an older version than the fleet")
	ErrNotBehind        = errors.New("authority: the store is not behind, there is nothing to restore")
	ErrChangeReused     = errors.New("authority: the change ID was used for a change with other content")
	ErrBadProposal      = errors.New("authority: malformed proposal")
	ErrNoChange         = errors.New("authority: the lists already have this content")
	ErrContention       = errors.New("authority: other changes were accepted first in every attempt, nothing was accepted")
	ErrChangeNotFound   = errors.New("authority: no accepted change has this ID")
	ErrVersionNotFound  = errors.New("authority: the version is not retained")
	ErrCorrupt          = errors.New("authority: malformed value in the store")
	ErrStaleSummary     = errors.New("authority: the store has a summary of a later version")
)

// errRaceLost means that another change was accepted first.
var errRaceLost = errors.New("authority: lost the race for the head")

// translate marks an error of a read, or of a write before the head, with an
// error of this package.
func translate(err error, action string) error {
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
