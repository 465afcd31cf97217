package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// testMesh is a number of hosts in failure domains with one store. The calls to the
// store are counted per host, and can be delayed and made to fail per host.
type testMesh struct {
	network *network
	routers []*Router
	stores  []*kvstore.CountingStore
	// unavailable and delay are keyed by the number of the host.
	mu          sync.Mutex
	unavailable map[int]bool
	delay       map[int]time.Duration
}

// hostStore is the store as accessed by one host.
type hostStore struct {
	kvstore.Store
	mesh *testMesh
	host int
}

func (s hostStore) wait() error {
	s.mesh.mu.Lock()
	delay, unavailable := s.mesh.delay[s.host], s.mesh.unavailable[s.host]
	s.mesh.mu.Unlock()
	time.Sleep(delay)
	if unavailable {
		return kvstore.ErrUnavailable
	}
	return nil
}

func (s hostStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := s.wait(); err != nil {
		return kvstore.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s hostStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	if err := s.wait(); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, key, value, expected)
}

func newTestMesh(domains, hosts int) *testMesh {
	m := &testMesh{unavailable: map[int]bool{}, delay: map[int]time.Duration{}}
	store := newMemoryStore()
	claimers := lo.Times(hosts, func(i int) *Claimer {
		m.stores = append(m.stores, kvstore.NewCountingStore(store))
		return newClaimer(hostStore{m.stores[i], m, i}, nil)
	})
	var err error
	m.network, m.routers, err = newNetworkInDomains(domains, claimers...)
	So(err, ShouldBeNil)
	return m
}

// hostsFor returns the numbers of the shard's owner and of two hosts of another domain:
// a requester, and the host that owns the shard in that domain.
func (m *testMesh) hostsFor(shard ShardID) (owner, requester, localOwner int) {
	view := m.routers[0].config.View()
	owner, requester, localOwner = -1, -1, -1
	for i, r := range m.routers {
		if r.Owns(shard) {
			owner = i
		}
	}
	for i, r := range m.routers {
		if r.config.Domain == m.routers[owner].config.Domain {
			continue
		}
		ownerID := r.owners.LocalOwner(view, shard)
		if ownerID != r.config.Self && requester < 0 {
			requester = i
			_, localOwner, _ = lo.FindIndexOf(m.routers, func(o *Router) bool { return o.config.Self == ownerID })
		}
	}
	return owner, requester, localOwner
}

func (m *testMesh) withLock(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *testMesh) writes() int64 {
	return lo.SumBy(m.stores, func(s *kvstore.CountingStore) int64 { return int64(s.Counts().Writes()) })
}

// TestOneWriterPerShard guards against a number of writes that grows with the number
// of failure domains.
func TestOneWriterPerShard(t *testing.T) {
	inBubble(t, "16 hosts in 8 failure domains share one write per shard and interval", func() {
		m := newTestMesh(8, 16)
		const length = 3 * time.Second
		begin := time.Now()
		var group sync.WaitGroup
		for i, r := range m.routers {
			for n := range 40 {
				group.Go(func() {
					for call := 0; time.Since(begin) < length; call++ {
						_, _ = r.Claim(context.Background(), newRequest(fmt.Sprintf("%d-%d-%d", i, n, call), 1, begin))
					}
				})
			}
		}
		group.Wait()
		bound := ShardCount * (int64(time.Since(begin)/testInterval) + 1)
		So(m.writes(), ShouldBeLessThanOrEqualTo, bound)
		So(m.writes(), ShouldBeGreaterThan, bound/4)
	})
}

// TestPartitionedDomain guards against a domain that, without connection to the owner,
// cannot claim keys, writes from each of its hosts, waits for the owner timeout on
// each claim, or does not use the owner again afterwards. It also guards against a
// rejection without the store that leaves the outcome unknown.
func TestPartitionedDomain(t *testing.T) {
	inBubble(t, "Given a domain that is cut off from the owner of the shard", func() {
		m, ctx := newTestMesh(2, 12), context.Background()
		requests := requestsOfOneShard(6, time.Now())
		owner, requester, localOwner := m.hostsFor(0)
		So(min(owner, requester, localOwner), ShouldBeGreaterThanOrEqualTo, 0)
		r := m.routers[requester]
		m.network.isolate(lo.FilterMap(m.routers, func(o *Router, _ int) (mesh.HostID, bool) {
			return o.config.Self, o.config.Domain == r.config.Domain
		})...)

		Convey("it claims through its local owner, and only the first claim waits for the timeout", func() {
			_, err := r.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			begin := time.Now()
			_, err = r.Claim(ctx, requests[1])
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldBeLessThan, r.config.OwnerTimeout)
			So(m.stores[requester].Counts().Total(), ShouldEqual, 0)
			So(m.stores[localOwner].Counts().Writes(), ShouldEqual, 2)
			_, err = m.routers[owner].Claim(ctx, requests[0])
			So(err, shouldBeRejected, mesh.ReasonInProgress)

			m.network.isolate()
			time.Sleep(maxOwnerBackoff)
			before := m.stores[owner].Counts().Writes()
			_, err = r.Claim(ctx, requests[2])
			So(err, ShouldBeNil)
			So(m.stores[owner].Counts().Writes(), ShouldEqual, before+1)
		})
		Convey("without the store it rejects claims as not executed, and the key stays usable", func() {
			m.withLock(func() {
				for i, o := range m.routers {
					m.unavailable[i] = o.config.Domain == r.config.Domain
				}
			})
			_, err := r.Claim(ctx, requests[0])
			So(err, shouldBeRejected, mesh.ReasonStoreUnavailable)
			So(err.(*Rejection).Outcome, ShouldEqual, mesh.OutcomeNotExecuted)
			m.withLock(func() { clear(m.unavailable) })
			m.network.isolate()
			time.Sleep(DefaultReleaseWait)
			_, err = m.routers[owner].Claim(ctx, requests[0])
			So(err, ShouldBeNil)
		})
	})
}

