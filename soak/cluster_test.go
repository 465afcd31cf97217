package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

const (
	// recoveryTimeout is how long the hosts may take until all of them serve both
	// services. The users allow 15 s after a loss of everything.
	recoveryTimeout = 15 * time.Second
	// stopTimeout is how long a process may take to end after a stop signal. The
	// platform kills it after that.
	stopTimeout = 6 * time.Second
	// faultFreePeriod is how long a host must have been without faults for its
	// promises to hold; after a fault it may break time limits and lose responses.
	faultFreePeriod = 3 * time.Second
	// planDeadline is the time within which a new plan must be active.
	planDeadline = 2 * time.Second
	// startTimeout is how long a process may take to listen on a busy machine.
	startTimeout            = 5 * time.Second
	firstPort, portsPerHost = 10000, 10
)

// maxCopies is the number of versions that a restore of the store loses.
const maxCopies = 4

var services = []string{"one", "two"}

// cluster is several hosts with their endpoints and a stand-in of the store. Each
// service has endpoints on half of the hosts.
type cluster struct {
	dir    string
	limits hostLimits
	random *rand.Rand
	// keyed is set if the configurations have workspaces.
	keyed bool
	store *standin.Store
	hosts []*host
	done  chan struct{}
	// storeFaultsDrawn counts the faults of the store that the plan has.
	storeFaultsDrawn atomic.Int32

	// storeMu is taken by the store while it holds its own mutex. mu is held while the
	// store is called.
	storeMu sync.Mutex
	// storeFaults are the faults of the store since the start; those that have ended
	// are NoFault.
	storeFaults []standin.Fault

	mu sync.Mutex
	// copies are copies of the store from before each of the latest versions.
	copies           []standin.Copy
	configuration    []byte
	version          int
	writtenAt        time.Time
	storeFaultyUntil time.Time
	executions       map[string][]*execution
	rateNamedAt      time.Time
	departures       []departure
	failures         []string
	// stalls are the times in which the test process itself was delayed.
	stalls []string
	calls  []callRecord
}

// execution is the execution of a call by an endpoint.
type execution struct {
	host  *host
	begin time.Time
	// end is zero while the call is executed, and if its response was dropped.
	end time.Time
}

// host is a process of the program under test with its endpoint, and the proxies that
// inject faults into its links and store connections.
type host struct {
	cluster    *cluster
	name       string
	service    string
	addresses  map[string]string
	peerProxy  *proxy
	storeProxy *proxy
	endpoint   *http.Server
	// dropFaults counts the active faults in which the endpoint drops responses.
	dropFaults atomic.Int32
	// rate is the rate of calls that the endpoint names, 0 for none.
	rate atomic.Int64
	// flood is what the endpoint sends in place of responses, nil for none.
	flood atomic.Pointer[flood]
	// endpointStart is the start of the endpoint's incarnation, and sequence that of its
	// announcements, which isSilent suspends.
	endpointStart atomic.Int64
	sequence      atomic.Int64
	isSilent      atomic.Bool
	// hasLeft is set from the departure of an endpoint to its successor.
	hasLeft atomic.Bool
	// processMu serializes starting, stopping and signalling the process.
	// stopExpected is set while the test ends the process.
	processMu    sync.Mutex
	stopExpected atomic.Bool
	startedAt    time.Time
	process      *exec.Cmd
	exited       chan struct{}

	mu sync.Mutex
	// faults are the faults that have affected the host.
	faults []*faultInterval
	// newestVersion is the highest plan version that the process has served.
	newestVersion int
}

// hostLimits are limits of the machines in the settings of the hosts, and of clients in the
// configuration.
type hostLimits struct {
	memoryMB, descriptors int
	// maxBodyBytes replaces the longest body of the configuration of the stand-in when it is
	// not 0.
	maxBodyBytes int
	// withholdsConfiguration is set if no configuration is written at the start.
	withholdsConfiguration bool
}

func newCluster(dir string, random *rand.Rand, hosts int, keyed bool) *cluster {
	return newLimitedCluster(dir, random, hosts, keyed, hostLimits{memoryMB: memoryMB, descriptors: maxDescriptors})
}

