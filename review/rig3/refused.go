package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["refused-message"] = refusedMessage }

const (
	// quotaPeriod and quotaRun are the period of a processor quota and the part of it in
	// which the core runs.
	quotaPeriod = 100 * time.Millisecond
	quotaRun    = 32 * time.Millisecond
	// viewInterval is the time between two bursts of viewBurst views of the tenants.
	viewInterval = 2 * time.Millisecond
	viewBurst    = 6
	// orderInterval is the time between two orders, orderWork how long a worker is at work on
	// one, and orderDeadline its deadline.
	orderInterval = 40 * time.Millisecond
	orderWork     = time.Second
	orderDeadline = 4 * time.Second
)

// order is what is known of a request that must not be repeated.
type order struct {
	id                        string
	sent, ran, done, answered time.Time
	status                    int
}

// refusedMessage: a host is stopped while its tenants ask for more than the workers of other
// hosts can do. The cores of these hosts have a quota.
func refusedMessage(r *rig) bool {
	r.extraBounds = "quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\nexposure-share = 0.1\nexposure-slack = 50\n"
	a := r.newHost("host-a", "z1", "front")
	desks := []*host{r.newHost("host-b", "z2", "desk"), r.newHost("host-c", "z3", "desk"), r.newHost("host-d", "z1", "desk"), r.newHost("host-e", "z2", "desk")}
	r.configureTenants()
	var mu sync.Mutex
	orders := map[string]*order{}
	for i, h := range r.hosts {
		h.start()
		w := h.newWorker(fmt.Sprintf("w-%d", i))
		w.serve = func(rw http.ResponseWriter, request *http.Request) {
			id := request.Header.Get(wire.RequestID)
			mu.Lock()
			x := orders[id]
			if x != nil {
				x.ran = time.Now()
			}
			mu.Unlock()
			work := time.Duration(20+rand.IntN(60)) * time.Millisecond
			if x != nil {
				work = orderWork
			}
			time.Sleep(work)
			if x != nil {
				mu.Lock()
				x.done = time.Now()
				mu.Unlock()
			}
			rw.Header().Set(wire.Stamp, "stamp-"+id)
			_, _ = io.WriteString(rw, id) // The caller may have left.
		}
	}
	for _, h := range r.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)

	var stop, end atomic.Bool
	var quotas sync.WaitGroup
	if r.trouble {
		r.log("the cores of the other hosts have a quota of %s in %s", quotaRun, quotaPeriod)
		for _, h := range desks {
			quotas.Go(func() { h.limitProcessor(&end) })
		}
	}
	var wait sync.WaitGroup
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	send := func(path, key, id string, deadline time.Duration) int {
		request, err := http.NewRequest(http.MethodPost, "http://"+a.calls+path, nil)
		if err != nil {
			abandon(err)
		}
		request.Host = "h.example"
		request.Header.Set(wire.RequestID, id)
		request.Header.Set(wire.Deadline, fmt.Sprint(deadline.Milliseconds()))
		request.Header.Set(wire.Credential, key)
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, response.Body) // Only the status counts.
		_ = response.Body.Close()
		return response.StatusCode
	}
	wait.Go(func() {
		for i := 0; !stop.Load(); i++ {
			time.Sleep(viewInterval)
			for n := range viewBurst {
				wait.Go(func() {
					key := []string{"key-high", "key-low"}[rand.IntN(2)]
					send("/views/x", key, fmt.Sprintf("view-%d-%d", i, n), time.Duration(210+rand.IntN(100))*time.Millisecond)
				})
			}
		}
	})
	wait.Go(func() {
		for i := 0; !stop.Load(); i++ {
			time.Sleep(orderInterval)
			x := &order{id: fmt.Sprintf("order-%d", i), sent: time.Now()}
			mu.Lock()
			orders[x.id] = x
			mu.Unlock()
			wait.Go(func() {
				status := send("/orders/x", "key-high", x.id, orderDeadline)
				mu.Lock()
				defer mu.Unlock()
				x.answered, x.status = time.Now(), status
			})
		}
	})
	time.Sleep(5 * time.Second)
	stopped := time.Now()
	r.log("SIGTERM to host-a")
	_ = a.command.Process.Signal(syscall.SIGTERM) // It may have ended.
	time.Sleep(2 * time.Second)
	stop.Store(true)
	<-a.ended
	r.log("host-a has ended %.1f s after the SIGTERM", time.Since(stopped).Seconds())
	wait.Wait()
	time.Sleep(orderWork)
	end.Store(true)
	quotas.Wait()
	return r.judgeOrders(orders, &mu, stopped)
}

// judgeOrders counts the orders that were broken off in the stop while their worker was at
// work, before the last sixth of the grace time and well before their deadline.
func (r *rig) judgeOrders(orders map[string]*order, mu *sync.Mutex, stopped time.Time) bool {
	mu.Lock()
	defer mu.Unlock()
	after, lost := 0, 0
	for _, x := range orders {
		r.log("%s sent %.3f, ran %.3f, done %.3f, answered %.3f with %d", x.id, x.sent.Sub(r.began).Seconds(), x.ran.Sub(r.began).Seconds(), x.done.Sub(r.began).Seconds(), x.answered.Sub(r.began).Seconds(), x.status)
		if x.answered.Before(stopped) || x.ran.IsZero() {
			continue
		}
		after++
		atWork := x.ran.Before(x.answered) && x.answered.Before(x.done)
		inTime := x.answered.Sub(stopped) < 5*time.Second && x.answered.Sub(x.sent) < orderDeadline*3/4
		if atWork && inTime && x.status != http.StatusOK {
			lost++
			r.log("%s was at work and was answered %d", x.id, x.status)
		}
	}
	log, _ := os.ReadFile(filepath.Join(r.dir, "host-a.log")) // Only for the record.
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, `"event":2404`) {
			r.log("log of host-a: %s", strings.TrimSpace(line))
		}
	}
	text := fmt.Sprintf("of %d orders that ran and ended after the SIGTERM %d were broken off at work, none is allowed", after, lost)
	r.log("%s", text)
	fmt.Println(text)
	return lost > 0
}

// limitProcessor lets the process run for a part of each period, as a core with a quota does
// that is used up.
func (h *host) limitProcessor(end *atomic.Bool) {
	time.Sleep(time.Duration(rand.Int64N(int64(quotaPeriod))))
	for !end.Load() {
		_ = h.command.Process.Signal(syscall.SIGSTOP) // It may have ended.
		time.Sleep(quotaPeriod - quotaRun)
		_ = h.command.Process.Signal(syscall.SIGCONT) // See above.
		time.Sleep(quotaRun)
	}
}

// configureTenants writes a configuration with two tenants of different ranks.
func (r *rig) configureTenants() {
	newRoute := func(name, kind string, timeoutMs, targetMs, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path-prefix": "/" + name + "/", wire.RouteType: kind, "timeout-ms": timeoutMs,
			"target-latency-ms": targetMs, "priority": priority, "service": "desk", "max-attempts": 1,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": "00000001",
		"routes":  []any{newRoute("views", "safe", 2000, 200, 1), newRoute("orders", "unsafe", 4000, 1500, 0)},
		"services": []map[string]any{
			{"name": "desk", "health-path": "/health", "max-connections": 450}, {"name": "front", "health-path": "/health", "max-connections": 450},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 8 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{
			{"name": "high", "api-keys": []string{"key-high"}, "priority": 0}, {"name": "low", "api-keys": []string{"key-low"}, "priority": 2},
		},
	})
	if err != nil {
		abandon(err)
	}
	r.kv.Write("op/config", value)
	r.log("configuration 1 acknowledged")
}
