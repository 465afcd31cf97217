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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

const (
	// settleTime is the time in which all is to be served again. The users give
	// 15 s after a loss of everything.
	settleTime = 15 * time.Second
	// stopTime is the time from a stop signal to the end of the process, after
	// which the platform kills it.
	stopTime = 6 * time.Second
	// calmTime is the time without harm after which the bounds of a host hold.
	calmTime = 3 * time.Second
	// planTime is the time within which a plan is to be in force.
	planTime = 2 * time.Second
	// startTime is how long a process may take to listen on a busy machine.
	startTime               = 5 * time.Second
	firstPort, portsPerHost = 10000, 10
)

var services = []string{"one", "two"}

// world is a few hosts, their endpoints and the store.
type world struct {
	dir    string
	random *rand.Rand
	store  *standin.Store
	hosts  []*host
	done   chan struct{}

	mu       sync.Mutex
	version  int
	written  time.Time
	storeBad time.Time
	runs     map[string]int
	problems []string
	calls    []callRecord
}

type host struct {
	w        *world
	name     string
	service  string
	address  map[string]string
	peers    *proxy
	toStore  *proxy
	endpoint *http.Server
	drops    atomic.Bool
	// life guards the process. ending is set while its end is wanted.
	life    sync.Mutex
	ending  atomic.Bool
	started time.Time
	process *exec.Cmd
	exited  chan struct{}

	mu sync.Mutex
	// planned and broken are the planned stops and the other harm of the host.
	planned, broken harmCount
	// newest is the highest version that the process has shown.
	newest int
}

func newWorld(dir string, random *rand.Rand) *world {
	w := &world{dir: dir, random: random, store: standin.New(), done: make(chan struct{}), runs: map[string]int{}}
	w.newVersion()
	for i := range 4 {
		h := &host{w: w, name: fmt.Sprintf("host-%c", 'a'+i), service: services[i%2], address: map[string]string{}}
		pid := os.Getpid()
		for use, name := range []string{"endpoint", "calls", "peers", "ready", "announcements", "metrics", "advertised", "store"} {
			h.address[name] = fmt.Sprintf("127.%d.%d.%d:%d", 128+pid>>16&63, pid>>8&255, pid&255, firstPort+portsPerHost*i+use)
		}
		h.peers = newProxy(h.address["advertised"], h.address["peers"])
		h.toStore = newProxy(h.address["store"], w.store.Address())
		h.endpoint = &http.Server{Addr: h.address["endpoint"], Handler: standin.Endpoint(h.answer)}
		l, err := net.Listen("tcp", h.endpoint.Addr)
		if err != nil {
			panic(err)
		}
		go func() { _ = h.endpoint.Serve(l) }() // Ends in close.
		w.hosts = append(w.hosts, h)
		h.start()
		go h.announce()
	}
	return w
}

func (w *world) close() {
	close(w.done)
	for _, h := range w.hosts {
		h.kill()
		_ = h.endpoint.Close()
		h.peers.close()
		h.toStore.close()
	}
	w.store.Close()
}

func (w *world) fail(format string, args ...any) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
	return w.problems
}

// newVersion writes a configuration with a route that only this version has.
func (w *world) newVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Write(platform.ConfigKey, standin.ConfigOf(w.version,
		standin.Route{Path: "one", Service: "one"}, standin.Route{Path: "two", Service: "two"},
		standin.Route{Path: "once-one", Service: "one", Once: true}, standin.Route{Path: "once-two", Service: "two", Once: true},
		standin.Route{Path: versionPath(w.version), Service: "one"},
	))
	w.written = time.Now()
}

func versionPath(version int) string { return fmt.Sprintf("v%d", version) }

func (w *world) newest() (version int, written, storeBad time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.written, w.storeBad
}

// answer is the endpoint: it counts runs and answers with what was asked.
func (h *host) answer(rw http.ResponseWriter, r *http.Request, id, _ string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // A body that breaks off is not run.
	}
	h.w.mu.Lock()
	h.w.runs[id]++
	h.w.mu.Unlock()
	time.Sleep(time.Duration(10+rand.IntN(60)) * time.Millisecond)
	if h.drops.Load() && rand.IntN(3) == 0 {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(rw, "%s %s %d", id, h.service, len(body)) // The client sees what is missing.
}

const settings = `[host]
name = %s
failure-domain = d
memory-mb = 200
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

// start starts the process. The life lock is held, or nothing else runs yet.
func (h *host) start() {
	path := filepath.Join(h.w.dir, h.name+".ini")
	a := h.address
	text := fmt.Sprintf(settings, h.name, h.service, a["endpoint"], a["calls"], a["peers"], a["advertised"], a["ready"], a["announcements"], a["metrics"], a["store"])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	h.ending.Store(false)
	h.started = time.Now()
	process, exited := exec.Command(program, path), make(chan struct{})
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		panic(err)
	}
	go func() {
		_ = process.Wait() // The exit status is read from the process.
		_ = log.Close()    // Nothing more is written.
		if !h.ending.Load() {
			h.w.fail("%s ended by itself: %v", h.name, process.ProcessState)
		}
		close(exited)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.exited, h.newest = process, exited, 0
}

func (h *host) signal(s syscall.Signal) {
	_ = h.process.Process.Signal(s) // A process that has ended is noticed by its exit.
}

func (h *host) kill() {
	h.life.Lock()
	defer h.life.Unlock()
	h.ending.Store(true)
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// announce sends what an endpoint says of itself twice a second.
func (h *host) announce() {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		path, body := standin.Heartbeat("i-"+h.name, h.address["endpoint"], h.service, "d", "ready", sequence)
		if r, err := client.Post("http://"+h.address["announcements"]+path, "application/json", strings.NewReader(body)); err == nil {
			_ = r.Body.Close() // Nothing is read from it.
		}
		select {
		case <-h.w.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// harmCount counts harm that lasts, and notes when the last one ended.
type harmCount struct {
	lasting int
	ended   time.Time
}

func (h *host) count(c *harmCount, by int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.lasting += by
	c.ended = time.Now()
}

// harm notes harm until the returned function is called.
func (h *host) harm(c *harmCount) (end func()) {
	h.count(c, 1)
	return func() { h.count(c, -1) }
}

// calmSince reports whether no harm has come to the host since the time, planned
// stops aside unless they count too.
func (h *host) calmSince(t time.Time, plannedToo bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	calm := func(c harmCount) bool { return c.lasting == 0 && c.ended.Before(t) }
	return calm(h.broken) && (calm(h.planned) || !plannedToo)
}
