package hostnode

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/rollout"
)

// rolloutFixture has three hosts with endpoints of version v1 and three of v2, all of one
// service, and clients at all of them.
type rolloutFixture struct {
	*fixture
	old, next []*fixtureHost
	// isBad makes the endpoints of v2 fail.
	isBad atomic.Bool
	calls sync.WaitGroup
}

func newRolloutFixture(t *testing.T) *rolloutFixture {
	f := &rolloutFixture{fixture: newBubbleFixture(t)}
	f.rolloutShare = "0.1"
	f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
	for i := range 3 {
		f.old = append(f.old, f.addHost(fmt.Sprint("old-", i), "one"))
	}
	for _, h := range f.old {
		h.serviceTime = 20 * time.Millisecond
		h.announce("one", "ready")
	}
	waitFor(func() bool { return f.allHave(4) && f.old[0].node.ready() })
	return f
}

// addNext starts the hosts of the new version.
func (f *rolloutFixture) addNext() {
	for i := range 3 {
		h := f.addHost(fmt.Sprint("next-", i), "one")
		h.serviceTime, h.version = 20*time.Millisecond, "v2"
		respond := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if f.isBad.Load() {
				w.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = io.WriteString(w, h.name)
		})
		h.respond.Store(&respond)
		f.next = append(f.next, h)
	}
	f.announceAll()
}

func (f *rolloutFixture) announceAll() {
	for _, h := range f.hosts {
		if h.node != nil {
			h.announce("one", "ready")
		}
	}
}

// arrivalsOf returns the number of calls that reached the endpoints of hosts after a time.
func arrivalsOf(hosts []*fixtureHost, after time.Time) (n int) {
	for _, h := range hosts {
		h.mu.Lock()
		for _, at := range h.arrivals {
			if at.After(after) {
				n++
			}
		}
		h.mu.Unlock()
	}
	return n
}

// send sends calls from three hosts for a time, 60 a second each.
func (f *rolloutFixture) send(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range f.old {
			for i := range 3 {
				f.calls.Go(func() { h.get(fmt.Sprint(h.name, i, time.Now().UnixNano()), "/one/") })
			}
		}
	}
	f.calls.Wait()
}

// status returns the state that the operator reads.
func (f *rolloutFixture) status() string {
	for _, e := range f.store.Entries(platform.RolloutStatusKey("one")) {
		var s platform.RolloutStatus
		if err := json.Unmarshal(e.Value, &s); err == nil {
			return s.State + " " + s.Target
		}
	}
	return ""
}

// Guards against a good version that is not completed, and against calls that it gets before
// it is ordered or beyond its share while it is verified.
func TestGoodVersionIsCompleted(t *testing.T) {
	inBubble(t, "a good version", func(t *testing.T) {
		f := newRolloutFixture(t)
		defer f.close()
		began := time.Now()
		f.send(time.Second)
		f.store.Write(platform.RolloutOrderKey("one"), standin.RolloutOrder("one", "v2", 15))
		ordered := time.Now()
		f.addNext()
		f.send(8 * time.Second)
		share := float64(arrivalsOf(f.next, began)) / float64(arrivalsOf(f.hosts, ordered))
		So(share, ShouldBeBetween, 0.01, 0.1)
		So(f.status(), ShouldEqual, "running v2")
		f.send(5 * time.Second)
		So(f.status(), ShouldEqual, "completed v2")
		completed := time.Now()
		f.send(time.Second)
		So(arrivalsOf(f.old, completed), ShouldEqual, 0)
		So(arrivalsOf(f.next, completed), ShouldBeGreaterThan, 150)
	})
}

// Guards against a bad version that is not rolled back in time, or gets calls afterwards,
// also from a host that restarts.
func TestBadVersionIsRolledBack(t *testing.T) {
	inBubble(t, "a version that begins to fail", func(t *testing.T) {
		f := newRolloutFixture(t)
		defer f.close()
		f.store.Write(platform.RolloutOrderKey("one"), standin.RolloutOrder("one", "v2", 15))
		f.addNext()
		f.send(5 * time.Second)
		f.isBad.Store(true)
		before := time.Now()
		f.send(4 * time.Second)
		So(arrivalsOf(f.next, before), ShouldBeLessThan, 50)
		So(f.status(), ShouldEqual, "rolled_back v2")
		f.old[0].kill()
		f.old[0].start()
		f.announceAll()
		withdrawn := time.Now()
		f.send(8 * time.Second)
		So(arrivalsOf(f.next, withdrawn), ShouldEqual, 0)
		So(arrivalsOf(f.old, withdrawn), ShouldBeGreaterThan, 1000)
	})
}

