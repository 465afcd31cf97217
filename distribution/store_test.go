package distribution

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/membership"
)

// Guards the bound on store calls: they grow with the number of domains, not of
// nodes.
func TestWatchHolders(t *testing.T) {
	runInBubble(t, "Two hosts per domain watch the store, and a change is read once by each", func(m *testMesh) {
		source, store := m.useStore()
		v1 := successor(nil, "a", "gold")
		source.set(v1)
		m.startDomains(8, 8)
		advance(30 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 16))
		So(m.watchHolders(), ShouldHaveLength, 4)

		calls := source.calls
		source.set(successor(v1, "b", "gold"))
		advance(2 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 16))
		// Each watch holder gets the head from its watch, loads the version and watches
		// again.
		So(source.calls-calls, ShouldBeLessThanOrEqualTo, 4*2)
		So(summary(store), ShouldResemble, authority.Summary{Domain: "fd1", Sequence: 2, Hosts: 8, AtSequence: 8})

		killed := m.watchHolders()[0].config.Self.Host
		m.kill(killed)
		advance(30 * time.Second)
		So(m.watchHolders(), ShouldHaveLength, 4)
		contacts, err := ReadContacts(context.Background(), store, "fd2")
		So(err, ShouldBeNil)
		So(contacts, ShouldHaveLength, maxContacts)
	})
	runInBubble(t, "Lease calls per minute stay the same when a domain has four times the hosts", func(m *testMesh) {
		_, store := m.useStore()
		m.startDomains(6)
		advance(30 * time.Second)
		small := callsPerMinute(store)
		for n := 7; n <= 24; n++ {
			m.start(1, n)
		}
		advance(time.Minute)
		large := callsPerMinute(store)
		t.Logf("store calls per minute: %d with 6 hosts, %d with 24", small, large)
		So(large, ShouldBeLessThanOrEqualTo, 60)
		So(small, ShouldBeLessThanOrEqualTo, 60)
	})
}

func callsPerMinute(store *memory.Store) int64 {
	before := store.Counts().Total()
	advance(time.Minute)
	return int64(store.Counts().Total() - before)
}

// Guards I1, that no node regresses, against a store that lost writes.
func TestStoreRolledBack(t *testing.T) {
	runInBubble(t, "A store that lost writes is reported, no node regresses, and nothing is written to the store", func(m *testMesh) {
		a, store := m.useAuthority()
		v1 := successor(nil, "a", "gold")
		m.propose(a, v1)
		m.startDomains(4)
		advance(10 * time.Second)
		before := time.Now()
		advance(time.Second)
		m.propose(a, successor(v1, "b", "gold"))
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 4))
		store.RewindTo(before)
		advance(time.Minute)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 4))
		So(m.watchHolders()[0].Status().StoreRolledBack, ShouldBeTrue)
		head, _, err := a.Head(context.Background())
		So(err, ShouldBeNil)
		So(head.Version, ShouldEqual, v1.ID)

		accepted := m.watchHolders()[0].Accepted()
		_, err = a.Restore(context.Background(), accepted, "test", "")
		So(err, ShouldBeNil)
		advance(time.Minute)
		So(m.watchHolders()[0].Status().StoreRolledBack, ShouldBeFalse)
	})
}

// Guards the restart of a whole domain while the store is unavailable: versions
// come from the other domain, through the seeds.
func TestDomainRestartWithoutStore(t *testing.T) {
	runInBubble(t, "Hosts of a domain that all restart while the store is unavailable get the version", func(m *testMesh) {
		a, store := m.useAuthority()
		m.propose(a, successor(nil, "a", "gold"))
		m.startDomains(6, 6)
		advance(15 * time.Second)
		store.SetFaults(memory.Faults{Unavailable: true})
		for n := range 6 {
			m.kill(host(1, n+1))
		}
		advance(3 * time.Second)
		for n := range 6 {
			m.start(1, n+1)
		}
		advance(8 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 12))
	})
	runInBubble(t, "A new host without seeds finds its peers through the contacts in the store", func(m *testMesh) {
		m.useStore()
		m.startDomains(4)
		advance(15 * time.Second)
		m.seeds = nil
		m.start(1, 5)
		advance(5 * time.Second)
		So(m.nodes[host(1, 5)].View().Hosts, ShouldHaveLength, 5)
	})
}

// Guards against a summary that counts a lagging host as converged.
func TestSummaryNamesLaggingHost(t *testing.T) {
	runInBubble(t, "A host that does not accept a version is listed in the summary after the deadline", func(m *testMesh) {
		source, store := m.useStore()
		v1 := successor(nil, "a", "gold")
		source.set(v1)
		m.startDomains(6)
		advance(30 * time.Second)
		var lagging *testNode
		for _, n := range m.nodes {
			if n.Status().Rank == 5 {
				lagging = n
			}
		}
		v2 := successor(v1, "b", "gold")
		lagging.mu.Lock()
		lagging.rejected[v2.ID] = "rejected by the test"
		lagging.mu.Unlock()
		source.set(v2)
		advance(8 * time.Second)
		So(summary(store), ShouldResemble, authority.Summary{
			Domain: "fd1", Sequence: 2, Hosts: 6, AtSequence: 5,
			Lagging: []authority.LaggingHost{{Host: lagging.config.Self.Host, Sequence: 1}},
		})
	})
}

// Guards the restart of nearly all nodes: reconnects, handshakes and whole bodies
// are spread over time, and no node needs the store.
func TestMassRestart(t *testing.T) {
	runInBubble(t, "All nodes but one restart together and have the version and full tables within 8 s", func(m *testMesh) {
		m.startDomains(20, 20)
		advance(10 * time.Second)
		v1 := largeVersion(300)
		So(m.nodes[host(2, 1)].AcceptVersion(v1), ShouldBeNil)
		advance(3 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 40))
		for d := 1; d <= 2; d++ {
			for n := 1; n <= 20; n++ {
				if d != 2 || n != 1 {
					m.kill(host(d, n))
				}
			}
		}
		advance(100 * time.Millisecond)
		for d := 1; d <= 2; d++ {
			for n := 1; n <= 20; n++ {
				if d != 2 || n != 1 {
					m.start(d, n)
				}
			}
		}
		advance(8 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 40))
		So(m.stateCounts(), ShouldResemble, states{membership.StateAlive: 40 * 40})
	})
}

// Guards against a restarted root that writes a summary of the few hosts it knows
// so far as if they were the whole domain.
func TestRestartedRootKeepsSummary(t *testing.T) {
	runInBubble(t, "The summary of a converged domain stays complete while its root restarts", func(m *testMesh) {
		source, store := m.useStore()
		source.set(successor(nil, "a", "gold"))
		m.startDomains(6)
		advance(30 * time.Second)
		converged := authority.Summary{Domain: "fd1", Sequence: 1, Hosts: 6, AtSequence: 6}
		So(summary(store), ShouldResemble, converged)
		for n := 1; n <= 6; n++ {
			if m.nodes[host(1, n)].Status().Rank == 0 {
				m.kill(host(1, n))
				m.start(1, n)
				break
			}
		}
		for range 100 {
			advance(100 * time.Millisecond)
			So(summary(store), ShouldResemble, converged)
		}
	})
}
