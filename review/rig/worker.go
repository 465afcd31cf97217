package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	id, method, uri, worker, caller string
	at                              time.Time
	bytes                           int
	sum                             [32]byte
}

// worker is a stand-in of an application worker beside a host.
type worker struct {
	d       *deployment
	h       *host
	id      string
	born    int64
	slots   int
	address string
	// respond writes the answer to a request whose body has been read; nil answers 200.
	respond func(c net.Conn, r *http.Request, body []byte, standard func())
	// early is called before the body is read. It reports true if it has answered.
	early func(c net.Conn, r *http.Request) bool

	mu       sync.Mutex
	sequence int
	runs     []run
	silent   bool
	listener net.Listener
}

func (d *deployment) startWorker(h *host, id string) *worker {
	w := &worker{d: d, h: h, id: id, born: time.Now().UnixMilli(), slots: 18, address: h.app}
	l, err := net.Listen("tcp", h.app)
	check(err)
	w.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(64 << 10) // What a worker has not read waits at its host.
			}
			go w.serve(c)
		}
	}()
	go w.beat()
	return w
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get(wire.RequestID)
		if expected := request.Header.Get(wire.ExpectInstance); expected != "" && expected != w.id {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.RequestID, id, wire.NotExecuted, wire.InstanceID, w.id)
			continue
		}
		if w.early != nil && w.early(c, request) {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			w.d.record.add("worker %s: body of %s is incomplete after %d bytes, not run", w.id, id, len(body))
			return
		}
		w.mu.Lock()
		w.runs = append(w.runs, run{id: id, method: request.Method, uri: request.RequestURI, worker: w.id, caller: request.Header.Get(wire.CallerService), at: time.Now(), bytes: len(body), sum: sha256.Sum256(body)})
		w.mu.Unlock()
		w.d.record.add("worker %s runs %s", w.id, id)
		standard := func() {
			_, _ = fmt.Fprintf(c, "%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", successHead(id), len(id), id)
		}
		if w.respond != nil {
			w.respond(c, request, body, standard)
		} else {
			standard()
		}
	}
}

// successHead returns the head of a success without its framing.
func successHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\n", wire.RequestID, id, wire.Stamp, id)
}

// beatBody returns the body of a heartbeat with the next sequence.
func (w *worker) beatBody(state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"address": w.address, "born": w.born, "info": map[string]any{"service": w.h.service, "version": "v1", "zone": w.h.zone, "slots": w.slots},
		"status": map[string]any{"state": state, "sequence": w.sequence, wire.ColdRemaining: 0},
	})
	check(err)
	return body
}

// call sends a heartbeat or a deregistration and returns its status, 0 without an answer
// within a second.
func (w *worker) call(path string, body []byte) int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.h.control+"/instances/"+w.id+"/"+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// beat sends a heartbeat every 1.5 s, and every 0.3 s until the first one is acknowledged.
func (w *worker) beat() {
	acknowledged := false
	for {
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if !silent {
			acknowledged = w.call("heartbeat", w.beatBody("ready")) == http.StatusOK || acknowledged
		}
		if acknowledged {
			time.Sleep(1500 * time.Millisecond)
		} else {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// setSilent ends the heartbeats or has them go on.
func (w *worker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

func (w *worker) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []run
	for _, r := range w.runs {
		if r.id == id || strings.HasPrefix(r.id, id+".") {
			found = append(found, r)
		}
	}
	return found
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}
