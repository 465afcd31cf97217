package hostnode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/ingress"
	"geraniumnotch.example/geraniumnotch/metrics"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// logBuffer holds the lines of nodes.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *logBuffer) logger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: l, JSONFormat: true})
}

// keyedConfig returns a configuration with the services "one" and "two" and a workspace for
// each key, which is named like the key with the prefix "w-".
func keyedConfig(version int, keys ...string) []byte {
	workspaces := make([]standin.Workspace, len(keys))
	for i, key := range keys {
		workspaces[i] = standin.Workspace{Name: "w-" + key, Keys: []string{key}}
	}
	return standin.ConfigWithWorkspaces(version, workspaces, keyedRoutes...)
}

// keyedRoutes are the routes of the services "one" and "two".
var keyedRoutes = []standin.Route{{Path: "one", Service: "one"}, {Path: "two", Service: "two"}}

// getWithKey sends a call with a key to the host's ingress.
func (h *fixtureHost) getWithKey(id, path, key string) int {
	request := h.request(id, path)
	standin.SetKey(request.Header, key)
	response, err := h.fixture.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // Only the status counts.
	_ = response.Body.Close()
	return response.StatusCode
}

// keyedFixture is two hosts with the services "one" and "two" that have activated a
// configuration with the key "old-key". Only the first one reads the store by an address
// that can be cut.
type keyedFixture struct {
	*fixture
	a, b *fixtureHost
	logs *logBuffer
	// received holds the workspaces of the calls that the endpoint of b gets.
	received chan string
}

const cutAddress = "127.0.0.9:1"

func newKeyedFixture(t *testing.T) *keyedFixture {
	f := &keyedFixture{fixture: newBubbleFixture(t), logs: &logBuffer{}, received: make(chan string, 100)}
	f.logger = f.logs.logger()
	f.store.Write(platform.ConfigKey, keyedConfig(4, "old-key"))
	shared := f.dial
	f.dial = f.network.Dialer(cutAddress)
	f.a = f.addHost("host-a", "one")
	f.dial = shared
	f.b = f.addHost("host-b", "two")
	respond := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		name, hasKey := standin.ReceivedWorkspace(r, "old-key")
		f.received <- fmt.Sprint(name, " ", hasKey)
	})
	f.b.respond.Store(&respond)
	waitFor(func() bool { return f.allHave(4) })
	So(f.a.announce("one", "ready"), ShouldEqual, 200)
	So(f.b.announce("two", "ready"), ShouldEqual, 200)
	waitFor(func() bool { return len(f.a.node.directory.ByService("two")) == 1 })
	return f
}

