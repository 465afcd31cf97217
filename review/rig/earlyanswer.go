package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["earlyanswer"] = earlyAnswer }

// Figures of the case "earlyanswer".
const (
	earlyClients   = 5
	earlyBodyBytes = 12 << 20
	// The worker begins its answer after earlyReadBytes of the body, and sends a part of
	// earlyPartBytes in each earlyPause while it reads the rest.
	earlyReadBytes = 1200 << 10
	earlyPartBytes = 20_000
	earlyParts     = 12
	earlyPause     = 100 * time.Millisecond
)

// earlyAnswer plays uploads that are answered before they are in, with a safe request behind
// each, at a host that is stopped as planned work. With BEHIND=order an unsafe one is sent
// behind each, which the users' clients don't do.
func earlyAnswer(binary, out string, trouble bool) int {
	d := newDeployment(binary, out)
	defer d.close()
	a, b, c := d.addHost("z1", "one"), d.addHost("z2", "two"), d.addHost("z3", "three")
	d.store.write("op/config", configuration(7, []route{
		{name: "photo", kind: "upload", service: "two", timeoutMs: 4000, aimMs: 3000, attempts: 2},
		{name: "view", kind: "safe", service: "three", timeoutMs: 3000, aimMs: 1000, attempts: 2},
		{name: "order", kind: "unsafe", service: "three", timeoutMs: 3000, aimMs: 1000, attempts: 2},
	}))
	for _, h := range d.hosts {
		h.start()
	}
	d.startWorker(a, "i-a")
	photos, views := d.startWorker(b, "i-photos"), d.startWorker(c, "i-views")
	began := make(chan struct{}, earlyClients)
	photos.early = func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get(wire.RequestID)
		if _, err := io.CopyN(io.Discard, r.Body, earlyReadBytes); err != nil {
			return true
		}
		began <- struct{}{}
		time.Sleep(500 * time.Millisecond) // The host gets its signal meanwhile.
		_, _ = io.WriteString(c, successHead(id)+"Transfer-Encoding: chunked\r\n\r\n")
		d.record.add("worker i-photos answers %s before it has read the body", id)
		rest := make(chan error, 1)
		for i := range earlyParts {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", earlyPartBytes, strings.Repeat("p", earlyPartBytes))
			if i == earlyParts/2 {
				go func() {
					_, err := io.Copy(io.Discard, r.Body)
					rest <- err
				}()
			}
			time.Sleep(earlyPause)
		}
		if err := <-rest; err != nil {
			d.record.add("worker i-photos: body of %s ends early: %v", id, err)
			return true
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	if !d.awaitReady(15 * time.Second) {
		unable("hosts are not ready")
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var running sync.WaitGroup
	var behind []string
	answered := map[string]bool{}
	whole := 0
	for range earlyClients {
		running.Go(func() {
			upload := request{id: newID(), method: http.MethodPost, path: "/photo/1", deadlineMs: 4000, body: bytes.Repeat([]byte("b"), earlyBodyBytes)}
			view := request{id: newID(), method: http.MethodGet, path: "/view/1", deadlineMs: 3000}
			if os.Getenv("BEHIND") == "order" {
				view.method, view.path = http.MethodPost, "/order/1"
			}
			mu.Lock()
			behind = append(behind, view.id)
			mu.Unlock()
			c, err := net.DialTimeout("tcp", a.calls, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(8 * time.Second)) // The next read returns the error.
			go func() {
				_, _ = c.Write(append(upload.bytes(), view.bytes()...)) // The next read returns the error.
				d.record.add("client: %s and %s behind it are sent", upload.id, view.id)
			}()
			reader := bufio.NewReader(c)
			r := readReply(reader, upload.method)
			d.record.add("client: upload %s: %v, connection closes: %v", upload.id, r, r.closing)
			if r.err != nil || r.closing {
				return // What was sent behind this answer counts as not read.
			}
			mu.Lock()
			whole++
			mu.Unlock()
			r = readReply(reader, view.method)
			d.record.add("client: view %s: %v", view.id, r)
			mu.Lock()
			defer mu.Unlock()
			answered[view.id] = r.err == nil
		})
	}
	for range earlyClients {
		select {
		case <-began:
		case <-time.After(5 * time.Second):
			unable("the uploads did not reach the worker")
		}
	}
	if trouble {
		a.signal(syscall.SIGTERM)
	}
	running.Wait()
	time.Sleep(2 * time.Second)
	lost := 0
	for _, id := range behind {
		if len(views.runsOf(id)) > 0 && !answered[id] {
			lost++
			d.record.add("BROKEN: %s was passed on to a worker and ran, and its client got no answer", id)
		}
	}
	fmt.Println("behind:", len(behind), "answered:", len(answered), "run without an answer:", lost)
	d.record.add("%d requests behind an upload, %d answered, %d ran without an answer", len(behind), len(answered), lost)
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
