package distribution

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Times within which all views must list a crashed host, or one that no longer
// answers, as dead, so that it gets no more calls.
const (
	crashDetectionLimit   = 8 * time.Second
	silenceDetectionLimit = 12 * time.Second
)

type states = map[membership.State]int

// Guards I7: a host that fails is dead in every view within the stated time.
func TestDeadHost(t *testing.T) {
	runInBubble(t, "A crashed host is dead in all views in time, and its restart makes it alive", func(m *testMesh) {
		m.startDomains(5, 4)
		advance(5 * time.Second)
		m.kill(host(1, 3))
		advance(crashDetectionLimit)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 8 * 8, membership.StateDead: 8})
		m.start(1, 3)
		advance(5 * time.Second)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 9 * 9})
	})
	runInBubble(t, "A host that no longer answers is dead in all other views in time", func(m *testMesh) {
		m.startDomains(5, 4)
		advance(5 * time.Second)
		m.network.Group("silent", address(1, 3))
		m.network.CutBoth("silent", "fd1")
		m.network.CutBoth("silent", "fd2")
		advance(silenceDetectionLimit)
		m.kill(host(1, 3))
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 8 * 8, membership.StateDead: 8})
	})
}

// Guards I7 for a planned stop, which needs no suspicion.
func TestGracefulLeave(t *testing.T) {
	runInBubble(t, "A host that leaves is marked as left in all views immediately and is not suspected", func(m *testMesh) {
		m.startDomains(4, 3)
		advance(5 * time.Second)
		So(m.nodes[host(2, 2)].Stop(context.Background()), ShouldBeNil)
		m.kill(host(2, 2))
		advance(500 * time.Millisecond)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 6 * 6, membership.StateLeft: 6})
	})
}

// Guards against nodes that declare hosts of another failure domain dead because
// of a partition between the domains, and against a split domain that stays split
// after the partition has healed.
func TestPartitionBetweenDomains(t *testing.T) {
	runInBubble(t, "A long partition between domains makes no host dead, and the domains synchronize after it heals", func(m *testMesh) {
		m.startDomains(4, 4)
		advance(5 * time.Second)
		m.network.CutBoth("fd1", "fd2")
		advance(2 * time.Minute)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 8 * 8})
		m.nodes[host(1, 2)].UpdateSelf(func(r *membership.Record) { r.State = membership.StateDraining })
		v1 := successor(nil, "a", "gold")
		So(m.nodes[host(2, 3)].AcceptVersion(v1), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, map[mesh.Sequence]int{0: 4, 1: 4})

		m.network.Heal()
		advance(10 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 8))
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 7 * 8, membership.StateDraining: 8})
	})
	runInBubble(t, "The halves of a split domain declare each other dead and rejoin after the partition heals", func(m *testMesh) {
		m.startDomains(6)
		advance(5 * time.Second)
		m.network.Group("half", address(1, 4), address(1, 5), address(1, 6))
		m.network.CutBoth("fd1", "half")
		advance(time.Minute)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 18, membership.StateDead: 18})
		m.network.Heal()
		advance(30 * time.Second)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 36})
	})
}

// Guards against a false suspicion that removes a live host: if one direction of
// one connection is cut, the host refutes over its other links.
func TestOneWayCut(t *testing.T) {
	runInBubble(t, "A host that cannot be reached by one peer refutes the suspicion and is never declared dead", func(m *testMesh) {
		m.startDomains(5)
		advance(5 * time.Second)
		m.network.Group("deaf", address(1, 1))
		m.network.Group("unheard", address(1, 2))
		m.network.Cut("unheard", "deaf")
		incarnation := m.nodes[host(1, 2)].table.Self().Incarnation
		dead := 0
		for range 240 {
			advance(250 * time.Millisecond)
			dead += m.stateCounts()[membership.StateDead]
		}
		So(dead, ShouldEqual, 0)
		So(m.nodes[host(1, 2)].table.Self().Incarnation, ShouldBeGreaterThan, incarnation)
		m.network.Heal()
		advance(10 * time.Second)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 25})
	})
}

