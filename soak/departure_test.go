package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

const (
	// departureStream is the random stream of replaceEndpoint.
	departureStream = 4
	// departureTime is how long an endpoint stays after its departure was acknowledged.
	departureTime = 8 * time.Second
	// drainTime is the time after which it must get no further calls.
	drainTime = 2 * time.Second
	// lateAnnouncements is the number of announcements from before the departure that
	// arrive after it.
	lateAnnouncements = 4
	// maxLateness is how late they arrive.
	maxLateness = 5 * time.Second
	// acknowledgementTimeout is how long an endpoint asks for an acknowledgement. The
	// platform's endpoints exit after some seconds without one.
	acknowledgementTimeout = 5 * time.Second
)

// departure is the time from the acknowledged departure of an endpoint to its successor.
type departure struct {
	host           *host
	acknowledgedAt time.Time
	until          time.Time
}

// replaceEndpoint lets the endpoint of a host leave and stay, while announcements that it
// sent before arrive late, and then announces a successor with its ID.
func (c *cluster) replaceEndpoint(random *rand.Rand) {
	h, drains := c.hosts[random.IntN(len(c.hosts))], random.IntN(2) == 0
	lateness := make([]time.Duration, lateAnnouncements)
	for i := range lateness {
		lateness[i] = time.Duration(random.Int64N(int64(maxLateness)))
	}
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	h.isSilent.Store(true)
	defer h.isSilent.Store(false)
	startedAtMs := h.endpointStart.Load()
	path, body := standin.Deregistration("i-"+h.name, startedAtMs)
	if drains {
		path, body = h.heartbeat("draining")
	}
	for end := time.Now().Add(acknowledgementTimeout); !h.post(path, body); {
		if time.Now().After(end) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	d := departure{host: h, acknowledgedAt: time.Now()}
	for i, delay := range lateness {
		time.AfterFunc(delay, func() {
			h.post(standin.HeartbeatOf("i-"+h.name, startedAtMs, h.addresses["endpoint"], h.service, "d", "ready", i+1))
		})
	}
	time.Sleep(departureTime)
	d.until = time.Now()
	h.endpointStart.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures = append(c.departures, d)
}

// heartbeat returns the next announcement of the endpoint.
func (h *host) heartbeat(state string) (path, body string) {
	return standin.HeartbeatOf("i-"+h.name, h.endpointStart.Load(), h.addresses["endpoint"], h.service, "d", state, int(h.sequence.Add(1)))
}

// post sends a message of the endpoint to its host and reports whether it was acknowledged.
func (h *host) post(path, body string) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+h.addresses["announcements"]+path, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close() // The response is not read.
	return response.StatusCode == http.StatusOK
}

// checkDepartures records a failure if an endpoint got calls after its departure, through a
// host that had been without faults. The caller holds mu.
func (c *cluster) checkDepartures() {
	for _, d := range c.departures {
		n := 0
		for _, executions := range c.executions {
			for _, e := range executions {
				if e.host == d.host && e.begin.After(d.acknowledgedAt.Add(drainTime)) && e.begin.Before(d.until) &&
					d.host.hadNoFault(e.begin.Add(-faultFreePeriod), e.begin, true) {
					n++
				}
			}
		}
		if n > 0 {
			c.failures = append(c.failures, fmt.Sprintf("%s got %d calls later than %v after its departure was acknowledged at %s", d.host.name, n, drainTime, d.acknowledgedAt.UTC().Format("15:04:05.000")))
		}
	}
}
