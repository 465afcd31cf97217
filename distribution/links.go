package distribution

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/overlay"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// overlayDebounce is the minimum time between two computations of the overlay.
	overlayDebounce = 200 * time.Millisecond
	// passiveDelay is how long a node waits for a peer that is expected to dial
	// before it dials itself.
	passiveDelay = 1500 * time.Millisecond
	// stableLinkAge is the age from which a link counts as stable: when it ends, the
	// backoff of its dials starts anew.
	stableLinkAge = 5 * time.Second
	// unusedLinkTimeout is the age at which a link is closed that the overlay does
	// not want and no direct message has used. Links to seeds are such links; at
	// 750 hosts a common seed kept over a hundred of them for the whole idle timeout.
	unusedLinkTimeout = 5 * time.Second
	// suspectAfterFailures is the number of failed dials after which a monitored
	// host is suspected.
	suspectAfterFailures = 2
	// suspicionIntervalMin and suspicionIntervalMax bound the time between two
	// suspicions of the same host while the link to it stays down.
	suspicionIntervalMin = 10 * time.Second
	suspicionIntervalMax = 5 * time.Minute
	// maxOnDemandFrames bounds the frames queued for a link that is opened on demand.
	maxOnDemandFrames = 16
)

var eventDropped = events.Define(1602, hclog.Debug, "message dropped, send queue full or link closed",
	"None; the periodic exchange repairs it. Frequent drops mean an overloaded peer.")

// ErrUnknownHost means that no live host has that ID, or that the message may
// not open a link to the remote failure domain of the host.
var ErrUnknownHost = errors.New("distribution: unknown host, or host of a remote failure domain")

// opensCrossDomainLinks are the kinds of messages that open a link on demand to
// a host of a remote failure domain. They are needed because a shard of
// idempotency keys has one owner for all domains.
var opensCrossDomainLinks = map[transport.Kind]bool{transport.KindClaimRequest: true, transport.KindClaimReply: true}

// dialState is the state of the dials to a host to which there is no link.
type dialState struct {
	dialing  bool
	failures int
	backoff  time.Duration
	nextDial time.Time
	// suspicionInterval grows with each suspicion while the link is down, so that a
	// host that refutes is not suspected again and again.
	suspicionInterval time.Duration
	nextSuspicion     time.Time
	onDemandFrames    []onDemandFrame
}

type onDemandFrame struct {
	kind  transport.Kind
	frame []byte
}

func (s *Service) linkUp(l *transport.Link) {
	s.mu.Lock()
	if s.manager.Link(l.Peer()) != l {
		// A newer link replaced this one before this callback ran.
		s.mu.Unlock()
		return
	}
	dial := s.dials[l.Peer()]
	_, inOverlay := s.overlay.Dial[l.Peer()]
	p := &peer{link: l, onDemand: !inOverlay && (!l.Dialed() || (dial != nil && len(dial.onDemandFrames) > 0))}
	s.discardIsolatedDeclarations()
	s.peers[l.Peer()] = p
	p.lastBackoff = s.config.Timing.RedialMin
	if dial != nil {
		p.lastBackoff = max(p.lastBackoff, dial.backoff)
	}
	delete(s.dials, l.Peer())
	s.seeds.resetBackoff()
	s.resetReport(l.Peer())
	s.mu.Unlock()
	if l.Dialed() {
		s.sendHello(l, p.onDemand)
	}
	if dial == nil {
		return
	}
	for _, f := range dial.onDemandFrames {
		if err := l.SendFrame(f.kind, f.frame, nil); err != nil {
			eventDropped.Log(s.config.Logger, "host", l.Peer(), "kind", int(f.kind), "error", err)
		}
	}
}

// discardIsolatedDeclarations discards the hosts that this node declared dead
// when it gets its first link after it had none: a node without links was
// isolated itself, so its declarations say nothing about the other hosts.
func (s *Service) discardIsolatedDeclarations() {
	if len(s.peers) == 0 {
		s.table.RemoveDeclaredDead()
	}
}

func (s *Service) linkDown(l *transport.Link, _ error) {
	s.mu.Lock()
	delete(s.bodiesInFlight, l)
	p, ok := s.peers[l.Peer()]
	if !ok || p.link != l {
		s.mu.Unlock()
		return
	}
	delete(s.peers, l.Peer())
	now := s.config.Clock()
	if dials, inOverlay := s.overlay.Dial[l.Peer()]; inOverlay && !s.leaving {
		s.scheduleDial(l.Peer(), dials, now)
		s.keepBackoff(p, now)
	}
	s.pulls.forgetPeer(l.Peer())
	s.comparison.forgetPeer(l.Peer())
	s.mu.Unlock()
	s.wakeLoop()
}

// keepBackoff continues the backoff of a short-lived link, so that a peer that
// accepts links and closes them is not dialed at full speed. The caller holds mu.
func (s *Service) keepBackoff(p *peer, now time.Time) {
	d := s.dials[p.link.Peer()]
	if now.Sub(p.link.Opened()) >= stableLinkAge {
		return
	}
	d.backoff = s.dialBackoff(p.lastBackoff)
	d.nextDial = d.nextDial.Add(d.backoff)
}

