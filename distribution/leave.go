package distribution

import (
	"context"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// leave tells the peers that this node leaves and waits until they close their
// links, because closing a connection with unread data here would drop the
// message in flight.
func (s *Service) leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	links := lo.MapToSlice(s.peers, func(_ mesh.HostID, p *peer) *transport.Link { return p.link })
	s.mu.Unlock()
	s.table.Leave(s.config.Clock())
	self := s.table.Self()
	for _, l := range links {
		s.sendRecords(l, []memberRecord{*self}, nil)
	}
	s.waitForLinksClosed(ctx, len(links) > 0)
}

// leaveTimeout bounds the wait for peers to close their links.
const leaveTimeout = time.Second

// waitForLinksClosed waits until all links are closed, for at most leaveTimeout.
func (s *Service) waitForLinksClosed(ctx context.Context, hasLinks bool) {
	if !hasLinks {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	poll := time.NewTicker(leaveTimeout / 50)
	defer poll.Stop()
	for len(s.manager.Links()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// closeLinkIfLeft closes the link to a host whose record says that it left.
func (s *Service) closeLinkIfLeft(from mesh.HostID) {
	record := s.table.Record(from)
	if record == nil || !record.HasLeft() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[from]; ok {
		p.link.CloseAfterWrites()
	}
}
