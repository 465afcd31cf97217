package hostnode

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/quota"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

const quotaBounds = "quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n"

// Guards against hosts that admit more calls together than a quota allows, or fewer than
// it has.
func TestHostsShareTheQuotaOfAWorkspace(t *testing.T) {
	inBubble(t, "callers at three hosts ask for more than the quota", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.bounds = quotaBounds
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		for _, name := range []string{"host-a", "host-b", "host-c"} {
			f.addHost(name, "one")
		}
		waitFor(func() bool { return f.allHave(4) && f.hosts[0].node.directory.HostCount() == 3 })
		plan := &routeplan.Plan{Version: 4, Workspaces: []routeplan.Workspace{{Name: "w", CallsPerSecond: 50, Burst: 20}}}
		for _, h := range f.hosts {
			h.node.quotas.SetPlan(plan)
		}
		time.Sleep(4 * time.Second) // The views are exchanged and the bucket fills.
		admitted, mu, calls := 0, sync.Mutex{}, sync.WaitGroup{}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, h := range f.hosts {
				calls.Go(func() {
					rejection := ingressQuotas{h.node.quotas}.Acquire(context.Background(), &plan.Workspaces[0])
					mu.Lock()
					defer mu.Unlock()
					if rejection == nil {
						admitted++
					} else if rejection.RetryAfter <= 0 {
						admitted = -1 << 20 // Each rejection has a retry-after.
					}
				})
			}
		}
		calls.Wait()
		So(admitted, ShouldBeLessThanOrEqualTo, (50*5+20)*110/100+20)
		So(admitted, ShouldBeGreaterThanOrEqualTo, (50*5+20)*97/100)
	})
}

// Guards against a host that ends a link because of a malformed message about quotas.
func TestMalformedQuotaMessagesCostOnlyThemselves(t *testing.T) {
	inBubble(t, "a host sends messages that no host sends", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.bounds = quotaBounds
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		a, b := f.addHost("host-a", "one"), f.addHost("host-b", "one")
		waitFor(func() bool { return f.allHave(4) && b.node.directory.HostCount() == 2 })
		time.Sleep(time.Second)
		for _, body := range []any{
			"text",
			quota.Demand{Version: 9},
			quota.Demand{Version: 1, View: &quota.View{Known: -1}},
			quota.Demand{Version: 1, View: &quota.View{Known: 1, Unreached: []uint64{1}}},
			quota.Demand{Version: 1, Asks: []quota.Ask{{Workspace: "w", Calls: 1 << 30}}},
		} {
			So(a.node.directory.Send("host-b", transport.KindWorkspaceDemand, body), ShouldBeNil)
			So(a.node.directory.Send("host-b", transport.KindWorkspaceGrant, body), ShouldBeNil)
		}
		time.Sleep(time.Second)
		So(b.node.directory.Hosts().Reached, ShouldResemble, []mesh.HostID{"host-a"})
	})
}

// Guards against a host that takes one which it no longer reaches for informed of that:
// both would count the part of the host.
func TestHostsTellSilentLinksFromClosedOnes(t *testing.T) {
	inBubble(t, "one host is cut off, another one ends", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		for i, name := range []string{"host-a", "host-b", "host-c"} {
			address := fmt.Sprintf("127.0.1.%d:1", i)
			f.dial = f.network.Dialer(address)
			f.network.Group(name, address, f.addHost(name, "one").address["peers"])
		}
		a := f.hosts[0].node.directory
		waitFor(func() bool { return len(a.Hosts().Reached) == 2 })
		f.network.CutBoth("host-a", "host-b")
		f.hosts[2].kill()
		waitFor(func() bool { return len(a.Hosts().Reached) == 1 })
		So(a.Hosts(), ShouldResemble, peers.Hosts{Known: []mesh.HostID{"host-b", "host-c"}, Reached: []mesh.HostID{"host-b"}})
		waitFor(func() bool { return len(a.Hosts().Reached) == 0 })
		So(a.Hosts(), ShouldResemble, peers.Hosts{Known: []mesh.HostID{"host-b", "host-c"}, Silent: []mesh.HostID{"host-b"}})
		time.Sleep(1100 * time.Millisecond)
		So(a.Hosts(), ShouldResemble, peers.Hosts{Known: []mesh.HostID{"host-b", "host-c"}})
	})
}

// Guards against settings that enforce half a bound.
func TestQuotaSettings(t *testing.T) {
	settings := fmt.Sprintf(settingsText, "h", float64(defaultLinkMbps), "s", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4", "10.0.0.1:5", "10.0.0.1:6", "10.0.0.1:7")
	Convey("without a bound quotas are not enforced", t, func() {
		s, err := ParseSettings([]byte(settings))
		So(err, ShouldBeNil)
		So(s.Quota.Limited(), ShouldBeFalse)
	})
	Convey("a bound is read", t, func() {
		s, err := ParseSettings([]byte(settings + quotaBounds))
		So(err, ShouldBeNil)
		So(s.Quota, ShouldResemble, quota.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	})
	Convey("a bound with a missing part is rejected", t, func() {
		_, err := ParseSettings([]byte(settings + "quota-window-s = 5\nquota-overage = 0.1\n"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "quota-slack")
	})
	Convey("the template states the bound only where the deployment has one", t, func() {
		template, err := os.ReadFile("../deploy/host.ini")
		So(err, ShouldBeNil)
		before, rest, _ := strings.Cut(string(template), "{{#bounds.quota-window-s}}\n")
		section, after, isClosed := strings.Cut(rest, "{{/bounds.quota-window-s}}\n")
		So(isClosed, ShouldBeTrue)
		So(before+after, ShouldNotContainSubstring, "quota")
		for _, key := range []string{"quota-window-s", "quota-overage", "quota-slack"} {
			So(section, ShouldContainSubstring, key+" = {{bounds."+key+"}}\n")
		}
	})
}