func newLimitedCluster(dir string, random *rand.Rand, hosts int, keyed bool, limits hostLimits) *cluster {
	c := &cluster{dir: dir, limits: limits, random: random, keyed: keyed, store: standin.New(), done: make(chan struct{}), executions: map[string][]*execution{}}
	c.store.SetFault(func(string) standin.Fault { return c.activeStoreFault() })
	if !limits.withholdsConfiguration {
		c.writeVersion()
	}
	for i := range hosts {
		h := &host{cluster: c, name: fmt.Sprintf("host-%c", 'a'+i), service: services[i%2], addresses: map[string]string{}}
		pid := os.Getpid()
		for offset, name := range []string{"endpoint", "calls", "peers", "ready", "announcements", "metrics", "advertised", "store"} {
			h.addresses[name] = fmt.Sprintf("127.%d.%d.%d:%d", 128+pid>>16&63, pid>>8&255, pid&255, firstPort+portsPerHost*i+offset)
		}
		h.endpointStart.Store(standin.EndpointStart)
		h.peerProxy = newProxy(h.addresses["advertised"], h.addresses["peers"])
		h.storeProxy = newProxy(h.addresses["store"], c.store.Address())
		h.endpoint = &http.Server{Addr: h.addresses["endpoint"], Handler: http.HandlerFunc(h.serveEndpoint)}
		listener, err := net.Listen("tcp", h.endpoint.Addr)
		if err != nil {
			panic(err)
		}
		go func() { _ = h.endpoint.Serve(listener) }() // Serve returns when close closes the server.
		c.hosts = append(c.hosts, h)
		h.start()
		go h.announce()
	}
	return c
}

func (c *cluster) close() {
	close(c.done)
	for _, h := range c.hosts {
		h.kill()
		_ = h.endpoint.Close()
		h.peerProxy.close()
		h.storeProxy.close()
	}
	c.store.Close()
}

// fail records a failure and returns all failures so far.
func (c *cluster) fail(format string, args ...any) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
	return c.failures
}

const (
	stallInterval = 50 * time.Millisecond
	minStall      = 200 * time.Millisecond
)

// recordStalls records when a timer of the test process fires late. Failures at these
// times may be those of a busy machine.
func (c *cluster) recordStalls() {
	for {
		started := time.Now()
		select {
		case <-c.done:
			return
		case <-time.After(stallInterval):
		}
		if delay := time.Since(started) - stallInterval; delay > minStall {
			c.mu.Lock()
			c.stalls = append(c.stalls, fmt.Sprintf("%s for %v", started.UTC().Format("15:04:05.000"), delay.Round(time.Millisecond)))
			c.mu.Unlock()
		}
	}
}

// writeVersion writes the next version of the configuration to the store. Its
// route versionPath exists in this version only.
func (c *cluster) writeVersion() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies = append(c.copies[max(0, len(c.copies)-maxCopies+1):], c.store.Copy())
	c.version++
	c.configuration = standin.ConfigWithWorkspaces(c.version, c.workspaces(),
		standin.Route{Path: "one", Service: "one"}, standin.Route{Path: "two", Service: "two"},
		standin.Route{Path: "once-one", Service: "one", AtMostOnce: true}, standin.Route{Path: "once-two", Service: "two", AtMostOnce: true},
		standin.Route{Path: versionPath(c.version), Service: "one"},
	)
	if c.limits.maxBodyBytes != 0 {
		c.configuration = standin.WithMaxBody(c.configuration, c.limits.maxBodyBytes)
	}
	c.store.Write(platform.ConfigKey, c.configuration)
	c.writtenAt = time.Now()
}

// restoreStore restores the store from a copy that lacks the latest versions. The
// operator writes the newest one again.
func (c *cluster) restoreStore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Restore(c.copies[0], standin.Entry{Key: platform.ConfigKey, Value: c.configuration})
}

func versionPath(version int) string { return fmt.Sprintf("v%d", version) }

func (c *cluster) newestVersion() (version int, writtenAt, storeFaultyUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.writtenAt, c.storeFaultyUntil
}

