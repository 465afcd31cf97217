package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/call"
)

// startBody reads a short body whole; a long one is forwarded as it arrives.
func (x *exchange) startBody(cl *call.Call, request *http.Request, most int64) bool {
	<-x.before
	if x.c.finished.Load() && !x.closing {
		x.abandon()
		return false
	}
	left := x.started + cl.Left - x.c.server.config.Clock()
	_ = x.c.net.SetReadDeadline(time.Now().Add(left)) // An error shows in the next read.
	if request.Header.Get("Expect") == "100-continue" {
		request.Header.Del("Expect")
		_, _ = io.WriteString(x.c.net, "HTTP/1.1 100 Continue\r\n\r\n") // An error shows in the next read.
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, keptBodyBytes+1))
	switch {
	case err != nil:
		return x.failBody(err)
	case int64(len(body)) > most:
		x.closing = true
		x.fail(http.StatusRequestEntityTooLarge, "body_too_long", 0)
		return false
	case len(body) > keptBodyBytes:
		return x.streamBody(cl, body, request.Body, most)
	}
	cl.BodyBytes, cl.Body = int64(len(body)), call.BytesBody(body)
	_ = x.c.net.SetReadDeadline(time.Time{}) // An error shows in the next read.
	go x.run(x.c.ctx, cl)
	return true
}

// failBody answers a request whose body did not arrive. It was not forwarded.
func (x *exchange) failBody(err error) bool {
	x.closing = true
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		x.fail(http.StatusRequestTimeout, "body_too_slow", 0)
	case x.c.disconnected(err):
		x.abandon()
	default:
		x.fail(http.StatusBadRequest, "malformed_body", 0)
	}
	return false
}

// streamBody forwards a long body while it arrives.
func (x *exchange) streamBody(cl *call.Call, begun []byte, rest io.Reader, most int64) bool {
	ctx, cancel := context.WithCancel(x.c.ctx)
	defer cancel()
	body := &streamedBody{begun: begun, rest: rest, left: most - int64(len(begun)), broken: cancel, whole: make(chan struct{})}
	x.streamed = body
	cl.Body = body
	go x.run(ctx, cl)
	select {
	case <-x.done:
		// The answer came before the whole body.
	case <-body.whole:
		_ = x.c.net.SetReadDeadline(time.Time{}) // An error shows in the next read.
		return !x.closing
	}
	if !body.complete() {
		x.c.finished.Store(true)
		return false
	}
	return !x.closing
}

// streamedBody is a body that is read from the client while it is forwarded.
type streamedBody struct {
	begun  []byte
	rest   io.Reader
	broken func()
	once   sync.Once
	whole  chan struct{}
	begunR bool
	// left is how much more may follow; tooLong is set when more did.
	left    int64
	tooLong atomic.Bool
}

var errBodyTooLong = errors.New("ingress: request body too long")

// Read returns the next bytes. A body that breaks off ends the call.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.begunR = true
	if len(b.begun) > 0 {
		n := copy(p, b.begun)
		b.begun = b.begun[n:]
		return n, nil
	}
	n, err := b.rest.Read(p)
	if b.left -= int64(n); b.left < 0 {
		b.tooLong.Store(true)
		b.broken()
		return 0, errBodyTooLong
	}
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { close(b.whole) })
	case err != nil:
		b.broken()
	}
	return n, err
}

// Rewind reports whether nothing was read yet.
func (b *streamedBody) Rewind() bool { return !b.begunR }

func (b *streamedBody) complete() bool {
	select {
	case <-b.whole:
		return true
	default:
		return false
	}
}