// Guards against a key that works too long or too late at a host, whatever way the plan takes.
func TestKeysFollowThePlan(t *testing.T) {
	inBubble(t, "a host that is cut off from the store", func(t *testing.T) {
		f := newKeyedFixture(t)
		defer f.close()
		So(f.a.getWithKey("1", "/two/", "old-key"), ShouldEqual, 200)
		So(<-f.received, ShouldEqual, "w-old-key false")
		So(f.a.getWithKey("2", "/two/", "new-key"), ShouldEqual, 401)
		status, _ := f.a.get("3", "/two/")
		So(status, ShouldEqual, 401)

		f.network.Cut(cutAddress, f.store.Address())
		f.store.Write(platform.ConfigKey, keyedConfig(9, "new-key", "other-key"))
		time.Sleep(planDeadline)
		for _, h := range f.hosts {
			So(h.node.plan.Load().Version, ShouldEqual, 9)
			So(h.getWithKey("4", "/two/", "old-key"), ShouldEqual, 401)
			So(h.getWithKey("5", "/two/", "new-key"), ShouldEqual, 200)
			So(<-f.received, ShouldEqual, "w-new-key false")
		}
	})
	inBubble(t, "a store that was restored from a copy with a withdrawn key", func(t *testing.T) {
		f := newKeyedFixture(t)
		defer f.close()
		former := f.store.Copy()
		f.store.Write(platform.ConfigKey, keyedConfig(9, "new-key"))
		waitFor(func() bool { return f.allHave(9) })
		f.store.Restore(former)
		time.Sleep(planDeadline)
		So(f.a.getWithKey("1", "/two/", "old-key"), ShouldEqual, 401)
		f.a.kill()
		time.Sleep(time.Second)
		f.a.start()
		So(f.a.getWithKey("2", "/two/", "old-key"), ShouldEqual, 503) // It knows no plan yet.
		waitFor(func() bool { return f.a.node.ready() })
		So(f.a.getWithKey("3", "/two/", "old-key"), ShouldEqual, 401)
		So(f.a.node.plan.Load().Version, ShouldEqual, 9)
	})
	inBubble(t, "a host that starts while nobody has the plan", func(t *testing.T) {
		f := newKeyedFixture(t)
		defer f.close()
		f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		f.a.kill()
		f.b.kill()
		time.Sleep(time.Second)
		f.a.start()
		time.Sleep(maxPeerWait + planDeadline)
		So(f.a.getWithKey("1", "/two/", "old-key"), ShouldEqual, 503)
		f.b.start()
		f.store.SetFault(nil)
		waitFor(func() bool { return f.a.node.ready() })
		So(f.a.getWithKey("2", "/one/", "new-key"), ShouldEqual, 401)
	})
	inBubble(t, "two workspaces with the same key", func(t *testing.T) {
		f := newKeyedFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.ConfigWithWorkspaces(9, []standin.Workspace{{Name: "w", Keys: []string{"old-key", "secret"}}, {Name: "v", Keys: []string{"secret"}}}, keyedRoutes...))
		time.Sleep(planDeadline)
		So(f.allHave(4), ShouldBeTrue)
		So(f.a.getWithKey("1", "/two/", "old-key"), ShouldEqual, 200)
		So(<-f.received, ShouldEqual, "w-old-key false")
		So(f.logs.String(), ShouldContainSubstring, "route plan rejected")
		So(f.logs.String(), ShouldNotContainSubstring, "secret")
	})
	inBubble(t, "keys that move to another workspace while calls go on", func(t *testing.T) {
		f := newKeyedFixture(t)
		defer f.close()
		for version := 10; version < 30; version++ {
			keys := []string{fmt.Sprint("key-", version), "stays"}
			f.store.Write(platform.ConfigKey, standin.ConfigWithWorkspaces(version, []standin.Workspace{
				{Name: fmt.Sprint("w", version%2), Keys: keys[:1]}, {Name: fmt.Sprint("w", (version+1)%2), Keys: keys[1:]},
			}, keyedRoutes...))
			waitFor(func() bool { return f.allHave(uint64(version)) })
			So(f.a.getWithKey("1", "/two/", keys[0]), ShouldEqual, 200)
			So(<-f.received, ShouldEqual, fmt.Sprintf("w%d false", version%2))
			So(f.a.getWithKey("2", "/two/", "stays"), ShouldEqual, 200)
			So(<-f.received, ShouldEqual, fmt.Sprintf("w%d false", (version+1)%2))
			So(f.a.getWithKey("3", "/two/", fmt.Sprint("key-", version-1)), ShouldEqual, 401)
		}
	})
}

// Guards against keys in logs, metrics and records of the store.
func TestKeysAreNotWritten(t *testing.T) {
	inBubble(t, "hosts that accept, reject and learn keys", func(t *testing.T) {
		f := newKeyedFixture(t)
		defer f.close()
		for i := range 20 {
			So(f.a.getWithKey(fmt.Sprint("r", i), "/two/", "stolen-key"), ShouldEqual, 401)
		}
		So(f.a.getWithKey("1", "/two/", "old-key"), ShouldEqual, 200)
		f.store.Write(platform.ConfigKey, keyedConfig(9, "new-key"))
		waitFor(func() bool { return f.allHave(9) })
		f.store.Write(platform.ConfigKey, bytes.Replace(keyedConfig(10, "typo-key"), []byte(`["typo-key"]`), []byte(`"typo-key"`), 1))
		time.Sleep(planDeadline)
		f.store.Write(platform.ConfigKey, append(keyedConfig(11, "cut-key"), "cut-key"...))
		time.Sleep(planDeadline)
		So(f.allHave(9), ShouldBeTrue)

		response, err := f.client.Get("http://" + f.a.address["metrics"] + "/metrics")
		So(err, ShouldBeNil)
		series, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		_ = response.Body.Close()
		written := f.logs.String() + string(series)
		for _, entry := range f.store.Entries("geraniumnotch/") {
			written += entry.Key + string(entry.Value)
		}
		// The name of the workspace "w-old-key" may be written.
		for _, key := range []string{`"old-key`, "stolen-key", `"new-key`, "typo-key", "cut-key"} {
			So(written, ShouldNotContainSubstring, key)
		}
		So(string(series), ShouldContainSubstring, `reason="unknown_key"`)
		var lines []map[string]any
		for _, line := range bytes.Split([]byte(f.logs.String()), []byte("\n")) {
			entry := map[string]any{}
			if json.Unmarshal(line, &entry) == nil && entry["key"] != nil {
				lines = append(lines, entry)
			}
		}
		So(lines, ShouldHaveLength, 1)
		So(lines[0]["key"], ShouldEqual, routeplan.FingerprintOf("stolen-key").String())
	})
}

