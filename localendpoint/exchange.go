package localendpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/call"
)

const (
	// answerPatience is how long after its deadline a call may still be answered.
	// Endpoints answer at the deadline themselves.
	answerPatience = 250 * time.Millisecond
	// keptAnswerBytes is the largest answer that is read whole before it is passed
	// on. A shorter answer that breaks off can then be replaced.
	keptAnswerBytes = 64 << 10
	// inlineBodyBytes is the largest request body that is written before the
	// answer is read.
	inlineBodyBytes = 4 << 10
	// maxForeignAnswers bounds the answers to other calls that are skipped.
	maxForeignAnswers = 8
)

var errForeignAnswers = errors.New("localendpoint: too many answers to other calls")

// exchange is one call on a connection to the endpoint.
type exchange struct {
	gate *Gate
	e    *Endpoint
	c    *call.Call
	conn *conn
	left time.Duration
	// bodySent is closed when the request body has been written; sendErr is set
	// before.
	bodySent chan struct{}
	sendErr  error
	// gone is set when nobody listens at the endpoint's address.
	gone bool
	// release gives the slot back. It runs once.
	release func(result call.Result)
}

// run sends the call and reads the head of the answer.
func (x *exchange) run(ctx context.Context) call.Result {
	fresh := !x.c.Idempotent()
	conn, err := x.e.pool.get(ctx, fresh)
	if err != nil {
		x.gone = errors.Is(err, syscall.ECONNREFUSED)
		return call.Result{Fate: call.Refused, Reason: call.ReasonConnect}
	}
	x.conn = conn
	// The deadline does not move while the machine is suspended; the entry keeps
	// its own time.
	_ = conn.SetDeadline(time.Now().Add(x.left + answerPatience)) // An error shows in the next read.
	stop := func() bool { return true }
	if x.c.Idempotent() {
		stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	}
	if err := x.send(); err != nil {
		stop()
		_ = conn.Close()
		return call.Result{Fate: call.Broken, Reason: call.ReasonNoAnswer, Sent: true}
	}
	result := x.receive(ctx)
	if result.Answer == nil || result.Answer.Stream == nil {
		if !stop() {
			_ = conn.Close()
		}
		return result
	}
	result.Answer.Stream.(*stream).stop = stop
	return result
}

