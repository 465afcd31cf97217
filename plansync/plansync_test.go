package plansync_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/plansync"
)

const deadline = 2 * time.Second

// simulation plays hosts that report to each other twice a second and after each
// confirmed read, and a store with one version.
type simulation struct {
	now     time.Duration
	version uint64
	hosts   []*host
	reads   int
	refuses func(host int) bool
	cut     func(a, b int) bool
	// delay is how long reports are under way.
	delay   time.Duration
	pending []report
}

// report is under way until due.
type report struct {
	due     time.Duration
	to      *host
	from    mesh.HostID
	version uint64
	stamp   plansync.Stamp
}

// deliver hands over the reports that are due.
func (s *simulation) deliver() {
	late := s.pending[:0]
	for _, r := range s.pending {
		if r.due <= s.now {
			r.to.tracker.Heard(r.from, r.version, r.stamp, s.now)
		} else {
			late = append(late, r)
		}
	}
	s.pending = late
}

type host struct {
	id      mesh.HostID
	tracker *plansync.Tracker
	version uint64
	since   map[uint64]time.Duration
}

func newSimulation(hosts int) *simulation {
	s := &simulation{version: 1, refuses: func(int) bool { return false }, cut: func(int, int) bool { return false }}
	for i := range hosts {
		s.hosts = append(s.hosts, &host{
			id: mesh.HostID(fmt.Sprintf("host-%03d", i)), tracker: plansync.New(fmt.Sprint(i), deadline), since: map[uint64]time.Duration{},
		})
	}
	return s
}

func (s *simulation) apply(h *host, version uint64) {
	if version > h.version {
		h.version = version
		h.since[version] = s.now
		h.tracker.InForce(version)
	}
}

func (s *simulation) report(from int) {
	h := s.hosts[from]
	for i, other := range s.hosts {
		if i != from && !s.cut(from, i) {
			s.pending = append(s.pending, report{s.now + s.delay, other, h.id, h.version, h.tracker.Latest()})
		}
	}
}

func (s *simulation) rank(i int) int {
	rank := 0
	for j := range i {
		if !s.cut(i, j) {
			rank++
		}
	}
	return rank
}

