package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/overlay"
)

const (
	// HoldersPerDomain is the number of watch holders of a failure domain.
	HoldersPerDomain = 2
	// holderRanks is the number of hosts of a domain that try to become watch
	// holders. It bounds the calls for leases whatever the size of the fleet.
	holderRanks = 4
	// contactCount is the number of addresses in the contacts of a domain.
	contactCount = 4
	// headCheck is the time after which a watch holder reads the head without
	// waiting for a change.
	headCheck = 30 * time.Second
	// storeRetryMax bounds the pause between calls to a failing store.
	storeRetryMax = 10 * time.Second
)

var (
	eventHolding   = events.Define(1630, hclog.Info, "watch holder lease acquired", "None.")
	eventReleased  = events.Define(1631, hclog.Info, "watch holder lease ended", "None; another host acquires it.")
	eventStore     = events.Define(1632, hclog.Warn, "store call failed", "Check the store; the node retries.")
	eventBehind    = events.Define(1633, hclog.Error, "store is behind the fleet", "The store lost writes or its address is wrong. Run geraniumnotch restore when the address is right.")
	eventNotBehind = events.Define(1634, hclog.Info, "store is level with the fleet again", "None.")
)

// storeState is what the node knows of the store.
type storeState struct {
	holding bool
	// head is the last head read, at headAt.
	head   mesh.VersionID
	headAt time.Time
	behind bool
	// contacts are the contacts that this holder knows to be stored.
	contacts []string
}

// startStore starts the goroutines that call the store.
func (s *Service) startStore() {
	if s.config.Source == nil || s.config.Store == nil {
		return
	}
	s.workers.Add(2)
	go func() {
		defer s.workers.Done()
		s.holdLoop()
	}()
	go func() {
		defer s.workers.Done()
		s.bootstrapLoop()
	}()
}

// pause waits, or returns false when the service ends first.
func (s *Service) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// backoff returns the next wait with decorrelated jitter up to a limit.
func (s *Service) backoff(last, limit time.Duration) time.Duration {
	low := s.config.Timing.RedialMin
	return min(low+time.Duration(s.config.Rand()*float64(3*last-low)), limit)
}

func (s *Service) rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted.Rank
}

// holdLoop tries to become a watch holder while the node has a low overlay rank.
// Each attempt is one call, at most one per half time to live of a lease.
func (s *Service) holdLoop() {
	period := s.config.Timing.LeaseTTL
	slot := 0
	for s.pause(s.jitter(s.config.Timing.BootstrapDelay)) {
		rank := s.rank()
		if rank < 0 || rank >= holderRanks {
			continue
		}
		lease, err := s.acquire(slot % HoldersPerDomain)
		if err == nil {
			s.hold(lease)
			continue
		}
		slot++
		if !errors.Is(err, kvstore.ErrLeaseHeld) {
			eventStore.Log(s.config.Logger, "call", "acquire lease", "error", err)
		} else if slot < HoldersPerDomain {
			continue
		}
		if !s.pause(s.jitter(period)) {
			return
		}
	}
}

func (s *Service) acquire(slot int) (kvstore.Lease, error) {
	ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
	defer cancel()
	name := holderName(s.config.Self.Domain, slot)
	return s.config.Store.AcquireLease(ctx, name, string(s.config.Self.Host), s.config.Timing.LeaseTTL)
}

// hold watches the head until the lease is lost.
func (s *Service) hold(lease kvstore.Lease) {
	eventHolding.Log(s.config.Logger, "lease", lease.Name)
	ctx, cancel := context.WithCancel(s.ctx)
	watched := make(chan struct{})
	s.setHolding(true)
	go func() {
		defer close(watched)
		s.watch(ctx)
	}()
	reason := s.renew(lease)
	cancel()
	<-watched
	s.setHolding(false)
	s.release(lease)
	eventReleased.Log(s.config.Logger, "lease", lease.Name, "reason", reason)
}

func (s *Service) setHolding(holding bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.holding = holding
}

// release ends the lease so that another host can take it at once.
func (s *Service) release(lease kvstore.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), storeTimeout/3)
	defer cancel()
	if err := s.config.Store.ReleaseLease(ctx, lease); err != nil {
		eventStore.Log(s.config.Logger, "call", "release lease", "error", err)
	}
}

