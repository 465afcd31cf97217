package hostnode

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
	"geraniumnotch.example/geraniumnotch/transport"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// fixture is a store with nodes and endpoints beside them, all on loopback.
type fixture struct {
	// linkMbps is the bandwidth of the next hosts, 0 for defaultLinkMbps.
	linkMbps float64
	system
	// network is nil for a fixture on loopback.
	network *faultnet.Network
	store   *standin.Store
	dir     string
	hosts   []*fixtureHost
	// client sends announcements and calls.
	client *http.Client
	logger hclog.Logger
	// rolloutShare is the setting for roll-outs, empty for none.
	rolloutShare string
	// bounds holds further lines of the settings, for the section of bounds.
	bounds string
}

type fixtureHost struct {
	linkMbps float64
	fixture  *fixture
	name     string
	address  map[string]string
	node     *Node
	endpoint *http.Server

	mu         sync.Mutex
	executions map[string]int
	// sequence is that of the latest announcement.
	sequence atomic.Int64
	// longHead makes the endpoint send responses with a head longer than a frame of a
	// link.
	longHead atomic.Bool
	// hangs makes the endpoint execute calls until their connection closes.
	hangs atomic.Bool
	// serviceTime is how long the endpoint executes a call.
	serviceTime time.Duration
	// rate is the rate of calls that the endpoint names in its responses, nil for none.
	rate atomic.Pointer[string]
	// respond writes the response of the endpoint in place of the usual one, nil for none.
	respond atomic.Pointer[http.HandlerFunc]
	// isLeaving makes the endpoint state in its responses that it leaves.
	isLeaving atomic.Bool
	// hasLeft is set when the endpoint has announced that it leaves.
	hasLeft atomic.Bool
	// hasNoHealthPath makes the endpoint answer 404 to health checks.
	hasNoHealthPath atomic.Bool
	// version is the software version of the endpoint, empty for v1.
	version string
	// arrivals are the times at which calls reached the endpoint.
	arrivals []time.Time
}

// hostCounter counts the hosts of this process.
var hostCounter atomic.Int64

// reservedAddress returns an address that no other host of a test has: its loopback
// IP and port are derived from the process ID and the number of the host. The port is
// below the range for outgoing connections, so that it is still free when the node
// listens.
func reservedAddress(host int64, use int) string {
	const firstPort, usesPerHost = 10000, 20
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(host)})
	return netip.AddrPortFrom(ip, uint16(firstPort+(pid&255)*usesPerHost+use)).String()
}

func newFixture(t *testing.T) *fixture {
	return &fixture{
		system: system{clock: boottime.Now, openListener: net.Listen}, store: standin.New(), dir: t.TempDir(),
		client: http.DefaultClient, logger: hclog.NewNullLogger(),
	}
}

// newBubbleFixture is newFixture with an in-memory network and the clock of a synctest
// bubble, so that times do not depend on the load of the machine.
func newBubbleFixture(t *testing.T) *fixture {
	network, began := faultnet.New(), time.Now()
	l, err := network.Listen("127.0.0.1:1")
	if err != nil {
		panic(err)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: network.Dialer("127.0.0.3:1")}}
	return &fixture{network: network, store: standin.NewOn(l), dir: t.TempDir(), client: client, logger: hclog.NewNullLogger(), system: system{
		clock:        func() boottime.Time { return time.Since(began) },
		openListener: func(_, address string) (net.Listener, error) { return network.Listen(address) },
		dial:         network.Dialer("127.0.0.2:1"),
	}}
}

// inBubble runs a specification in a synctest bubble.
func inBubble(t *testing.T, name string, specification func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, func() { specification(t) }) })
}

func (f *fixture) close() {
	if f.network != nil {
		f.network.Heal()
		time.Sleep(time.Second) // Dials in progress end.
	}
	for _, h := range f.hosts {
		if h.node != nil {
			h.kill()
		}
		_ = h.endpoint.Close()
	}
	f.store.Close()
}

