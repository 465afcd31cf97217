package distribution

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

// runInBubble runs a specification on a new mesh in a synctest bubble.
func runInBubble(t *testing.T, name string, specification func(m *testMesh)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			m := newTestMesh(t)
			specification(m)
		})
	})
}

func allAt(sequence mesh.Sequence, nodes int) map[mesh.Sequence]int {
	return map[mesh.Sequence]int{sequence: nodes}
}

func TestVersionReachesAllNodes(t *testing.T) {
	runInBubble(t, "Versions that were accepted by one node reach all nodes of three domains, as edits", func(m *testMesh) {
		m.startDomains(4, 3, 4)
		advance(5 * time.Second)
		v1 := successor(nil, "a", "gold")
		So(m.nodes[host(1, 2)].AcceptVersion(v1), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 11))

		before := m.traffic(transport.KindVersion)
		v2 := successor(v1, "b", "gold")
		So(m.nodes[host(3, 2)].AcceptVersion(v2), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 11))
		So(m.nodes[host(2, 1)].Accepted().Lists, ShouldResemble, v2.Lists)
		So(m.traffic(transport.KindVersion).Messages-before.Messages, ShouldEqual, 10)
	})
}

// Guards I1 and I3: an older, corrupt or invalid version never replaces the
// accepted one, and a valid one is still found.
func TestAcceptanceRule(t *testing.T) {
	runInBubble(t, "Given two nodes that hold version 2", func(m *testMesh) {
		m.startDomains(2)
		advance(3 * time.Second)
		v1 := successor(nil, "a", "gold")
		v2 := successor(v1, "b", "gold")
		a, b := m.nodes[host(1, 1)], m.nodes[host(1, 2)]
		So(a.AcceptVersion(v2), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 2))

		So(errors.Is(a.AcceptVersion(v1), ErrOlder), ShouldBeTrue)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 2))

		v3 := successor(v2, "c", "gold")
		whole := func(v *lists.Version, body []byte) version {
			compressed, err := deflate(body)
			So(err, ShouldBeNil)
			return version{Status: versionWhole, ID: v.ID, Change: v.Change, Body: compressed}
		}
		So(errors.Is(b.acceptMessage(host(1, 1), whole(v1, v1.Body)), ErrOlder), ShouldBeTrue)
		So(errors.Is(b.acceptMessage(host(1, 1), whole(v3, v2.Body)), ErrDigest), ShouldBeTrue)
		truncated := whole(v3, v3.Body)
		truncated.Body = truncated.Body[:len(truncated.Body)/2]
		So(errors.Is(b.acceptMessage(host(1, 1), truncated), ErrDigest), ShouldBeTrue)
		wrongEdits := version{Status: versionEdits, ID: v3.ID, Change: v2.Change, Base: v2.ID}
		So(errors.Is(b.acceptMessage(host(1, 1), wrongEdits), ErrEdits), ShouldBeTrue)
		invalid := successor(v2, "c", "missing")
		So(errors.Is(b.acceptMessage(host(1, 1), whole(invalid, invalid.Body)), ErrInvalid), ShouldBeTrue)
		So(b.acceptedID(), ShouldEqual, v2.ID)

		So(a.AcceptVersion(v3), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(3, 2))
	})
}

// Guards against a mesh that stops updating at an invalid version: nodes keep the
// last valid version, report the reason and accept the next valid one.
func TestInvalidVersionInStore(t *testing.T) {
	runInBubble(t, "An invalid version in the store is rejected everywhere and the next one accepted", func(m *testMesh) {
		source, _ := m.useStore()
		v1 := successor(nil, "a", "gold")
		source.set(v1)
		m.startDomains(3, 3)
		advance(10 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 6))

		invalid := successor(v1, "b", "missing")
		source.set(invalid)
		advance(10 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 6))
		So(m.watchHolders()[0].Status().Rejected, ShouldContainKey, mesh.Sequence(2))

		fixed := successor(v1, "b", "gold")
		fixed.ID.Sequence = 3
		source.set(fixed)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(3, 6))
	})
}

