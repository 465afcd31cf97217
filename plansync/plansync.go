// Package plansync decides when a host reads the operator's plan from the store
// and when it asks a peer for it. Of the hosts that reach each other one reads the
// store regularly; its status reports tell the others that their plan is current.
// Hosts that learn of no recent read take over, so that the number of store calls
// does not depend on the number of hosts, and no host depends on another one. The
// package does no I/O and takes the time as an argument.
//
// It is made for many hosts, versions in quick succession, and a store whose calls
// are expensive, that serves only some hosts, or whose watches miss changes.
package plansync

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Fractions of the time within which a new plan must be active.
const (
	// readIntervalFraction is the interval at which the reading host reads the store.
	readIntervalFraction = 0.3
	// takeOverFraction is the age of the latest known read at which another host
	// reads. It allows for one lost status report of the reading host.
	takeOverFraction = 0.45
	// rankDelayFraction delays the take-over of each further host, so that they do
	// not all take over together.
	rankDelayFraction = 0.015
	// initialReadFraction is the interval at which the reading host reads while no
	// plan is known.
	initialReadFraction = 0.1
	// askTimeoutFraction is how long the response of a peer may take before the
	// store is read instead.
	askTimeoutFraction = 0.2
	// localSourceFraction is how long a host waits for one of its own failure domain to
	// have a newer plan before it asks one of another domain. The first host of each domain
	// does not wait.
	localSourceFraction = 0.08
)

const (
	// minFailurePause and maxFailurePause bound the pause after failed reads, which
	// doubles with each of them.
	minFailurePause = 150 * time.Millisecond
	maxFailurePause = 1200 * time.Millisecond
)

// Action is what the host should do now.
type Action uint8

// Actions of a host.
const (
	// Wait means that nothing is due.
	Wait Action = iota
	// ReadStore means that the host reads the store now.
	ReadStore
	// AskPeer means that the host asks a peer for its plan now.
	AskPeer
)

// Stamp identifies a read of the store that showed which version is the newest.
// Hosts pass stamps on in their status reports. Only the first report of a stamp counts,
// so that hosts that get their own reports back do not take them for new reads.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Reader names the host that read and its incarnation.
	Reader string
	// Number counts the reads of the reader.
	Number uint64
	// Recoveries counts the reads of the reader that succeeded after a failed one.
	Recoveries uint64
}

// Read is the latest read that is known to have shown the active version.
type Read struct {
	Stamp Stamp
	// BeganAt is when the read began, by the clock of this host.
	BeganAt boottime.Time
	// Epoch is the latest known epoch of the store, in which the read was made.
	Epoch uint64
}

// Report is what a peer reports about its plan.
type Report struct {
	From mesh.HostID
	// SameDomain is set for peers of the host's own failure domain.
	SameDomain bool
	// KnowsWorkspaces is set for peers whose plans contain the workspaces.
	KnowsWorkspaces bool
	Version         uint64
	// Read is the latest read that the peer knows to have shown that version.
	Read Read
}

// Tracker keeps track of how current the plan of a host is. It is safe for
// concurrent use.
type Tracker struct {
	deadline time.Duration

	mu            sync.Mutex
	activeVersion uint64
	// confirmedAt is when the latest read began that is known to have shown that the
	// active version is the newest.
	confirmedAt boottime.Time
	// latestStamp and latestReadAt are the stamp and the beginning of the latest read that
	// is known to have shown the active version.
	latestStamp  Stamp
	latestReadAt boottime.Time
	// latestByReader holds the latest known stamp of each reader.
	latestByReader map[string]Stamp
	// recoveries counts how often this host or a known reader found the store
	// answering again or restored from a copy.
	recoveries uint64
	// epoch is the latest known epoch of the store, 0 when none is known. latestStamp
	// is of this epoch.
	epoch uint64
	self  string
	// newestKnown is the newest known version, reported by the host newestSource.
	newestKnown  uint64
	newestSource mesh.HostID
	// sourceIsLocal is set when that host is of the own failure domain. waitingSince is
	// when this host began to wait for one that is, 0 when it does not wait.
	sourceIsLocal bool
	waitingSince  boottime.Time
	// domainRank is the number of reachable hosts of the domain that precede this one.
	domainRank int
	// pending is the report of the newest known version. Its read confirms that version
	// once it is active.
	pending      Report
	asked        bool
	askedAt      boottime.Time
	noReadBefore boottime.Time
	failures     int
}

// New returns a tracker without a plan. Self names the host and its incarnation;
// deadline is the time within which a new plan must be active.
func New(self string, deadline time.Duration) *Tracker {
	return &Tracker{self: self, deadline: deadline, latestByReader: map[string]Stamp{}}
}

func (t *Tracker) deadlineFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(t.deadline))
}

// SetActiveVersion records the active version.
func (t *Tracker) SetActiveVersion(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.activeVersion {
		t.activeVersion = version
		t.asked, t.waitingSince = false, 0
		t.latestStamp, t.latestReadAt = Stamp{}, 0
		epoch := t.pending.Read.Epoch
		if t.pending.Version != 0 && t.pending.Version <= version && (epoch == 0 || epoch == t.epoch) {
			t.confirm(t.pending.Read)
		}
	}
}

// RecordEpoch records an epoch of the store. A store that is restored from a copy
// begins a new one; earlier ones are ignored.
func (t *Tracker) RecordEpoch(epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordEpoch(epoch)
}

// recordEpoch reports false for an earlier epoch than the latest. The caller holds the
// lock.
func (t *Tracker) recordEpoch(epoch uint64) bool {
	if epoch <= t.epoch {
		return epoch == t.epoch || epoch == 0
	}
	if t.epoch != 0 {
		t.recoveries++
		t.latestStamp, t.latestReadAt = Stamp{}, 0
	}
	t.epoch = epoch
	return true
}

