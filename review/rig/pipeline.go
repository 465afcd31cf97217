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

func init() { cases["pipeline"] = pipeline }

// Figures of the case "pipeline".
const (
	// listBytes is the length of a list, which its worker sends in chunks.
	listBytes = 100_000
	// brokenShare is the share of its answers that the faulty worker breaks off.
	brokenShare       = 0.02
	pipelineSeconds   = 20
	pipelineClients   = 12
	viewsBehind       = 4
	allowedLost       = 3
	pipelineTimeoutMs = 1200
)

// pipeline plays clients that send further safe requests before the answer to the first,
// while a worker breaks off some of its answers.
func pipeline(binary, out string, trouble bool) int {
	d := newDeployment(binary, out)
	defer d.close()
	a, b, c := d.addHost("z1", "one"), d.addHost("z2", "two"), d.addHost("z3", "three")
	d.store.write("op/config", configuration(7, []route{
		{name: "view", kind: "safe", service: "two", timeoutMs: pipelineTimeoutMs, aimMs: 500, attempts: 2},
		{name: "list", kind: "safe", service: "three", timeoutMs: pipelineTimeoutMs, aimMs: 500, attempts: 2},
	}))
	for _, h := range d.hosts {
		h.start()
	}
	d.startWorker(a, "i-a")
	sound, faulty := d.startWorker(b, "i-sound"), d.startWorker(c, "i-faulty")
	var mu sync.Mutex
	broken := map[string]bool{}
	faulty.respond = func(c net.Conn, r *http.Request, _ []byte, _ func()) {
		time.Sleep(60 * time.Millisecond)
		id := r.Header.Get(wire.RequestID)
		breaksOff := trouble && rand.Float64() < brokenShare
		_, _ = io.WriteString(c, successHead(id)+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; sent < listBytes; sent += 10_000 {
			if breaksOff && sent >= listBytes*8/10 {
				mu.Lock()
				broken[id] = true
				mu.Unlock()
				d.record.add("worker i-faulty breaks off its answer to %s", id)
				_ = c.Close()
				return
			}
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", 10_000, strings.Repeat("l", 10_000))
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	sound.respond = func(_ net.Conn, _ *http.Request, _ []byte, standard func()) {
		time.Sleep(40 * time.Millisecond)
		standard()
	}
	if !d.awaitReady(15 * time.Second) {
		unable("hosts are not ready")
	}
	time.Sleep(time.Second)
	answered := map[string]bool{}
	var unanswered []string
	var running sync.WaitGroup
	end := time.Now().Add(pipelineSeconds * time.Second)
	for range pipelineClients {
		running.Go(func() {
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp", a.calls, time.Second)
				if err != nil {
					continue
				}
				reader := bufio.NewReader(c)
				for whole := true; whole && time.Now().Before(end); {
					batch := []request{{id: newID(), method: http.MethodGet, path: "/list/1", deadlineMs: pipelineTimeoutMs}}
					for range viewsBehind {
						batch = append(batch, request{id: newID(), method: http.MethodGet, path: "/view/1", deadlineMs: pipelineTimeoutMs})
					}
					_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // The next read returns the error.
					for _, q := range batch {
						_, _ = c.Write(q.bytes()) // The next read returns the error.
					}
					for i, q := range batch {
						r := readReply(reader, q.method)
						if r.err != nil {
							whole = false
							d.record.add("client: answer %d of its connection ends early: %s: %v", i+1, q.id, r)
							mu.Lock()
							for _, behind := range batch[i+1:] {
								unanswered = append(unanswered, behind.id)
							}
							mu.Unlock()
							break
						}
						mu.Lock()
						answered[q.id] = true
						mu.Unlock()
					}
					time.Sleep(100 * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	running.Wait()
	time.Sleep(time.Second)
	lost := 0
	for _, id := range unanswered {
		if len(sound.runsOf(id)) > 0 {
			lost++
			d.record.add("BROKEN: %s ran at the sound worker, its connection was closed without an answer", id)
		}
	}
	d.record.add("%d answered, %d answers broken off by the faulty worker, %d requests lost that ran at the sound one", len(answered), len(broken), lost)
	fmt.Println("answered:", len(answered), "broken off:", len(broken), "lost at the sound worker:", lost)
	switch {
	case len(answered) == 0 || trouble && len(broken) == 0:
		return exitUnable
	case lost > allowedLost:
		return exitBroken
	}
	return exitHeld
}
