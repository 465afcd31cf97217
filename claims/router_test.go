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

// network carries messages between routers with a delay that tests set. A negative
// delay drops the message.
type network struct {
	mu      sync.Mutex
	routers map[mesh.HostID]*Router
	delay   func(to mesh.HostID, kind transport.Kind) time.Duration
	// isolated hosts exchange messages only with each other.
	isolated map[mesh.HostID]bool
}

// port is the transport.Sender of one host.
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
	receiver, known := p.routers[to]
	if !known {
		return errors.New("no link")
	}
	if p.isolated[to] != p.isolated[p.self] {
		// Send succeeds as in package distribution, which queues the frame for a link
		// that is never established here.
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

// isolate separates hosts from the others; without hosts it ends the separation.
func (n *network) isolate(hosts ...mesh.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = lo.SliceToMap(hosts, func(h mesh.HostID) (mesh.HostID, bool) { return h, true })
}

func constantDelay(d time.Duration) func(mesh.HostID, transport.Kind) time.Duration {
	return func(mesh.HostID, transport.Kind) time.Duration { return d }
}

func newView(hosts ...mesh.HostID) *membership.View {
	view := &membership.View{Hosts: map[mesh.HostID]*membership.Record{}}
	for _, host := range hosts {
		view.Hosts[host] = &membership.Record{Host: host, Domain: "d", State: membership.StateAlive}
	}
	return view
}

// newNetwork returns routers with the given claimers on hosts h0, h1, ... of one
// failure domain.
func newNetwork(claimers ...*Claimer) (*network, []*Router, error) {
	return newNetworkInDomains(1, claimers...)
}

// newNetworkInDomains is newNetwork with the hosts spread over failure domains in turn.
func newNetworkInDomains(domains int, claimers ...*Claimer) (*network, []*Router, error) {
	n := &network{routers: map[mesh.HostID]*Router{}, delay: constantDelay(time.Millisecond)}
	hosts := lo.Times(len(claimers), func(i int) mesh.HostID { return mesh.HostID(fmt.Sprint("h", i)) })
	view := newView(hosts...)
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

// TestRouting guards against claims that bypass a healthy owner or fail because of a
// failed one, and against a request that counts as two claims because it was written
// both by the owner and directly.
func TestRouting(t *testing.T) {
	inBubble(t, "Given two hosts, one of which owns the shard", func() {
		ctx, backing := context.Background(), newMemoryStore()
		stores := []*kvstore.CountingStore{kvstore.NewCountingStore(backing), kvstore.NewCountingStore(backing)}
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
		requests := requestsOfOneShard(3, time.Now())
		owner, requester, ownerStore, requesterStore := routers[0], routers[1], stores[0], stores[1]
		if routers[1].Owns(0) {
			owner, requester, ownerStore, requesterStore = requester, owner, requesterStore, ownerStore
		}
		So(owner.Owns(0), ShouldBeTrue)
		So(requester.Owns(0), ShouldBeFalse)

		Convey("all operations go through the owner", func() {
			claim, err := requester.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			_, err = owner.Claim(ctx, requests[0])
			So(err, shouldBeRejected, mesh.ReasonInProgress)
			So(claim.Release(ctx), ShouldBeNil)
			claim, err = requester.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(claim.Complete(ctx, 204), ShouldBeNil)
			time.Sleep(2 * DefaultCompleteDelay)
			_, err = requester.Claim(ctx, requests[0])
			So(err, shouldBeRejected, mesh.ReasonAlreadyExecuted)
			So(err.(*Rejection).Status, ShouldEqual, 204)
			So(requesterStore.Counts().Total(), ShouldEqual, 0)
			So(ownerStore.Counts().Writes(), ShouldEqual, 4)
		})
		Convey("a request that reaches the owner late is the same claim", func() {
			net.setDelay(constantDelay(800 * time.Millisecond))
			claim, err := requester.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(requesterStore.Counts().Writes(), ShouldEqual, 1)
			time.Sleep(2 * time.Second)
			So(ownerStore.Counts().Reads(), ShouldBeGreaterThan, 0)
			So(claim.Release(ctx), ShouldBeNil)
			net.setDelay(constantDelay(0))
			again, err := owner.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(again.Complete(ctx, 200), ShouldBeNil)
		})
		Convey("a duplicate after the release does not claim the key again", func() {
			net.setDelay(constantDelay(5 * time.Second))
			claim, err := requester.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			So(claim.Release(ctx), ShouldBeNil)
			time.Sleep(10 * time.Second)
			net.setDelay(constantDelay(0))
			_, err = owner.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
		})
		Convey("claims are written directly when the owner does not answer or cannot write", func() {
			net.setDelay(constantDelay(-1))
			_, err := requester.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			begin := time.Now()
			_, err = requester.Claim(ctx, requests[1])
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldBeLessThan, requester.config.OwnerTimeout)
			time.Sleep(DefaultOwnerBackoff)
			net.setDelay(constantDelay(0))
			So(owner.config.Claimer.Close(ctx), ShouldBeNil)
			_, err = requester.Claim(ctx, requests[2])
			So(err, ShouldBeNil)
			So(requesterStore.Counts().Writes(), ShouldEqual, 3)
		})
		Convey("a claim that the owner wrote stays granted when its operation expires at the owner", func() {
			_, err := owner.Claim(ctx, requests[1])
			So(err, ShouldBeNil)
			ownerSlow := &slow[slices.Index(routers, owner)]
			ownerSlow.Store(true)
			backing.LoseNextResponses(1)
			_, err = requester.Claim(ctx, requests[0])
			So(err, ShouldBeNil)
			time.Sleep(5 * time.Second)
			ownerSlow.Store(false)
			_, err = owner.Claim(ctx, requests[0])
			So(err, shouldBeRejected, mesh.ReasonInProgress)
		})
		Convey("the key stays usable when the requester cancels its claim", func() {
			net.setDelay(func(_ mesh.HostID, kind transport.Kind) time.Duration {
				if kind == transport.KindClaimReply {
					return -1
				}
				return 0
			})
			short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := requester.Claim(short, requests[0])
			So(err, shouldBeRejected, mesh.ReasonDeadline)
			time.Sleep(time.Second)
			net.setDelay(constantDelay(0))
			_, err = requester.Claim(ctx, requests[0])
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

// TestOwners guards against an owner that is not alive, against a local owner in a
// remote domain, against hosts of different domains that see different preferred
// owners, and against shards that move between hosts without need.
func TestOwners(t *testing.T) {
	Convey("Given a view with hosts that are alive and one that is not", t, func() {
		owners, view := NewOwners("d"), newView("a", "b", "c", "x", "y")
		view.Hosts["x"].State = membership.StateSuspect
		view.Hosts["y"].Domain = "e"
		smaller := newView("a", "b", "y")
		smaller.Hosts["y"].Domain = "e"
		count, localCount := map[mesh.HostID]int{}, map[mesh.HostID]int{}
		for shard := range ShardID(ShardCount) {
			owner, localOwner := owners.Owner(view, shard), owners.LocalOwner(view, shard)
			count[owner]++
			localCount[localOwner]++
			So(NewOwners("e").Owner(view, shard), ShouldEqual, owner)
			if owner != "c" {
				So(owners.Owner(smaller, shard), ShouldEqual, owner)
			}
			if localOwner != "c" {
				So(owners.LocalOwner(smaller, shard), ShouldEqual, localOwner)
			}
		}
		So(count, ShouldHaveLength, 4)
		So(min(count["a"], count["b"], count["c"], count["y"]), ShouldBeGreaterThan, 5)
		So(localCount, ShouldHaveLength, 3)
		So(min(localCount["a"], localCount["b"], localCount["c"]), ShouldBeGreaterThan, 5)
		So(owners.Owner(nil, 0), ShouldBeEmpty)
		So(owners.LocalOwner(newView(), 0), ShouldBeEmpty)
	})
}

// TestCleanOwned guards against cleanup that skips owned shards or deletes segments of
// others.
func TestCleanOwned(t *testing.T) {
	inBubble(t, "Given two hosts and expired segments", func() {
		store := memory.New()
		_, routers, err := newNetwork(newClaimer(store, nil), newClaimer(store, nil))
		So(err, ShouldBeNil)
		for i := range 200 {
			_, err := routers[0].Claim(context.Background(), newRequest(fmt.Sprint(i), 1, time.Now()))
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
