package distribution

import (
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// bootstrapRetryMax bounds the delay between the store calls of a node without
// peers. It keeps a whole mesh without links at a few dozen calls per second at
// most.
const bootstrapRetryMax = 30 * time.Second

// bootstrapLoop reads the contacts, and the head if the node has no version,
// while the node has no peer. A node with peers makes no store calls here.
func (s *Service) bootstrapLoop() {
	delay := s.config.Timing.BootstrapDelay
	attempts := 0
	for s.sleep(s.jitter(delay)) {
		if s.hasPeers() {
			delay, attempts = s.config.Timing.BootstrapDelay, 0
			continue
		}
		attempts++
		hasContacts, err := s.addStoredContacts()
		// Contacts get the chance to answer before the head is read, so that nodes
		// that restart together load the version from peers and not from the store.
		if err == nil && (!hasContacts || attempts > 1) && s.acceptedID() == (mesh.VersionID{}) {
			err = s.loadFromStore()
		}
		if err != nil {
			eventStoreFailed.Log(s.config.Logger, "call", "bootstrap", "error", err)
		}
		delay = s.backoff(delay, bootstrapRetryMax)
	}
}

func (s *Service) hasPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) > 0
}

// addStoredContacts adds the stored contacts of the local failure domain to the
// seeds and reports whether there are any besides the node itself.
func (s *Service) addStoredContacts() (bool, error) {
	contacts, err := ReadContacts(s.ctx, s.config.Store, s.config.Self.Domain)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds.add(contacts)
	s.seeds.nextDial = time.Time{}
	return len(lo.Without(contacts, s.config.Self.PeerAddress)) > 0, nil
}

func (s *Service) loadFromStore() error {
	head, _, err := s.readHead(s.ctx)
	if err != nil || head.Version.Sequence == 0 {
		return err
	}
	return s.syncWithHead(s.ctx, head)
}
