package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Dose of the spoiled answers: x = 0.02, the default of garble, for the 5.5 s of the site.
const (
	spoiledEvery = 50
	spoiledTime  = 5500 * time.Millisecond
)

// spoiledStamp lets one of two workers spoil a byte in the head of some answers.
func spoiledStamp(w *world, trouble bool) bool {
	w.store.Write("op/config", configuration(1, route{"/order/", "unsafe", "pedidos", 1500 * time.Millisecond, 600 * time.Millisecond}))
	clients, first, second := w.addMachine("m-clients", "a", "rutas"), w.addMachine("m-first", "a", "pedidos"), w.addMachine("m-second", "b", "pedidos")
	for _, m := range w.machines {
		m.start()
	}
	w.startWorker(clients, "i-rutas-1", 100*time.Millisecond)
	p1 := w.startWorker(first, "i-pedidos-1", 100*time.Millisecond)
	w.startWorker(second, "i-pedidos-2", 100*time.Millisecond)
	var from atomic.Int64
	var answers, spoiled atomic.Int64
	p1.garble = func(rw http.ResponseWriter, r *http.Request, id string) bool {
		began := from.Load()
		if began == 0 || time.Since(time.UnixMilli(began)) > spoiledTime || answers.Add(1)%spoiledEvery != 0 {
			return false
		}
		spoiled.Add(1)
		w.note("worker %s spoils the answer to %s", p1.id, id)
		p1.answerUnstamped(rw, id, int(r.ContentLength))
		return true
	}
	time.Sleep(leadTime)
	w.awaitServed(clients, "/order/warm")
	orders := startLoad(clients, 80, func() *request { return newRequest(clients, "POST", "/order/1", "samosas", 1500*time.Millisecond) })
	time.Sleep(3 * time.Second)
	if trouble {
		w.say("worker %s spoils one answer in %d for %v", p1.id, spoiledEvery, spoiledTime)
		from.Store(time.Now().UnixMilli())
	}
	time.Sleep(spoiledTime + 3*time.Second)
	requests := orders.end()
	unstamped := 0
	for _, q := range requests {
		if q.err == nil && q.status/100 == 2 && q.stamp == "" {
			unstamped++
		}
	}
	w.say("%d orders: %s", len(requests), statuses(requests))
	w.say("%d answers were spoiled; clients got %d successes without the stamp of a worker", spoiled.Load(), unstamped)
	return unstamped == 0
}

// answerUnstamped writes an answer in whose head the name of the stamp's header has a wrong
// byte.
func (s *worker) answerUnstamped(rw http.ResponseWriter, id string, bodyBytes int) {
	h := rw.Header()
	h.Set("Response-Stbmp", "stamp-"+s.id)
	h.Set(wire.ServerLoad, fmt.Sprintf("%d,0,%d", len(s.slots), workerSlots))
	answer := answerBody(id, s.service, bodyBytes)
	h.Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = rw.Write(answer) // The node may have closed the connection.
}
