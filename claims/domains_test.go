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

// fleet is hosts in failure domains with one store, whose calls are counted and
// can be made to fail per host.
type fleet struct {
	net     *network
	routers []*Router
	stores  []*kvstore.CountingStore
	// dark and pause belong to hosts by number.
	mu    sync.Mutex
	dark  map[int]bool
	pause map[int]time.Duration
}

// darkStore is the store as a host sees it.
type darkStore struct {
	kvstore.Store
	fleet *fleet
	host  int
}

func (d darkStore) wait() error {
	d.fleet.mu.Lock()
	pause, dark := d.fleet.pause[d.host], d.fleet.dark[d.host]
	d.fleet.mu.Unlock()
	time.Sleep(pause)
	if dark {
		return kvstore.ErrUnavailable
	}
	return nil
}

func (d darkStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := d.wait(); err != nil {
		return kvstore.Entry{}, err
	}
	return d.Store.Get(ctx, key)
}

func (d darkStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	if err := d.wait(); err != nil {
		return 0, err
	}
	return d.Store.CompareAndSwap(ctx, key, value, expected)
}

func newFleet(domains, hosts int) *fleet {
	f := &fleet{dark: map[int]bool{}, pause: map[int]time.Duration{}}
	store := newMemory()
	claimers := lo.Times(hosts, func(i int) *Claimer {
		f.stores = append(f.stores, kvstore.Counting(store))
		return newClaimer(darkStore{f.stores[i], f, i}, nil)
	})
	var err error
	f.net, f.routers, err = newDomains(domains, claimers...)
	So(err, ShouldBeNil)
	return f
}

// ownerOf returns the numbers of the shard's owner and of two hosts of one other
// domain, the second of which owns the shard there.
func (f *fleet) ownerOf(shard ShardID) (owner, asker, local int) {
	view := f.routers[0].config.View()
	owner, asker, local = -1, -1, -1
	for i, r := range f.routers {
		if r.Owns(shard) {
			owner = i
		}
	}
	for i, r := range f.routers {
		if r.config.Domain == f.routers[owner].config.Domain {
			continue
		}
		own := r.owners.OfDomain(view, shard)
		if own != r.config.Self && asker < 0 {
			asker = i
			_, local, _ = lo.FindIndexOf(f.routers, func(o *Router) bool { return o.config.Self == own })
		}
	}
	return owner, asker, local
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) writes() int64 {
	return lo.SumBy(f.stores, func(s *kvstore.CountingStore) int64 { return int64(s.Counts().Writes()) })
}

// TestOneWriterPerShard guards against a number of writes that grows with the
// failure domains.
func TestOneWriterPerShard(t *testing.T) {
	inBubble(t, "Given 16 hosts in 8 failure domains that claim keys all the time", func() {
		f := newFleet(8, 16)
		const length = 3 * time.Second
		begin := time.Now()
		var group sync.WaitGroup
		for i, r := range f.routers {
			for n := range 40 {
				group.Go(func() {
					for k := 0; time.Since(begin) < length; k++ {
						_, _ = r.Claim(context.Background(), requestOf(fmt.Sprintf("%d-%d-%d", i, n, k), 1, begin))
					}
				})
			}
		}
		group.Wait()
		bound := ShardCount * (int64(time.Since(begin)/testInterval) + 1)
		So(f.writes(), ShouldBeLessThanOrEqualTo, bound)
		So(f.writes(), ShouldBeGreaterThan, bound/4)
	})
}

