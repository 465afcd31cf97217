// Package departures holds which endpoints of a host have left. A late announcement
// must not bring such an endpoint back, neither at its host, whose process may have
// restarted since, nor at the hosts that send calls to it.
package departures

import (
	"slices"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// MaxShared is the number of departures that hosts tell each other and keep in the
// store. Announcements are a few seconds late at most, in which few endpoints leave a
// host.
const MaxShared = 8

// Departure is an incarnation of an endpoint that has announced that it drains, has
// deregistered, or has stated in a response that it leaves. It covers the earlier
// incarnations with its ID.
type Departure struct {
	_  struct{} `cbor:",toarray"`
	ID mesh.EndpointID
	// StartedAtMs is the time of day at which the incarnation started.
	StartedAtMs int64
}

// Incarnation identifies a start of an endpoint.
type Incarnation struct {
	_  struct{} `cbor:",toarray"`
	ID mesh.EndpointID
	// StartedAtMs is the time of day at which it started.
	StartedAtMs int64
}

// List holds departures, the latest last. Its methods return new lists and change none.
type List []Departure

// Covers reports whether the incarnation, or a later one with its ID, has left.
func (l List) Covers(id mesh.EndpointID, startedAtMs int64) bool {
	return slices.ContainsFunc(l, func(d Departure) bool { return d.ID == id && startedAtMs <= d.StartedAtMs })
}

// Add returns the list with the departures that it does not cover. It drops the oldest
// ones beyond the limit.
func (l List) Add(limit int, added ...Departure) List {
	for _, d := range added {
		if l.Covers(d.ID, d.StartedAtMs) {
			continue
		}
		next := make(List, 0, len(l)+1)
		for _, known := range l {
			if known.ID != d.ID {
				next = append(next, known)
			}
		}
		l = append(next, d)
	}
	return l.Latest(limit)
}

// Without returns the departures that the other list does not cover.
func (l List) Without(other List) List {
	var rest List
	for _, d := range l {
		if !other.Covers(d.ID, d.StartedAtMs) {
			rest = append(rest, d)
		}
	}
	return rest
}

// Latest returns the latest n departures.
func (l List) Latest(n int) List { return l[max(0, len(l)-n):] }