// renew keeps the lease until it is lost, could not be renewed for its time to
// live, the rank of the node is too high by far, or the service ends.
func (s *Service) renew(lease kvstore.Lease) error {
	renewed := s.config.Clock()
	s.keepContacts()
	for s.pause(s.config.Timing.LeaseTTL / 2) {
		if s.rank() >= 2*holderRanks {
			return errors.New("other hosts have a lower overlay rank")
		}
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		err := s.config.Store.RenewLease(ctx, lease)
		cancel()
		switch {
		case err == nil:
			renewed = s.config.Clock()
			s.keepContacts()
		case errors.Is(err, kvstore.ErrLeaseLost):
			return err
		case s.config.Clock().Sub(renewed) >= s.config.Timing.LeaseTTL:
			return err
		}
	}
	return s.ctx.Err()
}

// keepContacts writes the contacts of the domain when they changed.
func (s *Service) keepContacts() {
	contacts := s.currentContacts()
	s.mu.Lock()
	same := slices.Equal(contacts, s.store.contacts)
	s.mu.Unlock()
	if same {
		return
	}
	stored, err := writeContacts(s.ctx, s.config.Store, s.config.Self.Domain, contacts)
	if err != nil {
		eventStore.Log(s.config.Logger, "call", "write contacts", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.contacts = contacts
	s.seeds.add(stored)
}

// currentContacts returns the peer addresses of the hosts of lowest rank.
func (s *Service) currentContacts() []string {
	view := s.table.View()
	var contacts []string
	for _, h := range overlay.Ranking(view, s.config.Self.Domain) {
		if len(contacts) < contactCount {
			contacts = append(contacts, view.Hosts[h].PeerAddress)
		}
	}
	return contacts
}

// watch reads the head and waits for the next one until the context ends.
func (s *Service) watch(ctx context.Context) {
	wait := s.config.Timing.RedialMin
	head, revision, err := s.readHead(ctx)
	for ctx.Err() == nil {
		if err == nil {
			err = s.follow(ctx, head)
		}
		if err != nil {
			eventStore.Log(s.config.Logger, "call", "watch head", "error", err)
			wait = s.backoff(wait, storeRetryMax)
			if !s.pause(wait) {
				return
			}
			head, revision, err = s.readHead(ctx)
			continue
		}
		wait = s.config.Timing.RedialMin
		head, revision, err = s.awaitHead(ctx, revision)
	}
}

// awaitHead waits for the next head and reads it again after headCheck, because
// a store that lost writes has lower revisions, which end no watch.
func (s *Service) awaitHead(ctx context.Context, revision kvstore.Revision) (authority.Head, kvstore.Revision, error) {
	watch, cancel := context.WithTimeout(ctx, headCheck)
	defer cancel()
	head, next, err := s.config.Source.WatchHead(watch, revision)
	if err != nil && watch.Err() != nil && ctx.Err() == nil {
		return s.readHead(ctx)
	}
	return head, next, err
}

func (s *Service) readHead(ctx context.Context) (authority.Head, kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.config.Source.Head(ctx)
}

// follow compares the head with the accepted version and loads a newer one. The
// node writes nothing when the store is behind.
func (s *Service) follow(ctx context.Context, head authority.Head) error {
	id, own := head.Version, s.acceptedID()
	s.noteHead(id, own)
	s.mu.Lock()
	_, rejected := s.rejected[id]
	s.mu.Unlock()
	if id == own && id.Sequence > 0 {
		s.heardStore()
	}
	if id.Sequence <= own.Sequence || rejected {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := s.config.Source.Load(ctx, head)
	switch {
	case err == nil:
	case isInvalid(err):
		s.mu.Lock()
		s.reject(id, err)
		s.mu.Unlock()
		eventRejected.Log(s.config.Logger, "sequence", id.Sequence, "digest", id.Digest.Short(), "error", err)
		return nil
	default:
		return err
	}
	if err := s.accept(v, ""); err != nil && !errors.Is(err, ErrOlder) {
		return err
	}
	s.heardStore()
	return nil
}

// isInvalid tells a version that can never be accepted from one that could not
// be read.
func isInvalid(err error) bool {
	return errors.IsAny(err, lists.ErrInvalid, lists.ErrDigest, lists.ErrEncoding, lists.ErrTooLarge)
}

func (s *Service) noteHead(head, own mesh.VersionID) {
	s.checkConflict(own, head)
	behind := head.Sequence < own.Sequence || (head.Sequence == own.Sequence && head.Digest != own.Digest)
	s.mu.Lock()
	changed := behind != s.store.behind
	s.store.head, s.store.headAt, s.store.behind = head, s.config.Clock(), behind
	s.mu.Unlock()
	switch {
	case changed && behind:
		eventBehind.Log(s.config.Logger, "store", head.Sequence, "accepted", own.Sequence)
	case changed:
		eventNotBehind.Log(s.config.Logger, "sequence", head.Sequence)
	}
}