// serveCall is the handler of the endpoint. It records the executions of each call and
// responds with the call's ID, the service and the size of the request body. A path
// such as /one/300/20000 sets the service time in milliseconds and the number of bytes
// that are added to the response.
func (h *host) serveCall(rw http.ResponseWriter, r *http.Request, id, _ string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // A call whose body is truncated is not executed.
	}
	if f := h.flood.Load(); f != nil {
		f.send(rw, id)
		return
	}
	h.checkWorkspace(r, id)
	e := &execution{host: h, begin: time.Now()}
	h.cluster.mu.Lock()
	h.cluster.executions[id] = append(h.cluster.executions[id], e)
	h.cluster.mu.Unlock()
	serviceTime, bytes := 10+rand.IntN(60), 0
	_, _ = fmt.Sscanf(r.URL.Path, "/"+h.service+"/%d/%d", &serviceTime, &bytes) // Other calls keep the defaults.
	time.Sleep(time.Duration(serviceTime) * time.Millisecond)
	if h.dropFaults.Load() > 0 && rand.IntN(3) == 0 {
		panic(http.ErrAbortHandler)
	}
	if rate := h.rate.Load(); rate != 0 {
		standin.NameRate(rw.Header(), strconv.FormatInt(rate, 10))
	}
	response := fmt.Sprintf("%s %s %d%s", id, h.service, len(body), strings.Repeat(".", bytes))
	if bytes%2 == 0 {
		rw.Header().Set("Content-Length", strconv.Itoa(len(response))) // Others are sent in chunks if they are long.
	}
	if _, err := io.WriteString(rw, response); err != nil {
		return // The host has closed the connection.
	}
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	e.end = time.Now()
}

const settingsFormat = `[host]
name = %s
failure-domain = d
memory-mb = %d
max-descriptors = %d
link-mbps = 100
[endpoint]
service = %s
address = %s
[listen]
calls = %s
peers = %s
peers-advertised = %s
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

// start starts the process. The caller holds processMu unless no other goroutine
// uses the host yet.
func (h *host) start() {
	path := filepath.Join(h.cluster.dir, h.name+".ini")
	addresses := h.addresses
	text := fmt.Sprintf(settingsFormat, h.name, h.cluster.limits.memoryMB, h.cluster.limits.descriptors, h.service, addresses["endpoint"], addresses["calls"], addresses["peers"], addresses["advertised"], addresses["ready"], addresses["announcements"], addresses["metrics"], addresses["store"])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	logFile, err := os.OpenFile(filepath.Join(h.cluster.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	h.stopExpected.Store(false)
	h.startedAt = time.Now()
	process, exited := exec.Command(hostBinary, path), make(chan struct{})
	process.Stdout, process.Stderr = logFile, logFile
	if err := process.Start(); err != nil {
		panic(err)
	}
	go func() {
		_ = process.Wait()  // The exit status is read from ProcessState.
		_ = logFile.Close() // The process has ended and writes no more.
		if !h.stopExpected.Load() {
			h.cluster.fail("%s exited unexpectedly: %v", h.name, process.ProcessState)
		}
		close(exited)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.exited, h.newestVersion = process, exited, 0
}

func (h *host) signal(s syscall.Signal) {
	_ = h.process.Process.Signal(s) // The exit of the process is observed through exited.
}

func (h *host) kill() {
	h.processMu.Lock()
	defer h.processMu.Unlock()
	h.stopExpected.Store(true)
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// serveEndpoint serves calls and health checks.
func (h *host) serveEndpoint(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == standin.HealthPath {
		standin.AnswerHealth(rw, "i-"+h.name, h.hasLeft.Load())
		return
	}
	standin.EndpointHandler(h.serveCall).ServeHTTP(rw, r)
}

// announce sends the heartbeat of the endpoint to its host twice a second.
func (h *host) announce() {
	for {
		if !h.isSilent.Load() {
			h.post(h.heartbeat("ready"))
		}
		select {
		case <-h.cluster.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// faultInterval is the time during which a fault affected a host.
type faultInterval struct {
	// planned is set for a stop by SIGTERM.
	planned bool
	begin   time.Time
	// end is zero while the fault is active.
	end time.Time
}

// beginFault records a fault as active until the returned function is called.
func (h *host) beginFault(planned bool) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fault := &faultInterval{planned: planned, begin: time.Now()}
	h.faults = append(h.faults, fault)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		fault.end = time.Now()
	}
}

// hadNoFault reports whether no fault affected the host between two times. Planned
// stops count as faults only if includePlannedStops is set.
func (h *host) hadNoFault(from, to time.Time, includePlannedStops bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.faults, func(f *faultInterval) bool {
		return (!f.planned || includePlannedStops) && !f.begin.After(to) && (f.end.IsZero() || !f.end.Before(from))
	})
}
