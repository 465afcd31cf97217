package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of the site skovgaard-mesh: an order of the longest work (1,600 ms) at a worker of
// the lowest speed (0.5), and a look-up of 200 ms of work at such a worker (of 240 ms at
// most). The deadlines are those of the sheet.
const (
	longOrder     = 3200 * time.Millisecond
	longLookUp    = 400 * time.Millisecond
	orderDeadline = 4000 * time.Millisecond
	callDeadline  = 500 * time.Millisecond
	// lastSend is when the client sends its last order: the platform asks each second
	// whether the node is ready, and takes the machine out after two misses.
	lastSend = 1900 * time.Millisecond
	// lateSend is how long after the stop signal a request is no longer excused.
	lateSend = 3 * time.Second
)

// nestedLate stops a node while the worker beside it runs an order, which makes a call late
// in the stop.
func nestedLate(w *world, trouble bool) bool {
	w.store.Write("op/config", configuration(1,
		route{"/order/", "unsafe", "ordre", orderDeadline, 600 * time.Millisecond},
		route{"/batch/", "safe", "billede", callDeadline, 150 * time.Millisecond}))
	first, second := w.addMachine("m-ordre", "a", "ordre"), w.addMachine("m-billede", "b", "billede")
	for _, m := range w.machines {
		m.start()
	}
	ordre := w.newWorker(first, "i-ordre-1", longOrder)
	calls := make(chan *request, 10)
	ordre.call = func(id string) bool {
		q := newRequest(first, "GET", "/batch/1", "", callDeadline)
		q.id = fmt.Sprintf("%s.%016x", id, rand.Uint64())
		q.do()
		calls <- q
		return q.status == 200
	}
	go ordre.beat()
	w.startWorker(second, "i-billede-1", longLookUp)
	time.Sleep(leadTime)
	order := func() *request { return newRequest(first, "POST", "/order/1", "beech blanks", orderDeadline) }
	calm := order()
	calm.do()
	if before := <-calls; calm.status != 200 || before.status != 200 {
		panic("the order before the stop was not served")
	}

	stopped := time.Now()
	if trouble {
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(lastSend)))
	last := order()
	last.do()
	nested := <-calls
	if trouble {
		first.awaitExit()
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	runs := w.runs[nested.id]
	w.mu.Unlock()
	w.say("order %s sent %v after the signal: status %d, stamp %q", last.id, last.sent.Sub(stopped).Round(time.Millisecond), last.status, last.stamp)
	w.say("its call %s sent %v after the signal: status %d, stamp %q, error %v, %v after it was sent; runs: %d", nested.id,
		nested.sent.Sub(stopped).Round(time.Millisecond), nested.status, nested.stamp, nested.err, nested.answered.Sub(nested.sent).Round(time.Millisecond), len(runs))
	if nested.stamp != "" || len(runs) == 0 {
		return true // The worker's own answer, or none has begun.
	}
	atWork := runs[0].began.Before(nested.answered) && nested.answered.Sub(runs[0].began) < longLookUp
	w.say("a worker was at work on the call when the node answered: %v", atWork)
	return !atWork || nested.sent.Sub(stopped) < lateSend || nested.answered.Sub(nested.sent) > callDeadline
}
