package soak

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// linkFaults are the faults that a proxy injects: the mode of the direction to the
// target and that of the direction back.
var linkFaults = [][2]linkMode{{hold, hold}, {hold, pass}, {pass, hold}, {delay, delay}, {delay, pass}, {pass, delay}}

// injectFaults starts random faults on random hosts for the period and waits until
// all of them have ended. Faults may overlap.
func (c *cluster) injectFaults(period time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(period); time.Now().Before(end); {
		h := c.hosts[c.random.IntN(len(c.hosts))]
		duration := time.Duration(200+c.random.IntN(2500)) * time.Millisecond
		kind, variant := c.random.IntN(12), c.random.IntN(6)
		running.Add(1)
		go func() {
			defer running.Done()
			c.injectFault(kind, variant, h, duration)
		}()
		c.sleep(time.Duration(100+c.random.IntN(700)) * time.Millisecond)
	}
}

func (c *cluster) injectFault(kind, variant int, h *host, duration time.Duration) {
	switch kind {
	case 0:
		c.restart(h, syscall.SIGKILL, duration)
	case 1, 2:
		c.restart(h, syscall.SIGTERM, duration)
	case 3:
		c.pauseProcess(h, duration)
	case 4:
		h.reload()
	case 5:
		c.disturbLink(h, h.peerProxy, linkFaults[variant], duration)
	case 6:
		c.disturbLink(h, h.storeProxy, linkFaults[variant], duration)
	case 7:
		h.beginFault(false)()
		[]*proxy{h.peerProxy, h.storeProxy}[variant%2].reset()
	case 8:
		if !c.isStoreFaultDue() {
			return
		}
		c.injectStoreFault(storeFaults[variant], duration)
	case 9:
		h.dropFaults.Add(1)
		time.Sleep(duration)
		h.dropFaults.Add(-1)
	default:
		c.writeVersion()
	}
}

// reload makes the process read its settings again.
func (h *host) reload() {
	h.processMu.Lock()
	defer h.processMu.Unlock()
	h.awaitListening()
	h.signal(syscall.SIGHUP)
}

// signalAfter is a signal that is sent during a planned stop, after a delay.
type signalAfter struct {
	signal syscall.Signal
	delay  time.Duration
}

// restart ends the process with a signal and starts it again after the downtime.
// SIGTERM is a planned stop: the process must end with status 0, also if further signals
// are sent during the stop.
func (c *cluster) restart(h *host, s syscall.Signal, downtime time.Duration, during ...signalAfter) {
	h.processMu.Lock()
	defer h.processMu.Unlock()
	planned := s == syscall.SIGTERM
	defer h.beginFault(planned)()
	h.awaitListening()
	signalledAt := time.Now()
	h.stopExpected.Store(true)
	h.signal(s)
	stopTimer := time.After(stopTimeout)
	for _, further := range during {
		select {
		case <-h.exited:
		case <-time.After(further.delay):
			h.signal(further.signal)
		}
	}
	select {
	case <-h.exited:
	case <-stopTimer:
		c.fail("%s did not exit within %v of a stop signal", h.name, stopTimeout)
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	if planned && h.process.ProcessState.ExitCode() != 0 {
		c.fail("%s exited with status %d, %v after a stop signal", h.name, h.process.ProcessState.ExitCode(), time.Since(signalledAt))
	}
	time.Sleep(downtime)
	h.start()
}

func (c *cluster) pauseProcess(h *host, duration time.Duration) {
	h.processMu.Lock()
	defer h.processMu.Unlock()
	defer h.beginFault(false)()
	h.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	h.signal(syscall.SIGCONT)
}

func (c *cluster) disturbLink(h *host, p *proxy, modes [2]linkMode, duration time.Duration) {
	defer h.beginFault(false)()
	defer p.beginFault(modes)()
	time.Sleep(duration)
}

// silenceStream is the random stream of silenceConnections.
const silenceStream = 2

// silenceConnections makes all open connections between hosts and to the store silent, at
// a random time in the period after the planned work, and has a new version written soon
// after.
func (c *cluster) silenceConnections(random *rand.Rand, period time.Duration) {
	time.Sleep(period/2 + time.Duration(random.Int64N(int64(period))))
	for _, h := range c.hosts {
		h.beginFault(false)()
		h.peerProxy.silence()
		h.storeProxy.silence()
	}
	time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	c.writeVersion()
}

// isStoreFaultDue reports whether a fault of the store that was drawn is to be injected.
// More hosts have more faults at a time, but only one store.
func (c *cluster) isStoreFaultDue() bool {
	return int(c.storeFaultsDrawn.Add(1))*defaultHosts%len(c.hosts) < defaultHosts
}

// storeFault is a fault of the store: what happens to its calls, and how it changes the
// store.
type storeFault struct {
	calls standin.Fault
	// end, if any, is called when the fault ends.
	end func(c *cluster)
}

// storeFaults are the faults that are injected into the store. All leases end with an
// outage, or the store is restored from an earlier copy.
var storeFaults = []storeFault{
	{standin.Unavailable, (*cluster).expireLeases},
	{standin.RateLimited, nil},
	{standin.ConnectionReset, nil},
	{standin.ResponseLost, nil},
	{standin.ResponseTruncated, nil},
	{standin.Unavailable, (*cluster).restoreStore},
}

func (c *cluster) expireLeases() { c.store.ExpireLeases() }

// injectStoreFault injects a fault into all calls to the store for the duration. Of
// several active faults the latest applies.
func (c *cluster) injectStoreFault(fault storeFault, duration time.Duration) {
	c.extendStoreFault(time.Now().Add(duration))
	c.storeMu.Lock()
	id := len(c.storeFaults)
	c.storeFaults = append(c.storeFaults, fault.calls)
	c.storeMu.Unlock()
	time.Sleep(duration)
	if fault.end != nil {
		fault.end(c)
	}
	c.storeMu.Lock()
	c.storeFaults[id] = standin.NoFault
	c.storeMu.Unlock()
	c.extendStoreFault(time.Now())
}

// extendStoreFault records that the store has a fault until the given time at least.
func (c *cluster) extendStoreFault(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.storeFaultyUntil) {
		c.storeFaultyUntil = until
	}
}

// activeStoreFault returns the fault that applies to calls to the store now.
func (c *cluster) activeStoreFault() standin.Fault {
	c.storeMu.Lock()
	defer c.storeMu.Unlock()
	for _, fault := range slices.Backward(c.storeFaults) {
		if fault != standin.NoFault {
			return fault
		}
	}
	return standin.NoFault
}

// awaitListening waits until the process listens. Until then it may not handle
// signals yet, and their default action would end it.
func (h *host) awaitListening() {
	for end := h.startedAt.Add(startTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", h.addresses["calls"]); err == nil {
			_ = conn.Close() // Nothing was sent; the connection shows that the process listens.
			return
		}
	}
}
