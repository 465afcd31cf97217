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
	"geraniumnotch.example/geraniumnotch/connlimit"
	"geraniumnotch.example/geraniumnotch/heldmemory"
)

// receiveBody buffers a short body; a long one is forwarded as it arrives.
func (x *exchange) receiveBody(cl *call.Call, request *http.Request, maxBytes int64) bool {
	if !x.awaitTurn() {
		x.finishCancelled()
		return false
	}
	remaining := x.started + cl.Remaining - x.c.server.config.Clock()
	_ = x.c.conn.SetReadDeadline(time.Now().Add(remaining)) // The next read returns the error.
	if request.Header.Get("Expect") == "100-continue" {
		request.Header.Del("Expect")
		_, _ = io.WriteString(x.c.conn, "HTTP/1.1 100 Continue\r\n\r\n") // The next read returns the error.
	}
	x.held = x.c.server.config.Memory.NewHolder(func() {
		_ = x.c.conn.SetReadDeadline(time.Now()) // The read in progress returns the error.
	})
	reader := &heldmemory.Reader{Holder: x.held, Source: clientReader{c: x.c, source: request.Body}}
	body, err := reader.ReadUpTo(x.c.ctx, request.ContentLength, maxBufferedBodyBytes+1)
	switch {
	case err != nil:
		return x.rejectBody(err)
	case int64(len(body)) > maxBytes:
		x.closeAfter = true
		x.writeFailure(http.StatusRequestEntityTooLarge, "body_too_long", 0)
		return false
	case len(body) > maxBufferedBodyBytes:
		return x.streamBody(cl, body, reader, maxBytes)
	}
	cl.BodyBytes, cl.Body = int64(len(body)), call.BytesBody(body)
	_ = x.c.conn.SetReadDeadline(time.Time{}) // The next read returns the error.
	go x.forward(x.c.ctx, cl)
	return true
}

// noMemoryRetryAfter is the retry-after where bodies hold all memory. By then those without
// progress have given way.
const noMemoryRetryAfter = heldmemory.StallTime

// clientReader reads a body from the client of a connection.
type clientReader struct {
	c      *connection
	source io.Reader
}

// Read returns the next bytes.
func (r clientReader) Read(p []byte) (int, error) {
	r.c.SetReading(connlimit.Body)
	defer r.c.SetReading(connlimit.Nothing)
	return r.source.Read(p)
}

// rejectBody responds to a request whose body did not arrive. The call was not
// forwarded.
func (x *exchange) rejectBody(err error) bool {
	x.closeAfter = true
	if isDisconnect(err) {
		x.finishCancelled()
		return false
	}
	f := newBodyFailure(err)
	x.writeFailure(f.status, f.reason, f.retryAfter)
	return false
}

// newBodyFailure returns the failure for a body of which no endpoint received a part.
func newBodyFailure(err error) *bodyFailure {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, heldmemory.ErrNoMemory):
		return &bodyFailure{http.StatusServiceUnavailable, "no_memory_for_body", noMemoryRetryAfter}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &bodyFailure{http.StatusRequestTimeout, "body_too_slow", 0}
	}
	return &bodyFailure{http.StatusBadRequest, "malformed_body", 0}
}

// streamBody forwards a long body while it arrives.
func (x *exchange) streamBody(cl *call.Call, prefix []byte, rest io.Reader, maxBytes int64) bool {
	ctx, cancel := context.WithCancel(x.c.ctx)
	body := &streamedBody{prefix: prefix, rest: rest, remaining: maxBytes - int64(len(prefix)), cancel: cancel, received: make(chan struct{})}
	x.streamed = body
	cl.Body = &attemptBody{streamedBody: body}
	go func() {
		defer cancel()
		x.forward(ctx, cl)
	}()
	select {
	case <-x.done:
		// The response was written before the whole body arrived.
	case <-body.received:
		_ = x.c.conn.SetReadDeadline(time.Time{}) // The next read returns the error.
	}
	return body.isComplete()
}

// streamedBody is a body that is read from the client while it is forwarded.
type streamedBody struct {
	prefix   []byte
	rest     io.Reader
	cancel   func()
	once     sync.Once
	received chan struct{}
	// remaining is the number of bytes that may still follow.
	remaining int64
	// failure is set if the body is incomplete and the client still awaits a response.
	failure atomic.Pointer[bodyFailure]
}

// bodyFailure is the response to a request whose body failed while it was forwarded.
type bodyFailure struct {
	status     int
	reason     string
	retryAfter time.Duration
}

var errBodyTooLong = errors.New("ingress: request body too long")

// Read returns the next bytes. An incomplete body cancels the call.
func (b *streamedBody) Read(p []byte) (int, error) {
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	n, err := b.rest.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		b.failure.Store(&bodyFailure{http.StatusRequestEntityTooLarge, "body_too_long", 0})
		b.cancel()
		return 0, errBodyTooLong
	}
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { close(b.received) })
	case err != nil:
		if !isDisconnect(err) {
			b.failure.Store(newBodyFailure(err))
		}
		b.cancel()
	}
	return n, err
}

// attemptBody is a streamed body as one attempt reads it.
type attemptBody struct {
	*streamedBody
	state atomic.Uint32
}

// States of an attemptBody.
const (
	bodyUnread uint32 = iota
	bodyStarted
	bodyRewound
)

var errBodyRewound = errors.New("ingress: request body belongs to another attempt")

// Read returns the next bytes unless the body was passed to another attempt.
func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyStarted) && b.state.Load() == bodyRewound {
		return 0, errBodyRewound
	}
	return b.streamedBody.Read(p)
}

// Rewind passes the body to another attempt. It reports false when a read has begun.
func (b *attemptBody) Rewind() (call.Body, bool) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRewound) {
		return nil, false
	}
	return &attemptBody{streamedBody: b.streamedBody}, true
}

func (b *streamedBody) isComplete() bool {
	select {
	case <-b.received:
		return true
	default:
		return false
	}
}
