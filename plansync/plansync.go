// Package plansync decides when a host reads the operator's plan from the store
// and when it asks a peer for it. One host of those that reach each other reads
// the store regularly; its reports tell the others that their plan is current.
// Hosts that hear of no recent read take over, so that the number of calls does
// not depend on the number of hosts, and no host depends on another one. The
// package does no I/O and takes the time as an argument.
//
// Load that it answers: many hosts, versions in quick succession, and a store
// whose calls are dear, that serves only some hosts, or that hides changes from
// watches.
package plansync

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Parts of the time within which a plan must be in force.
const (
	// readShare is how often the reading host reads the store.
	readShare = 0.3
	// takeOverShare is the age of the latest known read from which another host
	// reads. It covers one lost report of the reading host.
	takeOverShare = 0.45
	// rankShare delays the take-over of each further host, so that they do not
	// all take over together.
	rankShare = 0.015
	// startShare is how often the reading host reads while no plan is known.
	startShare = 0.1
	// askShare is how long an answer of a peer may take before the store is read
	// instead.
	askShare = 0.2
)

const (
	// failurePauseLeast and failurePauseMost bound the pause after failed reads.
	failurePauseLeast = 150 * time.Millisecond
	failurePauseMost  = 1200 * time.Millisecond
)

// Action is what the host should do now.
type Action uint8

// The actions.
const (
	// Wait means that nothing is due.
	Wait Action = iota
	// ReadStore means that the store is to be read.
	ReadStore
	// AskPeer means that a peer is to be asked for its plan.
	AskPeer
)

// Stamp identifies a read of the store that showed which version is the newest.
// Hosts pass stamps on. A stamp counts when it is first heard of: ages that are
// passed on would lose the time that reports are under way, and hosts that hear
// of their own reports would hold them for news.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Reader names the host that read and its incarnation.
	Reader string
	// Number counts the reads of the reader.
	Number uint64
	// Returns counts the reads of the reader that succeeded after a failed one.
	Returns uint64
}

// Tracker follows how current the plan of a host is. It is safe for concurrent
// use.
type Tracker struct {
	deadline time.Duration

	mu      sync.Mutex
	version uint64
	// confirmed is when the latest news came that the version is the newest, by
	// the read with the stamp latest.
	confirmed boottime.Time
	latest    Stamp
	// readers holds the latest stamp heard of each reader.
	readers map[string]Stamp
	// returns counts the news that the store answers again.
	returns uint64
	self    string
	// wanted is the newest version heard of, from the host source.
	wanted    uint64
	source    mesh.HostID
	asked     bool
	askedAt   boottime.Time
	notBefore boottime.Time
	failures  int
}

// New returns a tracker without a plan. Self names the host and its incarnation;
// deadline is the time within which a new plan must be in force.
func New(self string, deadline time.Duration) *Tracker {
	return &Tracker{self: self, deadline: deadline, readers: map[string]Stamp{}}
}

func (t *Tracker) part(share float64) time.Duration {
	return time.Duration(share * float64(t.deadline))
}

// InForce notes the version that is in force.
func (t *Tracker) InForce(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.version {
		t.version = version
		t.asked = false
		t.latest = Stamp{}
	}
}

// Read notes a read of the store that began at the given time and showed that
// the version in force is the newest.
func (t *Tracker) Read(began boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.readers[t.self]
	own.Reader = t.self
	own.Number++
	if t.failures != 0 {
		own.Returns++
		t.returns++
	}
	t.failures, t.notBefore = 0, 0
	t.confirmed = max(t.confirmed, began)
	t.readers[t.self], t.latest = own, own
	if t.wanted <= t.version {
		return
	}
	// The store is the authority: a peer cannot know a newer version.
	t.wanted = t.version
}

// Failed notes a read of the store without a result.
func (t *Tracker) Failed(now boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notBefore = now + min(failurePauseLeast<<min(t.failures, 8), failurePauseMost)
	t.failures++
}

// Absent notes a read of the store that showed that there is no plan yet.
func (t *Tracker) Absent(now boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = max(t.confirmed, now)
}

// Heard notes the report of a peer: its version, and the latest read that it
// knows to have shown that version.
func (t *Tracker) Heard(from mesh.HostID, version uint64, stamp Stamp, now boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case version == t.version && version != 0:
		known := t.readers[stamp.Reader]
		if stamp.Number <= known.Number {
			return
		}
		if stamp.Returns > known.Returns {
			t.returns++
		}
		t.readers[stamp.Reader] = stamp
		t.latest, t.confirmed = stamp, now
	case version > t.version && version > t.wanted:
		t.wanted, t.source = version, from
	}
}

// Latest returns the stamp of the latest read that is known to have shown the
// version in force.
func (t *Tracker) Latest() Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// Returns counts the times that this host or a reader that it hears of found
// the store answering again after a failed read. Leases may have ended meanwhile.
func (t *Tracker) Returns() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.returns
}

// Next returns what is due. Rank is the number of reachable hosts that come
// before this one.
func (t *Tracker) Next(now boottime.Time, rank int) (Action, mesh.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed == 0 {
		// Links to hosts that have a plan come up first.
		t.confirmed = now
	}
	if t.wanted > t.version {
		if !t.asked {
			t.asked, t.askedAt = true, now
			return AskPeer, t.source
		}
		if now-t.askedAt < t.part(askShare) {
			return Wait, ""
		}
		// The next peer that reports a newer version is asked as well.
		t.asked, t.wanted = false, 0
		if now >= t.notBefore {
			return ReadStore, ""
		}
	}
	if now < t.notBefore {
		return Wait, ""
	}
	if now-t.confirmed >= t.due(rank) {
		return ReadStore, ""
	}
	return Wait, ""
}

// due is the age of the latest known read from which this host reads.
func (t *Tracker) due(rank int) time.Duration {
	switch {
	case rank == 0 && t.version == 0:
		return t.part(startShare)
	case rank == 0:
		return t.part(readShare)
	}
	return t.part(takeOverShare) + time.Duration(rank)*t.part(rankShare)
}
