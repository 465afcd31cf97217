package localendpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/internal/fieldname"
	"geraniumnotch.example/geraniumnotch/internal/statuscode"
)

const (
	// responseGrace is how long after the deadline of a call its response is still
	// awaited, because endpoints respond at the deadline themselves.
	responseGrace = 250 * time.Millisecond
	// maxBufferedResponseBytes is the largest response body that is read completely
	// before it is forwarded. A truncated response up to this size can be replaced
	// by an error.
	maxBufferedResponseBytes = 64 << 10
	// inlineBodyBytes is the largest request body that is written together with the
	// head, before the response is read.
	inlineBodyBytes = 4 << 10
	// maxUnrelatedResponses bounds the responses to other calls that are skipped.
	maxUnrelatedResponses = 8
	// maxSkippedBodyBytes bounds the body of a response to another call. The call waits
	// for its own response while such a body is read.
	maxSkippedBodyBytes = 1 << 20
	// declinedBodyTimeout limits the time to read the body of a response to a call that
	// was not executed, which is read only to reuse the connection.
	declinedBodyTimeout = 50 * time.Millisecond
	// responsePrefix begins the status line of every response.
	responsePrefix = "HTTP/"
)

// Errors of responses that do not belong to the call.
var (
	errNoResponse         = errors.New("localendpoint: received bytes are no HTTP response")
	errUnrelatedResponses = errors.New("localendpoint: too many responses with the ID of another call")
	errUnstamped          = errors.New("localendpoint: success without the endpoint's stamp")
	errStatus             = errors.New("localendpoint: response with a status that HTTP does not have")
	errLastResponse       = errors.New("localendpoint: the response to another call ends the connection")
)

// exchange is the request and response of one call on a connection to the endpoint.
type exchange struct {
	gate      *Gate
	endpoint  *Endpoint
	call      *call.Call
	conn      *conn
	remaining time.Duration
	// bodySent is closed when the request body has been written or has failed;
	// sendErr is set before that.
	bodySent chan struct{}
	sendErr  error
	// connectionRefused is set when nothing listens at the endpoint's address.
	connectionRefused bool
	// stopWatch ends the watch that closes the connection with the caller's context. It
	// reports false if the context has ended.
	stopWatch func() bool
	// releaseSlot releases the slot. Calls after the first have no effect.
	releaseSlot func(result call.Result)
}

// rejectionReason returns the reason why the call must not be sent although it has a
// slot, else "".
func (x *exchange) rejectionReason(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return call.ReasonCancelled
	case x.remaining < minTimeLeft:
		return call.ReasonCannotFinishInTime
	}
	return ""
}

// roundTrip sends the call and reads its response; a long response body is streamed.
func (x *exchange) roundTrip(ctx context.Context) call.Result {
	recentOnly := !x.call.Idempotent()
	conn, err := x.endpoint.pool.get(ctx, recentOnly)
	if err != nil {
		x.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		return call.Result{Outcome: call.Rejected, Reason: call.ReasonConnectFailed}
	}
	x.conn = conn
	// This deadline does not advance while the machine is suspended; the ingress
	// applies its own deadline.
	_ = conn.SetDeadline(time.Now().Add(x.remaining + responseGrace)) // The next read returns the error.
	x.stopWatch = context.AfterFunc(ctx, func() {
		if x.call.Idempotent() || errors.Is(context.Cause(ctx), call.ErrNodeStopping) {
			_ = conn.Close()
		}
	})
	if err := x.send(); err != nil {
		x.closeConnection()
		return call.Result{Outcome: call.Broken, Reason: call.ReasonNoResponse, Sent: true}
	}
	return x.readResponse(ctx)
}

// closeConnection closes the connection, which carries no further call.
func (x *exchange) closeConnection() {
	x.stopWatch()
	_ = x.conn.Close()
}