// scheduleDial schedules the first dial to a host that the overlay wants a link
// to. If the peer is expected to dial, it gets passiveDelay to do so. The caller holds mu.
func (s *Service) scheduleDial(host mesh.HostID, dials bool, now time.Time) {
	if _, planned := s.dials[host]; planned {
		return
	}
	delay := time.Duration(s.config.Rand() * float64(s.config.Timing.RedialMin))
	if !dials {
		delay += passiveDelay
	}
	s.dials[host] = &dialState{nextDial: now.Add(delay), backoff: s.config.Timing.RedialMin}
}

// sendHello sends the hello that opens a link. The accepting side sends its hello
// in response to that of the dialing side, so that its table digest covers all
// that it does not send over the link later.
func (s *Service) sendHello(l *transport.Link, onDemand bool) {
	self := s.table.Self()
	s.send(l, transport.KindHello, hello{
		Host: self.Host, Domain: self.Domain, Incarnation: self.Incarnation,
		Version: s.acceptedID(), TableDigest: s.table.Digest(), OnDemand: onDemand, Unready: !s.ready.Load(),
	})
}

func (s *Service) onHello(l *transport.Link, h hello) {
	if h.Host != l.Peer() {
		eventMalformed.Log(s.config.Logger, "host", l.Peer(), "hello_from", h.Host)
		l.Close()
		return
	}
	s.mu.Lock()
	p, ok := s.peers[l.Peer()]
	if !ok || p.link != l {
		s.mu.Unlock()
		return
	}
	first, onDemand := !p.helloReceived, p.onDemand
	p.helloReceived, p.peerOnDemand = true, h.OnDemand
	s.mu.Unlock()
	if first && !l.Dialed() {
		s.sendHello(l, onDemand)
	}
	if h.OnDemand && onDemand {
		return
	}
	s.recordPeerSequence(l.Peer(), h.Version.Sequence, !h.Unready)
	s.handleOffer(l.Peer(), h.Version)
	if l.Dialed() && h.TableDigest != s.table.Digest() {
		s.compareTables(l)
	}
}

// refreshOverlay computes the links that the overlay wants when the members
// changed.
func (s *Service) refreshOverlay(now time.Time) {
	view := s.table.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || view.Generation == s.overlayGeneration || now.Sub(s.overlayComputedAt) < overlayDebounce {
		return
	}
	s.overlayGeneration, s.overlayComputedAt = view.Generation, now
	s.overlay = overlay.Compute(view, s.config.Self.Host)
	s.markReportChanged(now)
	for h, dials := range s.overlay.Dial {
		p, linked := s.peers[h]
		if !linked {
			s.scheduleDial(h, dials, now)
		} else if p.onDemand {
			p.onDemand = false
			s.sendHello(p.link, false)
		}
	}
	for h, d := range s.dials {
		if _, inOverlay := s.overlay.Dial[h]; !inOverlay && len(d.onDemandFrames) == 0 && !d.dialing {
			delete(s.dials, h)
		}
	}
}

// checkLinks pings silent links and closes broken and unneeded ones. Silence in
// either direction leads to a ping, because a peer that is busy sending a large
// body also needs to receive something before its link timeout.
func (s *Service) checkLinks(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pingCount++
	for h, p := range s.peers {
		silence := now.Sub(p.link.LastReceived())
		switch {
		case silence >= s.config.Timing.LinkTimeout:
			go p.link.Close()
		case s.isUnneeded(h, p, now):
			p.link.CloseAfterWrites()
		case max(silence, now.Sub(p.link.LastSent())) >= s.config.Timing.PingAfter &&
			now.Sub(p.lastPing) >= s.config.Timing.PingAfter/2:
			p.lastPing = now
			s.send(p.link, transport.KindPing, ping{Number: s.pingCount, Version: s.acceptedID().Sequence, Unready: !s.ready.Load()})
		}
	}
}

// isUnneeded reports whether this node opened a link that the overlay does not
// contain and that no direct message has used recently.
func (s *Service) isUnneeded(h mesh.HostID, p *peer, now time.Time) bool {
	if _, inOverlay := s.overlay.Dial[h]; inOverlay || !p.link.Dialed() || len(s.peers) <= 1 {
		return false
	}
	timeout := s.config.Timing.IdleTimeout
	if p.link.LastUsed().Equal(p.link.Opened()) {
		timeout = min(timeout, unusedLinkTimeout)
	}
	return now.Sub(p.link.LastUsed()) >= timeout
}

func (s *Service) onPing(l *transport.Link, p ping) {
	s.send(l, transport.KindPong, ping{Number: p.Number, Version: s.acceptedID().Sequence, Unready: !s.ready.Load()})
	s.announceIfPeerLags(l, p)
}

