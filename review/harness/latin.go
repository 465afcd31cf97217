package main

import (
	"os"
	"syscall"
	"time"
)

// driverHeader names a driver, in ISO 8859-1 as HTTP allows it in a field value (RFC 9110,
// section 5.5).
const driverHeader = "Driver-Name: Jos\xe9 Xiloj\r\n"

// latinHeader stops a node that has orders at workers of other machines, while one more
// client sends an order whose header has a byte outside ASCII.
func latinHeader(w *world, trouble bool) bool {
	w.store.Write("op/config", configuration(1, route{"/order/", "unsafe", "pedidos", 1500 * time.Millisecond, 600 * time.Millisecond}))
	clients, first, second := w.addMachine("m-clients", "a", "rutas"), w.addMachine("m-first", "a", "pedidos"), w.addMachine("m-second", "b", "pedidos")
	for _, m := range w.machines {
		m.start()
	}
	w.startWorker(clients, "i-rutas-1", 100*time.Millisecond)
	w.startWorker(first, "i-pedidos-1", 400*time.Millisecond)
	w.startWorker(second, "i-pedidos-2", 400*time.Millisecond)
	time.Sleep(leadTime)
	w.awaitServed(clients, "/order/warm")
	orders := startLoad(clients, 40, func() *request { return newRequest(clients, "POST", "/order/1", "samosas", 1500*time.Millisecond) })
	time.Sleep(4 * time.Second)
	stopped := time.Now()
	if trouble {
		clients.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	named := newRequest(clients, "POST", "/order/1", "samosas", 1500*time.Millisecond)
	named.extra = driverHeader
	if os.Getenv("HEADER") == "ascii" {
		named.extra = "Driver-Name: Jose Xiloj\r\n"
	}
	named.do()
	time.Sleep(time.Until(stopped.Add(lastSend)))
	requests := orders.end()
	if trouble {
		clients.awaitExit()
	}

	ownAnswers, brokenOff := 0, 0
	w.mu.Lock()
	for _, q := range requests {
		runs := w.runs[q.id]
		if len(runs) == 0 || q.stamp != "" || q.err != nil || q.answered.Before(stopped) {
			continue
		}
		ownAnswers++
		// The worker was at work, and neither the deadline nor the last sixth of the grace
		// time had come.
		if r := runs[0]; q.answered.Before(r.began.Add(400*time.Millisecond)) && q.answered.Sub(q.sent) < q.deadline && q.answered.Sub(stopped) < graceTime*5/6 {
			brokenOff++
		}
	}
	w.mu.Unlock()
	w.say("the order with the header %q: status %d, stamp %q, error %v", named.extra, named.status, named.stamp, named.err)
	w.say("%d orders: %s", len(requests), statuses(requests))
	w.say("%d orders that ran got an answer of the node in place of the worker's, %d of them while the worker was at work", ownAnswers, brokenOff)
	if !trouble {
		w.say("there was no planned stop: the rule does not count them")
		return true
	}
	return brokenOff == 0
}
