package distribution

import (
	"maps"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Errors of acceptance. The accepted version does not change.
var (
	// ErrOlder means that the sequence is not higher than the accepted one.
	ErrOlder = errors.New("distribution: version is not newer than the accepted one")
	// ErrDigest means that the body does not match the digest.
	ErrDigest = errors.New("distribution: body does not match the digest")
	// ErrInvalid means that the body matches its digest but the lists are invalid.
	ErrInvalid = errors.New("distribution: version is invalid")
	// ErrEdits means that edits did not lead to the version.
	ErrEdits = errors.New("distribution: edits do not lead to the version")
)

var (
	eventAccepted = events.Define(1610, hclog.Info, "version accepted", "None.")
	eventRejected = events.Define(1611, hclog.Error, "version rejected, the last valid version stays active",
		"Roll back with a new version: geraniumnotch rollback.")
	eventCorrupt = events.Define(1612, hclog.Warn, "version does not match its digest, pulling from another peer",
		"Check the host that sent it if this repeats.")
	eventConflict = events.Define(1613, hclog.Error, "two versions with the same sequence",
		"The store lost writes. Compare the versions and run geraniumnotch restore.")
)

// pullState is the pull in progress: one version from one peer at a time.
type pullState struct {
	target mesh.VersionID
	from   mesh.HostID
	sentAt time.Time
	whole  bool
	// offers holds the highest version that each peer offered.
	offers map[mesh.HostID]mesh.VersionID
	// failed are the peers that failed to deliver the target version.
	failed map[mesh.HostID]bool
	// retryAt is the time before which no peer is asked again.
	retryAt time.Time
}

func (p *pullState) forgetPeer(h mesh.HostID) {
	delete(p.offers, h)
	if p.from == h {
		p.from = ""
	}
}

// AcceptVersion accepts a version that was read from the store or written to it,
// and announces it to the peers.
func (s *Service) AcceptVersion(v *lists.Version) error {
	if err := s.accept(v, ""); err != nil {
		return err
	}
	s.markStoreCompared()
	return nil
}

// accept replaces the accepted version if the sequence is higher, and announces
// the new one to the peers that have not offered it themselves. The caller has
// verified digest and lists.
func (s *Service) accept(v *lists.Version, from mesh.HostID) error {
	if err := s.replaceAccepted(v); err != nil {
		return err
	}
	eventAccepted.Log(s.config.Logger, "sequence", v.ID.Sequence, "digest", v.ID.Digest.Short(), "from", from)
	s.mu.Lock()
	s.origin = origin{from: from, at: s.config.Clock()}
	if s.pulls.target.Sequence <= v.ID.Sequence {
		s.pulls.from, s.pulls.failed = "", nil
	}
	links := lo.Filter(s.gossipLinks(), func(l *transport.Link, _ int) bool {
		return s.pulls.offers[l.Peer()].Sequence < v.ID.Sequence
	})
	s.mu.Unlock()
	frame, err := transport.EncodeFrame(transport.KindAnnounce, announce{Version: v.ID})
	if err != nil {
		return err
	}
	for _, l := range links {
		if l.Peer() == from {
			continue
		}
		if err := l.SendFrame(transport.KindAnnounce, frame, nil); err != nil {
			eventDropped.Log(s.config.Logger, "host", l.Peer(), "kind", int(transport.KindAnnounce), "error", err)
		}
	}
	s.startAppliedReport()
	s.checkReady(s.config.Clock())
	return nil
}

// replaceAccepted replaces the accepted version. OnVersion runs under acceptMu, so
// that its calls are in the order of sequences.
func (s *Service) replaceAccepted(v *lists.Version) error {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	old := s.accepted.Load()
	if old != nil && v.ID.Sequence <= old.ID.Sequence {
		s.checkConflict(old.ID, v.ID)
		return errors.Wrapf(ErrOlder, "sequence %d, accepted %d", v.ID.Sequence, old.ID.Sequence)
	}
	s.recordStep(old, v)
	s.accepted.Store(v)
	if s.ready.Load() {
		s.activate(v)
	}
	return nil
}

// checkConflict records and logs another version with the sequence of the accepted
// one.
func (s *Service) checkConflict(accepted, other mesh.VersionID) {
	if accepted.Sequence != other.Sequence || accepted.Digest == other.Digest {
		return
	}
	s.mu.Lock()
	reported := s.conflict == other
	s.conflict = other
	s.mu.Unlock()
	if !reported {
		eventConflict.Log(s.config.Logger, "sequence", accepted.Sequence,
			"accepted", accepted.Digest.Short(), "other", other.Digest.Short())
	}
}

func (s *Service) onAnnounce(l *transport.Link, a announce) { s.handleOffer(l.Peer(), a.Version) }

// handleOffer records that a peer holds a version and pulls it if it is newer.
func (s *Service) handleOffer(from mesh.HostID, id mesh.VersionID) {
	s.recordPeerSequence(from, id.Sequence, false)
	accepted := s.acceptedID()
	if id.Sequence <= accepted.Sequence {
		s.checkConflict(accepted, id)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulls.offers == nil {
		s.pulls.offers = map[mesh.HostID]mesh.VersionID{}
	}
	s.pulls.offers[from] = id
	s.startPull(s.config.Clock())
}

// startPull asks a peer for the highest version offered, unless a pull is in
// progress. The caller holds mu.
func (s *Service) startPull(now time.Time) {
	if s.pulls.from != "" || now.Before(s.pulls.retryAt) {
		return
	}
	accepted := s.acceptedID()
	best, from := s.bestOffer(accepted)
	if from == "" || s.isReceivingFrom(from, now) {
		return
	}
	if best != s.pulls.target {
		s.pulls.target, s.pulls.failed, s.pulls.whole = best, map[mesh.HostID]bool{}, false
	}
	s.pulls.from, s.pulls.sentAt = from, now
	s.send(s.peers[from].link, transport.KindPull, pull{Held: accepted, Wanted: best, Whole: s.pulls.whole})
}

// bestOffer returns the highest version offered that is newer than the accepted
// one and not rejected, and a peer to pull it from. Among equal offers it prefers
// the local failure domain. The caller holds mu.
func (s *Service) bestOffer(accepted mesh.VersionID) (mesh.VersionID, mesh.HostID) {
	var best mesh.VersionID
	var from mesh.HostID
	bestIsLocal := false
	for h, id := range s.pulls.offers {
		_, linked := s.peers[h]
		_, rejected := s.rejected[id]
		failed := id == s.pulls.target && s.pulls.failed[h]
		if !linked || rejected || failed || id.Sequence <= accepted.Sequence || id.Sequence < best.Sequence {
			continue
		}
		local := s.isLocal(h)
		if id.Sequence > best.Sequence || (local && !bestIsLocal) {
			best, from, bestIsLocal = id, h, local
		}
	}
	return best, from
}

func (s *Service) isLocal(h mesh.HostID) bool {
	r := s.table.Record(h)
	return r != nil && r.Domain == s.config.Self.Domain
}

// pullFailed marks the peer of the current pull as failed and asks the next one.
// When all peers have failed, it starts over after a delay. The caller holds mu.
func (s *Service) pullFailed(now time.Time) {
	if s.pulls.failed == nil {
		s.pulls.failed = map[mesh.HostID]bool{}
	}
	s.pulls.failed[s.pulls.from] = true
	s.pulls.from = ""
	if _, next := s.bestOffer(s.acceptedID()); next == "" {
		s.pulls.failed = map[mesh.HostID]bool{}
		s.pulls.retryAt = now.Add(s.jitter(s.config.Timing.PullTimeout / 2))
	}
	s.startPull(now)
}

// checkPull ends a pull that exceeds its timeout, or starts one that is due.
func (s *Service) checkPull(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulls.from != "" && now.Sub(s.pulls.sentAt) >= s.config.Timing.PullTimeout && !s.isReceivingFrom(s.pulls.from, now) {
		s.pullFailed(now)
		return
	}
	s.startPull(now)
}

// isReceivingFrom reports whether a frame from a peer is still being received. The
// caller holds mu.
func (s *Service) isReceivingFrom(from mesh.HostID, now time.Time) bool {
	p, linked := s.peers[from]
	return linked && p.link.Receiving() && now.Sub(p.link.LastReceived()) < s.config.Timing.PullTimeout
}

// onPull responds with the accepted version, as edits if the steps from the
// puller's version are still known.
func (s *Service) onPull(l *transport.Link, p pull) {
	v := s.accepted.Load()
	if v == nil || v.ID.Sequence < p.Wanted.Sequence || v.ID.Sequence <= p.Held.Sequence {
		s.send(l, transport.KindVersion, version{Status: versionUnknown, ID: p.Wanted})
		return
	}
	if steps, ok := s.stepsFrom(p.Held, v); ok && !p.Whole {
		response := version{Status: versionEdits, ID: v.ID, Change: v.Change, Base: p.Held, Steps: steps}
		if last := len(steps) - 1; reflect.DeepEqual(steps[last], v.Change.Edits) {
			response.Steps, response.ThenChange = steps[:last], true
		}
		s.send(l, transport.KindVersion, response)
		return
	}
	s.sendWhole(l, v)
}

func (s *Service) sendWhole(l *transport.Link, v *lists.Version) {
	if !s.reserveBodyTransfer(l) {
		s.send(l, transport.KindVersion, version{Status: versionBusy, ID: v.ID})
		return
	}
	written := func() { s.releaseBodyTransfer(l) }
	frame, err := s.wholeBodyFrame(v)
	if err == nil {
		err = l.SendFrame(transport.KindVersion, frame, written)
	}
	if err != nil {
		written()
		eventDropped.Log(s.config.Logger, "host", l.Peer(), "kind", int(transport.KindVersion), "error", err)
	}
}

// reserveBodyTransfer reserves one of MaxConcurrentBodies transfers. It returns
// false if all are in use.
func (s *Service) reserveBodyTransfer(l *transport.Link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lo.Sum(lo.Values(s.bodiesInFlight)) >= s.config.MaxConcurrentBodies {
		return false
	}
	s.bodiesInFlight[l]++
	return true
}

// releaseBodyTransfer ends a reservation, unless the end of the link has done so.
func (s *Service) releaseBodyTransfer(l *transport.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodiesInFlight[l]--; s.bodiesInFlight[l] <= 0 {
		delete(s.bodiesInFlight, l)
	}
}

// onVersion handles the response to a pull.
func (s *Service) onVersion(l *transport.Link, m version) {
	err := s.acceptMessage(l.Peer(), m)
	now := s.config.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, ErrInvalid):
		s.markRejected(m.ID, err)
		eventRejected.Log(s.config.Logger, "sequence", m.ID.Sequence, "digest", m.ID.Digest.Short(), "error", err)
	case errors.Is(err, ErrEdits) && s.pulls.from == l.Peer():
		s.pulls.whole, s.pulls.from = true, ""
		s.startPull(now)
		return
	case err != nil && !errors.Is(err, ErrOlder):
		eventCorrupt.Log(s.config.Logger, "host", l.Peer(), "sequence", m.ID.Sequence, "error", err)
	}
	if s.pulls.from == l.Peer() {
		s.pullFailed(now)
		return
	}
	s.startPull(now)
}

// maxRejected bounds the rejected versions that a node remembers.
const maxRejected = 32

// markRejected records that a version is invalid, so that it is not pulled again. The
// caller holds mu.
func (s *Service) markRejected(id mesh.VersionID, err error) {
	accepted := s.acceptedID().Sequence
	maps.DeleteFunc(s.rejected, func(old mesh.VersionID, _ string) bool {
		return old.Sequence <= accepted || len(s.rejected) >= maxRejected
	})
	s.rejected[id] = err.Error()
}

// acceptMessage builds the version that a message carries and accepts it.
func (s *Service) acceptMessage(from mesh.HostID, m version) error {
	if m.Status == versionBusy || m.Status == versionUnknown {
		return nil
	}
	if m.ID.Sequence <= s.acceptedID().Sequence {
		return ErrOlder
	}
	v, err := s.buildVersion(m)
	if err != nil {
		return err
	}
	return s.accept(v, from)
}
