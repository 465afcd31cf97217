package kvstore_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/httpstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/kvstore/standin"
)

// implementation is a Store under test and the memory store behind it, through
// which the tests inject faults.
type implementation struct {
	name string
	open func(t *testing.T, backing *memory.Store) kvstore.Store
}

var implementations = []implementation{
	{"memory", func(_ *testing.T, backing *memory.Store) kvstore.Store { return backing }},
	{"http", openHTTP},
}

func openHTTP(t *testing.T, backing *memory.Store) kvstore.Store {
	server := httptest.NewServer(standin.New(backing, nil))
	t.Cleanup(server.Close)
	store, err := kvstore.Open(httpstore.AdapterName, server.Listener.Addr().String())
	So(err, ShouldBeNil)
	return store
}

var checks = []struct {
	name string
	run  func(context.Context, kvstore.Store, *memory.Store)
}{
	{"compare-and-swap", checkSwap},
	{"deletion", checkDeletion},
	{"watch", checkWatch},
	{"list", checkList},
	{"leases", checkLeases},
	{"faults", checkFaults},
}

// TestConformance guards against an adapter whose results break the contract
// of kvstore.Store.
func TestConformance(t *testing.T) {
	for _, impl := range implementations {
		t.Run(impl.name, func(t *testing.T) {
			for _, check := range checks {
				Convey(impl.name+" "+check.name, t, func() {
					backing := memory.New()
					check.run(context.Background(), impl.open(t, backing), backing)
				})
			}
		})
	}
}

func shouldBeError(actual any, expected ...any) string {
	err, _ := actual.(error)
	if errors.Is(err, expected[0].(error)) {
		return ""
	}
	return ShouldEqual(actual, expected[0])
}

func checkSwap(ctx context.Context, s kvstore.Store, _ *memory.Store) {
	_, err := s.Get(ctx, "a/b c?%")
	So(err, shouldBeError, kvstore.ErrNotFound)
	first, err := s.CompareAndSwap(ctx, "a/b c?%", []byte{}, 0)
	So(err, ShouldBeNil)
	entry, err := s.Get(ctx, "a/b c?%")
	So(err, ShouldBeNil)
	So(entry, ShouldResemble, kvstore.Entry{Key: "a/b c?%", Value: []byte{}, Revision: first})
	_, err = s.CompareAndSwap(ctx, "a/b c?%", []byte("x"), 0)
	So(err, shouldBeError, kvstore.ErrConflict)
	second, err := s.CompareAndSwap(ctx, "a/b c?%", make([]byte, kvstore.MaxValueBytes), first)
	So(err, ShouldBeNil)
	So(second, ShouldBeGreaterThan, first)
	_, err = s.CompareAndSwap(ctx, "a/b c?%", make([]byte, kvstore.MaxValueBytes+1), second)
	So(err, shouldBeError, kvstore.ErrTooLarge)
}

func checkDeletion(ctx context.Context, s kvstore.Store, _ *memory.Store) {
	first, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0)
	So(err, ShouldBeNil)
	deleted, err := s.CompareAndSwap(ctx, "k", nil, first)
	So(err, ShouldBeNil)
	_, err = s.Get(ctx, "k")
	So(err, shouldBeError, kvstore.ErrNotFound)
	entry, err := s.Watch(ctx, "k", first)
	So(err, ShouldBeNil)
	So(entry, ShouldResemble, kvstore.Entry{Key: "k", Revision: deleted})
	again, err := s.CompareAndSwap(ctx, "k", []byte("2"), 0)
	So(err, ShouldBeNil)
	So(again, ShouldBeGreaterThan, first)
	_, err = s.CompareAndSwap(ctx, "k", []byte("3"), first)
	So(err, shouldBeError, kvstore.ErrConflict)
}

func checkWatch(ctx context.Context, s kvstore.Store, backing *memory.Store) {
	entries := make(chan kvstore.Entry)
	watch := func(after kvstore.Revision) {
		entry, err := s.Watch(ctx, "k", after)
		if err != nil {
			entry.Value = []byte(err.Error())
		}
		entries <- entry
	}
	go watch(0)
	first, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0)
	So(err, ShouldBeNil)
	So((<-entries).Value, ShouldResemble, []byte("1"))
	go watch(first)
	_, err = s.CompareAndSwap(ctx, "k", []byte("2"), first)
	So(err, ShouldBeNil)
	So((<-entries).Value, ShouldResemble, []byte("2"))
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, err = s.Watch(ended, "other", 0)
	So(err, shouldBeError, context.Canceled)
	backing.SetFaults(memory.Faults{Unavailable: true})
	_, err = s.Watch(ctx, "k", 0)
	So(err, shouldBeError, kvstore.ErrUnavailable)
}