// addHost starts a host with an endpoint that answers with the name of its host.
func (f *fixture) addHost(name, service string) *fixtureHost {
	h := &fixtureHost{fixture: f, name: name, linkMbps: cmp.Or(f.linkMbps, defaultLinkMbps), address: map[string]string{}, executions: map[string]int{}}
	number := hostCounter.Add(1)
	for i, use := range []string{"endpoint", "calls", "peers", "ready", "announcements", "metrics"} {
		h.address[use] = reservedAddress(number, i)
	}
	l, err := f.openListener("tcp", h.address["endpoint"])
	if err != nil {
		panic(err)
	}
	calls := standin.EndpointHandler(func(w http.ResponseWriter, r *http.Request, id, caller string) {
		h.mu.Lock()
		h.executions[id]++
		h.arrivals = append(h.arrivals, time.Now())
		h.mu.Unlock()
		time.Sleep(h.serviceTime)
		if h.isLeaving.Load() {
			standin.StateLeaving(w.Header())
		}
		if rate := h.rate.Load(); rate != nil {
			standin.NameRate(w.Header(), *rate)
		}
		if h.hangs.Load() {
			<-r.Context().Done()
		}
		if respond := h.respond.Load(); respond != nil {
			(*respond)(w, r)
			return
		}
		if h.longHead.Load() {
			w.Header().Set("Long", strings.Repeat("x", transport.MaxFrameBytes))
		}
		_, _ = io.WriteString(w, name+" "+caller) // The client checks the body.
	})
	h.endpoint = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != standin.HealthPath:
			calls.ServeHTTP(w, r)
		case h.hasNoHealthPath.Load():
			http.NotFound(w, r)
		default:
			standin.AnswerHealth(w, "i-"+name, h.hasLeft.Load())
		}
	})}
	go func() { _ = h.endpoint.Serve(l) }() // Ends in close.
	h.writeSettings(service)
	f.hosts = append(f.hosts, h)
	h.start()
	return h
}

// kill ends the node without a stop.
func (h *fixtureHost) kill() {
	h.node.cancel()
	h.node.closeListeners()
	h.node.store.CloseIdleConnections()
}

func (h *fixtureHost) path() string { return filepath.Join(h.fixture.dir, h.name+".ini") }

func (h *fixtureHost) writeSettings(service string) {
	text := fmt.Sprintf(settingsText, h.name, h.linkMbps, service, h.address["endpoint"], h.address["calls"], h.address["peers"],
		h.address["ready"], h.address["announcements"], h.address["metrics"], h.fixture.store.Address())
	if h.fixture.rolloutShare != "" {
		text += "exposure-share = " + h.fixture.rolloutShare + "\n"
	}
	if err := os.WriteFile(h.path(), []byte(text+h.fixture.bounds), 0o600); err != nil {
		panic(err)
	}
}

func (h *fixtureHost) start() {
	n, err := newNode(h.path(), h.fixture.logger, func() int64 { return 0 }, h.fixture.system)
	if err != nil {
		panic(err)
	}
	if err := n.Start(); err != nil {
		panic(err)
	}
	h.node = n
}

// defaultLinkMbps is a bandwidth that no test uses up.
const defaultLinkMbps = 1000

const settingsText = `[host]
name = %s
failure-domain = d
memory-mb = 200
link-mbps = %g
[endpoint]
service = %s
address = %s
[listen]
calls = %s
peers = %s
ready = %s
announcements = %s
metrics = %s
[store]
address = %s
[bounds]
drain-s = 6
plan-deadline-ms = 2000
repeat-ratio = 0.2
repeat-slack = 58
repeat-window-s = 10
`

func post(client *http.Client, url, body string) int {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Close = true
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// announce sends a heartbeat of the endpoint beside the host.
func (h *fixtureHost) announce(service, state string) int {
	sequence := int(h.sequence.Add(1))
	if state == "draining" {
		h.hasLeft.Store(true)
	}
	version := cmp.Or(h.version, "v1")
	path, body := standin.HeartbeatOfVersion("i-"+h.name, standin.EndpointStart, h.address["endpoint"], service, version, "d", state, sequence)
	return post(h.fixture.client, "http://"+h.address["announcements"]+path, body)
}

// postMalformed sends an announcement that cannot be decoded.
func postMalformed(h *fixtureHost) int {
	path, _ := standin.Heartbeat("i-x", "", "", "", "", 1)
	return post(h.fixture.client, "http://"+h.address["announcements"]+path, "garbage")
}

// request returns a request to the host's ingress that is the last one of its
// connection.
func (h *fixtureHost) request(id, path string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.address["calls"]+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = "h.example"
	platform.Headers{}.SetRequestID(request.Header, id)
	// No connection may stay open when the test stops the node.
	request.Close = true
	return request
}

// get sends a call to the host's ingress.
func (h *fixtureHost) get(id, path string) (int, string) {
	response, err := h.fixture.client.Do(h.request(id, path))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err.Error()
	}
	return response.StatusCode, string(body)
}