func (s *simulation) step() {
	const tick = 50 * time.Millisecond
	s.now += tick
	s.deliver()
	for i, h := range s.hosts {
		switch action, from := h.tracker.Next(s.now, s.rank(i)); action {
		case plansync.ReadStore:
			s.reads++
			if s.refuses(i) {
				h.tracker.Failed(s.now)
				continue
			}
			s.apply(h, s.version)
			h.tracker.Read(s.now)
			s.report(i)
		case plansync.AskPeer:
			for j, other := range s.hosts {
				if other.id == from && !s.cut(i, j) {
					s.apply(h, other.version)
					s.report(i)
				}
			}
		case plansync.Wait:
		}
		if s.now%(500*time.Millisecond) == 0 {
			s.report(i)
		}
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// spread writes a version and returns the longest time until a host had it.
func (s *simulation) spread(of func(int) bool) time.Duration {
	s.version++
	began := s.now
	s.run(deadline)
	longest := time.Duration(0)
	for i, h := range s.hosts {
		if !of(i) {
			continue
		}
		at, known := h.since[s.version]
		if !known {
			return time.Hour
		}
		longest = max(longest, at-began)
	}
	return longest
}

func everyone(int) bool { return true }

// Guards against store calls that grow with the hosts, and against versions that
// come late when a watch hides them: there is no watch to rely on.
func TestOneHostReadsAndAllAreCurrent(t *testing.T) {
	for _, hosts := range []int{1, 11, 92, 300} {
		Convey(fmt.Sprintf("%d hosts", hosts), t, func() {
			s := newSimulation(hosts)
			s.run(5 * time.Second)
			s.reads = 0
			s.run(20 * time.Second)
			So(s.reads, ShouldBeLessThanOrEqualTo, 36)
			So(s.spread(everyone), ShouldBeLessThan, deadline*3/4)
		})
	}
}

// Guards against a version that needs hosts which the store refuses, or which
// died.
func TestOthersTakeOver(t *testing.T) {
	Convey("the store refuses the first third of the hosts", t, func() {
		s := newSimulation(11)
		s.run(5 * time.Second)
		s.refuses = func(i int) bool { return i < 4 }
		s.run(3 * time.Second)
		for range 5 {
			So(s.spread(everyone), ShouldBeLessThan, deadline)
		}
	})
	Convey("the reading host is cut off from all others", t, func() {
		s := newSimulation(11)
		s.run(5 * time.Second)
		s.cut = func(a, b int) bool { return a != b && (a == 0 || b == 0) }
		So(s.spread(everyone), ShouldBeLessThan, deadline)
	})
	Convey("reports are under way for 0.7 s, and the reading host dies", t, func() {
		s := newSimulation(11)
		s.run(5 * time.Second)
		s.delay = 700 * time.Millisecond
		s.run(5 * time.Second)
		s.cut = func(a, b int) bool { return a != b && (a == 0 || b == 0) }
		s.refuses = func(i int) bool { return i == 0 }
		s.run(3 * time.Second)
		// The delay comes on top, once to learn of the version and once to get it.
		So(s.spread(func(i int) bool { return i != 0 }), ShouldBeLessThan, deadline+2*s.delay)
	})
	Convey("a domain is cut off and reads for itself", t, func() {
		s := newSimulation(12)
		s.run(5 * time.Second)
		s.cut = func(a, b int) bool { return (a%3 == 2) != (b%3 == 2) }
		So(s.spread(everyone), ShouldBeLessThan, deadline)
		So(s.spread(everyone), ShouldBeLessThan, deadline)
	})
}

// Guards against a load on a store that is down, and against hosts that do not
// return to it.
func TestStoreOutageIsMetWithFewCalls(t *testing.T) {
	Convey("the store refuses all hosts for ten seconds", t, func() {
		s := newSimulation(11)
		s.run(5 * time.Second)
		down := true
		s.refuses = func(int) bool { return down }
		s.reads = 0
		s.run(10 * time.Second)
		So(s.reads, ShouldBeLessThan, 11*12)
		down = false
		So(s.spread(everyone), ShouldBeLessThan, deadline)
	})
}

// Guards against hosts that read nothing themselves and do not learn that the
// store was away, when leases may have lapsed.
func TestReturnOfTheStoreReachesAllHosts(t *testing.T) {
	returns := func(s *simulation) (n int) {
		for _, h := range s.hosts {
			if h.tracker.Returns() != 0 {
				n++
			}
		}
		return n
	}
	for _, outage := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		Convey(fmt.Sprint("the store refuses all hosts for ", outage), t, func() {
			s := newSimulation(11)
			s.run(5 * time.Second)
			So(returns(s), ShouldEqual, 0)
			s.refuses = func(int) bool { return true }
			s.run(outage)
			So(returns(s), ShouldEqual, 0)
			s.refuses = func(int) bool { return false }
			s.run(1300 * time.Millisecond)
			So(returns(s), ShouldEqual, 11)
		})
	}
	Convey("the reading host dies while the store serves", t, func() {
		s := newSimulation(11)
		s.run(5 * time.Second)
		s.cut = func(a, b int) bool { return a != b && (a == 0 || b == 0) }
		s.run(10 * time.Second)
		So(returns(s), ShouldEqual, 0)
	})
}

// Guards against a burst of versions that costs a call of each host for each.
func TestVersionsInQuickSuccessionAreGathered(t *testing.T) {
	Convey("a version every 50 ms for five seconds", t, func() {
		s := newSimulation(11)
		s.run(5 * time.Second)
		s.reads = 0
		for range 100 {
			s.version++
			s.step()
		}
		So(s.reads, ShouldBeLessThan, 15)
		So(s.spread(everyone), ShouldBeLessThan, deadline)
	})
}
