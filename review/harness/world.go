package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// Bounds of the deployments (SYSTEM.md).
const (
	drainTime     = 2 * time.Second
	contactTime   = 3 * time.Second
	graceTime     = 6 * time.Second
	configTime    = 2 * time.Second
	heartbeatTime = 1500 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	// leadTime is the time from the start of the machines to the start of traffic.
	leadTime = 8 * time.Second
)

// routeHost is the host name of all routes.
const routeHost = "shop.example"

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service string
	timeout, target       time.Duration
}

// configuration returns the operator's configuration as the store holds it.
func configuration(version int, routes ...route) []byte {
	var entries, services []map[string]any
	seen := map[string]bool{}
	for i, r := range routes {
		entries = append(entries, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": routeHost, "path-prefix": r.prefix, wire.RouteKind: r.kind, "timeout-ms": r.timeout.Milliseconds(),
			"target-latency-ms": r.target.Milliseconds(), "priority": i, "service": r.service, "max-attempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health-path": "/health", "max-connections": 110})
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": entries, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 64 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
	})
	check(err)
	return value
}

// errCannotRun is the cause of a panic when a case cannot run.
type errCannotRun struct{ error }

func check(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

// world is a small deployment: the store, the machines and what happened.
type world struct {
	dir      string
	started  time.Time
	store    *standin.Store
	machines []*machine
	workers  []*worker

	mu     sync.Mutex
	record *os.File
	runs   map[string][]run
}

func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	record, err := os.Create(recordPath)
	check(err)
	return &world{dir: dir, started: time.Now(), store: standin.New(), record: record, runs: map[string][]run{}}
}

// close ends everything that the world has started.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	for _, s := range w.workers {
		s.crash()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// since returns the time since the start.
func (w *world) since(t time.Time) time.Duration { return t.Sub(w.started).Round(time.Millisecond) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf("%9.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// firstPort is the first port of a machine's listeners.
const firstPort = 21000

// addresses returns free addresses. Each machine has a loopback address of its own, so that
// no outgoing connection takes a port while nobody listens on it.
func (w *world) addresses(n int) []string {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, 10+len(w.machines))
	var free []string
	for port := firstPort; len(free) < n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		check(l.Close())
		free = append(free, l.Addr().String())
	}
	return free
}

// machine is a machine with a process of the program under test.
type machine struct {
	world          *world
	name, zone     string
	service        string
	app            string
	outbound       string
	inbound        string
	advertised     string
	ready, control string
	metrics        string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// addMachine returns a machine whose process has not been started.
func (w *world) addMachine(name, zone, service string) *machine {
	free := w.addresses(6)
	m := &machine{
		world: w, name: name, zone: zone, service: service, app: free[0], outbound: free[1], inbound: free[2],
		ready: free[3], control: free[4], metrics: free[5],
	}
	m.advertised = m.inbound
	w.machines = append(w.machines, m)
	return m
}

// templateSection matches a section of the template, whose values the harness lacks.
var templateSection = regexp.MustCompile(`(?s)\{\{#.*?\{\{/[^}]*\}\}\n?`)

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings() string {
	template, err := os.ReadFile("deploy/host.ini")
	check(err)
	host, port, err := net.SplitHostPort(m.metrics)
	check(err)
	text := strings.NewReplacer(
		"{{node-name}}", m.name, "{{zone}}", m.zone, "{{limits.memory-mb}}", "284", "{{limits.link-mbps}}", "1000",
		"{{service}}", m.service, "{{app-addr}}", m.app, "{{listen.outbound}}", m.outbound, "{{listen.inbound}}", m.inbound,
		"{{listen.ready}}", m.ready, "{{listen.control}}", m.control, "{{ip}}", host, "{{port-range.0}}", port,
		"{{provider.address}}", m.world.store.Address(), "{{provider.writes-per-s}}", "400", "{{bounds.grace-s}}", "6",
		"{{bounds.config-apply-ms}}", "2000", "{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.budget-slack}}", "58", "{{bounds.budget-window-s}}", "10",
	).Replace(templateSection.ReplaceAllString(string(template), ""))
	if m.advertised != m.inbound {
		text = strings.Replace(text, "peers = "+m.inbound, "peers = "+m.inbound+"\npeers-advertised = "+m.advertised, 1)
	}
	path := filepath.Join(m.world.dir, m.name+".ini")
	check(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start starts the process of the machine.
func (m *machine) start() {
	path := m.writeSettings()
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	process, exited := exec.Command("target/geraniumnotch-host", path), make(chan struct{})
	process.Stdout, process.Stderr = log, log
	check(process.Start())
	m.world.say("%s: process %d started", m.name, process.Process.Pid)
	go func() {
		_ = process.Wait() // The exit status is in ProcessState.
		_ = log.Close()
		m.world.say("%s: process %d ended: %v", m.name, process.Process.Pid, process.ProcessState)
		close(exited)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.exited = process, exited
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.world.say("%s: signal %v", m.name, s)
		_ = m.process.Process.Signal(s) // It may have ended.
	}
}

// awaitExit waits for the end of the process and kills it after the grace time.
func (m *machine) awaitExit() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-exited
	}
}

func (m *machine) kill() {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill() // It may have ended.
	<-exited
}