// waitFor waits until other goroutines have reached a state.
func waitFor(state func() bool) {
	for end := time.Now().Add(15 * time.Second); !state(); {
		if time.Now().After(end) {
			panic("state not reached within 15 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against parts that do not work together on the way from a client to an
// endpoint: store, plan, announcements, links, gate and ingress.
func TestCallsAcrossTwoHosts(t *testing.T) {
	Convey("two hosts of different services", t, func() {
		f := newFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
		a, b := f.addHost("host-a", "one"), f.addHost("host-b", "two")
		So(a.announce("one", "ready"), ShouldEqual, 200)
		So(b.announce("two", "ready"), ShouldEqual, 200)
		serves := func(h *fixtureHost, path, answer string) func() bool {
			return func() bool {
				status, body := h.get("w", path)
				return status == 200 && body == answer
			}
		}
		waitFor(serves(a, "/two/x", "host-b one"))
		waitFor(serves(b, "/one/x", "host-a two"))
		waitFor(func() bool { return a.node.ready() && b.node.ready() })

		Convey("both activate a new version, and never an older one", func() {
			f.store.Write(platform.ConfigKey, standin.Config(9, "one", "two", "three"))
			waitFor(func() bool { return a.node.planKeeper.activeVersion() == 9 && b.node.planKeeper.activeVersion() == 9 })
			f.store.Write(platform.ConfigKey, standin.Config(7, "one"))
			calls := f.store.Calls(standin.PathTransaction)
			waitFor(func() bool { return f.store.Calls(standin.PathTransaction) > calls+1 })
			So(a.node.planKeeper.activeVersion(), ShouldEqual, 9)
			So(b.node.planKeeper.activeVersion(), ShouldEqual, 9)
		})
		Convey("malformed configurations and records change nothing", func() {
			f.store.Write(platform.ConfigKey, []byte(`{"version":"000000ff"`))
			f.store.Write("geraniumnotch/hosts/other", []byte("garbage"))
			calls := f.store.Calls(standin.PathTransaction)
			waitFor(func() bool { return f.store.Calls(standin.PathTransaction) > calls+1 })
			So(a.node.planKeeper.activeVersion(), ShouldEqual, 4)
			So(serves(a, "/two/x", "host-b one")(), ShouldBeTrue)
		})
		Convey("both serve calls while the store is unavailable", func() {
			f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
			calls := f.store.Calls("/")
			waitFor(func() bool { return f.store.Calls("/") > calls+1 })
			So(serves(a, "/two/x", "host-b one")(), ShouldBeTrue)
		})
		Convey("a version reaches both hosts while every second read fails", func() {
			f.store.SetFault(func(path string) standin.Fault { return standin.NoFault })
			fail := true
			var mu sync.Mutex
			f.store.SetFault(func(path string) standin.Fault {
				mu.Lock()
				defer mu.Unlock()
				// Every second comparison fails, whichever host makes it.
				if fail = !fail; path == standin.PathTransaction && fail {
					return standin.ConnectionReset
				}
				return standin.NoFault
			})
			f.store.Write(platform.ConfigKey, standin.Config(9, "one", "two"))
			waitFor(func() bool { return a.node.planKeeper.activeVersion() == 9 && b.node.planKeeper.activeVersion() == 9 })
		})
		Convey("a draining endpoint gets no call once its announcement has been answered", func() {
			So(b.announce("two", "draining"), ShouldEqual, 200)
			b.mu.Lock()
			executions := len(b.executions)
			b.mu.Unlock()
			for i := range 20 {
				status, _ := a.get(fmt.Sprint("late", i), "/two/x")
				So(status, ShouldEqual, 503)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			So(len(b.executions), ShouldEqual, executions)
		})
		Convey("a response head longer than a frame does not end the link", func() {
			b.longHead.Store(true)
			status, _ := a.get("long", "/two/x")
			So(status, ShouldEqual, 502)
			b.longHead.Store(false)
			So(serves(a, "/two/x", "host-b one")(), ShouldBeTrue)
		})
		Convey("an idempotent call is retried at another host after a head over the limit", func() {
			c := f.addHost("host-c", "two")
			So(c.announce("two", "ready"), ShouldEqual, 200)
			waitFor(serves(a, "/two/x", "host-c one"))
			b.longHead.Store(true)
			b.mu.Lock()
			clear(b.executions)
			b.mu.Unlock()
			waitFor(func() bool {
				status, body := a.get("long", "/two/x")
				So(status, ShouldEqual, 200)
				So(body, ShouldEqual, "host-c one")
				b.mu.Lock()
				defer b.mu.Unlock()
				return b.executions["long"] > 0
			})
		})
		Convey("malformed announcements are rejected and change nothing", func() {
			So(postMalformed(b), ShouldEqual, 400)
			So(b.announce("three", "ready"), ShouldEqual, 200)
			So(serves(a, "/two/x", "host-b one")(), ShouldBeTrue)
		})
		Convey("a change of the settings file is applied without a signal", func() {
			b.writeSettings("one")
			So(b.announce("one", "ready"), ShouldEqual, 200)
			waitFor(func() bool {
				status, _ := a.get("n", "/two/x")
				return status == 503
			})
			waitFor(serves(b, "/one/x", "host-b one"))
		})
		Convey("all nodes stop at the same time and serve again with nothing but the state in the store", func() {
			for _, h := range f.hosts {
				h.node.cancel()
				h.node.closeListeners()
			}
			for _, h := range f.hosts {
				h.start()
			}
			So(a.announce("one", "ready"), ShouldEqual, 200)
			So(b.announce("two", "ready"), ShouldEqual, 200)
			waitFor(serves(a, "/two/x", "host-b one"))
		})
		Convey("the metrics address serves counters and histograms", func() {
			scrape := func() string {
				response, err := http.Get("http://" + a.address["metrics"] + "/metrics")
				So(err, ShouldBeNil)
				text, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				So(err, ShouldBeNil)
				return string(text)
			}
			text := scrape()
			So(text, ShouldContainSubstring, "host_calls_total")
			So(text, ShouldContainSubstring, "host_call_seconds_bucket")
			So(text, ShouldContainSubstring, `host_link_bytes_total{direction="in",domain="local",kind="response"}`)
			// The next report is due within half a second.
			waitFor(func() bool {
				return strings.Contains(scrape(), `host_link_bytes_total{direction="out",domain="local",kind="status"}`)
			})
		})
	})
}

// Guards against hosts whose records are missing for long after their leases expired
// during an outage of the store, and against a burst of calls when it recovers. The
// users' bound is two seconds after the recovery.
func TestHostsRegisterAgainAfterLeasesExpired(t *testing.T) {
	inBubble(t, "the leases expire while the store rejects calls", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(1, "one"))
		for _, name := range []string{"host-a", "host-b", "host-c"} {
			f.addHost(name, "one")
		}
		recordCount := func() int { return len(f.store.Keys(hostsPrefix)) }
		waitFor(func() bool { return recordCount() == 3 })
		waitFor(func() bool {
			for _, h := range f.hosts {
				if h.node.directory.HostCount() != 3 || h.node.planKeeper.activeVersion() == 0 {
					return false
				}
			}
			return true
		})
		f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		time.Sleep(1500 * time.Millisecond)
		f.store.ExpireLeases()
		So(recordCount(), ShouldEqual, 0)
		callsBefore := f.store.Calls("/")
		f.store.SetFault(nil)
		recovered := time.Now()
		waitFor(func() bool { return recordCount() == 3 })
		So(time.Since(recovered), ShouldBeLessThan, 2*time.Second)
		// Each host fails to renew, gets a new lease, writes and lists once; the rest
		// are comparisons of the plan.
		So(f.store.Calls("/")-callsBefore, ShouldBeLessThan, 3*4+3*5)
	})
}

// Guards against registrations of many hosts after an outage of the store that exceed
// the rate of writes that it accepts. The users' bounds are that rate and two seconds
// after the recovery.
func TestManyHostsRegisterAgainWithinTheWriteRateOfTheStore(t *testing.T) {
	for _, c := range []struct{ hosts, writesPerSecond int }{{60, 100}, {90, 150}} {
		inBubble(t, fmt.Sprintf("the leases of %d hosts expire, %d writes a second", c.hosts, c.writesPerSecond), func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			ctx, cancel := context.WithCancel(t.Context())
			var registrars []*registrar
			var running sync.WaitGroup
			for i := range c.hosts {
				name := fmt.Sprintf("host-%03d", i)
				r := withoutDepartures(&registrar{
					store: platform.OpenStoreWith(f.store.Address(), f.dial), logger: hclog.NewNullLogger(),
					record: peers.Record{Host: mesh.HostID(name), Address: name}, addHosts: func(...peers.Record) {},
					storeRecovered: make(chan struct{}, 1), hostCount: func() int { return c.hosts }, hostsAhead: func() int { return i },
					writesPerSecond: float64(c.writesPerSecond),
				})
				registrars = append(registrars, r)
				running.Go(func() { r.run(ctx) })
			}
			defer func() {
				cancel()
				running.Wait()
				for _, r := range registrars {
					r.store.CloseIdleConnections()
				}
			}()
			waitFor(func() bool { return len(f.store.Keys(hostsPrefix)) == c.hosts })
			synctest.Wait()
			var writes []time.Time
			rejected := 0
			f.store.SetFault(func(path string) standin.Fault {
				if path != standin.PathGrant && path != standin.PathTransaction {
					return standin.NoFault
				}
				now := time.Now()
				if n := len(writes) - c.writesPerSecond; n >= 0 && now.Sub(writes[n]) < time.Second {
					rejected++
					return standin.RateLimited
				}
				writes = append(writes, now)
				return standin.NoFault
			})
			f.store.ExpireLeases()
			recovered := time.Now()
			for _, r := range registrars {
				r.signalStoreRecovered()
			}
			waitFor(func() bool { return len(f.store.Keys(hostsPrefix)) == c.hosts })
			So(time.Since(recovered), ShouldBeLessThan, 2*time.Second)
			So(rejected, ShouldEqual, 0)
		})
	}
}

// Guards against calls that get no response because they last longer than the process
// may after a stop signal.
func TestStopAnswersCallsThatOutlastIt(t *testing.T) {
	Convey("a host with a drain time of 1 s", t, func() {
		f := newFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.ConfigWithRoutes(1, standin.Route{Path: "one", Service: "one"}, standin.Route{Path: "once", Service: "one", AtMostOnce: true}))
		a := f.addHost("host-a", "one")
		waitFor(func() bool { return a.announce("one", "ready") == http.StatusOK })
		waitFor(func() bool { status, _ := a.get("first", "/one/x"); return status == http.StatusOK })
		text, err := os.ReadFile(a.path())
		So(err, ShouldBeNil)
		So(os.WriteFile(a.path(), []byte(strings.Replace(string(text), "drain-s = 6", "drain-s = 1", 1)), 0o600), ShouldBeNil)
		a.node.Reload()
		a.hangs.Store(true)
		for _, path := range []string{"/one/x", "/once/x"} {
			Convey("a call is executed when the host stops: "+path, func() {
				status := make(chan int, 1)
				go func() {
					got, _ := a.get("second", path)
					status <- got
				}()
				waitFor(func() bool {
					a.mu.Lock()
					defer a.mu.Unlock()
					return a.executions["second"] == 1
				})
				a.node.Stop()
				So(a.node.ingress.Active(), ShouldEqual, 0)
				So(<-status, ShouldEqual, http.StatusBadGateway)
			})
		}
	})
}

// delayingLogger delays the goroutine that logs a message.
type delayingLogger struct {
	hclog.Logger
	message string
	delay   time.Duration
}

func (l delayingLogger) Log(level hclog.Level, message string, args ...any) {
	if message == l.message {
		time.Sleep(l.delay)
	}
	l.Logger.Log(level, message, args...)
}

// Guards against calls that get no response because the process was not scheduled when
// it should have ended them.
func TestStopAnswersCallsAfterADelay(t *testing.T) {
	for _, path := range []string{"/one/x", "/once/x"} {
		inBubble(t, "the process is delayed beyond its drain time: "+path, func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.logger = delayingLogger{hclog.NewNullLogger(), eventStopping.Message, time.Second}
			f.store.Write(platform.ConfigKey, standin.ConfigWithRoutes(1, standin.Route{Path: "one", Service: "one"}, standin.Route{Path: "once", Service: "one", AtMostOnce: true}))
			a := f.addHost("host-a", "one")
			waitFor(func() bool { return a.announce("one", "ready") == http.StatusOK })
			waitFor(func() bool { status, _ := a.get("first", "/one/x"); return status == http.StatusOK })
			text, err := os.ReadFile(a.path())
			So(err, ShouldBeNil)
			So(os.WriteFile(a.path(), []byte(strings.Replace(string(text), "drain-s = 6", "drain-s = 1", 1)), 0o600), ShouldBeNil)
			a.node.Reload()
			a.hangs.Store(true)
			status := make(chan int, 1)
			go func() {
				got, _ := a.get("second", path)
				status <- got
			}()
			waitFor(func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return a.executions["second"] == 1
			})
			a.node.Stop()
			So(a.node.ingress.Active(), ShouldEqual, 0)
			So(<-status, ShouldEqual, http.StatusBadGateway)
		})
	}
}

