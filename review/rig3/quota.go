package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["quota-cut"] = quotaCut }

// Quota of the tenant and the bounds of the site.
const (
	quotaRate    = 200.0
	quotaBurst   = 20.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

// configureTenant writes a configuration in which one tenant has a quota.
func (r *rig) configureTenant() {
	value, err := json.Marshal(map[string]any{
		"version": "00000001",
		"routes": []map[string]any{{
			"name": "r-one", "host": "h.example", "path-prefix": "/one/", wire.RouteType: "safe", "timeout-ms": 2000,
			"target-latency-ms": 800, "priority": 0, "service": "one", "max-attempts": 2,
		}},
		"services": []map[string]any{{"name": "one", "health-path": "/health", "max-connections": 450}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 8 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant", "api-keys": []string{"key"}, "rate-per-s": quotaRate, "burst": quotaBurst}},
	})
	if err != nil {
		abandon(err)
	}
	r.kv.Write("op/config", value)
	r.log("configuration 1 acknowledged")
}

// tenantLoad is what the clients of a tenant have sent.
type tenantLoad struct {
	next    atomic.Int64
	mu      sync.Mutex
	sent    map[string]time.Time
	answers map[string]map[int]int
}

// press has the clients of a host send requests at a steady rate until stop is set.
func (l *tenantLoad) press(h *host, perSecond float64, stop *atomic.Bool, wait *sync.WaitGroup) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for !stop.Load() {
		<-ticker.C
		wait.Go(func() {
			id := fmt.Sprintf("%s-%d", h.name, l.next.Add(1))
			request, err := http.NewRequest(http.MethodPost, "http://"+h.calls+"/one/x", nil)
			if err != nil {
				abandon(err)
			}
			request.Host = "h.example"
			request.Header.Set(wire.RequestID, id)
			request.Header.Set(wire.Deadline, "1500")
			request.Header.Set(wire.Credential, "key")
			sentAt := time.Now()
			l.mu.Lock()
			l.sent[id] = sentAt
			l.mu.Unlock()
			status := 0
			if response, err := client.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body) // Only the status counts.
				_ = response.Body.Close()
				status = response.StatusCode
			}
			h.rig.log("client of %s sent %s at %.3f and got %d", h.name, id, sentAt.Sub(h.rig.began).Seconds(), status)
			l.mu.Lock()
			l.answers[h.name][status]++
			l.mu.Unlock()
		})
	}
}

// quotaCut: two hosts of three are stopped and started in turn, and the zone of the third is
// cut off meanwhile. A tenant asks for more than its quota at all of them.
func quotaCut(r *rig) bool {
	r.extraBounds = fmt.Sprintf("quota-window-s = %g\nquota-overage = %g\nquota-slack = %g\nexposure-share = 0.1\nexposure-slack = 50\n", quotaWindow.Seconds(), quotaOverage, quotaSlack)
	a, b, c := r.newHost("host-a", "z1", "one"), r.newHost("host-b", "z2", "one"), r.newHost("host-c", "z3", "one")
	r.configureTenant()
	var workers []*worker
	for i, h := range r.hosts {
		h.start()
		w := h.newWorker(fmt.Sprintf("w-%d", i))
		w.work = 10 * time.Millisecond
		workers = append(workers, w)
	}
	for _, h := range r.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	load := &tenantLoad{sent: map[string]time.Time{}, answers: map[string]map[int]int{}}
	var stop atomic.Bool
	var pressing, wait sync.WaitGroup
	for _, h := range r.hosts {
		load.answers[h.name] = map[int]int{}
		pressing.Go(func() { load.press(h, 250, &stop, &wait) })
	}
	time.Sleep(6 * time.Second)

	var restarts sync.WaitGroup
	for _, h := range []*host{b, c} {
		restarts.Go(func() { h.restartGracefully() })
		time.Sleep(1300 * time.Millisecond)
	}
	if r.trouble {
		r.log("zone z1 is cut off from the others")
		r.cutLinks(a, true)
	}
	time.Sleep(5500 * time.Millisecond)
	if r.trouble {
		r.cutLinks(a, false)
		r.log("the cut has ended")
	}
	restarts.Wait()
	time.Sleep(5 * time.Second)
	stop.Store(true)
	pressing.Wait()
	wait.Wait()
	return load.judge(r, workers)
}

// cutLinks cuts a host off from all other hosts, or ends that.
func (r *rig) cutLinks(h *host, isCut bool) {
	h.peerProxy.cut("", isCut)
	for _, other := range r.hosts {
		if other != h {
			other.peerProxy.cut(h.name, isCut)
		}
	}
}

// restartGracefully stops the process with SIGTERM, as the platform does, and starts it.
func (h *host) restartGracefully() {
	h.rig.log("SIGTERM to %s", h.name)
	_ = h.command.Process.Signal(syscall.SIGTERM) // It may have ended.
	select {
	case <-h.ended:
	case <-time.After(6 * time.Second):
		h.kill()
	}
	time.Sleep(300 * time.Millisecond)
	h.start()
}

// judge checks the rule in all windows that begin with a request.
func (l *tenantLoad) judge(r *rig, workers []*worker) bool {
	type executed struct{ sent, ran time.Time }
	var all []executed
	for _, w := range workers {
		for _, x := range w.runs {
			all = append(all, executed{l.sent[x.id], x.at})
		}
	}
	slices.SortFunc(all, func(x, y executed) int { return x.sent.Compare(y.sent) })
	most, at := 0, time.Time{}
	for i, first := range all {
		n := 0
		for _, x := range all[i:] {
			if x.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if x.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	text := fmt.Sprintf("most in a window: %d from %.3f s on, %.0f allowed; answers %v", most, at.Sub(r.began).Seconds(), allowed, l.answers)
	r.log("%s", text)
	fmt.Println(text)
	return float64(most) > allowed
}
