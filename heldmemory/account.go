// Package heldmemory bounds the memory that clients can make a process hold: with bodies
// that they have not finished or that wait for an endpoint, with the heads of their
// requests, and with responses that they do not read. It does no I/O and takes the time as
// an argument.
//
// It is made for many clients that send much at once and stop before the end, or read
// nothing. What waits for a client without progress gives way to others that need its
// memory; where nothing does, the new one waits or is refused, and the process lives.
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
	// shortBytes is what a holder may take of the reserve, so that short calls go on while
	// others use all the rest. A call with a form has a few KB, and one that is forwarded
	// holds room for its head and its response.
	shortBytes = 32 << 10
	// reserveFraction of the account is kept for short calls.
	reserveFraction = 0.25
	// overdrawnStallTime replaces StallTime for memory that has been taken already. It is
	// longer than clients that read need for a round trip.
	overdrawnStallTime = 100 * time.Millisecond
)

// headFieldBytes is what a field of a head takes in an http.Header besides its text: a share
// of the map and a slice of values. Heads of 3,000 fields take 84 to 111 bytes a field (Go
// 1.26).
const headFieldBytes = 128

// HeadBytes returns what a head of the given length and number of lines takes once it is
// parsed, with a copy of its text.
func HeadBytes(length, lines int) int64 { return 2*int64(length) + headFieldBytes*int64(lines) }

// Account is the memory that clients may hold. It is safe for concurrent use.
type Account struct {
	clock          boottime.Clock
	limit, reserve int64

	mu   sync.Mutex
	used int64
	// receiving holds those that wait for their client, the one whose progress is oldest
	// first.
	receiving *list.List
	// freed is closed and replaced when memory is returned and waiting is not 0.
	freed   chan struct{}
	waiting int
	// gaveWay and refused count holders.
	gaveWay, refused int64
}

// NewAccount returns an account of the given number of bytes.
func NewAccount(bytes int64, clock boottime.Clock) *Account {
	return &Account{
		clock: clock, limit: bytes, reserve: int64(reserveFraction * float64(bytes)),
		receiving: list.New(), freed: make(chan struct{}),
	}
}

// Holder is the memory of one body, or of the requests of one connection. It is safe for
// concurrent use.
type Holder struct {
	account *Account
	// giveUp ends what holds the memory. It is called without the lock, once.
	giveUp func()
	bytes  int64
	// receiving is set while the holder waits for its client. place is its element in
	// Account.receiving then, nil without memory.
	receiving bool
	place     *list.Element
	// since is when the current measure of progress began, with received bytes so far. It
	// is put off by the time for which the holder has waited for nothing from its client,
	// which began at pausedAt.
	since, pausedAt boottime.Time
	received        int64
	gaveUp          bool
}

// NewHolder returns a holder that has no memory yet. The account calls giveUp when it has to
// give way.
func (a *Account) NewHolder(giveUp func()) *Holder {
	now := a.clock()
	return &Holder{account: a, giveUp: giveUp, since: now, pausedAt: now}
}

// Receiving records whether the holder waits for its client to send or to read. Only such a
// holder can give way: the others do not depend on their client.
func (h *Holder) Receiving(receiving bool) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.gaveUp || receiving == h.receiving {
		return
	}
	now := a.clock()
	if h.receiving = receiving; receiving {
		h.since += now - h.pausedAt
		h.enlist()
		return
	}
	h.pausedAt = now
	h.delist()
}

// enlist adds the holder to those that can give way, if it waits for its client and has
// memory. The caller holds the lock.
func (h *Holder) enlist() {
	if h.receiving && h.bytes > 0 && h.place == nil {
		h.account.insert(h)
	}
}

// delist is the opposite of enlist.
func (h *Holder) delist() {
	if h.place != nil {
		h.account.receiving.Remove(h.place)
		h.place = nil
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

// Received records bytes that the client has sent or read.
func (h *Holder) Received(bytes int) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.received += int64(bytes); h.received >= minProgressBytes && h.place != nil {
		h.since, h.received = a.clock(), 0
		a.receiving.MoveToBack(h.place)
	}
}

// TryGrow takes further memory for the holder if there is any, without waiting.
func (h *Holder) TryGrow(bytes int64) bool {
	ok, _, _ := h.tryGrow(bytes, false)
	return ok
}

// Grow takes further memory for the holder. While there is none, it waits for others to end
// or to give way, for GrowTimeout at most. It reports false if the holder got no memory. The
// holder must not be receiving.
func (h *Holder) Grow(ctx context.Context, bytes int64) bool {
	if h.TryGrow(bytes) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, GrowTimeout)
	defer cancel()
	for {
		ok, wait, freed := h.tryGrow(bytes, true)
		if ok || freed == nil {
			return ok
		}
		timer := time.NewTimer(wait)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			h.account.mu.Lock()
			h.account.waiting--
			h.account.refused++
			h.account.mu.Unlock()
			return false
		}
		timer.Stop()
		h.account.mu.Lock()
		h.account.waiting--
		h.account.mu.Unlock()
	}
}

