package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployment is a small deployment: hosts of the project, the store and the record.
type deployment struct {
	dir    string
	binary string
	store  *store
	record *record
	hosts  []*host
}

// host is a process of the deploy file and the addresses in its settings.
type host struct {
	d                                          *deployment
	name, zone, service                        string
	app, calls, peers, ready, control, metrics string
	memoryMB                                   int
	linkMbps                                   float64
	process                                    *exec.Cmd
	exited                                     chan struct{}
	starts                                     int
	// template is the text of deploy/host.ini.
	template string
}

func newDeployment(binary, out string) *deployment {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	d := &deployment{dir: dir, binary: binary, store: newStore(), record: newRecord(filepath.Join(out, "record.txt"))}
	atExit = d.close
	return d
}

// freeAddress returns an address whose port is free, on a loopback address of this process.
func freeAddress() string {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (d *deployment) addHost(zone, service string) *host {
	h := &host{d: d, name: fmt.Sprintf("sidecar-%s-%d", zone, len(d.hosts)+1), zone: zone, service: service, memoryMB: 284, linkMbps: 1000}
	for _, a := range []*string{&h.app, &h.calls, &h.peers, &h.ready, &h.control, &h.metrics} {
		*a = freeAddress()
	}
	text, err := os.ReadFile("deploy/host.ini")
	check(err)
	h.template = string(text)
	d.hosts = append(d.hosts, h)
	return h
}

// settings fills in deploy/host.ini as the platform does, without the optional bounds.
func (h *host) settings() string {
	text := h.template
	for {
		i := strings.Index(text, "{{#")
		if i < 0 {
			break
		}
		name := text[i+3 : i+strings.Index(text[i:], "}}")]
		end := strings.Index(text, "{{/"+name+"}}")
		text = text[:i] + text[end+len("{{/"+name+"}}"):]
	}
	ip, port, _ := net.SplitHostPort(h.metrics)
	replacer := strings.NewReplacer(
		"{{node-name}}", h.name, "{{zone}}", h.zone, "{{limits.memory-mb}}", fmt.Sprint(h.memoryMB), "{{limits.link-mbps}}", fmt.Sprint(h.linkMbps),
		"{{limits.max-fds}}", "4100", "{{service}}", h.service, "{{app-addr}}", h.app, "{{listen.outbound}}", h.calls, "{{listen.inbound}}", h.peers,
		"{{listen.ready}}", h.ready, "{{listen.control}}", h.control, "{{ip}}", ip, "{{port-range.0}}", port,
		"{{provider.address}}", h.d.store.address, "{{provider.writes-per-s}}", "400", "{{bounds.grace-s}}", "6", "{{bounds.config-apply-ms}}", "2000",
		"{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.budget-slack}}", "58", "{{bounds.budget-window-s}}", "10",
	)
	return replacer.Replace(text)
}

func (h *host) start() {
	path := filepath.Join(h.d.dir, h.name+".ini")
	check(os.WriteFile(path, []byte(h.settings()), 0o600))
	h.starts++
	log, err := os.Create(filepath.Join(h.d.dir, fmt.Sprintf("%s.%d.log", h.name, h.starts)))
	check(err)
	h.process = exec.Command(h.d.binary, path)
	h.process.Stdout, h.process.Stderr = log, log
	check(h.process.Start())
	exited, process := make(chan struct{}), h.process
	h.exited = exited
	go func() {
		_ = process.Wait() // The state is read after exited is closed.
		_ = log.Close()
		close(exited)
	}()
	h.d.record.add("host %s started, process %d", h.name, h.process.Process.Pid)
}

func (h *host) signal(s syscall.Signal) {
	h.d.record.add("host %s gets %s", h.name, s)
	_ = h.process.Process.Signal(s) // The process may have ended.
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + wire.Readiness)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(limit time.Duration) bool {
	return await(limit, func() bool {
		for _, h := range d.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
}

func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// close ends the processes of the deployment. With KEEP set, their logs stay.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.process != nil {
			_ = h.process.Process.Kill() // It may have ended.
			<-h.exited
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir) // Files left in the temporary folder are harmless.
}
