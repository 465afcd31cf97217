package distribution

import (
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// recordVersions makes the nodes started after it record the versions that become
// active, and returns a function that reads the record.
func (m *testMesh) recordVersions() func() []mesh.Sequence {
	var mu sync.Mutex
	var activated []mesh.Sequence
	m.configure = func(c *Config) {
		c.OnVersion = func(v *lists.Version) {
			mu.Lock()
			defer mu.Unlock()
			activated = append(activated, v.ID.Sequence)
		}
	}
	return func() []mesh.Sequence {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(activated)
	}
}

// Guards I1, that no node regresses, across a restart: the first peer that a
// restarted host links to may hold an older version than the host used before
// (spec/versions.pml, NO_READY_GATE).
func TestRestartedHostComparesVersions(t *testing.T) {
	runInBubble(t, "Given five hosts, one of which is isolated and holds an older version", func(m *testMesh) {
		m.startDomains(5)
		advance(5 * time.Second)
		v1 := successor(nil, "a", "gold")
		So(m.nodes[host(1, 2)].AcceptVersion(v1), ShouldBeNil)
		advance(time.Second)
		m.network.Group("stale", address(1, 1))
		m.network.Group("rest", address(1, 2), address(1, 3), address(1, 4), address(1, 5))
		m.network.CutBoth("stale", "rest")
		So(m.nodes[host(1, 2)].AcceptVersion(successor(v1, "b", "gold")), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, map[mesh.Sequence]int{1: 1, 2: 4})

		m.kill(host(1, 4))
		activated := m.recordVersions()
		m.network.CutBoth("rest", "fd1")
		restarted := m.start(1, 4)
		for restarted.acceptedID().Sequence == 0 {
			advance(10 * time.Millisecond)
		}
		So(restarted.acceptedID().Sequence, ShouldEqual, mesh.Sequence(1))
		So(restarted.Ready(), ShouldBeFalse)
		m.network.Group("rest", address(1, 4))
		advance(10 * time.Second)
		So(restarted.Ready(), ShouldBeTrue)
		So(activated(), ShouldResemble, []mesh.Sequence{2})
	})
}

// Guards I1 when several hosts restart together: hosts that all got the same old
// version from one stale peer must not confirm it to each other.
func TestRestartedHostsDoNotConfirmEachOther(t *testing.T) {
	runInBubble(t, "Given six hosts, four of which restart and first reach only a stale one", func(m *testMesh) {
		m.startDomains(6)
		advance(5 * time.Second)
		v1 := successor(nil, "a", "gold")
		So(m.nodes[host(1, 2)].AcceptVersion(v1), ShouldBeNil)
		advance(time.Second)
		m.network.Group("stale", address(1, 1))
		m.network.Group("rest", address(1, 2), address(1, 3), address(1, 4), address(1, 5), address(1, 6))
		m.network.CutBoth("stale", "rest")
		So(m.nodes[host(1, 2)].AcceptVersion(successor(v1, "b", "gold")), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, map[mesh.Sequence]int{1: 1, 2: 5})

		activated := m.recordVersions()
		m.network.Group("restarted", address(1, 2), address(1, 3), address(1, 4), address(1, 5))
		m.network.CutBoth("restarted", "rest")
		for n := 2; n <= 5; n++ {
			m.kill(host(1, n))
			m.start(1, n)
		}
		advance(2 * time.Second)
		So(activated(), ShouldBeEmpty)
		m.network.Group("rest", address(1, 2), address(1, 3), address(1, 4), address(1, 5))
		advance(10 * time.Second)
		So(activated(), ShouldResemble, []mesh.Sequence{2, 2, 2, 2})
	})
}

// Guards against a host that never becomes ready because it reaches fewer peers
// than minReadyPeers, and against one that waits although it has read the store.
func TestComparisonEnds(t *testing.T) {
	runInBubble(t, "A restarted host with a single peer becomes ready after ReadyTimeout", func(m *testMesh) {
		m.startDomains(2)
		advance(5 * time.Second)
		So(m.nodes[host(1, 1)].AcceptVersion(successor(nil, "a", "gold")), ShouldBeNil)
		advance(time.Second)
		m.kill(host(1, 2))
		activated := m.recordVersions()
		restarted := m.start(1, 2)
		for restarted.acceptedID().Sequence == 0 {
			advance(10 * time.Millisecond)
		}
		So(activated(), ShouldBeEmpty)
		advance(restarted.config.Timing.ReadyTimeout + time.Second)
		So(activated(), ShouldResemble, []mesh.Sequence{1})
	})
	runInBubble(t, "A host without peers becomes ready as soon as it has read the store", func(m *testMesh) {
		source, _ := m.useStore()
		source.set(successor(nil, "a", "gold"))
		alone := m.start(1, 1)
		for alone.acceptedID().Sequence == 0 {
			advance(10 * time.Millisecond)
		}
		So(alone.Ready(), ShouldBeTrue)
	})
}
