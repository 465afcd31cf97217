package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is a client attempt and what became of it.
type request struct {
	id       string
	machine  *machine
	method   string
	path     string
	body     string
	deadline time.Duration
	// extra holds further header lines.
	extra string
	sent  time.Time
	// written is set when the whole request was written.
	written bool
	// status is 0 without an answer.
	status   int
	stamp    string
	answer   []byte
	err      error
	answered time.Time
}

func newRequest(m *machine, method, path, body string, deadline time.Duration) *request {
	return &request{id: fmt.Sprintf("%016x", rand.Uint64()), machine: m, method: method, path: path, body: body, deadline: deadline}
}

// head returns the request line and headers.
func (q *request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, routeHost, q.id, q.deadline.Milliseconds())
	if q.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return text + q.extra + "\r\n"
}

// client is a connection of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(m *machine) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) send(q *request) {
	q.sent = time.Now()
	_ = c.conn.SetDeadline(q.sent.Add(q.deadline + 200*time.Millisecond)) // The next call returns the error.
	_, q.err = io.WriteString(c.conn, q.head()+q.body)
	q.written = q.err == nil
}

// receive reads the answer and reports whether the connection can be used further.
func (c *client) receive(q *request) bool {
	if q.err != nil {
		return false
	}
	response, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err == nil {
		q.status, q.stamp = response.StatusCode, response.Header.Get(wire.Stamp)
		q.answer, err = io.ReadAll(response.Body)
	}
	q.err, q.answered = err, time.Now()
	return err == nil && !response.Close
}

// do sends a request on a new connection and records it.
func (q *request) do() {
	c, err := dial(q.machine)
	if err != nil {
		q.err, q.sent = err, time.Now()
	} else {
		defer func() { _ = c.conn.Close() }()
		c.send(q)
		c.receive(q)
	}
	q.note()
}

func (q *request) note() {
	q.machine.world.note("request %s %s %s of %s sent at %.3f: status %d, stamp %q, %d bytes, error %v", q.id, q.method, q.path, q.machine.name, q.machine.world.since(q.sent).Seconds(), q.status, q.stamp, len(q.answer), q.err)
}

// load sends requests at a steady rate until it is stopped.
type load struct {
	mu       sync.Mutex
	requests []*request
	stop     chan struct{}
	running  sync.WaitGroup
}

func startLoad(m *machine, perSecond float64, next func() *request) *load {
	l := &load{stop: make(chan struct{})}
	l.running.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			q := next()
			l.mu.Lock()
			l.requests = append(l.requests, q)
			l.mu.Unlock()
			l.running.Go(q.do)
		}
	})
	return l
}

// end stops the load and returns its requests.
func (l *load) end() []*request {
	close(l.stop)
	l.running.Wait()
	return l.requests
}

// statuses counts the requests by status.
func statuses(requests []*request) string {
	counts := map[int]int{}
	for _, q := range requests {
		counts[q.status]++
	}
	var text []string
	for status, n := range counts {
		text = append(text, fmt.Sprintf("%d: %d", status, n))
	}
	return strings.Join(text, ", ")
}
