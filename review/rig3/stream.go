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
	"sync/atomic"
	"time"
)

func init() { cases["stream-behind"] = streamBehind }

const (
	// listBytes is the length of a list, and brokenShare the share of the lists that the
	// worker breaks off.
	listBytes   = 1_500_000
	brokenShare = 0.02
	// behind is the number of requests that a client sends behind the one for a list.
	behind = 4
	// garbleTime is how long the worker breaks lists off.
	garbleTime = 5500 * time.Millisecond
)

// pipelined is what a client knows of a request.
type pipelined struct {
	id       string
	answered bool
}

// streamBehind: clients send a request for a list and four others behind it. A worker breaks
// off some of the lists; the others are of another, sound worker.
func streamBehind(r *rig) bool {
	a, b := r.newHost("host-a", "z1", "lists"), r.newHost("host-b", "z2", "looks")
	r.configure(1, 2000, route{"lists", "safe", "lists"}, route{"looks", "safe", "looks"})
	for _, h := range r.hosts {
		h.start()
	}
	lists, looks := a.newWorker("w-lists"), b.newWorker("w-looks")
	looks.work = 10 * time.Millisecond
	body := []byte(strings.Repeat("0123456789", listBytes/10))
	var garbles atomic.Bool
	var broken atomic.Int64
	lists.serve = func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(wire.RequestID)
		time.Sleep(40 * time.Millisecond)
		w.Header().Set(wire.Stamp, "stamp-"+id)
		w.Header().Set("Content-Length", fmt.Sprint(listBytes))
		if garbles.Load() && rand.Float64() < brokenShare {
			broken.Add(1)
			r.log("w-lists breaks the answer to %s off", id)
			_, _ = w.Write(body[:listBytes/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body) // The caller may have left.
	}
	a.awaitReady(10 * time.Second)
	b.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)

	var stop atomic.Bool
	var mu sync.Mutex
	var unanswered []string
	sent := 0
	var wait sync.WaitGroup
	for n := range 16 {
		wait.Go(func() {
			for i := 0; !stop.Load(); i++ {
				for _, x := range a.sendPipelines(fmt.Sprintf("c%d-%d", n, i), &stop) {
					mu.Lock()
					sent++
					if !x.answered {
						unanswered = append(unanswered, x.id)
					}
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	garbles.Store(r.trouble)
	time.Sleep(garbleTime)
	garbles.Store(false)
	time.Sleep(time.Second)
	stop.Store(true)
	wait.Wait()
	lost := 0
	for _, id := range unanswered {
		if looks.ran(id) > 0 {
			lost++
			r.log("%s ran at the sound worker and has no answer", id)
		}
	}
	text := fmt.Sprintf("%d answers broken off; of %d requests %d that ran at the sound worker have no answer, 3 are allowed", broken.Load(), sent, lost)
	r.log("%s", text)
	fmt.Println(text)
	return lost > 3
}

// sendPipelines sends requests on one connection until it ends: a request for a list, and
// others behind it before its answer. It returns all requests.
func (h *host) sendPipelines(name string, stop *atomic.Bool) (all []*pipelined) {
	c, err := net.Dial("tcp", h.calls)
	if err != nil {
		abandon(err)
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for round := 0; !stop.Load(); round++ {
		var text strings.Builder
		var batch []*pipelined
		for i := range 1 + behind {
			service := "looks"
			if i == 0 {
				service = "lists"
			}
			x := &pipelined{id: fmt.Sprintf("%s-%d-%s%d", name, round, service, i)}
			batch = append(batch, x)
			fmt.Fprintf(&text, "GET /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 3000\r\n\r\n", service, wire.RequestID, x.id, wire.Deadline)
			h.rig.log("client sends %s", x.id)
		}
		all = append(all, batch...)
		if _, err := io.WriteString(c, text.String()); err != nil {
			return all
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // The next read returns the error.
		for _, x := range batch {
			response, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
			if err != nil {
				h.rig.log("client has no answer to %s: %v", x.id, err)
				return all
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err != nil {
				h.rig.log("the answer to %s breaks off: %v", x.id, err)
				return all
			}
			x.answered = true
			h.rig.log("client got %d for %s", response.StatusCode, x.id)
			if response.Close {
				return all
			}
		}
	}
	return all
}