// Epoch returns the latest known epoch of the store, 0 when none is known.
func (t *Tracker) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// RecordRead records a read of the store that began at the given time and showed, in
// the given epoch, that the active version is the newest. It ignores the read and
// reports false when a later epoch is known.
func (t *Tracker) RecordRead(began boottime.Time, epoch uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.recordEpoch(epoch) {
		return false
	}
	own := t.latestByReader[t.self]
	own.Reader = t.self
	own.Number++
	if t.failures != 0 {
		own.Recoveries++
		t.recoveries++
	}
	t.failures, t.noReadBefore = 0, 0
	t.confirmedAt = max(t.confirmedAt, began)
	t.latestByReader[t.self], t.latestStamp, t.latestReadAt = own, own, began
	return true
}

// RecordFailedRead records a read of the store without a result.
func (t *Tracker) RecordFailedRead(now boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noReadBefore = now + min(minFailurePause<<min(t.failures, 8), maxFailurePause)
	t.failures++
}

// IsNewerKnown reports whether a peer has reported a newer version than the active one
// and may still send it.
func (t *Tracker) IsNewerKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestKnown > t.activeVersion
}

// RecordNoPlan records a read of the store after which no plan is active: there is none
// yet, or the host waits for its peers.
func (t *Tracker) RecordNoPlan(now boottime.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures != 0 {
		t.recoveries++
	}
	t.failures, t.noReadBefore = 0, 0
	t.confirmedAt = max(t.confirmedAt, now)
}

// RecordReport records the report of a peer. A read of an earlier epoch confirms nothing.
func (t *Tracker) RecordReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isCurrent := t.recordEpoch(r.Read.Epoch)
	if r.Version > t.activeVersion && r.Version >= t.pending.Version {
		t.pending = r
	}
	switch {
	case r.Version == t.activeVersion && r.Version != 0 && isCurrent:
		t.confirm(r.Read)
	case r.Version > t.activeVersion && (r.Version > t.newestKnown || r.Version == t.newestKnown && r.SameDomain && !t.sourceIsLocal):
		t.newestKnown, t.newestSource, t.sourceIsLocal = r.Version, r.From, r.SameDomain
	}
}

// SetDomainRank records the number of reachable hosts of the host's failure domain that
// come before it.
func (t *Tracker) SetDomainRank(rank int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domainRank = rank
}

// waitsForLocalSource reports whether the host waits for a host of its own domain to have
// the newest known plan, so that a plan crosses into each domain once. The caller holds
// the lock.
func (t *Tracker) waitsForLocalSource(now boottime.Time) bool {
	if t.sourceIsLocal || t.domainRank == 0 {
		return false
	}
	if t.waitingSince == 0 {
		t.waitingSince = now
	}
	return now-t.waitingSince < t.deadlineFraction(localSourceFraction)
}

// confirm applies a read of another host that showed the active version, or an earlier
// one. The caller holds the lock.
func (t *Tracker) confirm(read Read) {
	known := t.latestByReader[read.Stamp.Reader]
	if read.Stamp.Number <= known.Number {
		return
	}
	if read.Stamp.Recoveries > known.Recoveries {
		t.recoveries++
	}
	t.latestByReader[read.Stamp.Reader] = read.Stamp
	if read.BeganAt >= t.latestReadAt {
		t.latestStamp, t.latestReadAt = read.Stamp, read.BeganAt
	}
	t.confirmedAt = max(t.confirmedAt, read.BeganAt)
}

// LatestRead returns the latest read that is known to have shown the active version.
func (t *Tracker) LatestRead() Read {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Read{Stamp: t.latestStamp, BeganAt: t.latestReadAt, Epoch: t.epoch}
}

// Recoveries returns how often this host, or a reader that it has reports of, read
// the store successfully after a failed read or found it restored from a copy. Leases
// may have expired meanwhile.
func (t *Tracker) Recoveries() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recoveries
}

// Next returns what the host should do now, and which peer it should ask for
// AskPeer. Rank is the number of reachable hosts that come before this one.
func (t *Tracker) Next(now boottime.Time, rank int) (Action, mesh.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt == 0 {
		// A first pause lets the links come up to hosts that have a plan.
		t.confirmedAt = now
	}
	if t.newestKnown > t.activeVersion {
		if !t.asked {
			if t.waitsForLocalSource(now) {
				return Wait, ""
			}
			t.asked, t.askedAt, t.waitingSince = true, now, 0
			return AskPeer, t.newestSource
		}
		if now-t.askedAt < t.deadlineFraction(askTimeoutFraction) {
			return Wait, ""
		}
		// A peer that reports a newer version after this is asked again.
		t.asked, t.newestKnown = false, 0
		if now >= t.noReadBefore {
			return ReadStore, ""
		}
	}
	if now < t.noReadBefore {
		return Wait, ""
	}
	if now-t.confirmedAt >= t.maxReadAge(rank) {
		return ReadStore, ""
	}
	return Wait, ""
}

// maxReadAge returns the age of the latest known read at which this host reads.
func (t *Tracker) maxReadAge(rank int) time.Duration {
	switch {
	case rank == 0 && t.activeVersion == 0:
		return t.deadlineFraction(initialReadFraction)
	case rank == 0:
		return t.deadlineFraction(readIntervalFraction)
	}
	return t.deadlineFraction(takeOverFraction) + time.Duration(rank)*t.deadlineFraction(rankDelayFraction)
}
