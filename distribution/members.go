package distribution

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// recordsPerMessage bounds the size of a member message, so that pings do not
	// wait long behind one.
	recordsPerMessage = 100
	// smallTable is the number of records below which a node asks for the whole
	// table in one request instead of first comparing the digests by domain.
	smallTable = 16
	// quietPeriod is the time without changes after which differing digests mean
	// lost updates rather than updates in flight.
	quietPeriod = time.Second
)

var (
	eventMalformed = events.Define(1601, hclog.Warn, "malformed message, link closed",
		"Check the program versions of both hosts.")
	eventInvalidRecord = events.Define(1400, hclog.Warn, "invalid member records dropped",
		"Check the settings and the program version of the sending host.")
	eventRefuted = events.Define(1401, hclog.Info, "suspicion refuted with a new incarnation",
		"Frequent refutations mean an overloaded host, a one-way partition, or two nodes with the same host ID.")
	eventSuspect = events.Define(1402, hclog.Warn, "host suspected",
		"Check the host when it does not refute.")
	eventDead = events.Define(1403, hclog.Warn, "hosts declared dead",
		"Replace the hosts, or check the network of the failure domain.")
)

// queueRecords queues the records of hosts for all links but the one they came
// from, and starts the batch timer.
func (s *Service) queueRecords(hosts []mesh.HostID, from mesh.HostID) {
	if len(hosts) == 0 {
		return
	}
	s.mu.Lock()
	for _, h := range hosts {
		s.pendingRecords[h] = []mesh.HostID{from}
	}
	s.membersChangedAt = s.config.Clock()
	s.mu.Unlock()
	s.wakeLoop()
}

// markKnownTo notes that a peer has itself sent records that are queued for the
// next batch, so that it does not get them back.
func (s *Service) markKnownTo(hosts []mesh.HostID, from mesh.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		if knownTo, queued := s.pendingRecords[h]; queued {
			s.pendingRecords[h] = append(knownTo, from)
		}
	}
}

// wakeLoop makes the loop start the batch timer. It does not block.
func (s *Service) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flush sends the queued records and calls OnMembers if the view changed.
func (s *Service) flush() {
	s.mu.Lock()
	pending := s.pendingRecords
	s.pendingRecords = map[mesh.HostID][]mesh.HostID{}
	links := s.gossipLinks()
	s.mu.Unlock()
	s.sendPending(pending, links)
	s.notifyMembers()
}

func (s *Service) sendPending(pending map[mesh.HostID][]mesh.HostID, links []*transport.Link) {
	if len(pending) == 0 {
		return
	}
	records := make(map[mesh.HostID]*membership.Record, len(pending))
	for h := range pending {
		if r := s.table.Record(h); r != nil {
			records[h] = r
		}
	}
	for _, link := range links {
		var selected []memberRecord
		for h, r := range records {
			if !slices.Contains(pending[h], link.Peer()) {
				selected = append(selected, *r)
			}
		}
		s.sendRecords(link, selected, nil)
	}
}

// gossipLinks returns the links over which versions and member records are
// gossiped. The caller holds mu.
func (s *Service) gossipLinks() []*transport.Link {
	var links []*transport.Link
	for _, p := range s.peers {
		if p.carriesGossip() {
			links = append(links, p.link)
		}
	}
	return links
}

func (s *Service) sendRecords(link *transport.Link, records []memberRecord, want []uint64) {
	for len(records) > 0 || len(want) > 0 {
		n := min(len(records), recordsPerMessage)
		s.send(link, transport.KindMembers, members{Records: records[:n], Want: want})
		records, want = records[n:], nil
	}
}

// send queues a message. A dropped message is repaired by the periodic exchange.
func (s *Service) send(link *transport.Link, kind transport.Kind, body any) {
	if err := link.Send(kind, body); err != nil {
		eventDropped.Log(s.config.Logger, "host", link.Peer(), "kind", int(kind), "error", err)
	}
}

// notifyMembers calls OnMembers when the view changed. Only the loop calls it.
func (s *Service) notifyMembers() {
	view := s.table.View()
	if view.Generation == s.notifiedGeneration {
		return
	}
	s.notifiedGeneration = view.Generation
	if s.config.OnMembers != nil {
		s.config.OnMembers(view)
	}
}

func (s *Service) onMembers(l *transport.Link, m members) {
	merged := s.table.Merge(m.Records, s.config.Clock())
	if merged.Invalid > 0 {
		eventInvalidRecord.Log(s.config.Logger, "host", l.Peer(), "records", merged.Invalid)
	}
	if merged.Refuted {
		eventRefuted.Log(s.config.Logger, "incarnation", s.table.Self().Incarnation, "heard_from", l.Peer())
	}
	s.queueRecords(merged.Changed, l.Peer())
	s.markKnownTo(merged.Unchanged, l.Peer())
	var reply []memberRecord
	for _, h := range merged.Stale {
		if r := s.table.Record(h); r != nil {
			reply = append(reply, *r)
		}
	}
	reply = append(reply, s.table.RecordsByHash(m.Want)...)
	s.sendRecords(l, reply, nil)
	s.closeLinkIfLeft(l.Peer())
}

// compareTables starts the comparison of the member tables with a peer.
func (s *Service) compareTables(l *transport.Link) {
	if len(s.table.View().Hosts) <= smallTable {
		s.send(l, transport.KindMemberRequest, memberRequest{Summary: s.table.Summary("")})
		return
	}
	s.send(l, transport.KindMemberDigest, memberDigest{Digests: s.table.Digests()})
}

func (s *Service) onMemberDigest(l *transport.Link, m memberDigest) {
	for _, domain := range s.table.DifferingDomains(m.Digests) {
		s.send(l, transport.KindMemberRequest, memberRequest{Domain: domain, Summary: s.table.Summary(domain)})
	}
}

func (s *Service) onMemberRequest(l *transport.Link, m memberRequest) {
	records, want, err := s.table.Difference(m.Domain, m.Summary)
	if err != nil {
		eventInvalidRecord.Log(s.config.Logger, "host", l.Peer(), "error", err)
		return
	}
	s.sendRecords(l, records, want)
}

// sendDigest sends the digests of the member table to a random peer at intervals.
// The comparison repairs lost updates.
func (s *Service) sendDigest(now time.Time) {
	s.mu.Lock()
	links := s.gossipLinks()
	due := !now.Before(s.nextDigest) && now.Sub(s.membersChangedAt) >= quietPeriod && len(links) > 0
	if due {
		s.nextDigest = now.Add(s.jitter(s.config.Timing.DigestInterval))
	}
	s.mu.Unlock()
	if due {
		link := links[int(s.config.Rand()*float64(len(links)))]
		s.send(link, transport.KindMemberDigest, memberDigest{Digests: s.table.Digests()})
	}
}

// jitter returns a random time between half and one and a half times d.
func (s *Service) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + s.config.Rand()))
}