// Guards against a version that is taken for the one read before because a store that
// was restored from a copy has given out its revision again.
func TestPlanIsReadAfterARestoreGaveOutItsRevisionAgain(t *testing.T) {
	for _, names := range [][]string{{"host-a"}, {"host-a", "host-b", "host-c"}} {
		inBubble(t, fmt.Sprintf("a newer version gets the revision of the one that was read before, %d hosts", len(names)), func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
			for _, name := range names {
				f.addHost(name, "one")
			}
			allHave := func(version uint64) func() bool {
				return func() bool {
					for _, h := range f.hosts {
						if h.node.planKeeper.activeVersion() != version || h.node.directory.HostCount() != len(f.hosts) {
							return false
						}
					}
					return true
				}
			}
			waitFor(allHave(4))
			saved := f.store.Copy()
			f.store.Write(platform.ConfigKey, standin.Config(9, "one"))
			waitFor(allHave(9))
			revision := f.store.Revision(platform.ConfigKey)
			f.store.Restore(saved, standin.Entry{Key: platform.ConfigKey, Value: standin.Config(12, "one")})
			restored := time.Now()
			So(f.store.Revision(platform.ConfigKey), ShouldEqual, revision)
			waitFor(allHave(12))
			So(time.Since(restored), ShouldBeLessThan, 2*time.Second)
		})
	}
}

