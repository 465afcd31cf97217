package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// network carries messages between routers with a delay that tests change. A
// negative delay drops the message.
type network struct {
	mu      sync.Mutex
	routers map[mesh.HostID]*Router
	delay   func(to mesh.HostID, kind transport.Kind) time.Duration
	// cut hosts exchange no messages with the others.
	cut map[mesh.HostID]bool
}

type port struct {
	*network
	self mesh.HostID
}

func (p port) Send(_ context.Context, to mesh.HostID, kind transport.Kind, body any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	receiver, linked := p.routers[to]
	if !linked {
		return errors.New("no link")
	}
	if p.cut[to] != p.cut[p.self] {
		// As distribution does, the frame waits for a link that does not come.
		return nil
	}
	if d := p.delay(to, kind); d >= 0 {
		time.AfterFunc(d, func() { receiver.Handle(p.self, transport.Message{Kind: kind, Body: raw}) })
	}
	return nil
}

func (n *network) setDelay(delay func(mesh.HostID, transport.Kind) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// isolate cuts hosts off from the others; without hosts it heals the network.
func (n *network) isolate(hosts ...mesh.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = lo.SliceToMap(hosts, func(h mesh.HostID) (mesh.HostID, bool) { return h, true })
}

func always(d time.Duration) func(mesh.HostID, transport.Kind) time.Duration {
	return func(mesh.HostID, transport.Kind) time.Duration { return d }
}

func viewOf(hosts ...mesh.HostID) *membership.View {
	view := &membership.View{Hosts: map[mesh.HostID]*membership.Record{}}
	for _, host := range hosts {
		view.Hosts[host] = &membership.Record{Host: host, Domain: "d", State: membership.StateAlive}
	}
	return view
}

// newNetwork returns routers with the given claimers on hosts h0, h1, ... of one
// failure domain.
func newNetwork(claimers ...*Claimer) (*network, []*Router, error) { return newDomains(1, claimers...) }

// newDomains spreads the hosts over failure domains in turn.
func newDomains(domains int, claimers ...*Claimer) (*network, []*Router, error) {
	n := &network{routers: map[mesh.HostID]*Router{}, delay: always(time.Millisecond)}
	hosts := lo.Times(len(claimers), func(i int) mesh.HostID { return mesh.HostID(fmt.Sprint("h", i)) })
	view := viewOf(hosts...)
	var routers []*Router
	for i, c := range claimers {
		record := view.Hosts[hosts[i]]
		record.Domain = mesh.FailureDomain(fmt.Sprint("d", i%domains))
		r, err := NewRouter(RouterConfig{
			Claimer: c, Sender: port{n, hosts[i]}, Self: hosts[i], Domain: record.Domain,
			View: func() *membership.View { return view },
		})
		if err != nil {
			return nil, nil, err
		}
		n.routers[hosts[i]] = r
		routers = append(routers, r)
	}
	return n, routers, nil
}

// TestRouting guards against claims that bypass a healthy owner, that fail with
// an unhealthy one, and against a request that counts as two claims because it
// took both paths.
func TestRouting(t *testing.T) {
	inBubble(t, "Given two hosts, one of which owns the shard", func() {
		ctx, backing := context.Background(), newMemory()
		stores := []*kvstore.CountingStore{kvstore.Counting(backing), kvstore.Counting(backing)}
		var slow [2]atomic.Bool
		hosts := lo.Map(stores, func(store *kvstore.CountingStore, i int) *Claimer {
			return newClaimer(&hookStore{Store: store, before: func(kind kvstore.CallKind, _ string) {
				if kind == kvstore.CallGet && slow[i].Load() {
					time.Sleep(time.Second)
				}
			}}, nil)
		})
		net, routers, err := newNetwork(hosts...)
		So(err, ShouldBeNil)
		requests := sameShard(3, time.Now())
		owner, asker, ownerStore, askerStore := routers[0], routers[1], stores[0], stores[1]
		if routers[1].Owns(0) {
			owner, asker, ownerStore, askerStore = asker, owner, askerStore, ownerStore
		}
		So(owner.Owns(0), ShouldBeTrue)
		So(asker.Owns(0), ShouldBeFalse)

		Convey("all operations go through the owner", func() {
			claim, err := asker.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			_, err = owner.Claim(ctx, requests[0])
			So(err, shouldBeRefused, mesh.ReasonInProgress)
			So(claim.Release(ctx), ShouldBeNil)
			claim, err = asker.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(claim.Complete(ctx, 204), ShouldBeNil)
			time.Sleep(2 * DefaultCompleteDelay)
			_, err = asker.Claim(ctx, requests[0])
			So(err, shouldBeRefused, mesh.ReasonAlreadyExecuted)
			So(err.(*Refusal).Status, ShouldEqual, 204)
			So(askerStore.Counts().Total(), ShouldEqual, 0)
			So(ownerStore.Counts().Writes(), ShouldEqual, 4)
		})
		Convey("a request that reaches the owner late is the same claim", func() {
			net.setDelay(always(800 * time.Millisecond))
			claim, err := asker.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(askerStore.Counts().Writes(), ShouldEqual, 1)
			time.Sleep(2 * time.Second)
			So(ownerStore.Counts().Reads(), ShouldBeGreaterThan, 0)
			So(claim.Release(ctx), ShouldBeNil)
			net.setDelay(always(0))
			again, err := owner.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(again.Complete(ctx, 200), ShouldBeNil)
		})
		Convey("a duplicate after the release does not claim the key again", func() {
			net.setDelay(always(5 * time.Second))
			claim, err := asker.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(claim.Release(ctx), ShouldBeNil)
			time.Sleep(10 * time.Second)
			net.setDelay(always(0))
			_, err = owner.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
		})
		Convey("an owner that does not answer or cannot write is passed over", func() {
			net.setDelay(always(-1))
			_, err := asker.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			begin := time.Now()
			_, err = asker.Claim(ctx, requests[1])
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldBeLessThan, asker.config.OwnerTimeout)
			time.Sleep(DefaultOwnerBackoff)
			net.setDelay(always(0))
			So(owner.config.Claimer.Close(ctx), ShouldBeNil)
			_, err = asker.Claim(ctx, requests[2])
			So(err, ShouldBeNil)
			So(askerStore.Counts().Writes(), ShouldEqual, 3)
		})
		Convey("a claim that the owner wrote and gave up stays the requester's", func() {
			_, err := owner.Claim(ctx, requests[1])
			So(err, ShouldBeNil)
			ownerSlow := &slow[slices.Index(routers, owner)]
			ownerSlow.Store(true)
			backing.LoseNextAnswers(1)
			_, err = asker.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			time.Sleep(5 * time.Second)
			ownerSlow.Store(false)
			_, err = owner.Claim(ctx, requests[0])
			So(err, shouldBeRefused, mesh.ReasonInProgress)
		})
		Convey("a requester that gives up leaves the key usable", func() {
			net.setDelay(func(_ mesh.HostID, kind transport.Kind) time.Duration {
				if kind == transport.KindClaimReply {
					return -1
				}
				return 0
			})
			short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := asker.Claim(short, requests[0])
			So(err, shouldBeRefused, mesh.ReasonDeadline)
			time.Sleep(time.Second)
			net.setDelay(always(0))
			_, err = asker.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
		})
		Convey("malformed messages are ignored", func() {
			bad, _ := cbor.Marshal(claimRequest{Kind: opClaim, Ticket: Ticket{Shard: ShardCount}})
			for _, body := range [][]byte{nil, {0xff}, bad} {
				owner.Handle("h9", transport.Message{Kind: transport.KindClaimRequest, Body: body})
				owner.Handle("h9", transport.Message{Kind: transport.KindClaimReply, Body: body})
			}
			So(ownerStore.Counts().Total(), ShouldEqual, 0)
		})
	})
}

