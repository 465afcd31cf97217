package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientsPerHost = 3
	clientDeadline = 3 * time.Second
	// deadlineTolerance is how long after the client's deadline a response may
	// arrive.
	deadlineTolerance = 500 * time.Millisecond
	// lossSlack is how long after its last byte was sent a request may still be
	// unread when its connection is closed.
	lossSlack     = 200 * time.Millisecond
	longBodyBytes = 50_000
	// clientStream is the first random stream of the pipelining clients of a seed.
	clientStream = 1000
	// routeTimeout is the timeout of the routes of the stand-in.
	routeTimeout = 2 * time.Second
	// responseTransfer is the time that a response may take from the endpoint to the
	// client on a busy machine.
	responseTransfer = 500 * time.Millisecond
)

// callRecord is a call and its result as the client observed it.
type callRecord struct {
	id   string
	host *host
	// path is the route's path, rest the path below it.
	path, rest string
	atMostOnce bool
	// isProbe is set for calls that only some versions allow.
	isProbe bool
	// key is the key of the client, empty for none, and note the header workspaceNote.
	key, note string
	bodyBytes int
	sentAt    time.Time
	// written is when the last byte of the request was written, zero if it was not.
	written time.Time
	latency time.Duration
	// ahead is the number of earlier requests on the connection that had no response
	// when the call was sent.
	ahead    int
	status   int
	body     string
	wantBody string
	err      error
}

// hadNoFault reports whether no fault except planned stops affected the client's host
// from faultFreePeriod before the call until its end.
func (r callRecord) hadNoFault() bool {
	return r.host.hadNoFault(r.sentAt.Add(-faultFreePeriod), r.sentAt.Add(r.latency), false)
}

