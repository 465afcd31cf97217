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

// Guards the bound on store calls: they follow the domains, not the nodes.
func TestWatchHolders(t *testing.T) {
	bubble(t, "Two hosts per domain watch the store, and a change is read once by each", func(m *testMesh) {
		source, store := m.useStore()
		v1 := successor(nil, "a", "gold")
		source.set(v1)
		m.startDomains(8, 8)
		pass(30 * time.Second)
		So(m.sequences(), ShouldResemble, all(1, 16))
		So(m.holders(), ShouldHaveLength, 4)

		calls := source.calls
		source.set(successor(v1, "b", "gold"))
		pass(2 * time.Second)
		So(m.sequences(), ShouldResemble, all(2, 16))
		// Each holder ends its watch, loads and watches again.
		So(source.calls-calls, ShouldBeLessThanOrEqualTo, 4*2)
		So(summary(store), ShouldResemble, authority.Summary{Domain: "fd1", Sequence: 2, Hosts: 8, AtSequence: 8})

		lost := m.holders()[0].config.Self.Host
		m.kill(lost)
		pass(30 * time.Second)
		So(m.holders(), ShouldHaveLength, 4)
		contacts, err := ReadContacts(context.Background(), store, "fd2")
		So(err, ShouldBeNil)
		So(contacts, ShouldHaveLength, contactCount)
	})
	bubble(t, "Lease calls per minute stay the same when a domain has four times the hosts", func(m *testMesh) {
		_, store := m.useStore()
		m.startDomains(6)
		pass(30 * time.Second)
		small := callsPerMinute(store)
		for n := 7; n <= 24; n++ {
			m.start(1, n)
		}
		pass(time.Minute)
		large := callsPerMinute(store)
		t.Logf("store calls per minute: %d with 6 hosts, %d with 24", small, large)
		So(large, ShouldBeLessThanOrEqualTo, 60)
		So(small, ShouldBeLessThanOrEqualTo, 60)
	})
}

func callsPerMinute(store *memory.Store) int64 {
	before := store.Counts().Total()
	pass(time.Minute)
	return int64(store.Counts().Total() - before)
}

// Guards I1 against a store that lost writes.
func TestStoreBehind(t *testing.T) {
	bubble(t, "A store that lost writes is reported and nothing goes back or is written", func(m *testMesh) {
		a, store := m.useAuthority()
		v1 := successor(nil, "a", "gold")
		m.propose(a, v1)
		m.startDomains(4)
		pass(10 * time.Second)
		before := time.Now()
		pass(time.Second)
		m.propose(a, successor(v1, "b", "gold"))
		pass(time.Second)
		So(m.sequences(), ShouldResemble, all(2, 4))
		store.RewindTo(before)
		pass(time.Minute)
		So(m.sequences(), ShouldResemble, all(2, 4))
		So(m.holders()[0].Status().StoreBehind, ShouldBeTrue)
		head, _, err := a.Head(context.Background())
		So(err, ShouldBeNil)
		So(head.Version, ShouldEqual, v1.ID)

		fleet := m.holders()[0].Accepted()
		_, err = a.Restore(context.Background(), fleet, "test", "")
		So(err, ShouldBeNil)
		pass(time.Minute)
		So(m.holders()[0].Status().StoreBehind, ShouldBeFalse)
	})
}

// Guards the restart of a whole domain while the store is dark: versions come
// from the other domain, over the seeds.
func TestDomainRestartWithDarkStore(t *testing.T) {
	bubble(t, "All hosts of a domain restart while the store is dark", func(m *testMesh) {
		a, store := m.useAuthority()
		m.propose(a, successor(nil, "a", "gold"))
		m.startDomains(6, 6)
		pass(15 * time.Second)
		store.SetFaults(memory.Faults{Unavailable: true})
		for n := range 6 {
			m.kill(host(1, n+1))
		}
		pass(3 * time.Second)
		for n := range 6 {
			m.start(1, n+1)
		}
		pass(8 * time.Second)
		So(m.sequences(), ShouldResemble, all(1, 12))
	})
	bubble(t, "Without seeds the contacts in the store bring a new host to its peers", func(m *testMesh) {
		m.useStore()
		m.startDomains(4)
		pass(15 * time.Second)
		m.seeds = nil
		m.start(1, 5)
		pass(5 * time.Second)
		So(m.nodes[host(1, 5)].View().Hosts, ShouldHaveLength, 5)
	})
}

// Guards against a summary that counts a lagging host as converged.
func TestSummaryNamesLaggingHost(t *testing.T) {
	bubble(t, "A host that cannot take a version is named in the summary after the deadline", func(m *testMesh) {
		source, store := m.useStore()
		v1 := successor(nil, "a", "gold")
		source.set(v1)
		m.startDomains(6)
		pass(30 * time.Second)
		var lagging *testNode
		for _, n := range m.nodes {
			if n.Status().Rank == 5 {
				lagging = n
			}
		}
		v2 := successor(v1, "b", "gold")
		lagging.mu.Lock()
		lagging.rejected[v2.ID] = "refused for the test"
		lagging.mu.Unlock()
		source.set(v2)
		pass(8 * time.Second)
		So(summary(store), ShouldResemble, authority.Summary{
			Domain: "fd1", Sequence: 2, Hosts: 6, AtSequence: 5,
			Lagging: []authority.LaggingHost{{Host: lagging.config.Self.Host, Sequence: 1}},
		})
	})
}

// Guards the mass restart: reconnects, handshakes and bodies are spread, and no
// node needs the store.
func TestMassRestart(t *testing.T) {
	bubble(t, "All nodes but one restart at once and have version and table back in 8 s", func(m *testMesh) {
		m.startDomains(20, 20)
		pass(10 * time.Second)
		v1 := largeVersion(300)
		So(m.nodes[host(2, 1)].Offer(v1), ShouldBeNil)
		pass(3 * time.Second)
		So(m.sequences(), ShouldResemble, all(1, 40))
		for d := 1; d <= 2; d++ {
			for n := 1; n <= 20; n++ {
				if d != 2 || n != 1 {
					m.kill(host(d, n))
				}
			}
		}
		pass(100 * time.Millisecond)
		for d := 1; d <= 2; d++ {
			for n := 1; n <= 20; n++ {
				if d != 2 || n != 1 {
					m.start(d, n)
				}
			}
		}
		pass(8 * time.Second)
		So(m.sequences(), ShouldResemble, all(1, 40))
		So(m.states(), ShouldResemble, states{membership.StateAlive: 40 * 40})
	})
}

// Guards against a restarted root that writes a summary of the few hosts that
// it knows so far as if they were the whole domain.
func TestRestartedRootKeepsSummary(t *testing.T) {
	bubble(t, "The summary of a converged domain stays complete while its root restarts", func(m *testMesh) {
		source, store := m.useStore()
		source.set(successor(nil, "a", "gold"))
		m.startDomains(6)
		pass(30 * time.Second)
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
			pass(100 * time.Millisecond)
			So(summary(store), ShouldResemble, converged)
		}
	})
}
