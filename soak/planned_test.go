package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// plannedStream is the random stream of the planned work of a seed.
const plannedStream = 1

// injectPlannedWork starts random series of planned work for the period and waits until
// all of it has ended: stops, SIGHUP and new versions of the plan, on one host and on
// several. The series overlap. At most half of the hosts are stopped at a time, so
// that each service keeps an endpoint most of the time.
func (c *cluster) injectPlannedWork(random *rand.Rand, period time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	stops := make(chan struct{}, len(c.hosts)/2)
	for end := time.Now().Add(period); time.Now().Before(end); {
		series := c.newSeries(random, stops, end)
		running.Go(series)
		c.sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
}

// sleep sleeps for a time between faults, which is given for a cluster of defaultHosts.
func (c *cluster) sleep(d time.Duration) {
	time.Sleep(d * defaultHosts / time.Duration(len(c.hosts)))
}

// newSeries returns a function that runs a random series. All of its parameters are
// drawn here, so that the plan of a seed does not depend on timing. Stops that have not
// begun by the end are left out.
func (c *cluster) newSeries(random *rand.Rand, stops chan struct{}, end time.Time) func() {
	hosts := make([]*host, 2+random.IntN(2))
	delays := make([]time.Duration, 6)
	first := random.IntN(len(c.hosts))
	for i := range hosts {
		hosts[i] = c.hosts[(first+i)%len(c.hosts)]
	}
	for i := range delays {
		delays[i] = time.Duration(random.IntN(400)) * time.Millisecond
	}
	stop := func(h *host, downtime time.Duration, during ...signalAfter) {
		select {
		case stops <- struct{}{}:
			defer func() { <-stops }()
			c.restart(h, syscall.SIGTERM, downtime, during...)
		case <-time.After(time.Until(end)):
		}
	}
	switch random.IntN(6) {
	case 0: // Stops on several hosts, the next one before the first has ended.
		return func() {
			var running sync.WaitGroup
			defer running.Wait()
			for i, h := range hosts {
				running.Go(func() { stop(h, delays[i]) })
				time.Sleep(delays[i] * 2)
			}
		}
	case 1: // Stops on one host, the second as soon as the process listens again.
		return func() {
			stop(hosts[0], delays[0])
			stop(hosts[0], delays[1])
		}
	case 2: // Further signals during a stop.
		return func() {
			stop(hosts[0], delays[0], signalAfter{syscall.SIGHUP, delays[1]}, signalAfter{syscall.SIGTERM, delays[2]}, signalAfter{syscall.SIGHUP, delays[3]}, signalAfter{syscall.SIGTERM, delays[4] * 5})
		}
	case 3: // Reloads and new versions on and beside a host that stops.
		return func() {
			var running sync.WaitGroup
			defer running.Wait()
			running.Go(func() { stop(hosts[0], delays[0], signalAfter{syscall.SIGHUP, delays[1]}) })
			for _, delay := range delays {
				hosts[1].reload()
				c.writeVersion()
				time.Sleep(delay)
			}
		}
	case 4: // Reloads in quick succession.
		return func() {
			for _, delay := range delays {
				hosts[0].reload()
				time.Sleep(delay / 8)
			}
		}
	default: // Versions in quick succession.
		return func() {
			for _, delay := range delays {
				c.writeVersion()
				time.Sleep(delay / 2)
			}
		}
	}
}