// Guards against a host that starts after a restore of the store and serves the older
// plan of the copy, though the other hosts have a newer one.
func TestHostThatStartsAfterARestoreServesTheNewestPlanOfItsPeers(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails string
	}{{"the host finds the others at once", ""}, {"its first list of the hosts fails", standin.PathList}} {
		inBubble(t, c.name, func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
			f.addHost("host-b", "one")
			f.addHost("host-c", "one")
			allHave := func(version uint64) func() bool {
				return func() bool {
					for _, h := range f.hosts {
						if h.node.planKeeper.activeVersion() != version || h.node.directory.HostCount() != len(f.hosts) {
							return false
						}
					}
					return true
				}
			}
			waitFor(allHave(4))
			saved := f.store.Copy()
			f.store.Write(platform.ConfigKey, standin.Config(9, "one"))
			waitFor(allHave(9))
			f.store.Restore(saved)
			failed := false
			f.store.SetFault(func(path string) standin.Fault {
				if path == c.fails && !failed {
					failed = true
					return standin.Unavailable
				}
				return standin.NoFault
			})
			started := time.Now()
			a := f.addHost("host-a", "one")
			waitFor(func() bool {
				So(a.node.planKeeper.activeVersion(), ShouldBeIn, uint64(0), uint64(9))
				return a.node.ready()
			})
			So(a.node.planKeeper.activeVersion(), ShouldEqual, 9)
			So(time.Since(started), ShouldBeLessThan, maxPeerWait+planCheckInterval)
		})
	}
}