func (s *Service) onPong(l *transport.Link, p ping) { s.announceIfPeerLags(l, p) }

// announceIfPeerLags records the sequence of a peer and announces the accepted
// version again if the peer has an older one.
func (s *Service) announceIfPeerLags(l *transport.Link, received ping) {
	s.recordPeerSequence(l.Peer(), received.Version, !received.Unready)
	s.mu.Lock()
	p, ok := s.peers[l.Peer()]
	gossips := ok && p.carriesGossip()
	s.mu.Unlock()
	if accepted := s.acceptedID(); gossips && received.Version < accepted.Sequence {
		s.send(l, transport.KindAnnounce, announce{Version: accepted})
	}
}

// startDueDials starts the dials that are due.
func (s *Service) startDueDials(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, d := range s.dials {
		if d.dialing || now.Before(d.nextDial) || s.leaving {
			continue
		}
		record := s.table.Record(h)
		_, inOverlay := s.overlay.Dial[h]
		if record == nil || record.State.DeadOrLeft() || (!inOverlay && len(d.onDemandFrames) == 0) {
			delete(s.dials, h)
			continue
		}
		d.dialing = true
		s.workers.Add(1)
		go s.dial(h, record)
	}
}

func (s *Service) dial(h mesh.HostID, record *membership.Record) {
	defer s.workers.Done()
	var err error
	if s.manager.Link(h) == nil {
		var found mesh.HostID
		found, err = s.manager.Dial(s.ctx, record.PeerAddress)
		if err == nil && found != h {
			err = errors.Wrapf(transport.ErrIdentity, "address %s belongs to %s", record.PeerAddress, found)
		}
	}
	s.dialFinished(h, record, err)
}

// dialFinished records the result of a dial and suspects a monitored host after
// repeated failures.
func (s *Service) dialFinished(h mesh.HostID, record *membership.Record, err error) {
	now := s.config.Clock()
	s.mu.Lock()
	d, planned := s.dials[h]
	if !planned {
		s.mu.Unlock()
		return
	}
	d.dialing = false
	if err == nil || errors.Is(err, transport.ErrBusy) {
		d.failures = 0
	} else {
		d.failures++
	}
	d.backoff = s.dialBackoff(d.backoff)
	d.nextDial = now.Add(d.backoff)
	if err != nil {
		// Direct messages are useful only for a short time.
		d.onDemandFrames = nil
	}
	suspected := s.canSuspect(h, d, now) && s.table.Suspect(h, record.Incarnation, now)
	if suspected {
		d.delayNextSuspicion(now)
	}
	s.mu.Unlock()
	if suspected {
		eventSuspect.Log(s.config.Logger, "host", h, "error", err)
		s.queueRecords([]mesh.HostID{h}, "")
	}
}

// resetDialFailures resets the counts of failed dials, because a pause of this
// node may have caused the failures.
func (s *Service) resetDialFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.dials {
		d.failures = 0
	}
}

// canSuspect reports whether failed dials justify a suspicion. The caller
// holds mu.
func (s *Service) canSuspect(h mesh.HostID, d *dialState, now time.Time) bool {
	return d.failures >= suspectAfterFailures && s.overlay.Monitored[h] && !now.Before(d.nextSuspicion) && s.ctx.Err() == nil
}

// delayNextSuspicion doubles the time until the host may be suspected again.
func (d *dialState) delayNextSuspicion(now time.Time) {
	d.suspicionInterval = min(max(2*d.suspicionInterval, suspicionIntervalMin), suspicionIntervalMax)
	d.nextSuspicion = now.Add(d.suspicionInterval)
}

// dialBackoff returns the next delay between dials.
func (s *Service) dialBackoff(last time.Duration) time.Duration {
	return s.backoff(last, s.config.Timing.RedialMax)
}

// queueOnDemand queues a frame for a host without a link and starts a dial. Only
// the kinds in opensCrossDomainLinks go to remote failure domains.
func (s *Service) queueOnDemand(to mesh.HostID, kind transport.Kind, frame []byte) error {
	record := s.table.Record(to)
	if record == nil || record.State.DeadOrLeft() || to == s.config.Self.Host {
		return errors.Wrapf(ErrUnknownHost, "%s", to)
	}
	if record.Domain != s.config.Self.Domain && !opensCrossDomainLinks[kind] {
		return errors.Wrapf(ErrUnknownHost, "%s", to)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, planned := s.dials[to]
	if !planned {
		d = &dialState{backoff: s.config.Timing.RedialMin}
		s.dials[to] = d
	}
	if len(d.onDemandFrames) >= maxOnDemandFrames {
		return errors.Wrapf(transport.ErrQueueFull, "%s", to)
	}
	d.onDemandFrames = append(d.onDemandFrames, onDemandFrame{kind, frame})
	if !d.dialing && !s.config.Clock().Before(d.nextDial) {
		d.dialing = true
		s.workers.Add(1)
		go s.dial(to, record)
	}
	return nil
}