// send writes the head and a short body. A long body is written while the response
// is read, because the endpoint may respond before it has read the body.
func (x *exchange) send() error {
	x.bodySent = make(chan struct{})
	b := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(b)
	b.Reset()
	x.writeHead(b)
	if x.call.Body == nil {
		close(x.bodySent)
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if x.call.BodyBytes >= 0 && x.call.BodyBytes <= inlineBodyBytes {
		defer close(x.bodySent)
		if _, err := io.CopyN(b, x.call.Body, x.call.BodyBytes); err != nil {
			return err
		}
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		close(x.bodySent)
		return err
	}
	body, length := x.call.Body, x.call.BodyBytes // Another attempt may replace the body.
	go func() {
		defer close(x.bodySent)
		x.sendErr = x.sendBody(body, length)
	}()
	return nil
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func (x *exchange) writeHead(b *bytes.Buffer) {
	h := x.call.Header
	x.gate.headers.SetForEndpoint(h, x.remaining, x.endpoint.ID, x.call.Caller)
	b.WriteString(x.call.Method)
	b.WriteByte(' ')
	b.WriteString(x.call.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.call.Host)
	b.WriteString("\r\n")
	for name, values := range h {
		if name == "Content-Length" {
			continue // Written below.
		}
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	switch {
	case x.call.Body == nil:
		if x.call.Method != http.MethodGet && x.call.Method != http.MethodHead && x.call.Method != http.MethodDelete {
			b.WriteString("Content-Length: 0\r\n")
		}
	case x.call.BodyBytes >= 0:
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(x.call.BodyBytes, 10))
		b.WriteString("\r\n")
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
}

// sendBody writes the body. It closes the connection if the body cannot be read, so that the
// endpoint does not mistake it for a complete one. After a failed write the connection takes
// no more bytes, but a response may still be read from it.
func (x *exchange) sendBody(body io.Reader, length int64) error {
	var err error
	if length >= 0 {
		_, err = io.CopyN(x.conn, body, length)
	} else {
		err = writeChunks(x.conn, body)
	}
	if err != nil && x.conn.writeError() == nil {
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

// readResponse reads the response to the call. Late responses to earlier calls are
// skipped; the echoed request ID identifies them.
func (x *exchange) readResponse(ctx context.Context) call.Result {
	request := &http.Request{Method: x.call.Method}
	for range maxUnrelatedResponses {
		if reason, err := x.waitForResponse(); err != nil {
			return x.fail(ctx, reason, err)
		}
		response, err := x.conn.readResponse(request)
		if err != nil {
			return x.fail(ctx, call.ReasonResponseMalformed, err)
		}
		switch {
		case statuscode.IsInterim(response.StatusCode):
			continue
		case !statuscode.IsFinal(response.StatusCode):
			return x.fail(ctx, call.ReasonResponseMalformed, errStatus)
		}
		if endsWithConnection(response) {
			response.Body = closeDelimitedBody{ReadCloser: response.Body, conn: x.conn}
		}
		info := x.gate.headers.ReadResponse(response.StatusCode, response.Header)
		if info.RequestID != x.call.ID {
			if err := x.skipBody(response); err != nil {
				return x.fail(ctx, call.ReasonResponseMalformed, err)
			}
			continue
		}
		return x.finishResponse(ctx, response, info)
	}
	return x.fail(ctx, call.ReasonResponseMalformed, errUnrelatedResponses)
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// closeDelimitedBody is a response body that the end of the connection ends. It is complete
// only if the endpoint has ended the connection in order.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *conn
}

// Read returns the next bytes, or an error if the connection did not end in order.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.endedInOrder() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// waitForResponse waits for the first bytes of a response. Other bytes fail the call
// before the end of a line, which may never come. It returns the reason of an error.
func (x *exchange) waitForResponse() (string, error) {
	for n := 1; n <= len(responsePrefix); n++ {
		begin, err := x.conn.r.Peek(n)
		switch {
		case err != nil && n == 1:
			return call.ReasonNoResponse, err
		case err != nil:
			return call.ReasonResponseMalformed, err
		case string(begin) != responsePrefix[:n]:
			return call.ReasonResponseMalformed, errNoResponse
		}
	}
	return "", nil
}

// skipBody reads the body of a response to another call. It returns an error if the
// response to this call cannot follow.
func (x *exchange) skipBody(response *http.Response) error {
	if response.Close {
		// This includes a body that only the end of the connection ends.
		return errLastResponse
	}
	x.conn.limited.SetLimit(maxSkippedBodyBytes)
	defer x.conn.limited.RemoveLimit()
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

func (x *exchange) fail(ctx context.Context, reason string, err error) call.Result {
	x.closeConnection()
	outcome := call.Broken
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		outcome, reason = call.Expired, call.ReasonCancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		outcome = call.Expired
	case x.conn.limited.Exceeded():
		reason = call.ReasonResponseTooLong
	}
	return call.Result{Outcome: outcome, Reason: reason, Sent: true}
}

// finishResponse reads the body of the response, and reuses or closes the
// connection.
func (x *exchange) finishResponse(ctx context.Context, response *http.Response, info call.ResponseInfo) call.Result {
	if info.IdleTimeout > 0 {
		x.conn.idleTimeout = info.IdleTimeout
	}
	x.gate.recordState(x.endpoint, info)
	if info.NotExecuted {
		return x.finishDeclined(response)
	}
	if isSuccess(response.StatusCode) && !info.Stamped {
		// The stamp shows that the endpoint made the response. Without it, it is not known
		// what the endpoint did.
		return x.fail(ctx, call.ReasonResponseUnstamped, errUnstamped)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
	if err != nil {
		return x.fail(ctx, bodyFailureReason(err), err)
	}
	if len(body) > maxBufferedResponseBytes {
		return x.finishLongResponse(ctx, response, body)
	}
	x.returnConnection(response.Close)
	a := &call.Response{Status: response.StatusCode, Header: response.Header, BodyBytes: int64(len(body)), Body: body}
	return call.Result{Outcome: call.Answered, Sent: true, Response: a}
}

// bodyFailureReason returns the reason of an error of a response body.
func bodyFailureReason(err error) string {
	if errors.Is(err, fieldname.ErrInvalid) {
		return call.ReasonResponseMalformed
	}
	return call.ReasonResponseTruncated
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// finishDeclined returns the result of a call that the endpoint did not execute. The head
// states this, so that a failure to read the body only costs the connection.
func (x *exchange) finishDeclined(response *http.Response) call.Result {
	_ = x.conn.SetReadDeadline(time.Now().Add(declinedBodyTimeout)) // The next read returns the error.
	x.conn.limited.SetLimit(maxBufferedResponseBytes)
	closing := response.Close
	if !closing {
		_, err := io.Copy(io.Discard, response.Body)
		closing = err != nil
	}
	x.conn.limited.RemoveLimit()
	x.returnConnection(closing)
	reason := call.ReasonDeclined
	if response.StatusCode == http.StatusMisdirectedRequest {
		reason = call.ReasonOtherEndpoint
	}
	return call.Result{Outcome: call.Rejected, Reason: reason, Sent: true}
}

// returnConnection returns the connection to the pool if the request and the response
// on it are complete, and closes it otherwise. The watch ends first: it must not close
// the connection of the next call.
func (x *exchange) returnConnection(closing bool) {
	closing = !x.stopWatch() || closing
	select {
	case <-x.bodySent:
		if !closing && x.sendErr == nil && x.conn.r.Buffered() == 0 {
			x.endpoint.pool.put(x.conn)
			return
		}
	default:
		// The endpoint responded before it read the whole body. It expects the rest
		// of the body next, so the connection cannot carry another request.
	}
	_ = x.conn.Close()
}

// finishLongResponse reads the whole response if the buffers have room, so that the slot
// does not depend on how fast the client reads, and streams it otherwise.
func (x *exchange) finishLongResponse(ctx context.Context, response *http.Response, prefix []byte) call.Result {
	r := x.streamResponse(response, prefix)
	if err := x.gate.buffers.ReadWhole(ctx, r.Response); err != nil {
		return x.fail(ctx, bodyFailureReason(err), err)
	}
	return r
}

func (x *exchange) streamResponse(response *http.Response, prefix []byte) call.Result {
	s := &responseStream{x: x, prefix: prefix, rest: response.Body, closing: response.Close}
	a := &call.Response{Status: response.StatusCode, Header: response.Header, BodyBytes: response.ContentLength, Stream: s}
	return call.Result{Outcome: call.Answered, Sent: true, Response: a}
}

// responseStream is the body of a long response. Its call holds the slot until
// Close.
type responseStream struct {
	x        *exchange
	prefix   []byte
	rest     io.Reader
	closing  bool
	complete atomic.Bool
	once     sync.Once
}

// Read returns the next bytes, or an error if the endpoint truncated the body.
func (s *responseStream) Read(b []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(b, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	n, err := s.rest.Read(b)
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

// Close releases the slot. It closes the connection if the body was not read to its
// end.
func (s *responseStream) Close() error {
	s.once.Do(func() {
		outcome := call.Answered
		if s.complete.Load() {
			s.x.returnConnection(s.closing)
		} else {
			s.x.closeConnection()
			outcome = call.Broken
		}
		s.x.releaseSlot(call.Result{Outcome: outcome, Sent: true})
	})
	return nil
}