// Guards against a pull that keeps waiting for a peer that was cut off while it
// sent, and against the use of a truncated body.
func TestTruncatedVersion(t *testing.T) {
	runInBubble(t, "A node whose peer is cut off while it sends gets the version from another peer", func(m *testMesh) {
		m.startDomains(4)
		advance(3 * time.Second)
		first, second := m.nodes[host(1, 1)], m.nodes[host(1, 2)]
		m.network.Group("slow", address(1, 1))
		m.network.Delay("slow", "fd1", 2*time.Millisecond)
		v1 := largeVersion(2000)
		So(first.AcceptVersion(v1), ShouldBeNil)
		advance(5 * time.Millisecond)
		So(second.AcceptVersion(v1), ShouldBeNil)
		advance(10 * time.Millisecond)
		third, fourth := m.nodes[host(1, 3)], m.nodes[host(1, 4)]
		So(third.pullsFrom(), ShouldEqual, host(1, 1))
		So(fourth.pullsFrom(), ShouldEqual, host(1, 1))
		m.network.CutBoth("slow", "fd1")
		advance(3 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 4))
		So(third.Accepted().Body, ShouldResemble, v1.Body)
		// The links of the isolated host have timed out by now.
		advance(3 * time.Second)
		first.mu.Lock()
		defer first.mu.Unlock()
		So(first.bodiesInFlight, ShouldBeEmpty)
	})
}

// Guards against a body that is sent repeatedly because it takes longer than the
// timeouts of the pull and the link.
func TestSlowBody(t *testing.T) {
	runInBubble(t, "A body that takes longer than the link timeout arrives and is sent once", func(m *testMesh) {
		// Several small frames, each with the delay of a write, precede the body.
		m.configure = func(c *Config) { c.Timing.PullTimeout = 2 * time.Second }
		m.startDomains(2)
		advance(3 * time.Second)
		m.network.Group("slow", address(1, 1))
		m.network.Delay("slow", "fd1", 250*time.Millisecond)
		v1 := largeVersion(16000)
		sent := m.traffic(transport.KindVersion).Messages
		So(m.nodes[host(1, 1)].AcceptVersion(v1), ShouldBeNil)
		advance(3500 * time.Millisecond)
		So(m.sequenceCounts(), ShouldResemble, map[mesh.Sequence]int{0: 1, 1: 1})
		advance(time.Minute)
		So(m.sequenceCounts(), ShouldResemble, allAt(1, 2))
		So(m.traffic(transport.KindVersion).Messages-sent, ShouldEqual, 1)
	})
}

// largeVersion returns a first version with many customers.
func largeVersion(customers int) *lists.Version {
	v := successor(nil, "a", "gold")
	for n := range customers {
		e := customer(fmt.Sprintf("customer-%d", n), "gold")
		v.Change.Edits = append(v.Change.Edits, e)
		v.Lists[e.Key] = e.After
	}
	v.Body, _ = lists.Encode(v.Lists)
	v.ID.Digest = mesh.DigestOf(v.Body)
	return v
}

// Guards I1, that no node regresses, under concurrent updates: nodes that receive
// two versions in any order end with the higher one.
func TestConcurrentUpdates(t *testing.T) {
	runInBubble(t, "When two nodes accept two versions at the same time, all nodes end with the higher one", func(m *testMesh) {
		m.startDomains(4, 4)
		advance(5 * time.Second)
		v1 := successor(nil, "a", "gold")
		v2 := successor(v1, "b", "gold")
		// The delay keeps the versions apart until both were accepted.
		m.network.Delay("fd1", "fd2", 5*time.Millisecond)
		m.network.Delay("fd2", "fd1", 5*time.Millisecond)
		So(m.nodes[host(2, 3)].AcceptVersion(v2), ShouldBeNil)
		So(m.nodes[host(1, 3)].AcceptVersion(v1), ShouldBeNil)
		advance(3 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 8))
	})
}

// Guards I1 for a replaced host: it first links to a peer with an older version
// and must still end with the newest one, without the store.
func TestReplacedHost(t *testing.T) {
	runInBubble(t, "A replaced host whose first peer has an older version ends with the newest one", func(m *testMesh) {
		m.startDomains(3, 3)
		advance(5 * time.Second)
		v1 := successor(nil, "a", "gold")
		So(m.nodes[host(1, 1)].AcceptVersion(v1), ShouldBeNil)
		advance(time.Second)
		m.network.CutBoth("fd1", "fd2")
		advance(10 * time.Second)
		So(m.nodes[host(2, 2)].AcceptVersion(successor(v1, "b", "gold")), ShouldBeNil)
		advance(time.Second)
		So(m.sequenceCounts(), ShouldResemble, map[mesh.Sequence]int{1: 3, 2: 3})

		m.kill(host(1, 3))
		replaced := m.start(1, 3)
		advance(3 * time.Second)
		So(replaced.acceptedID().Sequence, ShouldEqual, mesh.Sequence(1))
		m.network.Heal()
		advance(10 * time.Second)
		So(m.sequenceCounts(), ShouldResemble, allAt(2, 6))
	})
}
