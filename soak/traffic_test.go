package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

const (
	clientsPerHost = 3
	clientDeadline = 3 * time.Second
	// deadlineTolerance is how long after the client's deadline a response may
	// arrive.
	deadlineTolerance = 500 * time.Millisecond
	longBodyBytes     = 50_000
	// routeTimeout is the timeout of the routes of the stand-in.
	routeTimeout = 2 * time.Second
	// responseTransfer is the time that a response may take from the endpoint to the
	// client on a busy machine.
	responseTransfer = 500 * time.Millisecond
)

// callRecord is a call and its result as the client observed it.
type callRecord struct {
	id         string
	host       *host
	path       string
	atMostOnce bool
	sentAt     time.Time
	latency    time.Duration
	status     int
	body       string
	wantBody   string
	err        error
}

// hadNoFault reports whether no fault except planned stops affected the client's host
// from faultFreePeriod before the call until its end.
func (r callRecord) hadNoFault() bool {
	return r.host.hadNoFault(r.sentAt.Add(-faultFreePeriod), r.sentAt.Add(r.latency), false)
}

// wasAnswered reports whether an endpoint has responded to the call in time for its
// response to reach the client, over links without faults.
func (r callRecord) wasAnswered(executions []*execution) bool {
	return slices.ContainsFunc(executions, func(e *execution) bool {
		return !e.end.IsZero() && e.end.Before(r.sentAt.Add(routeTimeout-responseTransfer)) &&
			e.host.hadNoFault(r.sentAt.Add(-faultFreePeriod), e.end.Add(responseTransfer), false)
	})
}

var lastCallID atomic.Uint64

// call sends one request to the host and returns its result.
func (h *host) call(client *http.Client, path, service string, bodyBytes int) callRecord {
	record := callRecord{id: fmt.Sprintf("%016x", lastCallID.Add(1)), host: h, path: path, atMostOnce: strings.HasPrefix(path, "once"), sentAt: time.Now()}
	record.wantBody = fmt.Sprintf("%s %s %d", record.id, service, bodyBytes)
	method := http.MethodGet
	if record.atMostOnce {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline+2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.addresses["calls"]+"/"+path+"/x", strings.NewReader(strings.Repeat("x", bodyBytes)))
	if err != nil {
		panic(err)
	}
	request.Host = "h.example"
	standin.SetClientHeaders(request.Header, record.id, clientDeadline)
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close() // The body has been read.
		record.status, record.body = response.StatusCode, string(body)
	}
	record.err, record.latency = err, time.Since(record.sentAt)
	return record
}

// awaitServing waits until every host serves both services and the newest plan in
// two consecutive rounds. It reports false after recoveryTimeout.
func (c *cluster) awaitServing() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	version, _, _ := c.newestVersion()
	successes := 0
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range c.hosts {
			for path, service := range map[string]string{"one": "one", "two": "two", versionPath(version): "one"} {
				call := h.call(client, path, service, 0)
				all = all && call.err == nil && call.status == http.StatusOK && call.body == call.wantBody
			}
		}
		if successes++; !all {
			successes = 0
		}
		if successes == 2 {
			return true
		}
	}
	return false
}

// startClients starts the clients of all hosts. The returned function stops them and
// waits until they have ended.
func (c *cluster) startClients() (stop func()) {
	stopped := make(chan struct{})
	var running sync.WaitGroup
	for _, h := range c.hosts {
		for n := range clientsPerHost {
			running.Add(1)
			go func() {
				defer running.Done()
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				for i := n; ; i++ {
					select {
					case <-stopped:
						return
					case <-time.After(15 * time.Millisecond):
					}
					c.makeCall(h, client, i)
				}
			}()
		}
	}
	return func() { close(stopped); running.Wait() }
}