func checkList(ctx context.Context, s kvstore.Store, _ *memory.Store) {
	for _, key := range []string{"p/2", "p/1", "q/1", "p/3"} {
		_, err := s.CompareAndSwap(ctx, key, []byte("x"), 0)
		So(err, ShouldBeNil)
	}
	_, err := s.CompareAndSwap(ctx, "p/3", nil, 1)
	So(err, ShouldBeNil)
	keys, err := s.List(ctx, "p/", 10)
	So(err, ShouldBeNil)
	So(keys, ShouldResemble, []string{"p/1", "p/2"})
	keys, err = s.List(ctx, "", 1)
	So(err, ShouldBeNil)
	So(keys, ShouldResemble, []string{"p/1"})
	keys, err = s.List(ctx, "none", 1)
	So(err, ShouldBeNil)
	So(keys, ShouldBeEmpty)
}

func checkLeases(ctx context.Context, s kvstore.Store, backing *memory.Store) {
	lease, err := s.AcquireLease(ctx, "holder/fd 1/0", "host 1", time.Minute)
	So(err, ShouldBeNil)
	So(lease.Name+lease.Holder, ShouldEqual, "holder/fd 1/0host 1")
	So(lease.TTL, ShouldEqual, time.Minute)
	_, err = s.AcquireLease(ctx, lease.Name, "host 2", time.Minute)
	So(err, shouldBeError, kvstore.ErrLeaseHeld)
	again, err := s.AcquireLease(ctx, lease.Name, lease.Holder, time.Minute)
	So(err, ShouldBeNil)
	So(s.RenewLease(ctx, lease), shouldBeError, kvstore.ErrLeaseLost)
	So(s.ReleaseLease(ctx, lease), ShouldBeNil)
	So(s.RenewLease(ctx, again), ShouldBeNil)
	So(s.ReleaseLease(ctx, again), ShouldBeNil)
	other, err := s.AcquireLease(ctx, lease.Name, "host 2", time.Minute)
	So(err, ShouldBeNil)
	backing.ExpireLeases()
	So(s.RenewLease(ctx, other), shouldBeError, kvstore.ErrLeaseLost)
	backing.SetFaults(memory.Faults{LeasesLapse: true})
	other, err = s.AcquireLease(ctx, lease.Name, "host 2", time.Minute)
	So(err, ShouldBeNil)
	So(s.RenewLease(ctx, other), shouldBeError, kvstore.ErrLeaseLost)
}

func checkFaults(ctx context.Context, s kvstore.Store, backing *memory.Store) {
	backing.LoseNextResponses(1)
	_, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0)
	So(err, shouldBeError, kvstore.ErrUnknown)
	entry, err := s.Get(ctx, "k")
	So(err, ShouldBeNil)
	So(entry.Value, ShouldResemble, []byte("1"))
	backing.SetFaults(memory.Faults{LostRequestRatio: 1})
	_, err = s.CompareAndSwap(ctx, "k", []byte("2"), entry.Revision)
	So(err, shouldBeError, kvstore.ErrUnknown)
	backing.SetFaults(memory.Faults{Unavailable: true})
	_, err = s.CompareAndSwap(ctx, "k", []byte("3"), entry.Revision)
	So(err, shouldBeError, kvstore.ErrUnavailable)
	_, err = s.List(ctx, "", 1)
	So(err, shouldBeError, kvstore.ErrUnavailable)
	backing.SetFaults(memory.Faults{ReadsPerSecond: 1e-9, WritesPerSecond: 1e-9})
	entry, err = s.Get(ctx, "k")
	So(err, ShouldBeNil)
	So(entry.Value, ShouldResemble, []byte("1"))
	_, err = s.Get(ctx, "k")
	So(err, shouldBeError, kvstore.ErrRateLimited)
	backing.SetFaults(memory.Faults{})
	So(backing.RewindWrites(1), ShouldEqual, 1)
	_, err = s.Get(ctx, "k")
	So(err, shouldBeError, kvstore.ErrNotFound)
}