// TestStoreOutage guards against hosts that write directly instead of through healthy
// owners for seconds after an outage of the store, during which every owner fails.
func TestStoreOutage(t *testing.T) {
	inBubble(t, "An owner is used again shortly after an outage of the store", func() {
		m := newTestMesh(2, 12)
		owner, requester, _ := m.hostsFor(0)
		requests := requestsOfOneShard(16, time.Now())
		m.withLock(func() {
			for i := range m.routers {
				m.unavailable[i] = true
			}
		})
		claim := func(request Request) error {
			ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
			defer cancel()
			_, err := m.routers[requester].Claim(ctx, request)
			return err
		}
		for i, begin := 1, time.Now(); time.Since(begin) < 750*time.Millisecond; i++ {
			So(claim(requests[i]), ShouldNotBeNil)
		}
		m.withLock(func() { clear(m.unavailable) })
		time.Sleep(250 * time.Millisecond)
		So(claim(requests[0]), ShouldBeNil)
		_, failed := m.routers[requester].backoff.hosts[m.routers[owner].config.Self]
		So(failed, ShouldBeFalse)
	})
}

// TestPausedOwner guards against an owner that, after a pause of its process, grants a
// key again, or whose late write replaces a granted claim.
func TestPausedOwner(t *testing.T) {
	inBubble(t, "An owner that continues a request after a pause does not change the claim", func() {
		m, ctx := newTestMesh(2, 12), context.Background()
		request := requestsOfOneShard(1, time.Now())[0]
		owner, requester, _ := m.hostsFor(0)
		m.withLock(func() { m.delay[owner] = 5 * time.Second })
		claim, err := m.routers[requester].Claim(ctx, request)
		So(err, ShouldBeNil)
		m.withLock(func() { clear(m.delay) })
		time.Sleep(20 * time.Second)
		_, err = m.routers[owner].Claim(ctx, request)
		So(err, shouldBeRejected, mesh.ReasonInProgress)
		So(claim.Complete(ctx, 201), ShouldBeNil)
		time.Sleep(2 * DefaultCompleteDelay)
		_, err = m.routers[owner].Claim(ctx, request)
		So(err, shouldBeRejected, mesh.ReasonAlreadyExecuted)
		So(err.(*Rejection).Status, ShouldEqual, 201)
	})
}

