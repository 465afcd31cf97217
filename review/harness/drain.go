package main

import (
	"strings"
	"syscall"
	"time"
)

// awaitServed waits until a request of the machine is served.
func (w *world) awaitServed(m *machine, path string) {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			panic("no request to " + path + " is served")
		}
		q := newRequest(m, "GET", path, "", time.Second)
		if strings.HasPrefix(path, "/order/") {
			q.method, q.body = "POST", "warm"
		}
		q.do()
		if q.status == 200 {
			return
		}
	}
}

// lateHeartbeat lets a worker deregister and its node restart, and delivers a heartbeat
// that the worker had sent before it deregistered.
func lateHeartbeat(w *world, trouble bool) bool {
	w.store.Write("op/config", configuration(1, route{"/order/", "unsafe", "pedidos", 1500 * time.Millisecond, 600 * time.Millisecond}))
	clients, leaving, staying := w.addMachine("m-clients", "a", "rutas"), w.addMachine("m-leaving", "a", "pedidos"), w.addMachine("m-staying", "b", "pedidos")
	for _, m := range w.machines {
		m.start()
	}
	w.startWorker(clients, "i-rutas-1", 100*time.Millisecond)
	p1 := w.startWorker(leaving, "i-pedidos-1", 210*time.Millisecond)
	w.startWorker(staying, "i-pedidos-2", 210*time.Millisecond)
	time.Sleep(leadTime)
	w.awaitServed(clients, "/order/warm")
	orders := startLoad(clients, 40, func() *request { return newRequest(clients, "POST", "/order/1", "samosas", 1500*time.Millisecond) })
	time.Sleep(3 * time.Second)

	// The last heartbeat of the worker is on its way when the worker decides to leave.
	p1.silent.Store(true)
	late, sentLate := p1.heartbeat(), time.Now()
	w.say("worker %s has sent %s, which is delayed", p1.id, late.body)
	time.Sleep(300 * time.Millisecond)
	p1.leaving.Store(true)
	if !p1.send(p1.deregistration()) {
		panic("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	w.say("the node of %s has acknowledged that %s is gone", leaving.name, p1.id)
	time.Sleep(200 * time.Millisecond)
	inTouch := acknowledged
	if trouble {
		leaving.signal(syscall.SIGTERM)
		leaving.awaitExit()
		time.Sleep(restartDelay)
		leaving.start()
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(max(time.Until(sentLate.Add(4*time.Second)), 400*time.Millisecond))
	w.say("the delayed heartbeat arrives %.1f s after it was sent; acknowledged: %v", time.Since(sentLate).Seconds(), p1.send(late))
	time.Sleep(time.Until(acknowledged.Add(11 * time.Second)))
	p1.crash()
	time.Sleep(2 * time.Second)
	requests := orders.end()

	afterDrain, inTouchRuns, lost := 0, 0, 0
	w.mu.Lock()
	for _, q := range requests {
		for _, r := range w.runs[q.id] {
			if r.worker != p1 || r.began.Before(acknowledged.Add(drainTime)) {
				continue
			}
			afterDrain++
			if q.sent.After(inTouch) {
				inTouchRuns++
			}
			if q.status != 200 {
				lost++
			}
		}
	}
	w.mu.Unlock()
	w.say("%d orders: %s", len(requests), statuses(requests))
	w.say("%d orders reached %s later than drain-ms after the acknowledgement, %d of them sent while all machines were in touch; %d of them ran and got no answer of the worker", afterDrain, p1.id, inTouchRuns, lost)
	return inTouchRuns == 0
}
