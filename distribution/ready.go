package distribution

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// minReadyPeers is the number of ready peers with which a started node compares
// its version before it activates one.
const minReadyPeers = 3

var eventReady = events.Define(1614, hclog.Info, "version comparison finished, node is ready", "None.")

// readyState is what a started node knows about the versions of others. A peer
// may hold an older version than the host used before its restart, so the first
// version that the node accepts is compared before it becomes active.
type readyState struct {
	// sequences holds the highest sequence that each linked peer reported.
	sequences map[mesh.HostID]mesh.Sequence
	// confirming are the linked peers that are ready. Peers that restarted at the
	// same time and still compare their own version confirm nothing.
	confirming map[mesh.HostID]bool
	// storeCompared is set once the accepted version is at least as high as a head
	// that was read from a store that had not rolled back.
	storeCompared bool
	// startedAt is when the comparison started: when the first version was accepted.
	startedAt time.Time
}

// Ready reports whether the node has compared its version with enough peers or
// with the store. It never becomes false again.
func (s *Service) Ready() bool { return s.ready.Load() }

// forgetPeer removes a peer whose link is down.
func (r *readyState) forgetPeer(peer mesh.HostID) {
	delete(r.sequences, peer)
	delete(r.confirming, peer)
}

// recordPeerSequence records the sequence that a peer holds and whether the peer
// is ready.
func (s *Service) recordPeerSequence(from mesh.HostID, sequence mesh.Sequence, ready bool) {
	if s.ready.Load() || sequence == 0 {
		return
	}
	s.mu.Lock()
	if s.comparison.sequences == nil {
		s.comparison.sequences, s.comparison.confirming = map[mesh.HostID]mesh.Sequence{}, map[mesh.HostID]bool{}
	}
	s.comparison.sequences[from] = max(s.comparison.sequences[from], sequence)
	if ready {
		s.comparison.confirming[from] = true
	}
	s.mu.Unlock()
	s.checkReady(s.config.Clock())
}

// markStoreCompared notes that the accepted version is not older than the store's.
func (s *Service) markStoreCompared() {
	s.mu.Lock()
	s.comparison.storeCompared = true
	s.mu.Unlock()
	s.checkReady(s.config.Clock())
}

// checkReady activates the accepted version once it has been compared.
func (s *Service) checkReady(now time.Time) {
	if s.ready.Load() || !s.comparisonComplete(now) {
		return
	}
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	if s.ready.Swap(true) {
		return
	}
	v := s.accepted.Load()
	eventReady.Log(s.config.Logger, "sequence", v.ID.Sequence)
	s.activate(v)
}

// comparisonComplete reports whether the accepted version has been compared with
// the store, with minReadyPeers ready peers while no peer is ahead, or with all
// peers that answered within ReadyTimeout.
func (s *Service) comparisonComplete(now time.Time) bool {
	accepted := s.acceptedID().Sequence
	s.mu.Lock()
	defer s.mu.Unlock()
	if accepted == 0 {
		return false
	}
	if s.comparison.startedAt.IsZero() {
		s.comparison.startedAt = now
	}
	if s.comparison.storeCompared || now.Sub(s.comparison.startedAt) >= s.config.Timing.ReadyTimeout {
		return true
	}
	for _, sequence := range s.comparison.sequences {
		if sequence > accepted {
			return false
		}
	}
	return len(s.comparison.confirming) >= minReadyPeers
}

// activate passes an accepted version to OnVersion. The caller holds acceptMu.
func (s *Service) activate(v *lists.Version) {
	if s.config.OnVersion != nil {
		s.config.OnVersion(v)
	}
}
