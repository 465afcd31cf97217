package memory

import (
	"context"
	"time"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// leaseRecord is a stored lease with its expiry.
type leaseRecord struct {
	lease   kvstore.Lease
	expires time.Time
}

// AcquireLease implements kvstore.Store. The current holder may acquire its lease
// again; it gets a new token, and the earlier one is no longer valid. So a holder
// recovers when the response to its first attempt was lost.
func (s *Store) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	var lease kvstore.Lease
	err := s.call(ctx, kvstore.CallAcquireLease, func() error {
		if held, ok := s.currentLease(name); ok && held.Holder != holder {
			return kvstore.ErrLeaseHeld
		}
		s.tokens++
		lease = kvstore.Lease{Name: name, Holder: holder, Token: s.tokens, TTL: ttl}
		s.leases[name] = leaseRecord{lease: lease, expires: time.Now().Add(ttl)}
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
		held, ok := s.currentLease(lease.Name)
		if !ok || held.Token != lease.Token {
			return kvstore.ErrLeaseLost
		}
		s.leases[lease.Name] = leaseRecord{lease: held, expires: time.Now().Add(held.TTL)}
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

// ExpireLeases makes all leases expire immediately without telling their holders.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.leases)
}

// currentLease returns the lease called name unless it has expired. The caller
// holds s.mu.
func (s *Store) currentLease(name string) (kvstore.Lease, bool) {
	held, ok := s.leases[name]
	if !ok || s.faults.LeasesLapse || !time.Now().Before(held.expires) {
		return kvstore.Lease{}, false
	}
	return held.lease, true
}