// send writes the head and a short body. A long body is written beside the
// reading of the answer, which may come first.
func (x *exchange) send() error {
	x.bodySent = make(chan struct{})
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	x.head(b)
	if x.c.Body == nil {
		close(x.bodySent)
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if x.c.BodyBytes >= 0 && x.c.BodyBytes <= inlineBodyBytes {
		defer close(x.bodySent)
		if _, err := io.CopyN(b, x.c.Body, x.c.BodyBytes); err != nil {
			return err
		}
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		close(x.bodySent)
		return err
	}
	go func() {
		defer close(x.bodySent)
		x.sendErr = x.sendBody()
	}()
	return nil
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func (x *exchange) head(b *bytes.Buffer) {
	h := x.c.Header
	x.gate.headers.ForEndpoint(h, x.left, x.e.ID, x.c.Caller)
	b.WriteString(x.c.Method)
	b.WriteByte(' ')
	b.WriteString(x.c.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.c.Host)
	b.WriteString("\r\n")
	for name, values := range h {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	switch {
	case x.c.Body == nil:
		if x.c.Method != http.MethodGet && x.c.Method != http.MethodHead && x.c.Method != http.MethodDelete {
			b.WriteString("Content-Length: 0\r\n")
		}
	case x.c.BodyBytes >= 0:
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(x.c.BodyBytes, 10))
		b.WriteString("\r\n")
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
}

// sendBody writes the body. A body that breaks off ends the connection, so that
// the endpoint does not take it for whole.
func (x *exchange) sendBody() error {
	var err error
	if x.c.BodyBytes >= 0 {
		_, err = io.CopyN(x.conn.Conn, x.c.Body, x.c.BodyBytes)
	} else {
		err = writeChunks(x.conn.Conn, x.c.Body)
	}
	if err != nil {
		_ = x.conn.Close()
	}
	return err
}

func writeChunks(w io.Writer, r io.Reader) error {
	buffer := make([]byte, 8<<10)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			chunk := append([]byte(strconv.FormatInt(int64(n), 16)+"\r\n"), buffer[:n]...)
			if _, err := w.Write(append(chunk, '\r', '\n')); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// receive reads the answer to the call. Late answers to earlier calls are
// skipped; the echoed ID tells them apart.
func (x *exchange) receive(ctx context.Context) call.Result {
	request := &http.Request{Method: x.c.Method}
	for range maxForeignAnswers {
		if _, err := x.conn.r.Peek(1); err != nil {
			return x.failed(ctx, call.ReasonNoAnswer, err)
		}
		response, err := http.ReadResponse(x.conn.r, request)
		if err != nil {
			return x.failed(ctx, call.ReasonGarbage, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		facts := x.gate.headers.Answer(response.StatusCode, response.Header)
		if facts.RequestID != x.c.ID {
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				return x.failed(ctx, call.ReasonGarbage, err)
			}
			continue
		}
		return x.answered(ctx, response, facts)
	}
	return x.failed(ctx, call.ReasonGarbage, errForeignAnswers)
}

func (x *exchange) failed(ctx context.Context, reason string, err error) call.Result {
	_ = x.conn.Close()
	fate := call.Broken
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		fate, reason = call.Expired, call.ReasonCancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		fate = call.Expired
	}
	return call.Result{Fate: fate, Reason: reason, Sent: true}
}

// answered reads the body of the answer and decides about the connection.
func (x *exchange) answered(ctx context.Context, response *http.Response, facts call.AnswerFacts) call.Result {
	if facts.IdleLimit > 0 {
		x.conn.idleLimit = facts.IdleLimit
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, keptAnswerBytes+1))
	if err != nil {
		return x.failed(ctx, call.ReasonTruncated, err)
	}
	if len(body) > keptAnswerBytes {
		return x.stream(response, body)
	}
	x.settle(response.Close)
	if facts.NotRun {
		reason := call.ReasonDeclined
		if response.StatusCode == http.StatusMisdirectedRequest {
			reason = call.ReasonMoved
		}
		return call.Result{Fate: call.Refused, Reason: reason, Sent: true}
	}
	a := &call.Answer{Status: response.StatusCode, Header: response.Header, Bytes: int64(len(body)), Body: body}
	return call.Result{Fate: call.Answered, Sent: true, Answer: a}
}

// settle keeps the connection if both messages on it are complete.
func (x *exchange) settle(closing bool) {
	select {
	case <-x.bodySent:
		if !closing && x.sendErr == nil && x.conn.r.Buffered() == 0 {
			x.e.pool.put(x.conn)
			return
		}
	default:
		// The endpoint answered before it read the body. What follows on the
		// connection must be the rest of the body, so it ends here.
	}
	_ = x.conn.Close()
}

func (x *exchange) stream(response *http.Response, begun []byte) call.Result {
	s := &stream{x: x, begun: begun, rest: response.Body, closing: response.Close}
	a := &call.Answer{Status: response.StatusCode, Header: response.Header, Bytes: response.ContentLength, Stream: s}
	return call.Result{Fate: call.Answered, Sent: true, Answer: a}
}

// stream is the body of a long answer. The slot is held until it is closed.
type stream struct {
	x       *exchange
	begun   []byte
	rest    io.Reader
	closing bool
	ended   bool
	stop    func() bool
	once    sync.Once
}

// Read returns the next bytes, or an error when the endpoint broke off.
func (s *stream) Read(b []byte) (int, error) {
	if len(s.begun) > 0 {
		n := copy(b, s.begun)
		s.begun = s.begun[n:]
		return n, nil
	}
	n, err := s.rest.Read(b)
	s.ended = s.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close gives the slot back. A connection whose answer was not read to its end
// is closed.
func (s *stream) Close() error {
	s.once.Do(func() {
		if s.stop() && s.ended {
			s.x.settle(s.closing)
		} else {
			_ = s.x.conn.Close()
		}
		fate := call.Answered
		if !s.ended {
			fate = call.Broken
		}
		s.x.release(call.Result{Fate: fate, Sent: true})
	})
	return nil
}
