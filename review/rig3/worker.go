package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	id string
	at time.Time
}

// worker is a stand-in of an application worker, as the pages describe it.
type worker struct {
	host     *host
	id       string
	born     int64
	sequence atomic.Int64
	leaves   atomic.Bool
	silent   atomic.Bool
	work     time.Duration
	// serve replaces the usual handling of a request after it was recorded.
	serve func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs []run
}

// newWorker starts a worker at the endpoint address of a host.
func (h *host) newWorker(id string) *worker {
	w := &worker{host: h, id: id, born: time.Now().UnixMilli(), work: 20 * time.Millisecond}
	l, err := net.Listen("tcp", h.endpoint)
	if err != nil {
		abandon(err)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(w.handle)) }() // Ends with the rig.
	go func() {
		for {
			if !w.silent.Load() {
				w.beat("ready")
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return w
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(wire.InstanceID, w.id)
	if r.URL.Path == "/health" {
		if w.leaves.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(wire.RequestID)
	rw.Header().Set(wire.RequestID, id)
	if expected := r.Header.Get(wire.ExpectInstance); expected != "" && expected != w.id {
		rw.Header().Set(wire.NotExecuted, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := time.Now()
	w.mu.Lock()
	w.runs = append(w.runs, run{id, began})
	w.mu.Unlock()
	w.host.rig.log("%s runs %s", w.id, id)
	if w.serve != nil {
		w.serve(rw, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // A truncated body is not judged here.
	time.Sleep(w.work)
	rw.Header().Set(wire.Stamp, "stamp-"+id)
	_, _ = fmt.Fprintf(rw, "answer to %s by %s", id, w.id) // The caller may have left.
}

func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, x := range w.runs {
		if x.id == id {
			n++
		}
	}
	return n
}

// heartbeat returns the next heartbeat.
func (w *worker) heartbeat(state string) (path, body string) {
	return "/instances/" + w.id + "/heartbeat", fmt.Sprintf(
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":12},"status":{"state":%q,"sequence":%d,%q:0}}`,
		w.host.endpoint, w.born, w.host.service, w.host.domain, state, w.sequence.Add(1), wire.ColdRemaining)
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (w *worker) beat(state string) bool { return w.post(w.heartbeat(state)) }

// deregister sends a deregistration and reports whether it was acknowledged.
func (w *worker) deregister() bool {
	return w.post("/instances/"+w.id+"/deregister", fmt.Sprintf(`{"born":%d}`, w.born))
}

func (w *worker) post(path, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+w.host.announcements+path, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
