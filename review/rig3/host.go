package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is a process of the program under test, with the proxies in front of it.
type host struct {
	rig     *rig
	name    string
	domain  string
	service string
	// Addresses of the process, of its endpoint, and of the proxies to the process and to
	// the store.
	endpoint, calls, peers, ready, announcements, metrics, advertised, store string
	peerProxy, storeProxy                                                    *proxy
	command                                                                  *exec.Cmd
	ended                                                                    chan struct{}
}

// firstPort is below the ports that the kernel gives to outgoing connections.
const firstPort = 10000

// freeAddress returns a loopback address with a port that nothing uses.
func (r *rig) freeAddress() string {
	pid := os.Getpid()
	for ; r.ports < 20000; r.ports++ {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, firstPort+r.ports)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			r.ports++
			return address
		}
	}
	abandon(fmt.Errorf("no free port"))
	return ""
}

func (r *rig) newHost(name, domain, service string) *host {
	h := &host{rig: r, name: name, domain: domain, service: service}
	for _, address := range []*string{&h.endpoint, &h.calls, &h.peers, &h.ready, &h.announcements, &h.metrics, &h.advertised, &h.store} {
		*address = r.freeAddress()
	}
	h.peerProxy = newProxy(h.advertised, h.peers)
	h.storeProxy = newProxy(h.store, r.kv.Address())
	text := fmt.Sprintf(`[host]
name = %s
failure-domain = %s
memory-mb = 284
link-mbps = 1000
max-descriptors = 4100

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
writes-per-s = 400

[bounds]
drain-s = 6
plan-deadline-ms = 2000
repeat-ratio = 0.2
repeat-slack = 58
repeat-window-s = 10
`, name, domain, service, h.endpoint, h.calls, h.peers, h.advertised, h.ready, h.announcements, h.metrics, h.store)
	text += r.extraBounds
	if err := os.WriteFile(h.settings(), []byte(text), 0o600); err != nil {
		abandon(err)
	}
	r.hosts = append(r.hosts, h)
	return h
}

func (h *host) settings() string { return filepath.Join(h.rig.dir, h.name+".ini") }

// start starts the process with the command of the deploy file.
func (h *host) start() {
	output, err := os.OpenFile(filepath.Join(h.rig.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		abandon(err)
	}
	c := exec.Command("target/geraniumnotch-host", h.settings())
	c.Stdout, c.Stderr = output, output
	// The process ends with the rig whatever happens to it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		abandon(err)
	}
	ended := make(chan struct{})
	h.command, h.ended = c, ended
	h.rig.log("process of %s started, %d", h.name, c.Process.Pid)
	go func() {
		_ = c.Wait() // The status of a killed process says nothing.
		_ = output.Close()
		close(ended)
	}()
}

// kill ends the process with SIGKILL.
func (h *host) kill() {
	_ = h.command.Process.Kill() // It may have ended.
	<-h.ended
	h.rig.log("process of %s killed", h.name)
}

// awaitReady waits until the readiness check of the host succeeds.
func (h *host) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + wire.Readiness)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	abandon(fmt.Errorf("%s is not ready after %s", h.name, limit))
}