// TestPartitionedDomain guards against a domain that claims no keys without the
// owner, that writes from each of its hosts, that pays the time-out for each
// claim, that never returns to the owner, and against a refusal without the store
// that leaves the outcome open.
func TestPartitionedDomain(t *testing.T) {
	inBubble(t, "Given two domains, the owner of the shard in the other one", func() {
		f, ctx := newFleet(2, 12), context.Background()
		requests := sameShard(6, time.Now())
		owner, asker, local := f.ownerOf(0)
		So(min(owner, asker, local), ShouldBeGreaterThanOrEqualTo, 0)
		r := f.routers[asker]
		f.net.isolate(lo.FilterMap(f.routers, func(o *Router, _ int) (mesh.HostID, bool) {
			return o.config.Self, o.config.Domain == r.config.Domain
		})...)

		Convey("it claims through its own owner, and the time-out is paid once", func() {
			_, err := r.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			begin := time.Now()
			_, err = r.Claim(ctx, requests[1])
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldBeLessThan, r.config.OwnerTimeout)
			So(f.stores[asker].Counts().Total(), ShouldEqual, 0)
			So(f.stores[local].Counts().Writes(), ShouldEqual, 2)
			_, err = f.routers[owner].Claim(ctx, requests[0])
			So(err, shouldBeRefused, mesh.ReasonInProgress)

			f.net.isolate()
			time.Sleep(maxOwnerBackoff)
			before := f.stores[owner].Counts().Writes()
			_, err = r.Claim(ctx, requests[2])
			So(err, ShouldBeNil)
			So(f.stores[owner].Counts().Writes(), ShouldEqual, before+1)
		})
		Convey("without the store it refuses as not executed, and the key stays usable", func() {
			f.set(func() {
				for i, o := range f.routers {
					f.dark[i] = o.config.Domain == r.config.Domain
				}
			})
			_, err := r.Claim(ctx, requests[0])
			So(err, shouldBeRefused, mesh.ReasonStore)
			So(err.(*Refusal).Outcome, ShouldEqual, mesh.OutcomeNotExecuted)
			f.set(func() { clear(f.dark) })
			f.net.isolate()
			time.Sleep(DefaultReleaseWait)
			_, err = f.routers[owner].Claim(ctx, requests[0])
			So(err, ShouldBeNil)
		})
	})
}

// TestStoreOutage guards against hosts that write past healthy owners for seconds
// after an outage of the store, which makes every owner look silent.
func TestStoreOutage(t *testing.T) {
	inBubble(t, "Given claims during an outage of the store", func() {
		f := newFleet(2, 12)
		owner, asker, _ := f.ownerOf(0)
		requests := sameShard(16, time.Now())
		f.set(func() {
			for i := range f.routers {
				f.dark[i] = true
			}
		})
		claim := func(request Request) error {
			ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
			defer cancel()
			_, err := f.routers[asker].Claim(ctx, request)
			return err
		}
		for i, begin := 1, time.Now(); time.Since(begin) < 750*time.Millisecond; i++ {
			So(claim(requests[i]), ShouldNotBeNil)
		}
		f.set(func() { clear(f.dark) })
		time.Sleep(250 * time.Millisecond)
		So(claim(requests[0]), ShouldBeNil)
		_, silent := f.routers[asker].silence.hosts[f.routers[owner].config.Self]
		So(silent, ShouldBeFalse)
	})
}

// TestPausedOwner guards against an owner that grants a key again when it goes on
// after a pause, or whose late write takes the key from its holder.
func TestPausedOwner(t *testing.T) {
	inBubble(t, "Given an owner that pauses with a request in its hands", func() {
		f, ctx := newFleet(2, 12), context.Background()
		request := sameShard(1, time.Now())[0]
		owner, asker, _ := f.ownerOf(0)
		f.set(func() { f.pause[owner] = 5 * time.Second })
		claim, err := f.routers[asker].Claim(ctx, request)
		So(err, ShouldBeNil)
		f.set(func() { clear(f.pause) })
		time.Sleep(20 * time.Second)
		_, err = f.routers[owner].Claim(ctx, request)
		So(err, shouldBeRefused, mesh.ReasonInProgress)
		So(claim.Complete(ctx, 201), ShouldBeNil)
		time.Sleep(2 * DefaultCompleteDelay)
		_, err = f.routers[owner].Claim(ctx, request)
		So(err, shouldBeRefused, mesh.ReasonAlreadyExecuted)
		So(err.(*Refusal).Status, ShouldEqual, 201)
	})
}