// Guards against a host that serves no call because peers report a newer plan that they
// do not send.
func TestHostServesThePlanOfTheStoreWhenPeersDoNotSendTheirs(t *testing.T) {
	inBubble(t, "two peers report a newer plan again and again", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		a := f.addHost("host-a", "one")
		waitFor(func() bool {
			for _, peer := range []mesh.HostID{"host-b", "host-c"} {
				a.node.planKeeper.tracker.RecordReport(plansync.Report{From: peer, Version: 9, Read: plansync.Read{BeganAt: f.clock(), Epoch: 1}})
			}
			return a.node.planKeeper.activeVersion() == 4
		})
		So(f.clock(), ShouldBeLessThan, 2*maxPeerWait)
	})
}

// Guards against a host that finds no other host, and keeps an older plan, while the
// store rejects its registration.
func TestHostFindsOthersWhileItsRegistrationFails(t *testing.T) {
	inBubble(t, "the store grants no lease after a restore", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		b := f.addHost("host-b", "one")
		waitFor(func() bool { return b.node.planKeeper.activeVersion() == 4 && len(f.store.Keys(hostsPrefix)) == 1 })
		saved := f.store.Copy()
		f.store.Write(platform.ConfigKey, standin.Config(9, "one"))
		waitFor(func() bool { return b.node.planKeeper.activeVersion() == 9 })
		f.store.Restore(saved)
		f.store.SetFault(func(path string) standin.Fault {
			if path == standin.PathGrant {
				return standin.RateLimited
			}
			return standin.NoFault
		})
		a := f.addHost("host-a", "one")
		waitFor(a.node.ready)
		So(a.node.directory.HostCount(), ShouldEqual, 2)
		So(a.node.planKeeper.activeVersion(), ShouldEqual, 9)
		f.store.SetFault(nil)
		waitFor(func() bool { return len(f.store.Keys(hostsPrefix)) == 2 })
	})
}

// Guards against a host whose record is lost in a restore of the store while another
// owner gets its lease ID, so that its renewals succeed without the record.
func TestHostsRegisterAgainAfterARestoreGaveOutTheirLeaseIDsAgain(t *testing.T) {
	inBubble(t, "the store is restored from a copy older than two records, without a failed call", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		recordCount := func() int { return len(f.store.Keys(hostsPrefix)) }
		f.addHost("host-a", "one")
		waitFor(func() bool { return recordCount() == 1 })
		saved := f.store.Copy()
		f.addHost("host-b", "one")
		f.addHost("host-c", "one")
		waitFor(func() bool {
			for _, h := range f.hosts {
				if h.node.directory.HostCount() != 3 || h.node.planKeeper.activeVersion() == 0 {
					return false
				}
			}
			return recordCount() == 3
		})
		client := platform.OpenStoreWith(f.store.Address(), f.dial)
		defer client.CloseIdleConnections()
		callsBefore := f.store.Calls("/")
		f.store.Restore(saved)
		restored := time.Now()
		So(recordCount(), ShouldEqual, 1)
		for range 4 {
			_, _, err := client.Grant(context.Background(), time.Minute)
			So(err, ShouldBeNil)
		}
		waitFor(func() bool { return recordCount() == 3 })
		So(time.Since(restored), ShouldBeLessThan, 2*time.Second)
		// Each host renews, gets a new lease, writes and lists once; the rest are the
		// grants of the test and comparisons of the plan.
		So(f.store.Calls("/")-callsBefore, ShouldBeLessThan, 4+3*4+3*3)
	})
}

