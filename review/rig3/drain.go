package main

import (
	"fmt"
	"time"
)

func init() { cases["cut-drain"] = cutDrain }

const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
)

// cutDrain: a worker leaves while its machine is cut off, and the process there is killed
// before the cut ends. A heartbeat from before arrives late.
func cutDrain(r *rig) bool {
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
	if r.trouble {
		r.setCut(a, true)
	}
	time.Sleep(2 * time.Second)

	latePath, lateBody := leaving.heartbeat("ready")
	r.log("w-one sends a heartbeat that will be late")
	leaving.silent.Store(true)
	leaving.leaves.Store(true)
	for !leaving.deregister() {
		time.Sleep(100 * time.Millisecond)
	}
	acknowledged := time.Now()
	r.log("the leaving of w-one is acknowledged")
	if r.trouble {
		time.Sleep(200 * time.Millisecond)
		a.kill()
		time.Sleep(300 * time.Millisecond)
		a.start()
	}
	time.Sleep(time.Until(acknowledged.Add(2 * time.Second)))
	r.log("the late heartbeat arrives: %t", leaving.post(latePath, lateBody))
	if r.trouble {
		r.setCut(a, false)
	}
	calm := time.Now()
	time.Sleep(contactTime + 500*time.Millisecond)
	late := 0
	for i := 0; time.Since(calm) < contactTime+4*time.Second; i++ {
		id := fmt.Sprintf("after-%d", i)
		clients.send("GET", "/one/x", id, nil, time.Second)
		late += leaving.ran(id)
		time.Sleep(50 * time.Millisecond)
	}
	r.log("%d requests reached w-one from %.1f s on after the acknowledgement, %v are allowed", late, calm.Add(contactTime).Sub(acknowledged).Seconds(), drainTime)
	return late > 0
}

// setCut cuts a host off from the store and from all other hosts, or ends that.
func (r *rig) setCut(h *host, isCut bool) {
	r.log("%s is cut off: %t", h.name, isCut)
	h.storeProxy.cut("", isCut)
	h.peerProxy.cut("", isCut)
	for _, other := range r.hosts {
		if other != h {
			other.peerProxy.cut(h.name, isCut)
		}
	}
}
