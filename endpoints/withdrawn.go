package endpoints

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// maxWithdrawn bounds the processes that are kept after they left the registry. An ID
// changes hands a few times while announcements may be late.
const maxWithdrawn = 64

// withdrawals keeps the latest processes that have withdrawn or drained, or were replaced,
// because an announcement that one sent before may arrive late.
type withdrawals []withdrawal

type withdrawal struct {
	id           mesh.EndpointID
	announcement *Announcement
	// until is the time up to which announcements are refused if the process states no
	// instance. A successor may be at its address then, and nothing sent before the
	// withdrawal is valid any longer.
	until time.Time
}

// withdrawnError is ErrWithdrawn with the time after which the process may announce itself
// again, 0 for never.
type withdrawnError struct {
	id         mesh.EndpointID
	retryAfter time.Duration
}

func (e *withdrawnError) Error() string { return ErrWithdrawn.Error() + ": " + string(e.id) }

func (e *withdrawnError) Unwrap() error { return ErrWithdrawn }

// add records that the process has left.
func (w *withdrawals) add(e *Endpoint, now time.Time) {
	a := e.Announcement()
	*w = append(*w, withdrawal{id: e.ID, announcement: a, until: now.Add(a.ttl())})
	*w = (*w)[max(0, len(*w)-maxWithdrawn):]
}

// isLate reports whether the announcement is of a process that has left, and how long the
// announcements of that process are refused, 0 for as long as it is kept.
func (w withdrawals) isLate(id mesh.EndpointID, a *Announcement, now time.Time) (refusedFor time.Duration, isLate bool) {
	for _, left := range w {
		if left.id != id || !left.announcement.isRenewal(a) {
			continue
		}
		if a.Instance != "" {
			return 0, true
		}
		if now.Before(left.until) {
			return left.until.Sub(now), true
		}
	}
	return 0, false
}
