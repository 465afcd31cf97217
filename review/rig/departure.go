package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["departure"] = departure }

// departure plays a worker that leaves while the store is down. All processes are killed
// after the acknowledgement, and a heartbeat that the worker sent before arrives late.
func departure(binary, out string, trouble bool) int {
	d := newDeployment(binary, out)
	defer d.close()
	a, b, c := d.addHost("z1", "one"), d.addHost("z2", "two"), d.addHost("z3", "two")
	d.store.write("op/config", configuration(7, []route{{name: "view", kind: "safe", service: "two", timeoutMs: 1200, aimMs: 500, attempts: 2}}))
	for _, h := range d.hosts {
		h.start()
	}
	d.startWorker(a, "i-a")
	w, v := d.startWorker(b, "i-leaving"), d.startWorker(c, "i-staying")
	if !d.awaitReady(15 * time.Second) {
		unable("hosts are not ready")
	}
	began := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(began.Add(time.Duration(seconds * float64(time.Second)))))
	}
	sent := map[string]time.Time{}
	answered := map[int]int{}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			q := request{id: newID(), method: http.MethodGet, path: "/view/1", deadlineMs: 1200}
			sent[q.id] = time.Now()
			r := send(a.calls, q)
			answered[r.status]++
			d.record.add("client: %s: %s", q.id, r)
		}
	}()
	at(3)
	if len(w.allRuns()) == 0 || len(v.allRuns()) == 0 {
		unable("the workers got no requests")
	}
	// OUTAGE=0 or HERD=0 leaves one of the two disruptions out.
	outage := os.Getenv("OUTAGE") != "0" && trouble
	herd := os.Getenv("HERD") != "0" && trouble
	if outage {
		d.record.add("store: down (silent)")
		d.store.down.Store(true)
	}
	at(3.5)
	w.setSilent(true)
	late := w.beatBody("ready")
	d.record.add("worker %s sends a heartbeat (ready), which arrives late", w.id)
	at(4)
	asked := time.Now()
	if status := w.call("deregister", fmt.Appendf(nil, `{"born":%d}`, w.born)); status != http.StatusOK {
		unable("deregistration got status %d", status)
	}
	acknowledged := time.Now()
	d.record.add("worker %s has deregistered, acknowledged after %v; it serves on", w.id, acknowledged.Sub(asked).Round(time.Millisecond))
	at(4.6)
	if herd {
		for _, h := range d.hosts {
			h.kill()
		}
		at(5.1)
		for _, h := range d.hosts {
			h.start()
		}
	}
	at(7.2)
	d.record.add("the late heartbeat of %s arrives: status %d", w.id, w.call("heartbeat", late))
	at(11)
	if outage {
		d.store.down.Store(false)
		d.record.add("store: back")
	}
	inTouch := began.Add(14500 * time.Millisecond) // 3 s after the store, with a margin.
	at(18.5)
	close(stop)
	<-done
	broken := 0
	for _, r := range w.allRuns() {
		if s := sent[r.id]; s.After(inTouch) && r.at.After(acknowledged.Add(2*time.Second)) {
			broken++
			if broken <= 5 {
				d.record.add("BROKEN: %s was sent %.1f s and reached %s %.1f s after the acknowledgement", r.id, s.Sub(acknowledged).Seconds(), w.id, r.at.Sub(acknowledged).Seconds())
			}
		}
	}
	served := 0
	for _, r := range v.allRuns() {
		if sent[r.id].After(inTouch) {
			served++
		}
	}
	d.record.add("answers by status (0: none): %v; sent in touch: %d reached the worker that left, %d the one that stayed", answered, broken, served)
	fmt.Println(answered, "late at the worker that left:", broken, "at the other:", served)
	switch {
	case served+broken == 0:
		return exitUnable
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