// Guards against a node that declares hosts dead after a pause because it has not
// yet read the refutation of a suspicion, which is still in the connection.
func TestPausedNode(t *testing.T) {
	runInBubble(t, "A node that was paused declares no host dead before it has read the refutation", func(m *testMesh) {
		pauses := make(chan time.Duration, 1)
		m.configure = func(c *Config) {
			if c.Self.Host == host(1, 2) {
				c.OnMembers = func(*membership.View) {
					select {
					case d := <-pauses:
						time.Sleep(d)
					default:
					}
				}
			}
		}
		m.startDomains(5)
		advance(5 * time.Second)
		paused, suspect := m.nodes[host(1, 2)], m.nodes[host(1, 3)].table.Self()
		m.network.Group("paused", address(1, 2))
		m.network.CutBoth("paused", "fd1")
		// The suspicion times out during the pause; the links do not.
		pauses <- 2 * time.Second
		early := time.Now().Add(time.Second - membership.DefaultSuspicionTimeout)
		So(paused.table.Suspect(suspect.Host, suspect.Incarnation, early), ShouldBeTrue)
		paused.queueRecords([]mesh.HostID{suspect.Host}, "")
		advance(2300 * time.Millisecond)
		So(paused.View().Hosts[suspect.Host].State, ShouldEqual, membership.StateSuspect)
		m.network.Heal()
		dead := 0
		for range 100 {
			advance(100 * time.Millisecond)
			for _, n := range m.nodes {
				dead += len(lo.PickBy(n.View().Hosts, func(h mesh.HostID, r *membership.Record) bool {
					return h != host(1, 2) && r.State.DeadOrLeft()
				}))
			}
		}
		So(dead, ShouldEqual, 0)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 25})
	})
}

// Guards against a host that was isolated and, when it reconnects, spreads that
// all others are dead, which each of them would have to refute.
func TestIsolatedHost(t *testing.T) {
	runInBubble(t, "A host that was isolated for a minute reconnects without making others refute", func(m *testMesh) {
		m.startDomains(6)
		advance(5 * time.Second)
		incarnations := func() map[mesh.HostID]uint64 {
			return lo.MapValues(lo.OmitByKeys(m.nodes, []mesh.HostID{host(1, 2)}), func(n *testNode, _ mesh.HostID) uint64 {
				return n.table.Self().Incarnation
			})
		}
		before := incarnations()
		m.network.Group("isolated", address(1, 2))
		m.network.CutBoth("isolated", "fd1")
		advance(time.Minute)
		So(m.stateCounts()[membership.StateDead], ShouldEqual, 5+5)
		m.network.Heal()
		advance(20 * time.Second)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 36})
		So(incarnations(), ShouldResemble, before)
	})
}

// Guards against tables, links and traffic that grow while a connection flaps.
func TestFlapping(t *testing.T) {
	runInBubble(t, "After the connection between two domains flapped for a minute, all hosts are alive and no records are sent", func(m *testMesh) {
		m.startDomains(4, 4)
		advance(5 * time.Second)
		for range 30 {
			m.network.CutBoth("fd1", "fd2")
			advance(time.Second)
			m.network.Heal()
			advance(time.Second)
		}
		advance(15 * time.Second)
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 8 * 8})
		before := m.traffic(transport.KindMembers)
		advance(time.Minute)
		So(m.traffic(transport.KindMembers), ShouldResemble, before)
	})
}

