package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/mesh"
)

var start = time.Unix(1_700_000_000, 0)

func record(domain mesh.FailureDomain, n int) Record {
	return Record{
		Host: mesh.HostID(fmt.Sprintf("%s-%d", domain, n)), Domain: domain, Incarnation: 10, State: StateAlive,
		PeerAddress: fmt.Sprintf("10.0.0.%d:1", n), CallAddress: fmt.Sprintf("10.0.0.%d:2", n),
	}
}

// drawRecord draws a record that the protocol can produce: the content follows
// from incarnation and revision, and other hosts set only the overriding states.
func drawRecord(t *rapid.T) Record {
	r := record("a", 1)
	r.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	r.Revision = rapid.Uint32Range(0, 3).Draw(t, "revision")
	if r.Revision%2 == 1 {
		r.State = StateDraining
	}
	states := []State{r.State, r.State, StateSuspect, StateDead, StateLeft}
	r.State = rapid.SampledFrom(states).Draw(t, "state")
	return r
}

// Guards against tables that diverge because records arrive in different orders.
func TestJoinIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		same := func(what string, x, y Record) {
			if !equal(&x, &y) {
				t.Fatalf("%s: %+v and %+v", what, x, y)
			}
		}
		same("commutative", Join(a, b), Join(b, a))
		same("associative", Join(Join(a, b), c), Join(a, Join(b, c)))
		same("idempotent", Join(a, a), a)
	})
}

func TestTableSuspicion(t *testing.T) {
	Convey("Given a host that knows one more host of its domain and one of another", t, func() {
		self, peer, remote := record("a", 1), record("a", 2), record("b", 3)
		table := NewTable(self, Options{}, start)
		So(table.Merge([]Record{peer, remote}, start).Changed, ShouldHaveLength, 2)
		state := func(h mesh.HostID) State { return table.View().Hosts[h].State }

		Convey("a suspect that does not refute is declared dead and removed after the retention", func() {
			So(table.Suspect(peer.Host, peer.Incarnation, start), ShouldBeTrue)
			So(table.Tick(start.Add(DefaultSuspicionTimeout-1)), ShouldBeEmpty)
			dead := start.Add(DefaultSuspicionTimeout)
			So(table.Tick(dead), ShouldResemble, []mesh.HostID{peer.Host})
			So(table.Merge([]Record{peer}, dead).Changed, ShouldBeEmpty)
			So(state(peer.Host), ShouldEqual, StateDead)
			table.Tick(dead.Add(DefaultRetention))
			So(table.View().Hosts, ShouldNotContainKey, peer.Host)
		})
		Convey("a host of another domain is not suspected, and is declared dead only after its domain reported it", func() {
			So(table.Suspect(remote.Host, remote.Incarnation, start), ShouldBeFalse)
			remote.State = StateSuspect
			table.Merge([]Record{remote}, start)
			So(table.Tick(start.Add(time.Hour)), ShouldBeEmpty)
			remote.State = StateDead
			table.Merge([]Record{remote}, start)
			So(table.Tick(start.Add(time.Hour)), ShouldResemble, []mesh.HostID{remote.Host})
		})
		Convey("a record that lists the host itself as suspect or dead is refuted with a higher incarnation", func() {
			for _, declared := range []State{StateSuspect, StateDead} {
				received := *table.Self()
				received.State = declared
				m := table.Merge([]Record{received}, start)
				So(m.Refuted, ShouldBeTrue)
				So(table.Self().Incarnation, ShouldEqual, received.Incarnation+1)
				So(table.Self().State, ShouldEqual, StateAlive)
			}
		})
		Convey("a second node with the same host ID cannot make it refute endlessly", func() {
			refuted := 0
			for range 100 {
				other := *table.Self()
				other.Incarnation++
				if table.Merge([]Record{other}, start).Refuted {
					refuted++
				}
			}
			So(refuted, ShouldEqual, refutationBurst)
		})
		Convey("a live host that is reported dead becomes suspect first, and a refutation makes it alive", func() {
			peer.State = StateDead
			So(table.Merge([]Record{peer}, start).Changed, ShouldHaveLength, 1)
			So(state(peer.Host), ShouldEqual, StateSuspect)
			peer.State, peer.Incarnation = StateAlive, peer.Incarnation+1
			table.Merge([]Record{peer}, start)
			So(table.Tick(start.Add(time.Hour)), ShouldBeEmpty)
			So(state(peer.Host), ShouldEqual, StateAlive)
		})
		Convey("records that exceed the limits are dropped", func() {
			bad := []Record{remote, remote, remote}
			bad[0].Host, bad[1].PeerAddress, bad[2].Incarnation = "", "host-name:1", MaxIncarnation+1
			So(table.Merge(bad, start).Invalid, ShouldEqual, 3)
		})
	})
}

func TestTableComparison(t *testing.T) {
	Convey("Two tables that differ in three hosts exchange only the records of those hosts", t, func() {
		a := NewTable(record("a", 1), Options{}, start)
		b := NewTable(record("a", 2), Options{}, start)
		for n := 3; n < 50; n++ {
			a.Merge([]Record{record("a", n)}, start)
			b.Merge([]Record{record("a", n)}, start)
		}
		newer := record("a", 7)
		newer.Revision++
		b.Merge([]Record{newer}, start)
		So(a.DifferingDomains(b.Digests()), ShouldResemble, []mesh.FailureDomain{"a"})

		send, want, err := b.Difference("a", a.Summary("a"))
		So(err, ShouldBeNil)
		So(send, ShouldHaveLength, 2)
		So(want, ShouldResemble, []uint64{HostHash("a-1")})
		a.Merge(send, start)
		b.Merge(a.RecordsByHash(want), start)
		So(a.DifferingDomains(b.Digests()), ShouldBeEmpty)
		So(a.Digest(), ShouldEqual, b.Digest())
	})
}
