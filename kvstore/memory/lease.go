package memory

import (
	"context"
	"time"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// tenure is a lease as the store holds it.
type tenure struct {
	lease   kvstore.Lease
	expires time.Time
}

// AcquireLease implements kvstore.Store. The present holder acquires its lease
// again with a new token, which ends its earlier tenure; so a holder recovers
// when the answer to its first attempt was lost.
func (s *Store) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	var lease kvstore.Lease
	err := s.call(ctx, kvstore.CallAcquireLease, func() error {
		if held, ok := s.held(name); ok && held.Holder != holder {
			return kvstore.ErrLeaseHeld
		}
		s.tokens++
		lease = kvstore.Lease{Name: name, Holder: holder, Token: s.tokens, TTL: ttl}
		s.leases[name] = tenure{lease: lease, expires: time.Now().Add(ttl)}
		return nil
	})
	if err != nil {
		return kvstore.Lease{}, err
	}
	return lease, nil
}

// RenewLease implements kvstore.Store.
func (s *Store) RenewLease(ctx context.Context, lease kvstore.Lease) error {
	return s.call(ctx, kvstore.CallRenewLease, func() error {
		held, ok := s.held(lease.Name)
		if !ok || held.Token != lease.Token {
			return kvstore.ErrLeaseLost
		}
		s.leases[lease.Name] = tenure{lease: held, expires: time.Now().Add(held.TTL)}
		return nil
	})
}

// ReleaseLease implements kvstore.Store.
func (s *Store) ReleaseLease(ctx context.Context, lease kvstore.Lease) error {
	return s.call(ctx, kvstore.CallReleaseLease, func() error {
		if s.leases[lease.Name].lease.Token == lease.Token {
			delete(s.leases, lease.Name)
		}
		return nil
	})
}

// LapseLeases ends all leases at once without telling their holders.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.leases)
}

// held returns the lease that is in force. It needs the lock.
func (s *Store) held(name string) (kvstore.Lease, bool) {
	t, ok := s.leases[name]
	if !ok || s.faults.LeasesLapse || !time.Now().Before(t.expires) {
		return kvstore.Lease{}, false
	}
	return t.lease, true
}
