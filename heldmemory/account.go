// Package heldmemory bounds the memory that clients can make a process hold with bodies
// that they have not finished or that wait for an endpoint. It does no I/O and takes the
// time as an argument.
//
// It is made for many clients that send long bodies at once and stop before their end. A
// body without progress gives way to one that needs its memory; where none does, the new
// one waits or is refused, and the process lives.
package heldmemory

import (
	"container/list"
	"context"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
)

const (
	// StallTime is the time without progress after which a body gives way to others. A
	// client on a slow mobile link goes on within a second.
	StallTime = time.Second
	// GrowTimeout is how long a body waits for memory. It is longer than StallTime, so that
	// bodies without progress are given up first; bodies that wait for each other are
	// refused after it.
	GrowTimeout = 1500 * time.Millisecond
	// minProgressBytes is what a body must receive within StallTime to count as one that
	// makes progress: 16 kbit/s. A client that sends a byte a second does not.
	minProgressBytes = 2 << 10
	// shortBytes is the length up to which a body may use the reserve, so that short
	// calls go on while long bodies use all the rest. A call with a form has a few KB.
	shortBytes = 16 << 10
	// reserveFraction of the account is kept for short bodies.
	reserveFraction = 0.25
)

// Account is the memory that bodies may hold. It is safe for concurrent use.
type Account struct {
	clock          boottime.Clock
	limit, reserve int64

	mu   sync.Mutex
	used int64
	// receiving holds the bodies that wait for bytes of their client, the one whose
	// progress is oldest first.
	receiving *list.List
	// freed is closed and replaced when memory is returned.
	freed chan struct{}
	// gaveWay and refused count bodies.
	gaveWay, refused int64
}

// NewAccount returns an account of the given number of bytes.
func NewAccount(bytes int64, clock boottime.Clock) *Account {
	return &Account{
		clock: clock, limit: bytes, reserve: int64(reserveFraction * float64(bytes)),
		receiving: list.New(), freed: make(chan struct{}),
	}
}

// Holder is the memory of one body. The methods of one Holder are called by one goroutine
// at a time, but for Close.
type Holder struct {
	account *Account
	// giveUp ends the body. It is called without the lock, once.
	giveUp func()
	bytes  int64
	// place is the holder's element in receiving, nil while it waits for no bytes.
	place *list.Element
	// since is when the current measure of progress began, with received bytes so far. It
	// is put off by the time for which the body has waited for nothing from its client,
	// which began at pausedAt.
	since, pausedAt boottime.Time
	received        int64
	gaveUp          bool
}

// NewHolder returns the holder of a body that has no memory yet. The account calls giveUp
// when the body has to give way.
func (a *Account) NewHolder(giveUp func()) *Holder {
	now := a.clock()
	return &Holder{account: a, giveUp: giveUp, since: now, pausedAt: now}
}

// Receiving records whether the body waits for bytes of its client. Only such a body can
// give way: the others do not depend on their client.
func (h *Holder) Receiving(receiving bool) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case h.gaveUp || receiving == (h.place != nil):
	case receiving:
		h.since += a.clock() - h.pausedAt
		a.insert(h)
	default:
		a.receiving.Remove(h.place)
		h.place, h.pausedAt = nil, a.clock()
	}
}

// insert adds a holder to receiving in the order of since. The caller holds the lock.
func (a *Account) insert(h *Holder) {
	before := a.receiving.Back()
	for before != nil && before.Value.(*Holder).since > h.since {
		before = before.Prev()
	}
	if before == nil {
		h.place = a.receiving.PushFront(h)
		return
	}
	h.place = a.receiving.InsertAfter(h, before)
}

// Received records bytes of the client.
func (h *Holder) Received(bytes int) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.received += int64(bytes); h.received >= minProgressBytes && h.place != nil {
		h.since, h.received = a.clock(), 0
		a.receiving.MoveToBack(h.place)
	}
}

// Grow takes further memory for the body. While there is none, it waits for other bodies
// to end or to give way, for GrowTimeout at most. It reports false if the body got no
// memory. The body must not be receiving.
func (h *Holder) Grow(ctx context.Context, bytes int64) bool {
	ctx, cancel := context.WithTimeout(ctx, GrowTimeout)
	defer cancel()
	for {
		ok, wait, freed := h.tryGrow(bytes)
		if ok {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			h.account.mu.Lock()
			h.account.refused++
			h.account.mu.Unlock()
			return false
		}
		timer.Stop()
	}
}

// tryGrow takes memory if there is any, for which it has bodies without progress give way.
// It otherwise returns when to try again: after wait, or once memory is freed.
func (h *Holder) tryGrow(bytes int64) (ok bool, wait time.Duration, freed <-chan struct{}) {
	a := h.account
	a.mu.Lock()
	if h.gaveUp {
		a.mu.Unlock()
		return false, StallTime, a.freed
	}
	limit := a.limit
	if h.bytes+bytes > shortBytes {
		limit -= a.reserve
	}
	var ended []*Holder
	now := a.clock()
	wait = StallTime
	for a.used+bytes > limit {
		oldest := a.receiving.Front()
		if oldest == nil {
			break
		}
		other := oldest.Value.(*Holder)
		if stalled := now - other.since; stalled < StallTime {
			wait = StallTime - stalled
			break
		}
		a.gaveWay++
		ended = append(ended, other)
		other.leave()
	}
	if ok = a.used+bytes <= limit; ok {
		a.used += bytes
		h.bytes += bytes
	}
	freed = a.freed
	a.mu.Unlock()
	for _, other := range ended {
		other.giveUp()
	}
	return ok, wait, freed
}

// leave has the body give way. The caller holds the lock. Its memory is free once its
// goroutine has seen the end of the body, within milliseconds.
func (h *Holder) leave() {
	h.account.receiving.Remove(h.place)
	h.place, h.gaveUp = nil, true
	h.account.used -= h.bytes
	h.bytes = 0
}

// Close returns the memory of the body. Calls after the first have no effect.
func (h *Holder) Close() { h.Shrink(h.bytesHeld()) }

func (h *Holder) bytesHeld() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes
}

// Shrink returns a part of the memory of the body.
func (h *Holder) Shrink(bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	a.used -= bytes
	if h.bytes == 0 && h.place != nil {
		a.receiving.Remove(h.place)
		h.place = nil
	}
	if bytes > 0 {
		close(a.freed)
		a.freed = make(chan struct{})
	}
}

// GaveWay reports whether the body had to give way.
func (h *Holder) GaveWay() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.gaveUp
}

// Usage is the state of an account, for metrics.
type Usage struct {
	Used, Limit int64
	// GaveWay and Refused count the bodies that ended for want of memory.
	GaveWay, Refused int64
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Used: a.used, Limit: a.limit, GaveWay: a.gaveWay, Refused: a.refused}
}
