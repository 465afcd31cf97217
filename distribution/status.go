package distribution

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// LinkStatus describes a link.
type LinkStatus struct {
	Host     mesh.HostID `json:"host"`
	Dialed   bool        `json:"dialed"`
	OnDemand bool        `json:"onDemand"`
	Opened   time.Time   `json:"opened"`
}

// Status describes the version, the links and the store access of a node.
type Status struct {
	Host     mesh.HostID        `json:"host"`
	Domain   mesh.FailureDomain `json:"domain"`
	Accepted mesh.VersionID     `json:"accepted"`
	// AcceptedAt and AcceptedFrom state when the accepted version arrived and from
	// which host; an empty host stands for the store.
	AcceptedAt   time.Time   `json:"acceptedAt"`
	AcceptedFrom mesh.HostID `json:"acceptedFrom,omitempty"`
	// Ready is set once a version is active.
	Ready bool `json:"ready"`
	// Rejected gives the reason for each version that the node rejected.
	Rejected map[mesh.Sequence]string `json:"rejected,omitempty"`
	// Conflict is another version with the sequence of the accepted one.
	Conflict *mesh.VersionID `json:"conflict,omitempty"`
	Rank     int             `json:"rank"`
	Parent   mesh.HostID     `json:"parent,omitempty"`
	Links    []LinkStatus    `json:"links"`
	// WatchHolder is set while the node watches the store. Head, HeadAt and
	// StoreRolledBack are known only to nodes that have read the store.
	// StoreRolledBack is set while the store has rolled back: its head is older than
	// the accepted version, or another one with the same sequence.
	WatchHolder     bool                                     `json:"watchHolder"`
	Head            mesh.VersionID                           `json:"head"`
	HeadAt          time.Time                                `json:"headAt"`
	StoreRolledBack bool                                     `json:"storeBehind"`
	Traffic         map[transport.Kind]transport.KindTraffic `json:"traffic"`
}

// Status returns the current status.
func (s *Service) Status() Status {
	accepted := s.acceptedID()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Host: s.config.Self.Host, Domain: s.config.Self.Domain, Accepted: accepted, Ready: s.ready.Load(),
		AcceptedAt: s.origin.at, AcceptedFrom: s.origin.from,
		Rejected: lo.MapKeys(s.rejected, func(_ string, id mesh.VersionID) mesh.Sequence { return id.Sequence }),
		Rank:     s.overlay.Rank, Parent: s.overlay.Parent,
		WatchHolder: s.store.watchHolder, Head: s.store.head, HeadAt: s.store.headReadAt,
		StoreRolledBack: s.store.rolledBack, Traffic: s.config.Meter.Read(),
	}
	if s.conflict.Sequence == accepted.Sequence && accepted.Sequence > 0 {
		status.Conflict = lo.ToPtr(s.conflict)
	}
	for h, p := range s.peers {
		status.Links = append(status.Links, LinkStatus{
			Host: h, Dialed: p.link.Dialed(), OnDemand: !p.carriesGossip(), Opened: p.link.Opened(),
		})
	}
	slices.SortFunc(status.Links, func(a, b LinkStatus) int { return lo.Ternary(a.Host < b.Host, -1, 1) })
	return status
}