// Guards against a withdrawal that waits for the store, and against a status that is not
// written once the store answers again.
func TestVersionIsWithdrawnWhileTheStoreIsUnavailable(t *testing.T) {
	inBubble(t, "a version that fails while the store is unavailable", func(t *testing.T) {
		f := newRolloutFixture(t)
		defer f.close()
		f.store.Write(platform.RolloutOrderKey("one"), standin.RolloutOrder("one", "v2", 15))
		f.addNext()
		f.send(4 * time.Second)
		f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		f.isBad.Store(true)
		f.send(4 * time.Second)
		withdrawn := time.Now()
		f.send(time.Second)
		So(arrivalsOf(f.next, withdrawn), ShouldEqual, 0)
		So(f.status(), ShouldEqual, "running v2")
		f.store.SetFault(nil)
		f.send(4 * time.Second)
		So(f.status(), ShouldEqual, "rolled_back v2")
	})
}

// Guards against a roll-out that ends with the host that decides on it.
func TestNextHostDecidesWhenTheDecidingOneEnds(t *testing.T) {
	inBubble(t, "the deciding host ends", func(t *testing.T) {
		f := newRolloutFixture(t)
		defer f.close()
		f.store.Write(platform.RolloutOrderKey("one"), standin.RolloutOrder("one", "v2", 15))
		f.addNext()
		f.send(4 * time.Second)
		first := slices.IndexFunc(f.hosts, func(h *fixtureHost) bool { return h.node.directory.HostsAhead() == 0 })
		f.hosts[first].kill()
		f.send(10 * time.Second)
		So(f.status(), ShouldEqual, "completed v2")
	})
}

// Guards against store calls and fields in messages where no versions are rolled out.
func TestVersionsAreIgnoredWithoutBounds(t *testing.T) {
	inBubble(t, "an order without bounds in the settings", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		h := f.addHost("host-a", "one")
		h.announce("one", "ready")
		waitFor(func() bool { return f.allHave(4) && h.node.ready() && h.node.registration.Current() != nil })
		So(h.node.planKeeper.rollouts.orderKeys(h.node.plan.Load()), ShouldBeEmpty)
		So(h.node.statusReport().Endpoint.Software, ShouldBeEmpty)
		text, err := os.ReadFile(h.path())
		So(err, ShouldBeNil)
		for value, isValid := range map[string]bool{"0.1": true, "1.1": false, "x": false} {
			_, err := ParseSettings([]byte(strings.Replace(string(text), "[bounds]", "[bounds]\nexposure-share = "+value, 1)))
			So(err == nil, ShouldEqual, isValid)
		}
	})
}

// Guards against two hosts that decide differently at the same time, and against a decision
// whose write had no answer.
func TestStoreAcceptsOneDecision(t *testing.T) {
	inBubble(t, "two hosts write a final status", func(t *testing.T) {
		for _, fault := range []standin.Fault{standin.NoFault, standin.ResponseLost, standin.ExecutedLate} {
			f := newRolloutFixture(t)
			f.store.Write(platform.RolloutOrderKey("one"), standin.RolloutOrder("one", "v2", 60))
			f.addNext()
			f.send(4 * time.Second)
			So(f.status(), ShouldEqual, "running v2")
			decided := map[rollout.Phase]*rolloutKeeper{rollout.Completed: f.old[0].node.rollouts, rollout.RolledBack: f.old[1].node.rollouts}
			revision := f.store.Revision(platform.RolloutStatusKey("one"))
			var faults atomic.Int64
			f.store.SetFault(func(path string) standin.Fault {
				if path == standin.PathTransaction && faults.Add(1) == 1 {
					return fault
				}
				return standin.NoFault
			})
			for phase, k := range decided {
				s := *k.table.State("one")
				k.mu.Lock()
				k.statuses["one"] = platform.Revision{Epoch: s.Order.Epoch, Number: revision}
				if phase == rollout.RolledBack {
					k.merge(rollout.Withdraw(s, k.clock()), "test")
				}
				k.write(t.Context(), s, phase)
				k.mu.Unlock()
			}
			time.Sleep(2 * time.Second)
			f.store.ExecuteLate()
			time.Sleep(2 * time.Second)
			final := map[string]rollout.Phase{"completed v2": rollout.Completed, "rolled_back v2": rollout.RolledBack}[f.status()]
			So(final, ShouldNotEqual, 0)
			for _, h := range f.hosts {
				s := h.node.rollouts.table.State("one")
				So(s.Phase, ShouldEqual, final)
				So(s.Stored, ShouldBeTrue)
			}
			f.close()
		}
	})
}
