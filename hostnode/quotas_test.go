package hostnode

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
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

// Guards against settings that enforce half a bound, and against a template that needs
// the bound.
func TestQuotaSettings(t *testing.T) {
	Convey("the bound on quotas", t, func() {
		template, err := os.ReadFile("../deploy/host.ini")
		So(err, ShouldBeNil)
		rendered := func(bounds string) []byte {
			before, rest, _ := strings.Cut(string(template), "{{#bounds.quota-window-s}}")
			section, after, _ := strings.Cut(rest, "{{/bounds.quota-window-s}}")
			if bounds != "" {
				section = strings.NewReplacer("{{bounds.quota-window-s}}", "5", "{{bounds.quota-overage}}", "0.1", "{{bounds.quota-slack}}", bounds).Replace(section)
			} else {
				section = ""
			}
			return []byte(strings.NewReplacer("{{limits.memory-mb}}", "200", "{{limits.link-mbps}}", "1", "{{provider.writes-per-s}}", "1",
				"{{ip}}:{{port-range.0}}", "10.0.0.1:1", "{{node-name}}", "a", "{{zone}}", "z", "{{service}}", "s").Replace(replaceAddresses(before) + section + after))
		}
		Convey("is off where the deployment has none", func() {
			s, err := ParseSettings(rendered(""))
			So(err, ShouldBeNil)
			So(s.Quota.Limited(), ShouldBeFalse)
		})
		Convey("is read", func() {
			s, err := ParseSettings(rendered("20"))
			So(err, ShouldBeNil)
			So(s.Quota, ShouldResemble, quota.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
		})
		Convey("is rejected if a part is missing", func() {
			_, err := ParseSettings(rendered(" "))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "quota-slack")
		})
	})
}

// replaceAddresses fills in the remaining values of the template.
func replaceAddresses(text string) string {
	for _, name := range []string{"app-addr", "listen.outbound", "listen.inbound", "listen.ready", "listen.control", "provider.address"} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", "10.0.0.1:2")
	}
	for _, name := range []string{"grace-s", "config-apply-ms", "retry-budget-ratio", "budget-slack", "budget-window-s"} {
		text = strings.ReplaceAll(text, "{{bounds."+name+"}}", "6")
	}
	return text
}
