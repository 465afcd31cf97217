package distribution

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/overlay"
	"geraniumnotch.example/geraniumnotch/transport"
)

// probeInterval is the mean time between the probes with which a host of low
// overlay rank looks for hosts of its failure domain that a partition separates
// from it.
const probeInterval = 5 * time.Second

// busySeedRetry is the mean time after which a node dials again after a seed
// rejected its link because of the handshake limit. It does not grow, because the
// seed accepts a known number of links per second.
const busySeedRetry = time.Second

var eventSeedFailed = events.Define(1603, hclog.Debug, "dial to seed failed", "Check the seeds in the settings if no seed can be reached.")

// seedState holds the addresses that a node dials when it has no peer.
type seedState struct {
	addresses []string
	dialing   bool
	backoff   time.Duration
	nextDial  time.Time
	nextProbe time.Time
	position  int
}

func (d *seedState) resetBackoff() { d.backoff, d.nextDial = 0, time.Time{} }

// dialSeeds dials one seed at a time while the node has no peer, and probes for
// hosts on the other side of a partition when it has peers and a low overlay rank.
func (s *Service) dialSeeds(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seeds.dialing || s.leaving || s.ctx.Err() != nil {
		return
	}
	address := s.nextSeed(now)
	if address == "" {
		return
	}
	s.seeds.dialing = true
	s.workers.Add(1)
	go s.dialSeed(address)
}

// nextSeed returns the address to dial now, or "". The caller holds mu.
func (s *Service) nextSeed(now time.Time) string {
	if len(s.peers) == 0 {
		if now.Before(s.seeds.nextDial) {
			return ""
		}
		s.seeds.backoff = s.dialBackoff(max(s.seeds.backoff, s.config.Timing.RedialMin))
		s.seeds.nextDial = now.Add(s.seeds.backoff)
		return s.pickAddress(s.seeds.addresses)
	}
	if now.Before(s.seeds.nextProbe) || s.overlay.Rank < 0 || s.overlay.Rank >= overlay.CrossDomainRanks {
		return ""
	}
	s.seeds.nextProbe = now.Add(s.jitter(probeInterval))
	return s.pickAddress(s.partitionedAddresses())
}

// pickAddress returns the addresses round-robin, starting with a random one. The
// caller holds mu.
func (s *Service) pickAddress(addresses []string) string {
	self := s.config.Self.PeerAddress
	others := lo.Without(addresses, self)
	if len(others) == 0 {
		return ""
	}
	if s.seeds.position == 0 {
		s.seeds.position = int(s.config.Rand() * float64(len(others)))
	}
	s.seeds.position++
	return others[s.seeds.position%len(others)]
}

// partitionedAddresses returns the addresses at which hosts may run that this
// side of a partition has declared dead: those of dead hosts of the local failure
// domain, and seeds at which no live host is known.
func (s *Service) partitionedAddresses() []string {
	live := map[string]bool{}
	var addresses []string
	view := s.table.View()
	for _, r := range view.Hosts {
		if !r.State.DeadOrLeft() {
			live[r.PeerAddress] = true
		}
	}
	for _, r := range view.Hosts {
		if r.State.DeadOrLeft() && r.Domain == s.config.Self.Domain && !live[r.PeerAddress] && !r.HasLeft() {
			addresses = append(addresses, r.PeerAddress)
		}
	}
	for _, seed := range s.seeds.addresses {
		if !live[seed] {
			addresses = append(addresses, seed)
		}
	}
	return lo.Uniq(addresses)
}

func (s *Service) dialSeed(address string) {
	defer s.workers.Done()
	_, err := s.manager.Dial(s.ctx, address)
	if err != nil {
		eventSeedFailed.Log(s.config.Logger, "address", address, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds.dialing = false
	if errors.Is(err, transport.ErrBusy) {
		s.seeds.backoff = 0
		s.seeds.nextDial = s.config.Clock().Add(s.jitter(busySeedRetry))
	}
}

// add appends the addresses that are not yet known.
func (d *seedState) add(addresses []string) {
	d.addresses = lo.Uniq(append(d.addresses, addresses...))
}
