package main

import (
	"fmt"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

func init() { cases["steady-drain"] = steadyDrain }

const (
	// lateness is how late the heartbeats of the worker arrive.
	lateness = 6300 * time.Millisecond
	// beatInterval is heartbeat-ms of the site.
	beatInterval = 870 * time.Millisecond
	lateBeats    = 7
)

// steadyDrain: a worker leaves while the store is down, and all processes are killed. Its
// heartbeats from before arrive seconds late, in their order and with their pauses.
func steadyDrain(r *rig) bool {
	a, b, c := r.newHost("host-a", "z1", "one"), r.newHost("host-b", "z2", "two"), r.newHost("host-c", "z3", "three")
	r.configure(1, 2000, route{"one", "safe", "one"}, route{"two", "safe", "two"}, route{"three", "safe", "three"})
	for _, h := range r.hosts {
		h.start()
	}
	leaving := a.newWorker("w-one")
	b.newWorker("w-two")
	c.newWorker("w-three")
	for _, h := range r.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	clients := b.newClient()
	if got := clients.send("GET", "/one/x", "before", nil, 2*time.Second); got.status != 200 {
		abandon(fmt.Errorf("request before the trouble: %+v", got))
	}
	// From now on the heartbeats of the worker are late.
	leaving.silent.Store(true)
	for n := range lateBeats {
		path, body := leaving.heartbeat("ready")
		r.log("w-one sends heartbeat %d that will be late", n)
		time.AfterFunc(lateness, func() { r.log("late heartbeat %d arrives: %t", n, leaving.post(path, body)) })
		if n < lateBeats-1 {
			time.Sleep(beatInterval)
		}
	}
	if r.trouble {
		r.log("the store is down")
		r.kv.SetFault(func(string) standin.Fault { return standin.Unavailable })
	}
	leaving.leaves.Store(true)
	for !leaving.deregister() {
		time.Sleep(100 * time.Millisecond)
	}
	acknowledged := time.Now()
	r.log("the leaving of w-one is acknowledged")
	if r.trouble {
		var all sync.WaitGroup
		for _, h := range r.hosts {
			all.Go(func() {
				h.kill()
				time.Sleep(300 * time.Millisecond)
				h.start()
			})
		}
		all.Wait()
		time.Sleep(500 * time.Millisecond)
		r.kv.SetFault(nil)
		r.log("the store is up")
	}
	calm := time.Now()
	time.Sleep(contactTime + 500*time.Millisecond)
	late := 0
	for i := 0; time.Since(acknowledged) < 11*time.Second; i++ {
		id := fmt.Sprintf("after-%d", i)
		clients.send("GET", "/one/x", id, nil, time.Second)
		late += leaving.ran(id)
		time.Sleep(50 * time.Millisecond)
	}
	r.log("%d requests reached w-one from %.1f s on after the acknowledgement, %v are allowed", late, calm.Add(contactTime).Sub(acknowledged).Seconds(), drainTime)
	return late > 0
}