// Guards against a second restore of the store that takes effect while the hosts still
// read and register after the first one. The users' bounds are two seconds for a version
// and for the records.
func TestASecondRestoreDuringTheRecoveryFromTheFirst(t *testing.T) {
	for gap := time.Duration(0); gap <= 1200*time.Millisecond; gap += 75 * time.Millisecond {
		inBubble(t, fmt.Sprint("the second restore follows after ", gap), func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
			saved := f.store.Copy()
			for _, name := range []string{"host-a", "host-b", "host-c"} {
				f.addHost(name, "one")
			}
			allHave := func(version uint64) func() bool {
				return func() bool {
					for _, h := range f.hosts {
						if h.node.planKeeper.activeVersion() != version || h.node.directory.HostCount() != len(f.hosts) {
							return false
						}
					}
					return len(f.store.Keys(hostsPrefix)) == len(f.hosts)
				}
			}
			waitFor(allHave(4))
			rewritten := standin.Entry{Key: platform.ConfigKey, Value: standin.Config(9, "one")}
			f.store.Restore(saved, rewritten)
			time.Sleep(gap)
			copied := saved
			if gap > 0 {
				copied = f.store.Copy()
			}
			f.store.Write(platform.ConfigKey, standin.Config(12, "one"))
			time.Sleep(gap / 2)
			f.store.Restore(copied, standin.Entry{Key: platform.ConfigKey, Value: standin.Config(15, "one")})
			restored := time.Now()
			waitFor(allHave(15))
			So(time.Since(restored), ShouldBeLessThan, 2*time.Second)
			for end := time.Now().Add(2 * leaseLifetime); time.Now().Before(end); time.Sleep(time.Second) {
				So(allHave(15)(), ShouldBeTrue)
			}
		})
	}
}

// Guards against a host that registers again while another one starts, and a stale list
// that hides the other one: neither would find the other.
func TestHostThatRegistersAgainFindsAHostThatHasJustStarted(t *testing.T) {
	for _, name := range []string{"the store was restored", "the lease has expired"} {
		Convey(name, t, func() {
			store := standin.New()
			defer store.Close()
			found := map[mesh.HostID]bool{}
			newRegistrar := func(host mesh.HostID, addHosts func(...peers.Record)) *registrar {
				return withoutDepartures(&registrar{
					store: platform.OpenStore(store.Address()), logger: hclog.NewNullLogger(),
					record: peers.Record{Host: host, Address: string(host)}, addHosts: addHosts,
				})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			running := newRegistrar("running", func(records ...peers.Record) {
				for _, r := range records {
					found[r.Host] = true
				}
			})
			var lease, newLease platform.Lease
			So(running.update(ctx, &lease, 0), ShouldBeNil)
			saved := store.Copy()
			store.SetStale(saved)
			if name == "the lease has expired" {
				store.ExpireLeases()
			} else {
				store.Restore(saved)
			}
			started := newRegistrar("started", func(...peers.Record) {})
			So(started.update(ctx, &newLease, 0), ShouldBeNil)
			So(running.update(ctx, &lease, 1), ShouldBeNil)
			So(found["started"], ShouldBeTrue)
		})
	}
}

// Guards against the record of a running host that vanishes with an earlier lease,
// because a write under that lease was executed after one under the later lease.
func TestRecordStaysAfterALateWriteUnderAnEarlierLease(t *testing.T) {
	inBubble(t, "the first write of the record gets no answer and is executed late", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		r := withoutDepartures(&registrar{
			store: platform.OpenStoreWith(f.store.Address(), f.dial), logger: hclog.NewNullLogger(),
			record: peers.Record{Host: "running", Address: "address"}, addHosts: func(...peers.Record) {},
		})
		defer r.store.CloseIdleConnections()
		f.store.SetFault(func(path string) standin.Fault {
			if path == standin.PathTransaction {
				return standin.ExecutedLate
			}
			return standin.NoFault
		})
		var lease platform.Lease
		So(r.update(t.Context(), &lease, 0), ShouldNotBeNil)
		f.store.SetFault(nil)
		time.Sleep(renewRetryInterval)
		So(r.update(t.Context(), &lease, 0), ShouldBeNil)
		f.store.ExecuteLate()
		calls := f.store.Calls(standin.PathTransaction)
		for renewals := 1; renewals < 10; renewals++ {
			time.Sleep(renewInterval)
			So(f.store.Keys(hostsPrefix), ShouldResemble, []string{hostsPrefix + "running"})
			So(r.update(t.Context(), &lease, renewals), ShouldBeNil)
		}
		So(f.store.Calls(standin.PathTransaction)-calls, ShouldEqual, 1)
	})
}

