package main

import (
	"fmt"
	"io"
	"time"
)

// smuggled lets a client send a request whose body holds the text of another one. The name
// of the header that states the length of the body is followed by a space, for which a
// server must reject the request (RFC 9112, section 5.1).
func smuggled(w *world, trouble bool) bool {
	w.store.Write("op/config", configuration(1, route{"/order/", "unsafe", "pedidos", 1500 * time.Millisecond, 600 * time.Millisecond}))
	clients, first := w.addMachine("m-clients", "a", "rutas"), w.addMachine("m-first", "a", "pedidos")
	for _, m := range w.machines {
		m.start()
	}
	w.startWorker(clients, "i-rutas-1", 100*time.Millisecond)
	w.startWorker(first, "i-pedidos-1", 100*time.Millisecond)
	time.Sleep(leadTime)
	w.awaitServed(clients, "/order/warm")
	const attempts = 10
	ran := 0
	for range attempts {
		inner := newRequest(clients, "POST", "/order/inner", "not an order", 1500*time.Millisecond)
		outer := newRequest(clients, "POST", "/order/outer", inner.head()+inner.body, 1500*time.Millisecond)
		header := "Content-Length"
		if trouble {
			header += " "
		}
		w.sendWithLengthHeader(outer, header)
		w.mu.Lock()
		runs := len(w.runs[inner.id])
		w.mu.Unlock()
		w.note("the body of request %s holds the text of request %s, which no client sent; it ran %d times", outer.id, inner.id, runs)
		ran += runs
	}
	w.say("%d requests had the text of another request as their body; workers ran %d of those texts as requests", attempts, ran)
	return ran == 0
}

// sendWithLengthHeader sends a request with the given name of the header for the length of
// the body, and waits for all that is answered.
func (w *world) sendWithLengthHeader(q *request, header string) {
	c, err := dial(q.machine)
	check(err)
	defer func() { _ = c.conn.Close() }()
	q.sent = time.Now()
	_ = c.conn.SetDeadline(q.sent.Add(time.Second)) // The next call returns the error.
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s: %d\r\n\r\n%s",
		q.method, q.path, routeHost, q.id, q.deadline.Milliseconds(), header, len(q.body), q.body)
	_, err = io.WriteString(c.conn, text)
	check(err)
	w.note("client sends %q", text)
	answers, _ := io.ReadAll(c.conn) // The connection may stay open.
	w.note("client gets %q", answers)
}