// Take records memory that is in use already, such as that of a response that has arrived.
// Where it exceeds the account, others that wait for their client give way.
func (h *Holder) Take(bytes int64) {
	a := h.account
	a.mu.Lock()
	if h.gaveUp {
		a.mu.Unlock()
		return
	}
	h.add(bytes)
	ended, _ := a.giveWay(a.limit, overdrawnStallTime)
	a.mu.Unlock()
	for _, other := range ended {
		other.giveUp()
	}
}

// add adds memory to the holder. The measure of its progress begins with the first. The
// caller holds the lock.
func (h *Holder) add(bytes int64) {
	if h.bytes == 0 {
		h.since, h.received = h.account.clock(), 0
		h.pausedAt = h.since
	}
	h.bytes += bytes
	h.account.used += bytes
	h.enlist()
}

// tryGrow takes memory if there is any, for which it has others without progress give way.
// It otherwise returns when to try again: after wait, or once memory is freed. It counts a
// caller that waits then. freed is nil if the holder has given way and gets no memory.
func (h *Holder) tryGrow(bytes int64, waits bool) (ok bool, wait time.Duration, freed <-chan struct{}) {
	a := h.account
	a.mu.Lock()
	limit := a.limit
	if h.bytes+bytes > shortBytes {
		limit -= a.reserve
	}
	var ended []*Holder
	wait = StallTime
	if !h.gaveUp {
		if a.used+bytes > limit && bytes <= limit {
			ended, wait = a.giveWay(limit-bytes, StallTime)
		}
		// The holder itself may have given way.
		if ok = !h.gaveUp && a.used+bytes <= limit; ok {
			h.add(bytes)
		}
	}
	if !ok && waits && !h.gaveUp {
		a.waiting++
		freed = a.freed
	}
	a.mu.Unlock()
	for _, other := range ended {
		other.giveUp()
	}
	return ok, wait, freed
}

// giveWay has holders without progress for the given time give way until no more than limit
// is in use. The caller holds the lock, and ends the returned holders without it. If more is
// in use still, wait is the time until the next one may give way.
func (a *Account) giveWay(limit int64, stallTime time.Duration) (ended []*Holder, wait time.Duration) {
	now := a.clock()
	for a.used > limit {
		oldest := a.receiving.Front()
		if oldest == nil {
			break
		}
		other := oldest.Value.(*Holder)
		if stalled := now - other.since; stalled < stallTime {
			return ended, stallTime - stalled
		}
		a.gaveWay++
		ended = append(ended, other)
		other.leave()
	}
	return ended, stallTime
}

// leave has the holder give way. The caller holds the lock. The memory is free once its
// goroutines have seen the end, within milliseconds.
func (h *Holder) leave() {
	h.delist()
	h.gaveUp = true
	h.account.used -= h.bytes
	h.bytes = 0
}

// Close returns the memory of the holder. Calls after the first have no effect.
func (h *Holder) Close() { h.Shrink(h.bytesHeld()) }

func (h *Holder) bytesHeld() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes
}

// Shrink returns a part of the memory of the holder.
func (h *Holder) Shrink(bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	a.used -= bytes
	if h.bytes == 0 {
		h.delist()
	}
	if bytes > 0 && a.waiting > 0 {
		close(a.freed)
		a.freed = make(chan struct{})
	}
}

// GaveWay reports whether the holder had to give way.
func (h *Holder) GaveWay() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.gaveUp
}

// Usage is the state of an account, for metrics.
type Usage struct {
	Used, Limit int64
	// GaveWay and Refused count the holders that ended for want of memory.
	GaveWay, Refused int64
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Used: a.used, Limit: a.limit, GaveWay: a.gaveWay, Refused: a.refused}
}
