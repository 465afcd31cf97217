package peers_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

func drawStatus(t *rapid.T, label string) peers.Status {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, label+name)) * time.Millisecond
	}
	s := peers.Status{
		SentAt: boottime.Time(time.Hour) + boottime.Time(ms("sent", 1000)), PlanVersion: uint64(rapid.IntRange(1, 2).Draw(t, label+"version")),
		PlanRead:    plansync.Stamp{Reader: rapid.SampledFrom([]string{"a/1", "b/2"}).Draw(t, label+"reader"), Number: uint64(rapid.IntRange(0, 1000).Draw(t, label+"number"))},
		PlanReadAge: ms("age", 3000), Draining: rapid.Bool().Draw(t, label+"draining"), StoreEpoch: uint64(rapid.IntRange(0, 1).Draw(t, label+"epoch")),
	}
	if rapid.Bool().Draw(t, label+"departed") {
		s.Departed = departures.List{{ID: "f", StartedAtMs: int64(rapid.IntRange(1, 2).Draw(t, label+"departure"))}}
	}
	if rapid.Bool().Draw(t, label+"endpoint") {
		s.Endpoint = &peers.EndpointStatus{
			ID: "e", Service: "s", Slots: rapid.IntRange(1, 2).Draw(t, label+"slots"), Running: rapid.IntRange(0, 9).Draw(t, label+"running"),
			Waiting: rapid.IntRange(0, 9).Draw(t, label+"waiting"), MeanServiceTime: ms("mean", 2000), Cold: rapid.Bool().Draw(t, label+"cold"),
			FailurePercent: rapid.IntRange(0, 100).Draw(t, label+"failures"), StartedAtMs: int64(rapid.IntRange(1, 2).Draw(t, label+"started")),
			Classes: []peers.ClassStatus{{Kind: routeplan.Download, Rank: 1, ServiceTime: ms("class", 1000)}},
		}
	}
	return s
}

// Guards against deltas that leave out a field which has changed.
func TestStatusDeltasResultInTheStatus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, s := drawStatus(t, "base "), drawStatus(t, "")
		restored, fits := peers.DeltaRoundTrip(s, base)
		if !fits {
			return
		}
		// Service times of classes may differ from the base by less than what is reported.
		if s.Endpoint != nil {
			restored.Endpoint.Classes = s.Endpoint.Classes
		}
		expected, err := transport.EncodeFrame(transport.KindHostStatus, s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := transport.EncodeFrame(transport.KindHostStatus, restored)
		if err != nil {
			t.Fatal(err)
		}
		if string(expected) != string(got) {
			t.Fatalf("%+v became %+v", s, restored)
		}
	})
}

// Guards against reports that take as many bytes as before.
func TestStatusDeltasAreShort(t *testing.T) {
	Convey("a report of a busy host after a day", t, func() {
		s := peers.Status{
			SentAt: 24 * time.Hour, PlanVersion: 90, PlanRead: plansync.Stamp{Reader: "host-a/1769110245001436000", Number: 100_000}, PlanReadAge: time.Second,
			Endpoint: &peers.EndpointStatus{ID: "i-841c02a569", Service: "s", Slots: 9, Running: 9, Waiting: 30, MeanServiceTime: 1234567 * time.Nanosecond},
		}
		frame, err := peers.EncodeDelta(s)
		So(err, ShouldBeNil)
		So(len(frame), ShouldBeLessThanOrEqualTo, 24)
	})
}

// Guards against a malformed report of a peer that ends the process or is used.
func FuzzStatusDelta(f *testing.F) {
	frame, err := peers.EncodeDelta(peers.Status{SentAt: time.Second, Endpoint: &peers.EndpointStatus{Running: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := transport.ParseFrame(frame)
		if err != nil {
			return
		}
		s, err := peers.ApplyDelta(m, peers.Status{Endpoint: &peers.EndpointStatus{Slots: 1}})
		if err == nil && (s.Endpoint.Running < 0 || s.Endpoint.Waiting < 0 || s.PlanReadAge < 0 || s.SentAt < 0 || s.Endpoint.MeanServiceTime < 0) {
			t.Fatalf("%+v", s)
		}
	})
}

// Guards against changes of a host that its peers do not learn of.
func TestPeersLearnOfEachChangeByDeltas(t *testing.T) {
	inBubble(t, "two hosts", func(_ C, n *testNetwork) {
		a, b := n.newHost("a", 1, echo), n.newHost("b", 1, echo)
		defer a.close()
		defer b.close()
		a.AddRecords(b.record)
		a.waitForPeers(1)
		b.waitForPeers(1)
		running := func() int { return a.ByService("s")[0].Endpoint().Running }
		for _, load := range []int64{3, 0, 7} {
			b.running.Store(load)
			waitFor(func() bool { return running() == int(load) })
		}
		b.version.Store(9)
		waitFor(func() bool { return <-a.planVersions == 9 })
		b.running.Store(5)
		waitFor(func() bool { return running() == 5 })
		time.Sleep(10 * time.Second)
		So(a.ByService("s"), ShouldHaveLength, 1)
		before := b.RemoteTraffic()[transport.KindHostStatus].Out.Messages + b.LocalTraffic()[transport.KindHostStatus].Out.Messages
		time.Sleep(10 * time.Second)
		after := b.RemoteTraffic()[transport.KindHostStatus].Out.Messages + b.LocalTraffic()[transport.KindHostStatus].Out.Messages
		So(after-before, ShouldEqual, 0)
	})
}

// Guards against service times of classes that take a whole report each time they vary,
// and against an endpoint that slows down without its peers learning of it.
func TestServiceTimesOfClassesAreReportedWhenTheyMatter(t *testing.T) {
	status := func(ms ...int) *peers.Status {
		e := &peers.EndpointStatus{ID: "e"}
		for rank, n := range ms {
			e.Classes = append(e.Classes, peers.ClassStatus{Kind: routeplan.Idempotent, Rank: uint8(rank), ServiceTime: time.Duration(n) * time.Millisecond})
		}
		return &peers.Status{Endpoint: e}
	}
	for _, c := range []struct {
		name      string
		now, base *peers.Status
		since     time.Duration
		reported  bool
	}{
		{"unchanged", status(100, 500), status(100, 500), time.Minute, false},
		{"a little slower", status(110, 500), status(100, 500), time.Minute, false},
		{"slower, at once", status(140, 500), status(100, 500), time.Second, false},
		{"slower, for some seconds", status(140, 500), status(100, 500), 6 * time.Second, true},
		{"much slower, at once", status(200, 500), status(100, 500), 500 * time.Millisecond, true},
		{"much faster, at once", status(30, 500), status(100, 500), 500 * time.Millisecond, true},
		{"a new class, at once", status(100, 500), status(100), time.Second, false},
		{"a new class, for some seconds", status(100, 500), status(100), 6 * time.Second, true},
		{"a class has ended", status(100), status(100, 500), 6 * time.Second, true},
		{"no endpoint", &peers.Status{}, &peers.Status{}, time.Minute, false},
	} {
		Convey(c.name, t, func() { So(peers.ReportsClasses(c.now, c.base, c.since), ShouldEqual, c.reported) })
	}
}
