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
	// holderCandidates is the number of hosts of a domain that try to become watch
	// holders. It bounds the lease calls regardless of the size of the mesh.
	holderCandidates = 4
	// maxContacts is the number of addresses in the contacts of a domain.
	maxContacts = 4
	// headReadInterval is the time after which a watch holder reads the head even
	// if the watch reported no change.
	headReadInterval = 30 * time.Second
	// storeRetryMax bounds the delay between calls to a failing store.
	storeRetryMax = 10 * time.Second
)

var (
	eventLeaseAcquired   = events.Define(1630, hclog.Info, "watch holder lease acquired", "None.")
	eventLeaseEnded      = events.Define(1631, hclog.Info, "watch holder lease ended", "None; another host acquires it.")
	eventStoreFailed     = events.Define(1632, hclog.Warn, "store call failed", "Check the store; the node retries.")
	eventStoreRolledBack = events.Define(1633, hclog.Error, "store has rolled back", "The store holds an older version than this node: it lost writes or its address is wrong. Check the address; if it is right, run geraniumnotch restore.")
	eventStoreCurrent    = events.Define(1634, hclog.Info, "store is up to date again", "None.")
)

// storeState is what the node knows about the store.
type storeState struct {
	watchHolder bool
	// head is the last head read, at headReadAt.
	head       mesh.VersionID
	headReadAt time.Time
	rolledBack bool
	// storedContacts are the contacts with which this watch holder last called
	// writeContacts without an error.
	storedContacts []string
}

// startStore starts the goroutines that call the store.
func (s *Service) startStore() {
	if s.config.Source == nil || s.config.Store == nil {
		return
	}
	s.workers.Add(2)
	go func() {
		defer s.workers.Done()
		s.leaseLoop()
	}()
	go func() {
		defer s.workers.Done()
		s.bootstrapLoop()
	}()
}

// sleep waits for d. It returns false if the service ends first.
func (s *Service) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// backoff returns the next delay with decorrelated jitter up to a limit.
func (s *Service) backoff(last, limit time.Duration) time.Duration {
	shortest := s.config.Timing.RedialMin
	return min(shortest+time.Duration(s.config.Rand()*float64(3*last-shortest)), limit)
}

func (s *Service) overlayRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlay.Rank
}

// leaseLoop tries to become a watch holder while the node has a low overlay rank.
// Each attempt is one call, at most one per half time to live of a lease.
func (s *Service) leaseLoop() {
	retryInterval := s.config.Timing.LeaseTTL
	slot := 0
	for s.sleep(s.jitter(s.config.Timing.BootstrapDelay)) {
		rank := s.overlayRank()
		if rank < 0 || rank >= holderCandidates {
			continue
		}
		lease, err := s.acquireLease(slot % HoldersPerDomain)
		if err == nil {
			s.holdLease(lease)
			continue
		}
		slot++
		if !errors.Is(err, kvstore.ErrLeaseHeld) {
			eventStoreFailed.Log(s.config.Logger, "call", "acquire lease", "error", err)
		} else if slot < HoldersPerDomain {
			continue
		}
		if !s.sleep(s.jitter(retryInterval)) {
			return
		}
	}
}

func (s *Service) acquireLease(slot int) (kvstore.Lease, error) {
	ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
	defer cancel()
	name := holderLeaseName(s.config.Self.Domain, slot)
	return s.config.Store.AcquireLease(ctx, name, string(s.config.Self.Host), s.config.Timing.LeaseTTL)
}

// holdLease watches the head until the lease ends.
func (s *Service) holdLease(lease kvstore.Lease) {
	eventLeaseAcquired.Log(s.config.Logger, "lease", lease.Name)
	ctx, cancel := context.WithCancel(s.ctx)
	watchDone := make(chan struct{})
	s.setWatchHolder(true)
	go func() {
		defer close(watchDone)
		s.watchHead(ctx)
	}()
	reason := s.renewLease(lease)
	cancel()
	<-watchDone
	s.setWatchHolder(false)
	s.releaseLease(lease)
	eventLeaseEnded.Log(s.config.Logger, "lease", lease.Name, "reason", reason)
}

func (s *Service) setWatchHolder(watchHolder bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.watchHolder = watchHolder
}

// releaseLease ends the lease so that another host can acquire it immediately.
func (s *Service) releaseLease(lease kvstore.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), storeTimeout/3)
	defer cancel()
	if err := s.config.Store.ReleaseLease(ctx, lease); err != nil {
		eventStoreFailed.Log(s.config.Logger, "call", "release lease", "error", err)
	}
}

