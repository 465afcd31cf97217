package hostnode

import (
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
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// site is a store with nodes and endpoints beside them, all on loopback.
type site struct {
	store *standin.Store
	dir   string
	hosts []*siteHost
}

type siteHost struct {
	site     *site
	name     string
	address  map[string]string
	node     *Node
	endpoint *http.Server

	mu       sync.Mutex
	sequence int
	runs     map[string]int
}

// hosts counts the hosts of this process.
var hosts atomic.Int64

// reservedAddress returns an address that no other host of a test has: a loopback
// IP and a port by the process ID and the number of the host. The port is below
// those that the system gives to outgoing connections, so that it is free until
// the node listens.
func reservedAddress(host int64, use int) string {
	const firstPort, usesPerHost = 10000, 20
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(host)})
	return netip.AddrPortFrom(ip, uint16(firstPort+(pid&255)*usesPerHost+use)).String()
}

func newSite(t *testing.T) *site { return &site{store: standin.New(), dir: t.TempDir()} }

func (s *site) close() {
	for _, h := range s.hosts {
		if h.node != nil {
			h.node.cancel()
			h.node.closeListeners()
		}
		_ = h.endpoint.Close()
	}
	s.store.Close()
}

// add starts a host with an endpoint that answers with the name of its host.
func (s *site) add(name, service string) *siteHost {
	h := &siteHost{site: s, name: name, address: map[string]string{}, runs: map[string]int{}}
	number := hosts.Add(1)
	for i, use := range []string{"endpoint", "calls", "peers", "ready", "announcements", "metrics"} {
		h.address[use] = reservedAddress(number, i)
	}
	l, err := net.Listen("tcp", h.address["endpoint"])
	if err != nil {
		panic(err)
	}
	h.endpoint = &http.Server{Handler: standin.Endpoint(func(w http.ResponseWriter, _ *http.Request, id, caller string) {
		h.mu.Lock()
		h.runs[id]++
		h.mu.Unlock()
		_, _ = io.WriteString(w, name+" "+caller) // The client checks the body.
	})}
	go func() { _ = h.endpoint.Serve(l) }() // Ends in close.
	h.write(service)
	s.hosts = append(s.hosts, h)
	h.start()
	return h
}

func (h *siteHost) path() string { return filepath.Join(h.site.dir, h.name+".ini") }

func (h *siteHost) write(service string) {
	text := fmt.Sprintf(settingsText, h.name, service, h.address["endpoint"], h.address["calls"], h.address["peers"],
		h.address["ready"], h.address["announcements"], h.address["metrics"], h.site.store.Address())
	if err := os.WriteFile(h.path(), []byte(text), 0o600); err != nil {
		panic(err)
	}
}

func (h *siteHost) start() {
	n, err := New(h.path(), hclog.NewNullLogger(), func() int64 { return 0 })
	if err != nil {
		panic(err)
	}
	if err := n.Start(); err != nil {
		panic(err)
	}
	h.node = n
}

