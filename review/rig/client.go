package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// newID returns an ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// reply is what a client has got.
type reply struct {
	status  int
	id      string
	stamped bool
	header  http.Header
	// closing is set for an answer that closes the connection.
	closing bool
	body    []byte
	// err is set for an answer that is no answer or not whole, or for none.
	err  error
	took time.Duration
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, error %v after %v", r.status, len(r.body), r.err, r.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("status %d, %d bytes after %v", r.status, len(r.body), r.took.Round(time.Millisecond))
}

// request is a request of a client.
type request struct {
	id, method, path string
	deadlineMs       int
	body             []byte
	chunked          bool
	extra            string
}

func (q request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n", q.method, q.path, wire.RequestID, q.id)
	if q.deadlineMs > 0 {
		text += fmt.Sprintf("%s: %d\r\n", wire.Deadline, q.deadlineMs)
	}
	text += q.extra
	switch {
	case q.chunked:
		text += "Transfer-Encoding: chunked\r\n"
	case q.method != http.MethodGet || len(q.body) > 0:
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return text + "\r\n"
}

// bytes returns the request as it is sent.
func (q request) bytes() []byte {
	b := []byte(q.head())
	if !q.chunked {
		return append(b, q.body...)
	}
	for rest := q.body; len(rest) > 0; {
		n := min(len(rest), 30000)
		b = append(b, fmt.Sprintf("%x\r\n", n)...)
		b = append(append(b, rest[:n]...), "\r\n"...)
		rest = rest[n:]
	}
	return append(b, "0\r\n\r\n"...)
}

// readReply reads an answer to the request.
func readReply(r *bufio.Reader, method string) reply {
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, id: response.Header.Get(wire.RequestID), stamped: response.Header.Get(wire.Stamp) != "",
		header: response.Header, body: body, err: err, closing: response.Close,
	}
}

// send sends a request on a new connection and returns the answer.
func send(address string, q request) reply { return sendWithin(address, q, 20*time.Second) }

// sendWithin is send for a client that leaves after a time.
func sendWithin(address string, q request, patience time.Duration) reply {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(patience)) // The next read returns the error.
	go func() { _, _ = io.Copy(c, bytes.NewReader(q.bytes())) }()
	r := readReply(bufio.NewReader(c), q.method)
	r.took = time.Since(began)
	return r
}