// renewLease renews the lease until it is lost or could not be renewed for its
// time to live, the overlay rank of the node reaches twice holderCandidates, or
// the service ends. It returns the reason.
func (s *Service) renewLease(lease kvstore.Lease) error {
	lastRenewed := s.config.Clock()
	s.updateContacts()
	for s.sleep(s.config.Timing.LeaseTTL / 2) {
		if s.overlayRank() >= 2*holderCandidates {
			return errors.New("other hosts have a lower overlay rank")
		}
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		err := s.config.Store.RenewLease(ctx, lease)
		cancel()
		switch {
		case err == nil:
			lastRenewed = s.config.Clock()
			s.updateContacts()
		case errors.Is(err, kvstore.ErrLeaseLost):
			return err
		case s.config.Clock().Sub(lastRenewed) >= s.config.Timing.LeaseTTL:
			return err
		}
	}
	return s.ctx.Err()
}

// updateContacts writes the contacts of the domain when they changed.
func (s *Service) updateContacts() {
	contacts := s.currentContacts()
	s.mu.Lock()
	unchanged := slices.Equal(contacts, s.store.storedContacts)
	s.mu.Unlock()
	if unchanged {
		return
	}
	stored, err := writeContacts(s.ctx, s.config.Store, s.config.Self.Domain, contacts)
	if err != nil {
		eventStoreFailed.Log(s.config.Logger, "call", "write contacts", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.storedContacts = contacts
	s.seeds.add(stored)
}

// currentContacts returns the peer addresses of the hosts of lowest rank.
func (s *Service) currentContacts() []string {
	view := s.table.View()
	var contacts []string
	for _, h := range overlay.Ranking(view, s.config.Self.Domain) {
		if len(contacts) < maxContacts {
			contacts = append(contacts, view.Hosts[h].PeerAddress)
		}
	}
	return contacts
}

// watchHead reads the head and waits for the next one until the context ends.
func (s *Service) watchHead(ctx context.Context) {
	delay := s.config.Timing.RedialMin
	head, revision, err := s.readHead(ctx)
	for ctx.Err() == nil {
		if err == nil {
			err = s.syncWithHead(ctx, head)
		}
		if err != nil {
			eventStoreFailed.Log(s.config.Logger, "call", "watch head", "error", err)
			delay = s.backoff(delay, storeRetryMax)
			if !s.sleep(delay) {
				return
			}
			head, revision, err = s.readHead(ctx)
			continue
		}
		delay = s.config.Timing.RedialMin
		head, revision, err = s.waitForHead(ctx, revision)
	}
}

// waitForHead waits for the next head. It reads the head anyway after
// headReadInterval, because a store that lost writes has lower revisions, which
// end no watch.
func (s *Service) waitForHead(ctx context.Context, revision kvstore.Revision) (authority.Head, kvstore.Revision, error) {
	watch, cancel := context.WithTimeout(ctx, headReadInterval)
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

// syncWithHead compares the head with the accepted version and loads a newer
// one. It writes nothing to a store that has rolled back.
func (s *Service) syncWithHead(ctx context.Context, head authority.Head) error {
	id, accepted := head.Version, s.acceptedID()
	s.recordHead(id, accepted)
	s.mu.Lock()
	_, rejected := s.rejected[id]
	s.mu.Unlock()
	if id == accepted && id.Sequence > 0 {
		s.markStoreCompared()
	}
	if id.Sequence <= accepted.Sequence || rejected {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := s.config.Source.Load(ctx, head)
	switch {
	case err == nil:
	case isInvalid(err):
		s.mu.Lock()
		s.markRejected(id, err)
		s.mu.Unlock()
		eventRejected.Log(s.config.Logger, "sequence", id.Sequence, "digest", id.Digest.Short(), "error", err)
		return nil
	default:
		return err
	}
	if err := s.accept(v, ""); err != nil && !errors.Is(err, ErrOlder) {
		return err
	}
	s.markStoreCompared()
	return nil
}

// isInvalid reports whether an error means that a version can never be accepted,
// rather than that it could not be read.
func isInvalid(err error) bool {
	return errors.IsAny(err, lists.ErrInvalid, lists.ErrDigest, lists.ErrEncoding, lists.ErrTooLarge)
}

// recordHead records the head that was read and logs when the store rolls back or
// is up to date again.
func (s *Service) recordHead(head, accepted mesh.VersionID) {
	s.checkConflict(accepted, head)
	rolledBack := head.Sequence < accepted.Sequence || (head.Sequence == accepted.Sequence && head.Digest != accepted.Digest)
	s.mu.Lock()
	changed := rolledBack != s.store.rolledBack
	s.store.head, s.store.headReadAt, s.store.rolledBack = head, s.config.Clock(), rolledBack
	s.mu.Unlock()
	switch {
	case changed && rolledBack:
		eventStoreRolledBack.Log(s.config.Logger, "store", head.Sequence, "accepted", accepted.Sequence)
	case changed:
		eventStoreCurrent.Log(s.config.Logger, "sequence", head.Sequence)
	}
}