// isReadAndLost reports whether the connection ended without a response so late after
// the request that the host must have read it. A request behind another one may be
// left unread.
func (r callRecord) isReadAndLost() bool {
	var timeout net.Error
	isTimeout := errors.As(r.err, &timeout) && timeout.Timeout()
	return r.err != nil && !isTimeout && r.ahead == 0 && !r.written.IsZero() &&
		r.sentAt.Add(r.latency).Sub(r.written) > lossSlack
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

// newCall returns a call to a route of a service that has not been sent yet.
func (h *host) newCall(path, service string, bodyBytes int) *callRecord {
	id, key := fmt.Sprintf("%016x", lastCallID.Add(1)), ""
	if h.cluster.keyed {
		key = keyOf(workspaceOf(id))
	}
	return &callRecord{
		id: id, host: h, key: key, path: path, rest: "x", atMostOnce: strings.HasPrefix(path, "once"), bodyBytes: bodyBytes,
		wantBody: fmt.Sprintf("%s %s %d", id, service, bodyBytes),
	}
}

func (r callRecord) String() string {
	return r.path + " " + r.id + " of " + r.sentAt.UTC().Format("15:04:05.000")
}

func (r callRecord) isServed() bool {
	return r.err == nil && r.status == http.StatusOK && r.body == r.wantBody
}

// client makes one call after the other and keeps its connection until the host
// closes it or announces that.
type client struct {
	host *host
	conn *clientConn
	// unchecked is set if the calls are not recorded.
	unchecked bool
}

// call makes one call and returns its result.
func (l *client) call(path, service string, bodyBytes int) *callRecord {
	return l.make(l.host.newCall(path, service, bodyBytes))
}

// newProbe returns a call that only some versions allow. It has a key if there are
// workspaces: the given one unless it is empty.
func (l *client) newProbe(path, key string) *callRecord {
	call := l.host.newCall(path, "one", 0)
	call.isProbe = true
	if key != "" {
		call.key = key
	}
	return call
}

// make makes a call and returns it with its result.
func (l *client) make(call *callRecord) *callRecord {
	if l.conn == nil {
		conn, err := l.host.dial()
		if err != nil {
			call.err, call.sentAt = err, time.Now()
			return call
		}
		conn.unchecked = l.unchecked
		l.conn = conn
	}
	l.conn.send(call)
	l.conn.receive()
	if l.conn.closing {
		l.close()
	}
	return call
}

func (l *client) close() {
	if l.conn != nil {
		l.conn.close()
		l.conn = nil
	}
}

// awaitServing waits until every host serves both services and the newest plan in
// two consecutive rounds. It reports false after recoveryTimeout.
func (c *cluster) awaitServing() bool {
	version, _, _ := c.newestVersion()
	end := time.Now().Add(recoveryTimeout)
	var running sync.WaitGroup
	var failed atomic.Bool
	for _, h := range c.hosts {
		running.Go(func() {
			for successes := 0; successes < 2; time.Sleep(100 * time.Millisecond) {
				if time.Now().After(end) {
					failed.Store(true)
					return
				}
				if successes++; !h.servesAll(version) {
					successes = 0
				}
			}
		})
	}
	running.Wait()
	return !failed.Load()
}

// servesAll reports whether the host serves both services and a version of the plan on
// new connections.
func (h *host) servesAll(version int) bool {
	for path, service := range map[string]string{"one": "one", "two": "two", versionPath(version): "one"} {
		l := &client{host: h, unchecked: true}
		call := l.call(path, service, 0)
		l.close()
		if !call.isServed() {
			return false
		}
	}
	return true
}

// startClients starts the clients of all hosts. The returned function stops them and
// waits until they have ended.
func (c *cluster) startClients(seed uint64) (stop func()) {
	stopped := make(chan struct{})
	var running sync.WaitGroup
	for i, h := range c.hosts {
		random := rand.New(rand.NewPCG(seed, uint64(clientStream+i)))
		running.Go(func() { h.pipeline(random, stopped) })
		for n := range clientsPerHost {
			running.Go(func() {
				l := &client{host: h}
				defer l.close()
				for i := n; ; i++ {
					select {
					case <-stopped:
						return
					case <-time.After(15 * time.Millisecond):
					}
					c.makeCall(l, i)
				}
			})
		}
	}
	return func() { close(stopped); running.Wait() }
}

// makeCall makes the i-th call of a client. The kinds of calls alternate.
func (c *cluster) makeCall(l *client, i int) {
	service := services[i/2%2]
	switch i % 4 {
	case 0:
		l.call(service, service, 0)
	case 1:
		l.call("once-"+service, service, longBodyBytes*(i/4%2))
	case 2:
		l.call("once-"+service, service, 100)
	default:
		c.probeVersions(l, func(version int) *callRecord { return l.newProbe(versionPath(version), "") })
		if i%16 == 3 {
			c.probeKeys(l)
		}
	}
}

func (c *cluster) addCall(call callRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// probeVersions makes calls that only the newest version allows, and those that only the one
// before does. It checks that a new plan is active within planDeadline and that no process
// serves an older version after a newer one.
func (c *cluster) probeVersions(l *client, newProbe func(version int) *callRecord) {
	h := l.host
	version, writtenAt, storeFaultyUntil := c.newestVersion()
	h.mu.Lock()
	process, newestVersion := h.process, h.newestVersion
	h.mu.Unlock()
	for _, v := range []int{version, version - 1} {
		sentAt := time.Now()
		call := l.make(newProbe(v))
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
			c.fail("%s served %s of version %d after one of version %d", h.name, call, v, newestVersion)
		case v < version && currentVersion == version && noFaults && sentAt.Sub(writtenAt) > planDeadline:
			c.fail("%s served %s of version %d %v after version %d was written", h.name, call, v, sentAt.Sub(writtenAt), version)
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
		if call.err == nil && !call.isProbe {
			answered++
		}
		switch {
		case call.key == unknownKey && (executed > 0 || call.err == nil && call.status != http.StatusUnauthorized && call.status != http.StatusServiceUnavailable):
			c.fail("%s with an unknown key was executed %d times and got status %d", call, executed, call.status)
		case call.atMostOnce && executed > 1:
			c.fail("%s was executed %d times", call, executed)
		case call.atMostOnce && executed > 0 && (call.status == http.StatusServiceUnavailable || call.status == http.StatusTooManyRequests):
			c.fail("%s was rejected with status %d and executed", call, call.status)
		case call.err == nil && call.status == http.StatusOK && call.body != call.wantBody:
			c.fail("%s at %s got the wrong response %.100q of %d bytes", call, call.host.name, call.body, len(call.body))
		case call.err == nil && call.status == http.StatusOK && !call.isProbe:
			served++
		case call.err == nil && call.status >= 500 && call.hadNoFault() && call.wasAnswered(executions[call.id]):
			c.fail("%s got status %d at %s though an endpoint had responded", call, call.status, call.host.name)
		case call.err == nil && call.status >= 400 && call.status < 500 && !call.isProbe:
			c.fail("%s got status %d at %s", call, call.status, call.host.name)
		case call.err != nil && executed > 0 && call.hadNoFault():
			c.fail("%s at %s, sent behind %d others, was executed %v after it was sent and its response lost after %v: %v", call, call.host.name, call.ahead, executions[call.id][0].begin.Sub(call.sentAt), call.latency, call.err)
		case call.isReadAndLost() && call.hadNoFault():
			c.fail("%s at %s got no response; its connection was closed %v after it was sent: %v", call, call.host.name, call.latency, call.err)
		}
		if call.latency > clientDeadline+deadlineTolerance && call.hadNoFault() {
			c.fail("%s at %s took %v", call, call.host.name, call.latency)
		}
	}
	// Faults affect about two of the four hosts at a time, and each service has
	// endpoints on two hosts.
	if served < answered/4 {
		c.fail("%d of %d responses were correct", served, answered)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkRate()
	c.checkDepartures()
	return c.failures
}

// summary returns what the run covered.
func (c *cluster) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	pipelined, served, own, behindClose, unanswered, calm := 0, 0, 0, 0, 0, 0
	for _, call := range c.calls {
		if call.ahead > 0 {
			pipelined++
		}
		if call.hadNoFault() {
			calm++
		}
		switch {
		case errors.Is(call.err, errBehindClose):
			behindClose++
		case call.err != nil:
			unanswered++
		case call.isServed():
			served++
		case call.status >= 500:
			own++
		}
	}
	return fmt.Sprintf("%d calls (%d behind others, %d at hosts with nothing but planned stops): %d served, %d answered by a node, %d sent behind a response with Connection: close, %d others without a response; the test process stalled %d times: %s",
		len(c.calls), pipelined, calm, served, own, behindClose, unanswered, len(c.stalls), strings.Join(c.stalls, ", "))
}