// Guards against problems in settings that are reported one at a time, or not at
// all.
func TestSettings(t *testing.T) {
	good := fmt.Sprintf(settingsText, "h", float64(defaultLinkMbps), "s", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4", "10.0.0.1:5", "10.0.0.1:6", "10.0.0.1:7")
	Convey("valid settings", t, func() {
		s, err := ParseSettings([]byte(good))
		So(err, ShouldBeNil)
		So(s.PlanDeadline, ShouldEqual, 2*time.Second)
		So(s.RetryBudget.Slack, ShouldEqual, 58)
		So(s.Listen.Ready, ShouldEqual, "10.0.0.1:4")
		So(s.Listen.PeersAdvertised, ShouldEqual, s.Listen.Peers)
		So(s.StoreWritesPerSecond, ShouldEqual, defaultStoreWritesPerSecond)
	})
	Convey("the rate of writes of the store", t, func() {
		s, err := ParseSettings([]byte(strings.Replace(good, "[store]\n", "[store]\nwrites-per-s = 1200\n", 1)))
		So(err, ShouldBeNil)
		So(s.StoreWritesPerSecond, ShouldEqual, 1200)
		_, err = ParseSettings([]byte(strings.Replace(good, "[store]\n", "[store]\nwrites-per-s = 0\n", 1)))
		So(err.Error(), ShouldContainSubstring, "writes-per-s")
	})
	Convey("the buffers of responses and the cost of bytes between domains", t, func() {
		s, err := ParseSettings([]byte(good))
		So(err, ShouldBeNil)
		So(s.ResponseBufferMB, ShouldEqual, defaultResponseBufferMB)
		So(s.RemoteCostPerKB, ShouldEqual, defaultRemoteCostPerKB)
		s, err = ParseSettings([]byte(good + "[limits]\nresponse-buffer-mb = 0\n[placement]\nremote-cost-per-kb = 0\n"))
		So(err, ShouldBeNil)
		So(s.ResponseBufferMB, ShouldEqual, 0)
		So(s.RemoteCostPerKB, ShouldEqual, 0)
		_, err = ParseSettings([]byte(good + "[limits]\nresponse-buffer-mb = -1\n[placement]\nremote-cost-per-kb = dear\n"))
		So(err.Error(), ShouldContainSubstring, "response-buffer-mb")
		So(err.Error(), ShouldContainSubstring, "remote-cost-per-kb")
	})
	Convey("an advertised address for peers that differs from the listen address", t, func() {
		s, err := ParseSettings([]byte(strings.Replace(good, "[listen]\n", "[listen]\npeers-advertised = 10.0.0.9:9\n", 1)))
		So(err, ShouldBeNil)
		So(s.Listen.PeersAdvertised, ShouldEqual, "10.0.0.9:9")
		_, err = ParseSettings([]byte(strings.Replace(good, "[listen]\n", "[listen]\npeers-advertised = here\n", 1)))
		So(err.Error(), ShouldContainSubstring, "peers-advertised")
	})
	Convey("the error names all problems", t, func() {
		bad := strings.NewReplacer("memory-mb = 200", "memory-mb = few", "10.0.0.1:7", "store.example:7", "drain-s = 6", "").Replace(good)
		_, err := ParseSettings([]byte(bad))
		So(err, ShouldNotBeNil)
		for _, key := range []string{"memory-mb", "address", "drain-s"} {
			So(err.Error(), ShouldContainSubstring, key)
		}
	})
	Convey("the template has all keys of the settings", t, func() {
		template, err := os.ReadFile("../deploy/host.ini")
		So(err, ShouldBeNil)
		for line := range strings.Lines(settingsText) {
			key, _, _ := strings.Cut(line, "=")
			So(string(template), ShouldContainSubstring, strings.TrimSpace(key))
		}
	})
}

// Guards against a stop that waits for clients which go on connecting, and against a
// request that is read on a connection accepted when the node ends.
func TestStopWhileClientsGoOnConnecting(t *testing.T) {
	Convey("clients connect, call and leave the connection open until the host refuses it", t, func() {
		f := newFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(1, "one"))
		a := f.addHost("host-a", "one")
		waitFor(func() bool { return a.announce("one", "ready") == http.StatusOK })
		waitFor(func() bool { status, _ := a.get("first", "/one/x"); return status == http.StatusOK })
		unanswered := make(chan []string)
		go func() {
			var ids []string
			for i := 0; ; i++ {
				time.Sleep(50 * time.Millisecond)
				c, err := net.Dial("tcp", a.address["calls"])
				if err != nil {
					unanswered <- ids
					return
				}
				defer func() { _ = c.Close() }()
				id := fmt.Sprint("c", i)
				_ = a.request(id, "/one/x").Write(c) // The next read returns the error.
				if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
					ids = append(ids, id)
				}
			}
		}()
		started := time.Now()
		a.node.Stop()
		So(time.Since(started), ShouldBeLessThan, 5*time.Second)
		So(a.node.ingress.Active(), ShouldEqual, 0)
		ids := <-unanswered
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, id := range ids {
			So(a.executions[id], ShouldEqual, 0)
		}
	})
}