// TestOwners guards against an owner that is not live, against a domain's owner
// of another domain, against hosts of different domains that prefer different
// owners, and against shards that move between hosts without need.
func TestOwners(t *testing.T) {
	Convey("Given a view with live and other hosts", t, func() {
		owners, view := NewOwners("d"), viewOf("a", "b", "c", "x", "y")
		view.Hosts["x"].State = membership.StateSuspect
		view.Hosts["y"].Domain = "e"
		smaller := viewOf("a", "b", "y")
		smaller.Hosts["y"].Domain = "e"
		count, local := map[mesh.HostID]int{}, map[mesh.HostID]int{}
		for shard := range ShardID(ShardCount) {
			host, own := owners.Of(view, shard), owners.OfDomain(view, shard)
			count[host]++
			local[own]++
			So(NewOwners("e").Of(view, shard), ShouldEqual, host)
			if host != "c" {
				So(owners.Of(smaller, shard), ShouldEqual, host)
			}
			if own != "c" {
				So(owners.OfDomain(smaller, shard), ShouldEqual, own)
			}
		}
		So(count, ShouldHaveLength, 4)
		So(min(count["a"], count["b"], count["c"], count["y"]), ShouldBeGreaterThan, 5)
		So(local, ShouldHaveLength, 3)
		So(min(local["a"], local["b"], local["c"]), ShouldBeGreaterThan, 5)
		So(owners.Of(nil, 0), ShouldBeEmpty)
		So(owners.OfDomain(viewOf(), 0), ShouldBeEmpty)
	})
}

// TestCleanOwned guards against cleanup that skips owned shards or touches
// others.
func TestCleanOwned(t *testing.T) {
	inBubble(t, "Given two hosts and expired segments", func() {
		store := memory.New()
		_, routers, err := newNetwork(newClaimer(store, nil), newClaimer(store, nil))
		So(err, ShouldBeNil)
		for i := range 200 {
			_, err := routers[0].Claim(context.Background(), requestOf(fmt.Sprint(i), 1, time.Now()))
			So(err, ShouldBeNil)
		}
		time.Sleep(25 * time.Hour)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for _, r := range routers {
			group.Go(func() { r.CleanOwned(ctx, time.Second) })
		}
		group.Wait()
		keys, err := store.List(context.Background(), "", 1000)
		So(err, ShouldBeNil)
		So(len(keys), ShouldBeLessThanOrEqualTo, ShardCount)
		for _, key := range keys {
			So(key, ShouldEndWith, "/floor")
		}
	})
}