// Guards against links that the overlay no longer wants after the mesh grew and
// that record changes keep open forever.
func TestUnwantedLinksClose(t *testing.T) {
	runInBubble(t, "Only the links that the overlay wants remain although records keep changing", func(m *testMesh) {
		m.startDomains(12, 6)
		for n := range 20 {
			advance(3 * time.Second)
			m.nodes[host(1, 2)].UpdateSelf(func(r *membership.Record) { r.CallAddress = fmt.Sprintf("10.0.0.9:%d", n) })
		}
		So(m.unwantedLinks(), ShouldEqual, 0)
	})
	// Guards against a common seed that keeps hundreds of links for the idle timeout.
	runInBubble(t, "Links to seeds are closed soon after the start", func(m *testMesh) {
		m.startDomains(12, 6)
		advance(unusedLinkTimeout + 3*time.Second)
		So(m.unwantedLinks(), ShouldEqual, 0)
	})
}

// unwantedLinks counts the ends of links that the overlay does not want.
func (m *testMesh) unwantedLinks() int {
	unwanted := 0
	for _, n := range m.nodes {
		n.mu.Lock()
		wanted := n.overlay.Dial
		n.mu.Unlock()
		for _, l := range n.manager.Links() {
			if _, found := wanted[l.Peer()]; !found {
				unwanted++
			}
		}
	}
	return unwanted
}

type collector struct{ received chan transport.Message }

func (c collector) Handle(_ mesh.HostID, msg transport.Message) { c.received <- msg }

func onDemandLinks(n *testNode) []mesh.HostID {
	return lo.FilterMap(n.Status().Links, func(l LinkStatus, _ int) (mesh.HostID, bool) { return l.Host, l.OnDemand })
}

// Guards against claims that cannot reach the owner of their shard in another
// failure domain, against gossip over the link opened for them, and against other
// messages that open such a link.
func TestSendAcrossDomains(t *testing.T) {
	runInBubble(t, "A claim to a host of another domain opens a link, other messages do not", func(m *testMesh) {
		m.startDomains(12, 12)
		advance(5 * time.Second)
		var from, to *testNode
		for _, a := range m.nodes {
			for h, b := range m.nodes {
				if a.config.Self.Domain != b.config.Self.Domain && a.manager.Link(h) == nil {
					from, to = a, b
				}
			}
		}
		c := collector{make(chan transport.Message, 4)}
		to.Register(transport.KindClaimRequest, c)
		target := to.config.Self.Host
		So(from.Send(context.Background(), target, transport.KindQuotaDemand, 1), ShouldNotBeNil)
		So(from.Send(context.Background(), target, transport.KindClaimRequest, 1), ShouldBeNil)
		advance(100 * time.Millisecond)
		So(c.received, ShouldHaveLength, 1)
		So(onDemandLinks(from), ShouldContain, target)
		So(onDemandLinks(to), ShouldContain, from.config.Self.Host)
		advance(time.Minute)
		So(from.manager.Link(target) == nil, ShouldBeTrue)
	})
}

// Guards against lost direct messages between hosts that are not neighbours in
// the overlay.
func TestSendOnDemand(t *testing.T) {
	runInBubble(t, "A message to a host without a link opens one, which is closed when idle", func(m *testMesh) {
		m.startDomains(12)
		advance(5 * time.Second)
		var from, to *testNode
		for _, a := range m.nodes {
			for h, b := range m.nodes {
				if a != b && a.manager.Link(h) == nil {
					from, to = a, b
				}
			}
		}
		c := collector{make(chan transport.Message, 4)}
		to.Register(transport.KindQuotaDemand, c)
		target := to.config.Self.Host
		So(from.Send(context.Background(), target, transport.KindQuotaDemand, map[string]int{"rate": 3}), ShouldBeNil)
		advance(100 * time.Millisecond)
		So(c.received, ShouldHaveLength, 1)
		So(from.manager.Link(target) != nil, ShouldBeTrue)
		advance(time.Minute)
		So(from.manager.Link(target) == nil, ShouldBeTrue)
		So(from.Send(context.Background(), "nobody", transport.KindQuotaDemand, 1), ShouldNotBeNil)
	})
}