// makeCall makes the i-th call of a client and records its result. The kinds of calls
// alternate.
func (c *cluster) makeCall(h *host, client *http.Client, i int) {
	service := services[i/2%2]
	switch i % 4 {
	case 0:
		c.addCall(h.call(client, service, service, 0))
	case 1:
		c.addCall(h.call(client, "once-"+service, service, longBodyBytes*(i/4%2)))
	case 2:
		c.addCall(h.call(client, "once-"+service, service, 100))
	default:
		c.probeVersions(h, client)
	}
}

func (c *cluster) addCall(call callRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// probeVersions calls the routes of the newest version and of the one before. It checks
// that a new plan is active within planDeadline and that no process serves an older
// version after a newer one.
func (c *cluster) probeVersions(h *host, client *http.Client) {
	version, writtenAt, storeFaultyUntil := c.newestVersion()
	h.mu.Lock()
	process, newestVersion := h.process, h.newestVersion
	h.mu.Unlock()
	for _, v := range []int{version, version - 1} {
		sentAt := time.Now()
		call := h.call(client, versionPath(v), "one", 0)
		c.addCall(call)
		if call.err != nil || call.status != http.StatusOK {
			continue
		}
		h.mu.Lock()
		sameProcess := process == h.process
		if sameProcess {
			h.newestVersion = max(h.newestVersion, v)
		}
		h.mu.Unlock()
		currentVersion, _, _ := c.newestVersion()
		noFaults := h.hadNoFault(writtenAt.Add(-faultFreePeriod), time.Now(), true) && storeFaultyUntil.Before(writtenAt.Add(-faultFreePeriod))
		switch {
		case sameProcess && v < newestVersion:
			c.fail("%s served the route of version %d after that of version %d", h.name, v, newestVersion)
		case v < version && currentVersion == version && noFaults && sentAt.Sub(writtenAt) > planDeadline:
			c.fail("%s served the route of version %d %v after version %d was written", h.name, v, sentAt.Sub(writtenAt), version)
		}
		if v == version {
			newestVersion = v
		}
	}
}

// checkCalls checks the recorded calls against the executions that the endpoints counted.
func (c *cluster) checkCalls() []string {
	c.mu.Lock()
	calls, executions := c.calls, c.executions
	c.mu.Unlock()
	served, answered := 0, 0
	for _, call := range calls {
		executed := len(executions[call.id])
		isProbe := strings.HasPrefix(call.path, "v")
		if call.err == nil && !isProbe {
			answered++
		}
		switch {
		case call.atMostOnce && executed > 1:
			c.fail("%s %s was executed %d times", call.path, call.id, executed)
		case call.atMostOnce && executed > 0 && (call.status == http.StatusServiceUnavailable || call.status == http.StatusTooManyRequests):
			c.fail("%s %s was rejected with status %d and executed", call.path, call.id, call.status)
		case call.err == nil && call.status == http.StatusOK && call.body != call.wantBody:
			c.fail("%s %s got the wrong response %q", call.path, call.id, call.body)
		case call.err == nil && call.status == http.StatusOK && !isProbe:
			served++
		case call.err == nil && call.status >= 500 && call.hadNoFault() && call.wasAnswered(executions[call.id]):
			c.fail("%s %s got status %d at %s though an endpoint had responded", call.path, call.id, call.status, call.host.name)
		case call.err == nil && call.status >= 400 && call.status < 500 && !isProbe:
			c.fail("%s %s got status %d at %s", call.path, call.id, call.status, call.host.name)
		case call.err != nil && executed > 0 && call.hadNoFault():
			c.fail("%s %s at %s was executed and its response lost: %v", call.path, call.id, call.host.name, call.err)
		}
		if call.latency > clientDeadline+deadlineTolerance && call.hadNoFault() {
			c.fail("%s %s at %s took %v", call.path, call.id, call.host.name, call.latency)
		}
	}
	// Faults affect about two of the four hosts at a time, and each service has
	// endpoints on two hosts.
	if served < answered/4 {
		c.fail("%d of %d responses were correct", served, answered)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures
}
