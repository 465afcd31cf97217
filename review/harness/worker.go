package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request by a worker.
type run struct {
	worker     *worker
	began      time.Time
	ended      time.Time
	bodyBytes  int
	method     string
	path       string
	caller     string
	incomplete bool
}

// worker is an application worker as PROTOCOL.md describes it.
type worker struct {
	world    *world
	machine  *machine
	id       string
	service  string
	zone     string
	born     int64
	slots    chan struct{}
	work     time.Duration
	sequence atomic.Int64
	state    atomic.Value
	// leaving is set from the moment at which the worker has said that it leaves.
	leaving atomic.Bool
	// call, if not nil, makes the calls of a run through the system and reports whether they
	// succeeded.
	call func(id string) bool
	// garble, if not nil, may replace the answer.
	garble func(w http.ResponseWriter, r *http.Request, id string) bool

	server  *http.Server
	ended   chan struct{}
	endOnce sync.Once
	silent  atomic.Bool
}

const workerSlots = 18

// startWorker starts a worker beside the machine's process.
func (w *world) startWorker(m *machine, id string, work time.Duration) *worker {
	s := w.newWorker(m, id, work)
	go s.beat()
	return s
}

func (w *world) newWorker(m *machine, id string, work time.Duration) *worker {
	s := &worker{
		world: w, machine: m, id: id, service: m.service, zone: m.zone, born: time.Now().UnixMilli(), slots: make(chan struct{}, workerSlots),
		work: work, ended: make(chan struct{}),
	}
	s.state.Store("ready")
	l, err := net.Listen("tcp", m.app)
	check(err)
	s.server = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }() // Ends with crash.
	w.mu.Lock()
	w.workers = append(w.workers, s)
	w.mu.Unlock()
	w.say("worker %s of %s runs at %s beside %s", id, s.service, m.app, m.name)
	return s
}

// crash ends the worker with all its connections. It sends nothing.
func (s *worker) crash() {
	s.endOnce.Do(func() {
		close(s.ended)
		_ = s.server.Close()
		s.world.say("worker %s has ended", s.id)
	})
}

// beat sends heartbeats until the worker ends or is silent.
func (s *worker) beat() {
	for {
		if !s.silent.Load() {
			s.send(s.heartbeat())
		}
		select {
		case <-s.ended:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// message is what a worker tells a node about itself.
type message struct{ path, body string }

// heartbeat returns the next heartbeat.
func (s *worker) heartbeat() message {
	return message{"/instances/" + s.id + "/heartbeat", fmt.Sprintf(
		wire.Heartbeat,
		s.machine.app, s.born, s.service, s.zone, workerSlots, s.state.Load(), s.sequence.Add(1))}
}

// deregistration returns the message with which the worker leaves.
func (s *worker) deregistration() message {
	return message{"/instances/" + s.id + "/deregister", fmt.Sprintf(`{"born":%d}`, s.born)}
}

// send sends a message to the node beside the worker and reports whether it was
// acknowledged.
func (s *worker) send(m message) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.machine.control+m.path, strings.NewReader(m.body))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.world.note("worker %s sends %s %s: no answer", s.id, m.path, m.body)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	s.world.note("worker %s sends %s %s: %d", s.id, m.path, m.body, response.StatusCode)
	return response.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (s *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	h := w.Header()
	h["Date"] = nil
	h.Set(wire.InstanceID, s.id)
	if s.leaving.Load() {
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	h.Set(wire.RequestID, id)
	reject := func(status int) {
		h.Set(wire.NotExecuted, "1")
		h.Set(wire.Stamp, "stamp-"+s.id)
		w.WriteHeader(status)
	}
	expected := r.Header.Get(wire.ExpectInstance)
	switch {
	case id == "":
		reject(http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		s.world.note("request %s reaches %s, expects %s: 421", id, s.id, expected)
		reject(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		reject(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	began := time.Now()
	s.world.note("request %s runs at %s, connection %s, caller %s, deadline %s", id, s.id, r.RemoteAddr, r.Header.Get(wire.CallerService), r.Header.Get(wire.Deadline))
	body, err := io.ReadAll(r.Body)
	entry := run{worker: s, began: began, bodyBytes: len(body), method: r.Method, path: r.URL.RequestURI(), caller: r.Header.Get(wire.CallerService), incomplete: err != nil}
	s.world.mu.Lock()
	index := len(s.world.runs[id])
	s.world.runs[id] = append(s.world.runs[id], entry)
	s.world.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-s.ended:
		panic(http.ErrAbortHandler)
	}
	succeeded := s.call == nil || s.call(id)
	s.world.mu.Lock()
	s.world.runs[id][index].ended = time.Now()
	s.world.mu.Unlock()
	if s.garble != nil && s.garble(w, r, id) {
		return
	}
	if !succeeded {
		h.Set(wire.Stamp, "stamp-"+s.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := answerBody(id, s.service, len(body))
	h.Set(wire.Stamp, "stamp-"+s.id)
	h.Set(wire.ServerLoad, fmt.Sprintf("%d,0,%d", len(s.slots), workerSlots))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer) // The node may have closed the connection.
}

// answerBody is the body of a worker's answer.
func answerBody(id, service string, bodyBytes int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s %s %d\n", id, service, bodyBytes)), 20)
}
