package localendpoint_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
)

var identity = localendpoint.Identity{Service: "s", Address: "127.0.0.1:9", FailureDomain: "d"}

func announcement(id string, startedAtMs int64, sequence uint64) localendpoint.Announcement {
	return localendpoint.Announcement{
		ID: mesh.EndpointID(id), Service: "s", Address: "127.0.0.1:9", FailureDomain: "d", Slots: 2, StartedAtMs: startedAtMs, Sequence: sequence,
	}
}

func leaving(a localendpoint.Announcement) localendpoint.Announcement {
	a.Leaving = true
	return a
}

// Guards against late, repeated and foreign announcements that bring an endpoint
// back or into use.
func TestAnnouncements(t *testing.T) {
	Convey("a registration", t, func() {
		now := time.Duration(0)
		changes := 0
		r := localendpoint.NewRegistration(identity, func() time.Duration { return now }, func(*localendpoint.Endpoint) { changes++ })
		So(r.Announce(announcement("a", 100, 1)), ShouldEqual, localendpoint.Began)
		So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.Renewed)

		Convey("an older sequence of the incarnation is stale", func() {
			So(r.Announce(leaving(announcement("a", 100, 2))), ShouldEqual, localendpoint.Stale)
			So(r.Current().Leaving, ShouldBeFalse)
		})
		Convey("another service, address or failure domain is foreign", func() {
			other := announcement("b", 200, 1)
			other.Service = "other"
			So(r.Announce(other), ShouldEqual, localendpoint.Foreign)
			other = announcement("b", 200, 1)
			other.Address = "127.0.0.1:10"
			So(r.Announce(other), ShouldEqual, localendpoint.Foreign)
			So(string(r.Current().ID), ShouldEqual, "a")
		})
		Convey("a leaving endpoint gets nothing more and does not come back", func() {
			So(r.Announce(leaving(announcement("a", 100, 3))), ShouldEqual, localendpoint.Left)
			So(r.Announce(announcement("a", 100, 4)), ShouldEqual, localendpoint.Renewed)
			So(r.Current().Leaving, ShouldBeTrue)
			So(changes, ShouldEqual, 2)
		})
		Convey("an endpoint that deregistered is not brought back by a late announcement", func() {
			So(r.Deregister("a", 0), ShouldBeTrue)
			So(r.Current().Leaving, ShouldBeTrue)
			So(r.Announce(announcement("a", 100, 9)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("a", 300, 1)), ShouldEqual, localendpoint.Began)
			So(r.Current().Leaving, ShouldBeFalse)
		})
		Convey("the ID may return with a later start, and an earlier incarnation is stale", func() {
			So(r.Announce(announcement("a", 200, 1)), ShouldEqual, localendpoint.Began)
			So(r.Announce(announcement("a", 100, 50)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("old", 150, 50)), ShouldEqual, localendpoint.Stale)
			So(r.Deregister("a", 100), ShouldBeFalse)
			So(r.Current().StartedAtMs, ShouldEqual, 200)
		})
		Convey("a deregistration of another endpoint changes nothing", func() {
			So(r.Deregister("b", 0), ShouldBeFalse)
			So(r.Current().Leaving, ShouldBeFalse)
		})
		Convey("new settings give up an endpoint that does not fit", func() {
			r.SetIdentity(localendpoint.Identity{Service: "t", Address: "127.0.0.1:9", FailureDomain: "d"})
			So(r.Current(), ShouldBeNil)
			So(r.Announce(announcement("a", 100, 10)), ShouldEqual, localendpoint.Foreign)
		})
	})
}

// Guards against an endpoint that is avoided for ever after failures.
func TestHealthFades(t *testing.T) {
	Convey("ten failures in a row, then silence", t, func() {
		now := time.Duration(0)
		h := localendpoint.NewHealth(func() time.Duration { return now })
		for range 10 {
			h.Observe(true)
		}
		So(h.FailShare(), ShouldBeGreaterThan, 0.6)
		now += 10 * time.Second
		So(h.FailShare(), ShouldBeLessThan, 0.05)
	})
}

// Guards against calls of an endpoint that are taken for those of clients, and
// the reverse.
func TestParentsAreRunningCalls(t *testing.T) {
	Convey("an empty registry knows no parent", t, func() {
		r := localendpoint.NewRunning()
		_, found := r.Parent("a.b")
		So(found, ShouldBeFalse)
		_, found = r.Parent("plain")
		So(found, ShouldBeFalse)
	})
}
