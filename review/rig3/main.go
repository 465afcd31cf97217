// Command rig3 plays the cases of a review against processes of geraniumnotch-host, on
// loopback addresses: rig3 CASE FOLDER. It exits with 1 if a rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// rig is a small deployment.
type rig struct {
	dir     string
	record  *os.File
	began   time.Time
	kv      *standin.Store
	hosts   []*host
	trouble bool
	// extraBounds is added to the bounds in the settings of the hosts.
	extraBounds string
	// ports is the number of ports that have been tried.
	ports int

	mu sync.Mutex
}

var current *rig

// abandon ends a case that could not run.
func abandon(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if current != nil {
		current.log("could not run: %v", err)
		current.close()
	}
	os.Exit(2)
}

var cases = map[string]func(*rig) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		abandon(err)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		abandon(err)
	}
	r := &rig{dir: dir, record: record, began: time.Now(), kv: standin.New(), trouble: os.Getenv("TROUBLE") != "0"}
	current = r
	time.AfterFunc(110*time.Second, func() { abandon(fmt.Errorf("no end after 110 s")) })
	broken := cases[os.Args[1]](r)
	r.log("rule broken: %t", broken)
	r.close()
	fmt.Println("rule broken:", broken)
	if broken {
		os.Exit(1)
	}
}

// close ends the processes.
func (r *rig) close() {
	for _, h := range r.hosts {
		if h.command != nil {
			_ = h.command.Process.Kill() // It may have ended.
			<-h.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// log writes a line to the record.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // The exit status counts.
}

// route is a route of the configuration: calls below /Path/ go to Service.
type route struct{ path, kind, service string }

// configure writes a configuration as the operator does.
func (r *rig) configure(version, timeoutMs int, routes ...route) {
	entries, services := []map[string]any{}, []map[string]any{}
	seen := map[string]bool{}
	for _, x := range routes {
		entries = append(entries, map[string]any{
			"name": "r-" + x.path, "host": "h.example", "path-prefix": "/" + x.path + "/", wire.RouteType: x.kind, "timeout-ms": timeoutMs,
			"target-latency-ms": 500, "priority": 0, "service": x.service, "max-attempts": 2,
		})
		if !seen[x.service] {
			seen[x.service] = true
			services = append(services, map[string]any{"name": x.service, "health-path": "/health", "max-connections": 110})
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": entries, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 8 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		abandon(err)
	}
	r.kv.Write("op/config", value)
	r.log("configuration %d acknowledged", version)
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error
}

// client sends requests to the calls address of a host over kept connections.
type client struct {
	host *host
	http *http.Client
}

func (h *host) newClient() *client {
	return &client{h, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// send sends a request once and waits for its answer.
func (c *client) send(method, path, id string, body io.Reader, deadline time.Duration) answer {
	request, err := http.NewRequest(method, "http://"+c.host.calls+path, body)
	if err != nil {
		abandon(err)
	}
	request.Host = "h.example"
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, fmt.Sprint(deadline.Milliseconds()))
	c.host.rig.log("client of %s sends %s", c.host.name, id)
	client := *c.http
	client.Timeout = deadline + 500*time.Millisecond
	response, err := client.Do(request)
	a := answer{err: err}
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a = answer{response.StatusCode, string(text), readErr}
	}
	c.host.rig.log("client of %s got %d for %s %v", c.host.name, a.status, id, a.err)
	return a
}