// Guards against counters that grow with what clients send instead of with the plan, and
// against a rejected call that is not counted.
func TestCallsOfWorkspacesAreCounted(t *testing.T) {
	Convey("an observer", t, func() {
		logs := &logBuffer{}
		registry, err := metrics.New()
		So(err, ShouldBeNil)
		o, err := newWorkspaceObserver(logs.logger(), registry.Meter())
		So(err, ShouldBeNil)
		plan := func(version uint64, names ...string) *routeplan.Plan {
			p, err := platform.DecodeConfig(keyedConfig(int(version), names...))
			So(err, ShouldBeNil)
			return p
		}
		first, second := plan(1, "a", "b"), plan(2, "b", "c")
		o.planChanged(nil, first)
		finish := func(name string, status int) bool {
			e := &ingress.Exchange{Status: status}
			e.Workspace = first.Workspaces[0].Name
			if name != "a" {
				e.Workspace = "w-b"
			}
			return o.finished(e)
		}
		for _, status := range []int{200, 200, 404, 429, 503, 502, 0} {
			So(finish("a", status), ShouldBeFalse)
		}
		So(o.calls["w-a"][resultServed].Load(), ShouldEqual, 3)
		So(o.calls["w-a"][resultRejected].Load(), ShouldEqual, 2)
		So(o.calls["w-a"][resultFailed].Load(), ShouldEqual, 2)
		finish("b", 200)
		o.planChanged(first, second)
		o.planChanged(nil, first) // Overtaken by the second one.
		finish("a", 200)
		So(o.calls, ShouldHaveLength, 2)
		So(o.calls["w-b"][resultServed].Load(), ShouldEqual, 1)
		So(logs.String(), ShouldContainSubstring, `"added":1,"event":2542`)
		So(o.finished(&ingress.Exchange{Reason: call.ReasonUnknownKey, Route: &routeplan.Route{Name: "r"}}), ShouldBeTrue)
	})
}

// Guards against a plan without workspaces that a host of an earlier program sends, since
// that drops them.
func TestPlansOfEarlierProgramsAreNotUsed(t *testing.T) {
	Convey("a host", t, func() {
		f := newFixture(t)
		defer f.close()
		f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		k := f.addHost("host-a", "one").node.planKeeper
		decode := func(value []byte) *routeplan.Plan {
			p, err := platform.DecodeConfig(value)
			So(err, ShouldBeNil)
			return p
		}
		earlier := func(version int) routeplan.Delta {
			d := decode(standin.Config(version, "one")).Diff(nil)
			d.MayLackWorkspaces = true
			return d
		}
		Convey("without a plan uses none and asks for none", func() {
			k.activateDelta(earlier(5), "host-b")
			k.recordReport(plansync.Report{From: "host-b", Version: 5})
			So(k.activeVersion(), ShouldEqual, 0)
			So(k.tracker.IsNewerKnown(), ShouldBeFalse)
			k.recordReport(plansync.Report{From: "host-c", Version: 5, KnowsWorkspaces: true})
			So(k.tracker.IsNewerKnown(), ShouldBeTrue)
		})
		Convey("with a plan with workspaces uses none and asks for none", func() {
			k.activate(decode(keyedConfig(4, "k")), "store")
			k.activateDelta(earlier(5), "host-b")
			k.recordReport(plansync.Report{From: "host-b", Version: 5})
			So(k.activeVersion(), ShouldEqual, 4)
			So(k.tracker.IsNewerKnown(), ShouldBeFalse)
			d := decode(standin.Config(6, "one")).Diff(nil)
			k.activateDelta(d, "host-c")
			So(k.activeVersion(), ShouldEqual, 6) // The operator has removed the workspaces.
		})
		Convey("with a plan without workspaces uses them as before", func() {
			k.activate(decode(standin.Config(4, "one")), "store")
			k.activateDelta(earlier(5), "host-b")
			So(k.activeVersion(), ShouldEqual, 5)
		})
	})
}
