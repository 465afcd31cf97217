package localendpoint

import (
	"cmp"
	"slices"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/departures"
)

const (
	// maxAnnouncementDelay is the longest delay of an announcement that is assumed. One that
	// arrives later than that after the start of this process was sent after the start. The
	// platform only says that announcements may be seconds late.
	maxAnnouncementDelay = 30 * time.Second
	// steadyTime is how long announcements have to arrive, with pauses of maxSteadyPause at
	// most, until their endpoint is taken to be sending them. Endpoints send one about every
	// 1.5 s; delayed ones of an endpoint that has left come to an end.
	steadyTime     = 5 * time.Second
	maxSteadyPause = 2500 * time.Millisecond
	// minLifetime is the time within which an endpoint is assumed not to start and to leave
	// again. Endpoints are often started together with their host, and may be first.
	minLifetime = time.Second
	// maxIncarnations bounds the incarnations that are kept here. One endpoint at a time
	// has the address.
	maxIncarnations = 64
)

// confirmations decides which incarnations of the endpoint may be registered. An
// announcement shows that its endpoint had not left when it sent it, which may have been
// before this process started. An earlier process of the host may have acknowledged since
// that the endpoint leaves, and may have been the only one to know.
type confirmations struct {
	// startedAt and startedAtMs are the start of this process by the boot time and by the
	// time of day.
	startedAt   boottime.Time
	startedAtMs int64
	confirmed   []departures.Incarnation
	// pending are the incarnations that are not confirmed, the latest last.
	pending []pendingIncarnation
}

// pendingIncarnation is an incarnation that is not confirmed.
type pendingIncarnation struct {
	latest Announcement
	// steadySince is the arrival of the first announcement after the latest pause that was
	// longer than maxSteadyPause, and arrivedAt that of the latest one.
	steadySince, arrivedAt boottime.Time
}

func (a Announcement) incarnation() departures.Incarnation {
	return departures.Incarnation{ID: a.ID, StartedAtMs: a.StartedAtMs}
}

// observe records an announcement that arrived now. It reports whether the incarnation is
// confirmed.
func (c *confirmations) observe(a Announcement, now boottime.Time, timeOfDayMs int64) bool {
	isRecent := a.StartedAtMs > c.startedAtMs-minLifetime.Milliseconds() && a.StartedAtMs <= timeOfDayMs
	if isRecent || now-c.startedAt >= maxAnnouncementDelay || slices.Contains(c.confirmed, a.incarnation()) {
		return true
	}
	i := slices.IndexFunc(c.pending, func(p pendingIncarnation) bool { return p.latest.incarnation() == a.incarnation() })
	if i < 0 {
		c.pending = append(c.pending, pendingIncarnation{latest: a, steadySince: now, arrivedAt: now})
		c.pending = c.pending[max(0, len(c.pending)-maxIncarnations):]
		return false
	}
	p := &c.pending[i]
	if a.Sequence <= p.latest.Sequence {
		return false
	}
	if now-p.arrivedAt > maxSteadyPause {
		p.steadySince = now
	}
	p.latest, p.arrivedAt = a, now
	if now-p.steadySince < steadyTime {
		return false
	}
	c.confirm(a.incarnation())
	return true
}

// confirm records that the incarnation had not left when this process started. It returns
// the latest announcement that waits for that.
func (c *confirmations) confirm(i departures.Incarnation) (Announcement, bool) {
	if !slices.Contains(c.confirmed, i) {
		c.confirmed = append(c.confirmed, i)
		c.confirmed = c.confirmed[max(0, len(c.confirmed)-maxIncarnations):]
	}
	var waiting Announcement
	found := false
	c.pending = slices.DeleteFunc(c.pending, func(p pendingIncarnation) bool {
		if p.latest.incarnation() != i {
			return false
		}
		waiting, found = p.latest, true
		return true
	})
	return waiting, found
}

// unconfirmed returns the incarnation that started last of those that are not confirmed. It
// forgets those that isMoot.
func (c *confirmations) unconfirmed(isMoot func(departures.Incarnation) bool) (departures.Incarnation, bool) {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingIncarnation) bool { return isMoot(p.latest.incarnation()) })
	if len(c.pending) == 0 {
		return departures.Incarnation{}, false
	}
	latest := slices.MaxFunc(c.pending, func(a, b pendingIncarnation) int {
		return cmp.Compare(a.latest.StartedAtMs, b.latest.StartedAtMs)
	})
	return latest.latest.incarnation(), true
}