const settingsText = `[host]
name = %s
failure-domain = d
memory-mb = 200
link-mbps = 1000
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

func post(url, body string) int {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// announce sends a heartbeat of the endpoint beside the host.
func (h *siteHost) announce(service, state string) int {
	h.sequence++
	path, body := standin.Heartbeat("i-"+h.name, h.address["endpoint"], service, "d", state, h.sequence)
	return post("http://"+h.address["announcements"]+path, body)
}

// garbled sends an announcement that cannot be read.
func garbled(h *siteHost) int {
	path, _ := standin.Heartbeat("i-x", "", "", "", "", 1)
	return post("http://"+h.address["announcements"]+path, "garbage")
}

// get sends a call to the host's entry.
func (h *siteHost) get(id, path string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.address["calls"]+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = "h.example"
	platform.Headers{}.SetRequestID(request.Header, id)
	// A connection must not outlive the node that the test ends.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
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

// waitFor waits until a state that other goroutines bring about is there.
func waitFor(state func() bool) {
	for end := time.Now().Add(15 * time.Second); !state(); {
		if time.Now().After(end) {
			panic("state not reached in 15 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a path from client to endpoint that has a gap: store, plan,
// announcements, links, gate and entry together.
func TestWholePath(t *testing.T) {
	Convey("two hosts of different services", t, func() {
		s := newSite(t)
		defer s.close()
		s.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
		a, b := s.add("host-a", "one"), s.add("host-b", "two")
		So(a.announce("one", "ready"), ShouldEqual, 200)
		So(b.announce("two", "ready"), ShouldEqual, 200)
		reaches := func(h *siteHost, path, answer string) func() bool {
			return func() bool {
				status, body := h.get("w", path)
				return status == 200 && body == answer
			}
		}
		waitFor(reaches(a, "/two/x", "host-b one"))
		waitFor(reaches(b, "/one/x", "host-a two"))
		waitFor(func() bool { return a.node.ready() && b.node.ready() })

		Convey("a version is in force on both, and never an older one", func() {
			s.store.Write(platform.ConfigKey, standin.Config(9, "one", "two", "three"))
			waitFor(func() bool { return a.node.keeper.version() == 9 && b.node.keeper.version() == 9 })
			s.store.Write(platform.ConfigKey, standin.Config(7, "one"))
			calls := s.store.Calls(standin.PathTransaction)
			waitFor(func() bool { return s.store.Calls(standin.PathTransaction) > calls+1 })
			So(a.node.keeper.version(), ShouldEqual, 9)
			So(b.node.keeper.version(), ShouldEqual, 9)
		})
		Convey("malformed configurations and records change nothing", func() {
			s.store.Write(platform.ConfigKey, []byte(`{"version":"000000ff"`))
			s.store.Write("geraniumnotch/hosts/other", []byte("garbage"))
			calls := s.store.Calls(standin.PathTransaction)
			waitFor(func() bool { return s.store.Calls(standin.PathTransaction) > calls+1 })
			So(a.node.keeper.version(), ShouldEqual, 4)
			So(reaches(a, "/two/x", "host-b one")(), ShouldBeTrue)
		})
		Convey("both serve while the store refuses all calls", func() {
			s.store.SetFault(func(string) standin.Fault { return standin.Busy })
			calls := s.store.Calls("/")
			waitFor(func() bool { return s.store.Calls("/") > calls+1 })
			So(reaches(a, "/two/x", "host-b one")(), ShouldBeTrue)
		})
		Convey("a host whose reads the store refuses gets the version from the other", func() {
			s.store.SetFault(func(path string) standin.Fault { return standin.None })
			first := true
			var mu sync.Mutex
			s.store.SetFault(func(path string) standin.Fault {
				mu.Lock()
				defer mu.Unlock()
				// Every second comparison fails, whoever makes it.
				if first = !first; path == standin.PathTransaction && first {
					return standin.Reset
				}
				return standin.None
			})
			s.store.Write(platform.ConfigKey, standin.Config(9, "one", "two"))
			waitFor(func() bool { return a.node.keeper.version() == 9 && b.node.keeper.version() == 9 })
		})
		Convey("a leaving endpoint gets nothing once its announcement is answered", func() {
			So(b.announce("two", "draining"), ShouldEqual, 200)
			b.mu.Lock()
			runs := len(b.runs)
			b.mu.Unlock()
			for i := range 20 {
				status, _ := a.get(fmt.Sprint("late", i), "/two/x")
				So(status, ShouldEqual, 503)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			So(len(b.runs), ShouldEqual, runs)
		})
		Convey("malformed announcements are rejected and change nothing", func() {
			So(garbled(b), ShouldEqual, 400)
			So(b.announce("three", "ready"), ShouldEqual, 200)
			So(reaches(a, "/two/x", "host-b one")(), ShouldBeTrue)
		})
		Convey("a change of the settings file without a signal is taken over", func() {
			b.write("one")
			So(b.announce("one", "ready"), ShouldEqual, 200)
			waitFor(func() bool {
				status, _ := a.get("n", "/two/x")
				return status == 503
			})
			waitFor(reaches(b, "/one/x", "host-b one"))
		})
		Convey("all nodes are lost at once and serve again, with the store as the only memory", func() {
			for _, h := range s.hosts {
				h.node.cancel()
				h.node.closeListeners()
			}
			for _, h := range s.hosts {
				h.start()
			}
			So(a.announce("one", "ready"), ShouldEqual, 200)
			So(b.announce("two", "ready"), ShouldEqual, 200)
			waitFor(reaches(a, "/two/x", "host-b one"))
		})
		Convey("the metrics address serves counters and histograms", func() {
			response, err := http.Get("http://" + a.address["metrics"] + "/metrics")
			So(err, ShouldBeNil)
			text, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(err, ShouldBeNil)
			So(string(text), ShouldContainSubstring, "host_calls_total")
			So(string(text), ShouldContainSubstring, "host_call_seconds_bucket")
		})
	})
}

// Guards against hosts that are missing in the store long after their leases
// have lapsed, and against a rush of calls when it returns. The users' bound is
// two seconds from the store's return.
func TestRegistrationReturnsAfterLapsedLeases(t *testing.T) {
	Convey("the leases end while the store refuses calls", t, func() {
		s := newSite(t)
		defer s.close()
		s.store.Write(platform.ConfigKey, standin.Config(1, "one"))
		for _, name := range []string{"host-a", "host-b", "host-c"} {
			s.add(name, "one")
		}
		records := func() int { return len(s.store.Keys(hostsPrefix)) }
		waitFor(func() bool { return records() == 3 })
		waitFor(func() bool {
			for _, h := range s.hosts {
				if h.node.directory.Hosts() != 3 || h.node.keeper.version() == 0 {
					return false
				}
			}
			return true
		})
		s.store.SetFault(func(string) standin.Fault { return standin.Busy })
		time.Sleep(1500 * time.Millisecond)
		s.store.EndLeases()
		So(records(), ShouldEqual, 0)
		before := s.store.Calls("/")
		s.store.SetFault(nil)
		returned := time.Now()
		waitFor(func() bool { return records() == 3 })
		So(time.Since(returned), ShouldBeLessThan, 2*time.Second)
		// Each host renews in vain, takes a lease, writes and lists once; the rest
		// are comparisons of the plan.
		So(s.store.Calls("/")-before, ShouldBeLessThan, 3*4+3*5)
	})
}

// Guards against settings whose faults show one at a time, or not at all.
func TestSettings(t *testing.T) {
	good := fmt.Sprintf(settingsText, "h", "s", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4", "10.0.0.1:5", "10.0.0.1:6", "10.0.0.1:7")
	Convey("good settings", t, func() {
		s, err := ParseSettings([]byte(good))
		So(err, ShouldBeNil)
		So(s.PlanDeadline, ShouldEqual, 2*time.Second)
		So(s.Repeats.Slack, ShouldEqual, 58)
		So(s.Listen.Ready, ShouldEqual, "10.0.0.1:4")
		So(s.Listen.PeersAdvertised, ShouldEqual, s.Listen.Peers)
	})
	Convey("an address for peers that differs from the one that is listened on", t, func() {
		s, err := ParseSettings([]byte(strings.Replace(good, "[listen]\n", "[listen]\npeers-advertised = 10.0.0.9:9\n", 1)))
		So(err, ShouldBeNil)
		So(s.Listen.PeersAdvertised, ShouldEqual, "10.0.0.9:9")
		_, err = ParseSettings([]byte(strings.Replace(good, "[listen]\n", "[listen]\npeers-advertised = here\n", 1)))
		So(err.Error(), ShouldContainSubstring, "peers-advertised")
	})
	Convey("all faults are named at once", t, func() {
		bad := strings.NewReplacer("memory-mb = 200", "memory-mb = few", "10.0.0.1:7", "store.example:7", "drain-s = 6", "").Replace(good)
		_, err := ParseSettings([]byte(bad))
		So(err, ShouldNotBeNil)
		for _, key := range []string{"memory-mb", "address", "drain-s"} {
			So(err.Error(), ShouldContainSubstring, key)
		}
	})
	Convey("the template holds all keys of the settings", t, func() {
		template, err := os.ReadFile("../deploy/host.ini")
		So(err, ShouldBeNil)
		for line := range strings.Lines(settingsText) {
			key, _, _ := strings.Cut(line, "=")
			So(string(template), ShouldContainSubstring, strings.TrimSpace(key))
		}
	})
}
