package hostnode

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// withoutDepartures completes a registrar of a host whose endpoints do not leave.
func withoutDepartures(r *registrar) *registrar {
	r.departures = newDepartureWriter(func() departures.List { return nil })
	r.onDepartures = func(departures.List) {}
	return r
}

// announceOf sends a heartbeat of the endpoint beside the host that started at another time.
func (h *fixtureHost) announceOf(startedAtMs int64, service, state string) int {
	sequence := int(h.sequence.Add(1))
	if startedAtMs > standin.EndpointStart {
		h.hasLeft.Store(false) // A later incarnation is at the address.
	}
	path, body := standin.HeartbeatOf("i-"+h.name, startedAtMs, h.address["endpoint"], service, "d", state, sequence)
	return post(h.fixture.client, "http://"+h.address["announcements"]+path, body)
}

// deregister sends the request with which the endpoint beside the host leaves.
func (h *fixtureHost) deregister() int {
	h.hasLeft.Store(true)
	path, body := standin.Deregistration("i-"+h.name, standin.EndpointStart)
	return post(h.fixture.client, "http://"+h.address["announcements"]+path, body)
}

func (h *fixtureHost) restart() {
	h.kill()
	h.start()
}

// Guards against calls to an endpoint whose departure was acknowledged before its node
// restarted, when an announcement that it sent before arrives late.
func TestEndpointThatLeftStaysOutAfterARestartOfItsNode(t *testing.T) {
	leavings := map[string]func(h *fixtureHost) int{
		"deregisters": (*fixtureHost).deregister,
		"drains":      func(h *fixtureHost) int { return h.announce("one", "draining") },
	}
	for leaving, leave := range leavings {
		for _, known := range []struct {
			by               string
			storeUnavailable bool
			restartAll       bool
			restarts         int
		}{
			{"the store and the other host", false, false, 1},
			{"the store, all hosts restart", false, true, 1},
			{"the other host, the store is unavailable", true, false, 1},
			{"the other host after a second restart, the store is unavailable", true, false, 2},
		} {
			for _, delay := range []time.Duration{0, 1500 * time.Millisecond} {
				inBubble(t, fmt.Sprintf("it %s, known by %s, announcement after %v", leaving, known.by, delay), func(t *testing.T) {
					f := newBubbleFixture(t)
					defer f.close()
					f.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
					a, b := f.addHost("host-a", "one"), f.addHost("host-b", "two")
					a.announce("one", "ready")
					waitFor(func() bool { return f.allHave(4) && len(b.node.directory.ByService("one")) == 1 && b.node.ready() })
					status, _ := b.get("first", "/one/")
					So(status, ShouldEqual, 200)
					if known.storeUnavailable {
						f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
					}
					So(leave(a), ShouldEqual, 200)
					for range known.restarts {
						time.Sleep(500 * time.Millisecond)
						a.restart()
						if known.restartAll {
							b.restart()
						}
						time.Sleep(delay)
						So(a.announce("one", "ready"), ShouldEqual, 200)
						waitFor(func() bool { return f.allHave(4) && b.node.directory.HostCount() == 2 })
					}
					for i := range 40 {
						time.Sleep(100 * time.Millisecond)
						for _, h := range f.hosts {
							status, _ := h.get(fmt.Sprint(h.name, i), "/one/")
							So(status, ShouldEqual, 503)
						}
					}
					So(a.executions, ShouldHaveLength, 1)

					Convey("a later incarnation of it gets calls", func() {
						So(a.announceOf(standin.EndpointStart+1, "one", "ready"), ShouldEqual, 200)
						waitFor(func() bool { return len(b.node.directory.ByService("one")) == 1 })
						for _, h := range f.hosts {
							status, _ := h.get("later "+h.name, "/one/")
							So(status, ShouldEqual, 200)
						}
					})
				})
			}
		}
	}
}

// Guards against a departure that the store loses with the lease under which it was
// written, or while the store was unavailable.
func TestDeparturesAreWrittenAgain(t *testing.T) {
	for name, disturb := range map[string]func(f *fixture, a *fixtureHost){
		"the lease expires": func(f *fixture, a *fixtureHost) {
			So(a.deregister(), ShouldEqual, 200)
			So(f.storedDepartures(), ShouldEqual, 1)
			f.store.ExpireLeases()
			So(f.storedDepartures(), ShouldEqual, 0)
		},
		"the store is unavailable": func(f *fixture, a *fixtureHost) {
			f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
			began := time.Now()
			So(a.deregister(), ShouldEqual, 200)
			So(time.Since(began), ShouldBeLessThan, time.Second)
			time.Sleep(5 * time.Second)
			So(f.storedDepartures(), ShouldEqual, 0)
			f.store.SetFault(nil)
		},
		"the response to the write is lost": func(f *fixture, a *fixtureHost) {
			f.store.SetFault(func(path string) standin.Fault {
				if path == standin.PathTransaction {
					return standin.ExecutedLate
				}
				return standin.NoFault
			})
			So(a.deregister(), ShouldEqual, 200)
			time.Sleep(5 * time.Second)
			f.store.SetFault(nil)
		},
	} {
		inBubble(t, name, func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
			a := f.addHost("host-a", "one")
			So(a.announce("one", "ready"), ShouldEqual, 200)
			waitFor(a.node.ready)
			disturb(f, a)
			time.Sleep(2 * renewInterval) // A lease that has expired is noticed by its next renewal.
			So(f.storedDepartures(), ShouldEqual, 1)
			a.restart()
			So(a.announce("one", "ready"), ShouldEqual, 200)
			waitFor(a.node.ready)
			status, _ := a.get("later", "/one/")
			So(status, ShouldEqual, 503)
			So(a.executions, ShouldBeEmpty)
		})
	}
}

// storedDepartures returns the number of departures in the store.
func (f *fixture) storedDepartures() int {
	own, _ := departureItems(hostsPrefix+"host-a", f.storedItems(), f.logger)
	return len(own)
}

func (f *fixture) storedItems() []platform.Item {
	var items []platform.Item
	for _, e := range f.store.Entries(hostsPrefix) {
		items = append(items, platform.Item{Key: e.Key, Value: e.Value})
	}
	return items
}

// Guards against an endpoint that is never registered at a host that knows neither the store
// nor another host, and against one that a single announcement registers there.
func TestEndpointIsRegisteredWithoutTheStoreAndOtherHosts(t *testing.T) {
	inBubble(t, "the store is unavailable since the start", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		a := f.addHost("host-a", "one")
		defer a.keepAnnouncing(standin.EndpointStart)()
		time.Sleep(maxPeerWait + time.Millisecond)
		So(a.node.registration.Current(), ShouldBeNil)
		time.Sleep(4*heartbeatInterval - maxPeerWait)
		So(a.node.registration.Current(), ShouldNotBeNil)
	})
}
