// Package freshness decides when a host reads the operator's plan from the store
// and when it asks a peer for it. One host of those that reach each other reads
// the store regularly; its reports tell the others that their plan is current.
// Hosts that hear of no recent read take over, so that the number of calls does
// not depend on the number of hosts, and no host depends on another one. The
// package does no I/O and takes the time as an argument.
//
// Load that it answers: many hosts, versions in quick succession, and a store
// whose calls are dear, that serves only some hosts, or that hides changes from
// watches.
package freshness

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
	// mateShare is how long each host of a failure domain leaves the fetching of a
	// version to the hosts of its domain with a lower rank.
	mateShare = 0.075
	// askShare is how long an answer of a peer may take before it is asked again
	// or the store is read instead.
	askShare = 0.15
)

const (
	// startPauseLeast and startPauseMost bound the pause between reads while no
	// plan is known.
	startPauseLeast = 100 * time.Millisecond
	startPauseMost  = 400 * time.Millisecond
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

// Tracker follows how current the plan of a host is. It is safe for concurrent
// use.
type Tracker struct {
	deadline time.Duration

	mu      sync.Mutex
	version uint64
	// confirmed is the latest time at which the version was known to be the
	// newest.
	confirmed boottime.Time
	// wanted is the newest version heard of, from the host source.
	wanted      uint64
	wantedSince boottime.Time
	source      mesh.HostID
	sourceMate  bool
	askedAt     boottime.Time
	asked       bool
	notBefore   boottime.Time
	failures    int
}

// New returns a tracker without a plan. Deadline is the time within which a new
// plan must be in force.
func New(deadline time.Duration) *Tracker { return &Tracker{deadline: deadline} }

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
	}
}

// Read notes a read of the store that began at the given time and showed that
// the version in force is the newest.
func (t *Tracker) Read(began boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures, t.notBefore = 0, 0
	t.confirmed = max(t.confirmed, began)
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
	least, most := failurePauseLeast, failurePauseMost
	if t.version == 0 {
		least, most = startPauseLeast, startPauseMost
	}
	t.notBefore = now + min(least<<min(t.failures, 8), most)
	t.failures++
}

// Heard notes the report of a peer: its version, and how long ago that was known
// to be the newest. Mate is set for peers of the same failure domain.
func (t *Tracker) Heard(from mesh.HostID, mate bool, version uint64, age time.Duration, now boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case version == t.version && version != 0:
		t.confirmed = max(t.confirmed, now-age)
	case version > t.version:
		if t.wanted <= t.version {
			t.wantedSince = now
		}
		if version > t.wanted || (mate && !t.sourceMate && version == t.wanted) {
			t.wanted, t.source, t.sourceMate = version, from, mate
		}
	}
}

// Age returns how long ago the version in force was known to be the newest.
func (t *Tracker) Age(now boottime.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.confirmed
}

// Next returns what is due. Rank is the number of reachable hosts that come
// before this one, mates that of its failure domain.
func (t *Tracker) Next(now boottime.Time, rank, mates int) (Action, mesh.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wanted > t.version && t.version > 0 {
		return t.fetch(now, mates)
	}
	if now < t.notBefore {
		if t.wanted > t.version && t.failures > 2 {
			return t.ask(now)
		}
		return Wait, ""
	}
	if t.version == 0 {
		return ReadStore, ""
	}
	due := t.part(readShare)
	if rank > 0 {
		due = t.part(takeOverShare) + time.Duration(rank)*t.part(rankShare)
	}
	if now-t.confirmed >= due {
		return ReadStore, ""
	}
	return Wait, ""
}

// fetch gets a version that a peer has: from a host of the same failure domain,
// or else from the store, where it costs no bytes between domains.
func (t *Tracker) fetch(now boottime.Time, mates int) (Action, mesh.HostID) {
	if t.sourceMate || t.failures > 0 {
		if action, host := t.ask(now); action != Wait {
			return action, host
		}
	}
	if t.asked && now-t.askedAt < t.part(askShare) || now < t.notBefore {
		return Wait, ""
	}
	if now-t.wantedSince >= time.Duration(mates)*t.part(mateShare) {
		return ReadStore, ""
	}
	return Wait, ""
}

func (t *Tracker) ask(now boottime.Time) (Action, mesh.HostID) {
	if t.asked && now-t.askedAt < 2*t.part(askShare) {
		return Wait, ""
	}
	t.asked, t.askedAt = true, now
	return AskPeer, t.source
}
