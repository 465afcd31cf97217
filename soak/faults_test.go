package soak

import (
	"net"
	"sync"
	"syscall"
	"time"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// cuts are the ways in which a proxy harms its connections.
var cuts = [][2]way{{hold, hold}, {hold, pass}, {pass, hold}, {delay, delay}, {delay, pass}, {pass, delay}}

// harm plays faults for a time. They overlap; each ends by itself.
func (w *world) harm(length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(length); time.Now().Before(end); {
		h := w.hosts[w.random.IntN(len(w.hosts))]
		lasts := time.Duration(200+w.random.IntN(2500)) * time.Millisecond
		kind, variant := w.random.IntN(12), w.random.IntN(6)
		running.Add(1)
		go func() {
			defer running.Done()
			w.fault(kind, variant, h, lasts)
		}()
		time.Sleep(time.Duration(100+w.random.IntN(700)) * time.Millisecond)
	}
}

func (w *world) fault(kind, variant int, h *host, lasts time.Duration) {
	switch kind {
	case 0:
		w.restart(h, syscall.SIGKILL, lasts)
	case 1, 2:
		w.restart(h, syscall.SIGTERM, lasts)
	case 3:
		w.pauseProcess(h, lasts)
	case 4:
		h.life.Lock()
		defer h.life.Unlock()
		h.awaitMain()
		h.signal(syscall.SIGHUP)
	case 5:
		w.cut(h, h.peers, cuts[variant], lasts)
	case 6:
		w.cut(h, h.toStore, cuts[variant], lasts)
	case 7:
		h.harm(&h.broken)()
		[]*proxy{h.peers, h.toStore}[variant%2].reset()
	case 8:
		w.breakStore([]standin.Fault{standin.Busy, standin.Limited, standin.Reset, standin.Lost, standin.Garbled, standin.Busy}[variant], lasts)
	case 9:
		h.drops.Store(true)
		time.Sleep(lasts)
		h.drops.Store(false)
	default:
		w.newVersion()
	}
}

// restart ends the process with a signal and starts it again.
func (w *world) restart(h *host, s syscall.Signal, pause time.Duration) {
	h.life.Lock()
	defer h.life.Unlock()
	planned := s == syscall.SIGTERM
	if planned {
		defer h.harm(&h.planned)()
	} else {
		defer h.harm(&h.broken)()
	}
	h.awaitMain()
	begun := time.Now()
	h.ending.Store(true)
	h.signal(s)
	select {
	case <-h.exited:
	case <-time.After(stopTime + time.Second):
		w.fail("%s did not end within %v of a stop signal", h.name, stopTime)
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	if planned && h.process.ProcessState.ExitCode() != 0 {
		w.fail("%s ended with status %d, %v after a stop signal", h.name, h.process.ProcessState.ExitCode(), time.Since(begun))
	}
	time.Sleep(pause)
	h.start()
}

func (w *world) pauseProcess(h *host, lasts time.Duration) {
	h.life.Lock()
	defer h.life.Unlock()
	defer h.harm(&h.broken)()
	h.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	h.signal(syscall.SIGCONT)
}

func (w *world) cut(h *host, p *proxy, ways [2]way, lasts time.Duration) {
	defer h.harm(&h.broken)()
	p.set(ways[0], ways[1])
	time.Sleep(lasts)
	p.set(pass, pass)
}

// breakStore lets most calls to the store fail; leases may end meanwhile.
func (w *world) breakStore(fault standin.Fault, lasts time.Duration) {
	w.mu.Lock()
	w.storeBad = time.Now().Add(lasts)
	w.mu.Unlock()
	w.store.SetFault(func(string) standin.Fault { return fault })
	time.Sleep(lasts)
	if fault == standin.Busy {
		w.store.EndLeases()
	}
	w.store.SetFault(nil)
}

// awaitMain waits until the process listens. Before it takes signals, their default
// action ends it.
func (h *host) awaitMain() {
	for end := h.started.Add(startTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", h.address["calls"]); err == nil {
			_ = c.Close() // Nothing was sent.
			return
		}
	}
}

// heal ends all harm.
func (w *world) heal() {
	w.store.SetFault(nil)
	for _, h := range w.hosts {
		h.peers.set(pass, pass)
		h.toStore.set(pass, pass)
		h.drops.Store(false)
	}
}