// TestExecutedFromMemory guards against duplicates of an executed call that get
// in_progress from hosts that know of the execution, against a completion that is lost
// with the owner, and against a cache that grows without bound.
func TestExecutedFromMemory(t *testing.T) {
	inBubble(t, "Given a claimed key whose call completes", func() {
		m, ctx := newTestMesh(2, 12), context.Background()
		request := requestsOfOneShard(1, time.Now())[0]
		owner, requester, localOwner := m.hostsFor(0)
		claim, err := m.routers[requester].Claim(ctx, request)
		So(err, ShouldBeNil)
		_, err = m.routers[localOwner].Claim(ctx, request)
		So(err, shouldBeRejected, mesh.ReasonInProgress)

		Convey("the owner and the executing host answer before the write", func() {
			before := m.writes()
			So(claim.Complete(ctx, 201), ShouldBeNil)
			time.Sleep(5 * time.Millisecond)
			other := request
			other.BodyHash[0]++
			for _, host := range []int{requester, owner, localOwner} {
				_, err = m.routers[host].Claim(ctx, request)
				So(err, shouldBeRejected, mesh.ReasonAlreadyExecuted)
				So(err.(*Rejection).Status, ShouldEqual, 201)
				_, err = m.routers[host].Claim(ctx, other)
				So(err, shouldBeRejected, mesh.ReasonKeyConflict)
			}
			So(m.writes(), ShouldEqual, before)
		})
		Convey("the completion reaches the store when the owner fails before its write", func() {
			So(claim.Complete(ctx, 201), ShouldBeNil)
			m.withLock(func() { m.unavailable[owner] = true })
			m.network.isolate(m.routers[owner].config.Self)
			time.Sleep(3*DefaultCompleteDelay + m.routers[requester].config.OwnerTimeout)
			_, err = m.routers[localOwner].Claim(ctx, request)
			So(err, shouldBeRejected, mesh.ReasonAlreadyExecuted)
			m.withLock(func() { clear(m.unavailable) })
		})
	})
	inBubble(t, "Given a call in progress and duplicates of it at other hosts", func() {
		m, ctx := newTestMesh(2, 12), context.Background()
		request := requestsOfOneShard(1, time.Now())[0]
		owner, requester, localOwner := m.hostsFor(0)
		claim, err := m.routers[requester].Claim(ctx, request)
		So(err, ShouldBeNil)
		duplicates := func(complete time.Duration) []error {
			var group sync.WaitGroup
			errs := make([]error, 2)
			for i, host := range []int{owner, localOwner} {
				group.Go(func() { _, errs[i] = m.routers[host].Claim(ctx, request) })
			}
			if complete > 0 {
				time.Sleep(complete)
				So(claim.Complete(ctx, 201), ShouldBeNil)
			}
			group.Wait()
			return errs
		}
		Convey("they are answered as executed when the call ends soon", func() {
			for _, err := range duplicates(testInterval + 30*time.Millisecond) {
				So(err, shouldBeRejected, mesh.ReasonAlreadyExecuted)
			}
		})
		Convey("otherwise they are answered as in progress, and the owner does not count as failed", func() {
			begin := time.Now()
			for _, err := range duplicates(0) {
				So(err, shouldBeRejected, mesh.ReasonInProgress)
			}
			So(time.Since(begin), ShouldBeLessThan, m.routers[localOwner].config.OwnerTimeout)
			So(m.routers[localOwner].backoff.hosts, ShouldBeEmpty)
			So(m.stores[localOwner].Counts().Total(), ShouldEqual, 0)
			So(m.routers[owner].config.Claimer.executions[0].waiters, ShouldBeEmpty)
		})
	})
	Convey("Only the latest executions of a shard stay in the cache", t, func() {
		e := newExecutionCache()
		ticket := func(i int) Ticket { return Ticket{Key: KeyHash{byte(i), byte(i >> 8)}} }
		for i := range 3 * maxCachedExecutions {
			e.add(ticket(i), 200)
			e.add(ticket(i), 200)
		}
		So(e.byKey, ShouldHaveLength, maxCachedExecutions)
		_, known := e.result(ticket(3*maxCachedExecutions - 1))
		So(known, ShouldBeTrue)
		_, known = e.result(ticket(2*maxCachedExecutions - 1))
		So(known, ShouldBeFalse)
	})
}

// BenchmarkClaimsDomains is BenchmarkClaims with one host in each failure domain
// and claims through the owner of the shard.
func BenchmarkClaimsDomains(b *testing.B) {
	for _, domains := range []int{1, 8} {
		b.Run(fmt.Sprintf("interval=%s/domains=%d", DefaultMinBatchInterval, domains), func(b *testing.B) {
			store, writers := benchmarkDomains(b, domains)
			benchmarkClaims(b, store, writers)
		})
	}
}

// benchmarkDomains returns a store and a writer on one host in each failure domain.
func benchmarkDomains(b *testing.B, domains int) (*kvstore.CountingStore, []claimFunc) {
	store := kvstore.NewCountingStore(memory.New(memory.WithFaults(memory.Faults{Latency: time.Millisecond})))
	claimers := lo.Times(domains, func(int) *Claimer {
		c, _ := New(Config{Store: store, MaxWait: time.Minute})
		return c
	})
	_, routers, err := newNetworkInDomains(domains, claimers...)
	if err != nil {
		b.Fatal(err)
	}
	return store, lo.Map(routers, func(r *Router, _ int) claimFunc { return r.Claim })
}

// BenchmarkClaimsRate measures the writes and the latency of claims that arrive at a
// steady rate from 8 failure domains and are completed immediately.
func BenchmarkClaimsRate(b *testing.B) {
	for _, rate := range []int{50, 100, 186, 400, 800} {
		b.Run(fmt.Sprintf("claims=%d/s", rate), func(b *testing.B) {
			store, writers := benchmarkDomains(b, 8)
			var group sync.WaitGroup
			var waited atomic.Int64
			begin := time.Now()
			for i := range b.N {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				group.Go(func() {
					start := time.Now()
					if claim, err := writers[i%len(writers)](b.Context(), newRequest(fmt.Sprint(i), 1, start)); err == nil {
						_ = claim.Complete(b.Context(), 200)
					}
					waited.Add(int64(time.Since(start)))
				})
			}
			group.Wait()
			b.ReportMetric(float64(store.Counts().Writes())/time.Since(begin).Seconds(), "writes/s")
			b.ReportMetric(float64(waited.Load())/float64(b.N)/float64(time.Millisecond), "ms/claim")
		})
	}
}
