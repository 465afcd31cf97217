package hostnode

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// planDeadline is the time within which a new version must be active, as the settings of
// the fixture state it.
const planDeadline = 2 * time.Second

// allHave returns whether all hosts reach each other and have activated a version.
func (f *fixture) allHave(version uint64) bool {
	for _, h := range f.hosts {
		if h.node.planKeeper.activeVersion() != version || h.node.directory.HostCount() != len(f.hosts) {
			return false
		}
	}
	return true
}

// lateHosts writes a version and returns the hosts that have not activated it at the plan
// deadline.
func (f *fixture) lateHosts(version uint64) (late []string) {
	f.store.Write(platform.ConfigKey, standin.Config(int(version), "one"))
	time.Sleep(planDeadline)
	for _, h := range f.hosts {
		if h.node.planKeeper.activeVersion() < version {
			late = append(late, h.name)
		}
	}
	return late
}

// Guards against a host that asks no peer for a newer plan while the store does not answer.
func TestPlanOfAPeerIsActivatedWhileAReadHangs(t *testing.T) {
	inBubble(t, "the store answers the other host only", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		const reader = "127.0.0.9:1"
		shared := f.dial
		f.dial = f.network.Dialer(reader)
		f.addHost("host-a", "one") // Precedes the other host, and reads for both.
		f.dial = shared
		f.addHost("host-b", "one")
		waitFor(func() bool { return f.allHave(4) })
		f.network.Cut(reader, f.store.Address())
		time.Sleep(700 * time.Millisecond)
		So(f.lateHosts(9), ShouldBeEmpty)
	})
}

// Guards against reads of the store that wait for connections that have gone silent.
func TestPlanIsActiveInTimeAfterAllConnectionsWentSilent(t *testing.T) {
	for _, names := range [][]string{{"host-a"}, {"host-a", "host-b", "host-c"}} {
		inBubble(t, fmt.Sprintf("versions after each of three times, %d hosts", len(names)), func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
			for _, name := range names {
				f.addHost(name, "one")
			}
			waitFor(func() bool { return f.allHave(4) })
			for i := range 3 {
				time.Sleep(5 * time.Second)
				f.network.Silence()
				time.Sleep(time.Duration(i) * 300 * time.Millisecond)
				So(f.lateHosts(uint64(9+i)), ShouldBeEmpty)
			}
		})
	}
}
