package hostnode

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// heartbeatInterval is the interval at which endpoints of the platform announce themselves.
const heartbeatInterval = 1500 * time.Millisecond

// keepAnnouncing announces the endpoint at each heartbeatInterval until stop is called.
func (h *fixtureHost) keepAnnouncing(startedAtMs int64) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			h.announceOf(startedAtMs, "one", "ready") // A host that is not there gets the next one.
			select {
			case <-done:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return func() { close(done) }
}

// outageBeforeRestart leaves two hosts that serve the endpoint of the first one without the
// store.
func outageBeforeRestart(t *testing.T) (f *fixture, a, b *fixtureHost) {
	f = newBubbleFixture(t)
	f.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
	a, b = f.addHost("host-a", "one"), f.addHost("host-b", "two")
	So(a.announce("one", "ready"), ShouldEqual, 200)
	waitFor(func() bool { return f.allHave(4) && len(b.node.directory.ByService("one")) == 1 && b.node.ready() })
	f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	return f, a, b
}

func (f *fixture) restartAll() {
	for _, h := range f.hosts {
		h.kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, h := range f.hosts {
		h.start()
	}
}

// Guards against calls to an endpoint whose departure only the killed processes of all
// hosts knew, when announcements that it sent before arrive late.
func TestEndpointThatLeftStaysOutAfterALossOfAllThatKnewIt(t *testing.T) {
	leavings := map[string]func(h *fixtureHost) int{
		"deregisters": (*fixtureHost).deregister,
		"drains":      func(h *fixtureHost) int { return h.announce("one", "draining") },
	}
	const second, tenth = time.Second, 100 * time.Millisecond
	for leaving, leave := range leavings {
		for _, c := range []struct {
			name string
			// late are the times after the restart at which announcements arrive.
			late []time.Duration
			// again is the time of a second restart of the endpoint's host, 0 for none.
			again time.Duration
		}{
			{"one announcement is late", []time.Duration{21 * tenth}, 0},
			{"several are late, one later still", []time.Duration{0, 2 * second, 21 * tenth, 3 * second, 4 * second, 12 * second}, 0},
			{"its node restarts again", []time.Duration{1 * second, 3 * second, 8 * second}, 2 * second},
			{"its node restarts again when the store is back", []time.Duration{1 * second, 8 * second, 9 * second}, 7 * second},
		} {
			inBubble(t, leaving+", "+c.name, func(t *testing.T) {
				f, a, b := outageBeforeRestart(t)
				defer f.close()
				a.hasNoHealthPath.Store(true)
				So(leave(a), ShouldEqual, 200)
				f.restartAll()
				began := time.Now()
				time.AfterFunc(5900*time.Millisecond, func() { f.store.SetFault(nil) })
				if c.again > 0 {
					time.AfterFunc(c.again, a.restart)
				}
				for _, after := range c.late {
					time.AfterFunc(after, func() { a.announceOf(standin.EndpointStart, "one", "ready") })
				}
				for i := 0; time.Since(began) < 20*time.Second; i++ {
					time.Sleep(tenth)
					for _, h := range f.hosts {
						status, _ := h.get(fmt.Sprint(h.name, i), "/one/")
						So(status, ShouldNotEqual, 200)
					}
				}
				So(a.executions, ShouldBeEmpty)

				Convey("a later incarnation of it gets calls", func() {
					So(a.announceOf(time.Now().UnixMilli(), "one", "ready"), ShouldEqual, 200)
					waitFor(func() bool { return len(b.node.directory.ByService("one")) == 1 })
					status, _ := b.get("later", "/one/")
					So(status, ShouldEqual, 200)
				})
			})
		}
	}
}

// Guards against an endpoint that lives and gets no calls after all hosts restarted while
// the store was unavailable, and against calls before its hosts have a plan.
func TestEndpointThatLivesIsUsedOnceTheStoreIsBack(t *testing.T) {
	const outage = 5900 * time.Millisecond
	for _, c := range []struct {
		name            string
		hasNoHealthPath bool
		isNew           bool
		outage, limit   time.Duration
	}{
		{"it answers health checks", false, false, outage, 1500 * time.Millisecond},
		{"it answers health checks, a short outage", false, false, time.Second, 2 * heartbeatInterval},
		{"it announces itself only", true, false, outage, 2 * heartbeatInterval},
		{"it started after the hosts", true, true, outage, 1500 * time.Millisecond},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			f, a, b := outageBeforeRestart(t)
			defer f.close()
			a.hasNoHealthPath.Store(c.hasNoHealthPath)
			f.restartAll()
			startedAtMs := int64(standin.EndpointStart)
			if c.isNew {
				startedAtMs = time.Now().UnixMilli()
			}
			defer a.keepAnnouncing(startedAtMs)()
			for i := range 10 {
				status, _ := b.get(fmt.Sprint("early ", i), "/one/")
				So(status, ShouldEqual, 503)
				time.Sleep(c.outage / 10)
			}
			f.store.SetFault(nil)
			began := time.Now()
			waitFor(func() bool {
				status, _ := b.get("first", "/one/")
				return status == 200
			})
			So(time.Since(began), ShouldBeLessThan, c.limit)
		})
	}
}

// Guards against an endpoint that waits although another host knows that it has not left,
// and against one that left and is taken for such a one.
func TestOtherHostsConfirmAnEndpoint(t *testing.T) {
	inBubble(t, "its node restarts alone", func(t *testing.T) {
		f, a, b := outageBeforeRestart(t)
		defer f.close()
		a.hasNoHealthPath.Store(true)
		a.restart()
		began := time.Now()
		So(a.announce("one", "ready"), ShouldEqual, 200)
		waitFor(func() bool {
			status, _ := b.get("first", "/one/")
			return status == 200
		})
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
	inBubble(t, "its node restarts after it left, and hears the other host restart", func(t *testing.T) {
		f, a, b := outageBeforeRestart(t)
		defer f.close()
		a.hasNoHealthPath.Store(true)
		So(a.deregister(), ShouldEqual, 200)
		f.restartAll()
		f.store.SetFault(nil)
		waitFor(func() bool { return f.allHave(4) && b.node.directory.HostCount() == 2 })
		So(a.announceOf(standin.EndpointStart, "one", "ready"), ShouldEqual, 200)
		b.restart()
		waitFor(func() bool { return f.allHave(4) && b.node.directory.HostCount() == 2 })
		So(a.announceOf(standin.EndpointStart, "one", "ready"), ShouldEqual, 200)
		time.Sleep(time.Second)
		status, _ := b.get("later", "/one/")
		So(status, ShouldEqual, 503)
	})
}