// TestExecutedFromMemory guards against repeats of an executed key that are told
// in_progress by the hosts that know better, against a completion that is lost
// with its owner, and against a memory that grows without bound.
func TestExecutedFromMemory(t *testing.T) {
	inBubble(t, "Given a key that was executed a moment ago", func() {
		f, ctx := newFleet(2, 12), context.Background()
		request := sameShard(1, time.Now())[0]
		owner, asker, local := f.ownerOf(0)
		claim, err := f.routers[asker].Claim(ctx, request)
		So(err, ShouldBeNil)
		_, err = f.routers[local].Claim(ctx, request)
		So(err, shouldBeRefused, mesh.ReasonInProgress)

		Convey("the owner and the executing host answer before the write", func() {
			before := f.writes()
			So(claim.Complete(ctx, 201), ShouldBeNil)
			time.Sleep(5 * time.Millisecond)
			other := request
			other.BodyHash[0]++
			for _, host := range []int{asker, owner, local} {
				_, err = f.routers[host].Claim(ctx, request)
				So(err, shouldBeRefused, mesh.ReasonAlreadyExecuted)
				So(err.(*Refusal).Status, ShouldEqual, 201)
				_, err = f.routers[host].Claim(ctx, other)
				So(err, shouldBeRefused, mesh.ReasonKeyConflict)
			}
			So(f.writes(), ShouldEqual, before)
		})
		Convey("the completion reaches the store when the owner dies first", func() {
			So(claim.Complete(ctx, 201), ShouldBeNil)
			f.set(func() { f.dark[owner] = true })
			f.net.isolate(f.routers[owner].config.Self)
			time.Sleep(3*DefaultCompleteDelay + f.routers[asker].config.OwnerTimeout)
			_, err = f.routers[local].Claim(ctx, request)
			So(err, shouldBeRefused, mesh.ReasonAlreadyExecuted)
			f.set(func() { clear(f.dark) })
		})
	})
	inBubble(t, "Given a call that runs while repeats come at other hosts", func() {
		f, ctx := newFleet(2, 12), context.Background()
		request := sameShard(1, time.Now())[0]
		owner, asker, local := f.ownerOf(0)
		claim, err := f.routers[asker].Claim(ctx, request)
		So(err, ShouldBeNil)
		repeat := func(complete time.Duration) []error {
			var group sync.WaitGroup
			refusals := make([]error, 2)
			for i, host := range []int{owner, local} {
				group.Go(func() { _, refusals[i] = f.routers[host].Claim(ctx, request) })
			}
			if complete > 0 {
				time.Sleep(complete)
				So(claim.Complete(ctx, 201), ShouldBeNil)
			}
			group.Wait()
			return refusals
		}
		Convey("they learn of its end when that is near", func() {
			for _, err := range repeat(testInterval + 30*time.Millisecond) {
				So(err, shouldBeRefused, mesh.ReasonAlreadyExecuted)
			}
		})
		Convey("they are told in_progress otherwise, and the owner does not count as silent", func() {
			begin := time.Now()
			for _, err := range repeat(0) {
				So(err, shouldBeRefused, mesh.ReasonInProgress)
			}
			So(time.Since(begin), ShouldBeLessThan, f.routers[local].config.OwnerTimeout)
			So(f.routers[local].silence.hosts, ShouldBeEmpty)
			So(f.stores[local].Counts().Total(), ShouldEqual, 0)
			So(f.routers[owner].config.Claimer.executed[0].waiting, ShouldBeEmpty)
		})
	})
	Convey("Given more executions than a shard remembers", t, func() {
		e := newExecuted()
		ticket := func(i int) Ticket { return Ticket{Key: KeyHash{byte(i), byte(i >> 8)}} }
		for i := range 3 * maxExecuted {
			e.add(ticket(i), 200)
			e.add(ticket(i), 200)
		}
		So(e.byKey, ShouldHaveLength, maxExecuted)
		_, known := e.verdict(ticket(3*maxExecuted - 1))
		So(known, ShouldBeTrue)
		_, known = e.verdict(ticket(2*maxExecuted - 1))
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

// benchmarkDomains returns the writers of one host in each failure domain.
func benchmarkDomains(b *testing.B, domains int) (*kvstore.CountingStore, []claimFunc) {
	store := kvstore.Counting(memory.New(memory.WithFaults(memory.Faults{Latency: time.Millisecond})))
	claimers := lo.Times(domains, func(int) *Claimer {
		c, _ := New(Config{Store: store, MaxWait: time.Minute})
		return c
	})
	_, routers, err := newDomains(domains, claimers...)
	if err != nil {
		b.Fatal(err)
	}
	return store, lo.Map(routers, func(r *Router, _ int) claimFunc { return r.Claim })
}

// BenchmarkClaimsRate measures the writes and the wait of claims that come at a
// steady rate from 8 failure domains and are completed at once.
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
					if claim, err := writers[i%len(writers)](b.Context(), requestOf(fmt.Sprint(i), 1, start)); err == nil {
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
