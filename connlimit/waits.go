// Package connlimit bounds what the clients of a server hold with their connections: the
// number of connections, and for servers of net/http the memory of the request heads.
//
// It is made for many clients that open connections and stop within a request, or do not
// read. Such a connection is closed when another one needs its place or its memory.
package connlimit

import (
	"sync"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/heldmemory"
)

// Kind says what a connection waits for its client to do.
type Kind uint8

// The kinds, by how little is lost if the connection is closed.
const (
	// Nothing means that the server has to act next.
	Nothing Kind = iota
	// Request means that the connection is idle.
	Request
	// Head, Body and Reader mean that a head or a body is incomplete, or that the client
	// does not read a response.
	Head
	Body
	Reader
)

// Waits records what the two sides of a connection wait for. It is safe for concurrent use.
// Only the lock of the account is taken with its lock.
type Waits struct {
	clock boottime.Clock
	held  *heldmemory.Holder

	mu               sync.Mutex
	reading, writing wait
	evicted          bool
}

// wait is what one side of a connection waits for.
type wait struct {
	kind  Kind
	since boottime.Time
}

// NewWaits returns the record of a connection whose memory held accounts for. That can give
// way while the connection waits for its client.
func NewWaits(clock boottime.Clock, held *heldmemory.Holder) *Waits {
	return &Waits{clock: clock, held: held}
}

// SetReading records what the reading side waits for.
func (w *Waits) SetReading(kind Kind) { w.set(&w.reading, kind) }

// SetWriting records whether the writing side waits for the client.
func (w *Waits) SetWriting(writing bool) {
	kind := Nothing
	if writing {
		kind = Reader
	}
	w.set(&w.writing, kind)
}

func (w *Waits) set(side *wait, kind Kind) {
	now := boottime.Time(0)
	if kind != Nothing {
		now = w.clock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	*side = wait{kind, now}
	w.held.Receiving(w.reading.kind != Nothing || w.writing.kind != Nothing)
}

// Reading returns what the reading side waits for.
func (w *Waits) Reading() Kind {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reading.kind
}

// SetEvicted records whether the connection is being closed for others.
func (w *Waits) SetEvicted(evicted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evicted = evicted
}

// State returns what the connection waits for and since when, Nothing once it is being closed
// for others.
func (w *Waits) State() (Kind, boottime.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.evicted:
		return Nothing, 0
	case w.writing.kind != Nothing:
		return w.writing.kind, w.writing.since
	}
	return w.reading.kind, w.reading.since
}

// Victim returns the connection to close for a new one: the one that has been idle for
// longest, or else the one whose client has done nothing for longest, after
// heldmemory.StallTime. It reports false if there is none.
func Victim[C interface {
	comparable
	State() (Kind, boottime.Time)
}](conns map[C]struct{}, now boottime.Time,
) (victim C, found bool) {
	victimIdle, victimSince := false, boottime.Time(0)
	for c := range conns {
		kind, since := c.State()
		idle := kind == Request
		if kind == Nothing || !idle && now-since < heldmemory.StallTime {
			continue
		}
		if !found || idle && !victimIdle || idle == victimIdle && since < victimSince {
			victim, victimIdle, victimSince, found = c, idle, since, true
		}
	}
	return victim, found
}
