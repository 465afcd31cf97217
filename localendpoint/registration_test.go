package localendpoint_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
)

var identity = localendpoint.Identity{Service: "s", Address: "127.0.0.1:9", FailureDomain: "d"}

func announcement(id string, startedAtMs int64, sequence uint64) localendpoint.Announcement {
	return localendpoint.Announcement{
		ID: mesh.EndpointID(id), Service: "s", Address: "127.0.0.1:9", FailureDomain: "d", Slots: 2, StartedAtMs: startedAtMs, Sequence: sequence,
	}
}

func draining(a localendpoint.Announcement) localendpoint.Announcement {
	a.Draining = true
	return a
}

// Guards against late, repeated or mismatched announcements that register an
// endpoint.
func TestAnnouncements(t *testing.T) {
	Convey("a registration", t, func() {
		now := time.Duration(0)
		changes := 0
		r := localendpoint.NewRegistration(identity, func() time.Duration { return now }, func(*localendpoint.Endpoint) { changes++ })
		So(r.Announce(announcement("a", 100, 1)), ShouldEqual, localendpoint.NewIncarnation)
		So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.Renewed)

		Convey("an older sequence of the incarnation is stale", func() {
			So(r.Announce(draining(announcement("a", 100, 2))), ShouldEqual, localendpoint.Stale)
			So(r.Current().Draining, ShouldBeFalse)
		})
		Convey("an announcement with another service or address does not match", func() {
			other := announcement("b", 200, 1)
			other.Service = "other"
			So(r.Announce(other), ShouldEqual, localendpoint.Mismatched)
			other = announcement("b", 200, 1)
			other.Address = "127.0.0.1:10"
			So(r.Announce(other), ShouldEqual, localendpoint.Mismatched)
			So(string(r.Current().ID), ShouldEqual, "a")
		})
		Convey("a start in the future is not that of the endpoint", func() {
			So(r.Announce(announcement("a", math.MaxInt64, 1)), ShouldEqual, localendpoint.Mismatched)
			So(r.Deregister("a", math.MaxInt64), ShouldBeFalse)
			So(r.Announce(announcement("a", 100, 3)), ShouldEqual, localendpoint.Renewed)
			So(r.Current().Draining, ShouldBeFalse)
			So(r.Announce(announcement("a", 300, 1)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("a draining endpoint stays draining after a later announcement", func() {
			So(r.Announce(draining(announcement("a", 100, 3))), ShouldEqual, localendpoint.DrainStarted)
			So(r.Announce(announcement("a", 100, 4)), ShouldEqual, localendpoint.Renewed)
			So(r.Current().Draining, ShouldBeTrue)
			So(changes, ShouldEqual, 2)
		})
		Convey("a late announcement does not register a deregistered endpoint again", func() {
			So(r.Deregister("a", 0), ShouldBeTrue)
			So(r.Current().Draining, ShouldBeTrue)
			So(r.Announce(announcement("a", 100, 9)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("a", 300, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Current().Draining, ShouldBeFalse)
		})
		Convey("an ID is registered again with a later start, and an earlier incarnation is stale", func() {
			So(r.Announce(announcement("a", 200, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Announce(announcement("a", 100, 50)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("old", 150, 50)), ShouldEqual, localendpoint.Stale)
			So(r.Deregister("a", 100), ShouldBeFalse)
			So(r.Current().StartedAtMs, ShouldEqual, 200)
		})
		Convey("a deregistration of another endpoint changes nothing", func() {
			So(r.Deregister("b", 0), ShouldBeFalse)
			So(r.Current().Draining, ShouldBeFalse)
		})
		Convey("a new identity removes an endpoint that does not match it", func() {
			r.SetIdentity(localendpoint.Identity{Service: "t", Address: "127.0.0.1:9", FailureDomain: "d"})
			So(r.Current(), ShouldBeNil)
			So(r.Announce(announcement("a", 100, 10)), ShouldEqual, localendpoint.Mismatched)
		})
	})
}

// Guards against calls to an endpoint that a late announcement registers again, after
// its host has acknowledged that it drains.
func TestLateAnnouncementsOfDrainedEndpoints(t *testing.T) {
	Convey("a registration", t, func() {
		now := time.Duration(0)
		r := localendpoint.NewRegistration(identity, func() time.Duration { return now }, func(*localendpoint.Endpoint) {})
		r.TimeOfDay = func() time.Time { return time.UnixMilli(1000) }

		Convey("an endpoint deregisters before this process has an announcement of it", func() {
			So(r.Deregister("a", 0), ShouldBeFalse)
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.Stale)
			So(r.Current(), ShouldBeNil)
			Convey("it registers with a start after that", func() {
				So(r.Announce(announcement("a", 1001, 1)), ShouldEqual, localendpoint.NewIncarnation)
				So(r.Current().Draining, ShouldBeFalse)
			})
			Convey("another endpoint that started earlier registers", func() {
				So(r.Announce(announcement("b", 90, 1)), ShouldEqual, localendpoint.NewIncarnation)
			})
		})
		Convey("it states its start when it deregisters", func() {
			So(r.Deregister("a", 100), ShouldBeFalse)
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("a", 101, 1)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("an endpoint deregisters while its predecessor at the address is registered", func() {
			So(r.Announce(announcement("old", 50, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Deregister("a", 0), ShouldBeFalse)
			So(r.Current().Draining, ShouldBeFalse)
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.Stale)
			So(string(r.Current().ID), ShouldEqual, "old")
		})
		Convey("a later incarnation deregisters while an earlier one with its ID is registered", func() {
			So(r.Announce(announcement("a", 50, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Deregister("a", 100), ShouldBeTrue)
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.Stale)
			So(r.Current().Draining, ShouldBeTrue)
		})
		Convey("a draining endpoint is removed", func() {
			So(r.Announce(announcement("a", 100, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Announce(draining(announcement("a", 100, 3))), ShouldEqual, localendpoint.DrainStarted)
			r.Remove(r.Current())
			So(r.Current(), ShouldBeNil)
			So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("a", 200, 1)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("an endpoint that was draining at its first announcement is removed", func() {
			So(r.Announce(draining(announcement("a", 100, 3))), ShouldEqual, localendpoint.NewIncarnation)
			r.Remove(r.Current())
			So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.Stale)
		})
		Convey("an endpoint with an earlier start drains before the registered one is removed", func() {
			So(r.Announce(announcement("b", 200, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Announce(draining(announcement("a", 100, 3))), ShouldEqual, localendpoint.Stale)
			So(r.Current().Draining, ShouldBeFalse)
			r.Remove(r.Current())
			So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.Stale)
		})
		Convey("a deregistered endpoint is removed, and its successor too", func() {
			So(r.Announce(announcement("a", 100, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Deregister("a", 0), ShouldBeTrue)
			So(r.Announce(announcement("b", 200, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Deregister("b", 0), ShouldBeTrue)
			r.Remove(r.Current())
			So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("b", 200, 2)), ShouldEqual, localendpoint.Stale)
		})
		Convey("the settings name another endpoint and then the draining one again", func() {
			So(r.Announce(draining(announcement("a", 100, 3))), ShouldEqual, localendpoint.NewIncarnation)
			r.SetIdentity(localendpoint.Identity{Service: "t", Address: "127.0.0.1:9", FailureDomain: "d"})
			r.SetIdentity(identity)
			So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.Stale)
		})
		Convey("an endpoint that is not draining registers again after it was removed", func() {
			So(r.Announce(announcement("a", 100, 1)), ShouldEqual, localendpoint.NewIncarnation)
			r.Remove(r.Current())
			So(r.Announce(announcement("a", 100, 2)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("the memory of drained endpoints is bounded and keeps the latest", func() {
			for i := range 1000 {
				r.Deregister(mesh.EndpointID(fmt.Sprint("e", i)), 0)
			}
			So(r.Announce(announcement("e999", 100, 20)), ShouldEqual, localendpoint.Stale)
			So(r.Announce(announcement("e0", 100, 20)), ShouldEqual, localendpoint.NewIncarnation)
		})
	})
}

// Guards against an endpoint that gets no calls ever again after failures, because
// its failure ratio does not decay.
func TestFailureRatioDecays(t *testing.T) {
	Convey("ten failures in a row, then no responses", t, func() {
		now := time.Duration(0)
		h := localendpoint.NewHealth(func() time.Duration { return now })
		for range 10 {
			h.Observe(true)
		}
		So(h.FailureRatio(), ShouldBeGreaterThan, 0.6)
		now += 10 * time.Second
		So(h.FailureRatio(), ShouldBeLessThan, 0.05)
	})
}

// Guards against a call of a client that is treated as a nested call.
func TestParentsAreRunningCalls(t *testing.T) {
	Convey("without running calls no call has a parent", t, func() {
		r := localendpoint.NewRunningCalls()
		_, found := r.Parent("a.b")
		So(found, ShouldBeFalse)
		_, found = r.Parent("plain")
		So(found, ShouldBeFalse)
	})
}

// Guards against an endpoint that is registered again although it left while an earlier
// process ran, against one that stays registered when its departure becomes known, and
// against one that lives and stays out.
func TestDeparturesBeforeTheStartOfTheProcess(t *testing.T) {
	Convey("a registration of a process that started at 5000 ms", t, func() {
		now, changes := 10*time.Second, 0
		const processStart = 5000
		timeOfDay := time.UnixMilli(processStart)
		r := localendpoint.NewRegistration(identity, func() time.Duration { return now }, func(*localendpoint.Endpoint) { changes++ })
		r.TimeOfDay = func() time.Time { return timeOfDay }
		r.RequireConfirmation(timeOfDay)
		pass := func(d time.Duration) { now, timeOfDay = now+d, timeOfDay.Add(d) }
		left := departures.List{{ID: "a", StartedAtMs: 100}}
		a := departures.Incarnation{ID: "a", StartedAtMs: 100}

		Convey("defers announcements, and an endpoint that has left is not registered", func() {
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.Deferred)
			So(r.Announce(announcement("b", 300, 1)), ShouldEqual, localendpoint.Deferred)
			So(r.Current(), ShouldBeNil)
			So(changes, ShouldEqual, 0)
			So(r.RecordDepartures(left), ShouldResemble, left)
			So(r.Announce(announcement("a", 100, 21)), ShouldEqual, localendpoint.Stale)
			_, found := r.Confirm(a)
			So(found, ShouldBeTrue)
			So(r.Announce(announcement("a", 100, 22)), ShouldEqual, localendpoint.Stale)
			Convey("one that is confirmed is", func() {
				b, found := r.Unconfirmed()
				So(found, ShouldBeTrue)
				So(b, ShouldResemble, departures.Incarnation{ID: "b", StartedAtMs: 300})
				waiting, found := r.Confirm(b)
				So(found, ShouldBeTrue)
				So(r.Announce(waiting), ShouldEqual, localendpoint.NewIncarnation)
				_, found = r.Unconfirmed()
				So(found, ShouldBeFalse)
				Convey("also after it was removed", func() {
					r.Remove(r.Current())
					So(r.Announce(announcement("b", 300, 2)), ShouldEqual, localendpoint.NewIncarnation)
				})
			})
		})
		Convey("registers an endpoint that was confirmed before its announcement", func() {
			_, found := r.Confirm(a)
			So(found, ShouldBeFalse)
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("does not register one that left after it was confirmed", func() {
			r.Announce(announcement("a", 100, 20))
			r.Deregister("a", 100)
			waiting, found := r.Confirm(a)
			So(found, ShouldBeTrue)
			So(r.Announce(waiting), ShouldEqual, localendpoint.Stale)
		})
		Convey("registers one that started after the process", func() {
			pass(time.Second)
			So(r.Announce(announcement("b", processStart+1000, 1)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("registers one that started together with the process, but first", func() {
			So(r.Announce(announcement("b", processStart-999, 1)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("defers one that started before that", func() {
			So(r.Announce(announcement("b", processStart-1000, 1)), ShouldEqual, localendpoint.Deferred)
		})
		Convey("defers one with a start that lies ahead: the time of day was set back", func() {
			So(r.Announce(announcement("b", processStart+1000, 1)), ShouldEqual, localendpoint.Deferred)
		})
		Convey("registers one that keeps announcing itself", func() {
			results := map[localendpoint.AnnounceResult]int{}
			for i := range uint64(5) {
				results[r.Announce(announcement("a", 100, 20+i))]++
				pass(1500 * time.Millisecond)
			}
			So(results, ShouldResemble, map[localendpoint.AnnounceResult]int{localendpoint.Deferred: 4, localendpoint.NewIncarnation: 1})
		})
		Convey("does not register one whose announcements pause", func() {
			for i := range uint64(8) {
				So(r.Announce(announcement("a", 100, 20+i)), ShouldEqual, localendpoint.Deferred)
				pass(3 * time.Second)
			}
		})
		Convey("does not register one whose announcements are repeated or out of order", func() {
			for i := range uint64(15) {
				So(r.Announce(announcement("a", 100, 20-i/2)), ShouldEqual, localendpoint.Deferred)
				pass(1500 * time.Millisecond)
			}
		})
		Convey("registers one whose announcement arrives later than any that was sent before the start", func() {
			pass(31 * time.Second)
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.NewIncarnation)
		})
		Convey("does not defer one of another endpoint", func() {
			other := announcement("b", 200, 1)
			other.Address = "127.0.0.1:10"
			So(r.Announce(other), ShouldEqual, localendpoint.Mismatched)
		})
		Convey("records at once that an endpoint drains", func() {
			So(r.Announce(draining(announcement("a", 100, 20))), ShouldEqual, localendpoint.Deferred)
			So(r.Departures(), ShouldResemble, left)
		})
		Convey("keeps a bounded number of announcements, the latest ones", func() {
			for i := range 1000 {
				r.Announce(announcement(fmt.Sprint("e", i), 100, 1))
			}
			waiting := 0
			for i := range 1000 {
				if _, found := r.Confirm(departures.Incarnation{ID: mesh.EndpointID(fmt.Sprint("e", i)), StartedAtMs: 100}); found {
					waiting++
					So(i, ShouldBeGreaterThanOrEqualTo, 900)
				}
			}
			So(waiting, ShouldBeBetween, 0, 100)
		})
		Convey("drains the current endpoint when it is known that it has left", func() {
			r.Confirm(a)
			So(r.Announce(announcement("a", 100, 20)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.RecordDepartures(left), ShouldHaveLength, 1)
			So(r.Current().Draining, ShouldBeTrue)
			So(changes, ShouldEqual, 2)
			So(r.RecordDepartures(left), ShouldBeEmpty)
			So(changes, ShouldEqual, 2)
			r.Confirm(departures.Incarnation{ID: "a", StartedAtMs: 101})
			So(r.Announce(announcement("a", 101, 1)), ShouldEqual, localendpoint.NewIncarnation)
			So(r.Current().Draining, ShouldBeFalse)
		})
		Convey("ignores a departure with a start in the future", func() {
			So(r.RecordDepartures(departures.List{{ID: "a", StartedAtMs: math.MaxInt64}}), ShouldBeEmpty)
			r.Confirm(a)
			So(r.Announce(announcement("a", 100, 1)), ShouldEqual, localendpoint.NewIncarnation)
		})
	})
}
