package entrance

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
)

// exchange is one request of a connection on its way to its answer.
type exchange struct {
	Exchange
	c       *connection
	method  string
	started boottime.Time
	// before is closed when the request before it has been answered, done when
	// this one has.
	before, done chan struct{}
	closing      bool
	// streamed is the body when it is forwarded while it arrives.
	streamed *streamedBody
}

func (c *connection) disconnected(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (c *connection) newExchange(id string, started boottime.Time) *exchange {
	x := &exchange{c: c, started: started, before: c.tail, done: make(chan struct{})}
	x.ID = id
	c.tail = x.done
	c.pending.Add(1)
	c.server.active.Add(1)
	return x
}

// finish ends the exchange after its answer.
func (x *exchange) finish() {
	c := x.c
	x.Took = c.server.config.Clock() - x.started
	c.server.config.Observer.Finished(&x.Exchange)
	c.server.active.Add(-1)
	if x.closing {
		c.finished.Store(true)
	}
	last := c.pending.Add(-1) == 0
	close(x.done)
	switch {
	case x.closing:
		_ = c.net.SetReadDeadline(time.Now()) // Ends the reading of requests.
	case last && c.state.Load() == stateIdle:
		_ = c.net.SetReadDeadline(time.Now().Add(time.Duration(c.idle.Load())))
	}
}

// take starts the exchange of a request. It reports false when no further
// request can be read.
func (c *connection) take(request *http.Request, started boottime.Time) bool {
	id, wait, err := c.server.config.Headers.Request(request.Header)
	x := c.newExchange(id, started)
	x.method = request.Method
	x.closing = request.Close || !request.ProtoAtLeast(1, 1)
	if err != nil {
		x.closing = true
		x.fail(http.StatusBadRequest, "malformed_request", 0)
		return false
	}
	limits := c.limits()
	if request.ContentLength > limits.BodyBytes {
		x.closing = true
		x.fail(http.StatusRequestEntityTooLarge, "body_too_long", 0)
		return false
	}
	x.Wait = wait
	x.Rank, x.Nested = c.server.config.Running.Parent(id)
	if failure := x.route(request); failure != nil {
		x.closing = x.closing || request.ContentLength != 0
		x.fail(failure.status, failure.reason, failure.retryAfter)
		return !x.closing
	}
	cl := x.call(request)
	if !x.Nested && x.c.server.refuses(cl.Left) {
		x.closing = true
		x.fail(http.StatusServiceUnavailable, "node_stopping", stoppingRetry)
		return false
	}
	if x.closing {
		// What the client sends after its last request is not read.
		c.finished.Store(true)
	}
	if request.ContentLength == 0 {
		return x.startBodyless(cl)
	}
	return x.startBody(cl, request, limits.BodyBytes)
}

// stoppingRetry is when a client that a stopping node refused is told to return.
// Other nodes of its failure domain take its calls by then.
const stoppingRetry = 50 * time.Millisecond

type routeFailure struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// startTime is when a client is told to return while no plan is known.
const startTime = 300 * time.Millisecond

// route finds the route of a request. It returns why there is none.
func (x *exchange) route(request *http.Request) *routeFailure {
	plan := x.c.server.config.Plan.Load()
	if plan == nil {
		return &routeFailure{http.StatusServiceUnavailable, "no_plan", startTime}
	}
	x.Plan = plan.Version
	x.Route = plan.Match(request.Host, request.URL.EscapedPath())
	if x.Route == nil {
		return &routeFailure{http.StatusNotFound, "no_route", 0}
	}
	return nil
}

// call makes the call of the request.
func (x *exchange) call(request *http.Request) *call.Call {
	s := x.c.server
	part := s.splitter.Choose(x.Route)
	x.Service = part.Service
	left := x.Route.Timeout
	if x.Wait > 0 {
		left = min(left, x.Wait)
	}
	if !x.Nested {
		x.Rank = x.Route.Rank
	}
	if !x.Nested && x.Wait > 0 {
		x.Age = s.ages.Observe(x.Route, x.Wait, x.started)
	}
	removeConnectionHeaders(request.Header)
	return &call.Call{
		ID: x.ID, Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header,
		Caller: s.config.Caller(), Service: part.Service, Kind: x.Route.Kind, Rank: x.Rank, Nested: x.Nested,
		Left: left, TargetLeft: min(x.Route.Target-x.Age, left), BodyBytes: request.ContentLength,
	}
}

// startBodyless runs a request without a body beside those before it.
func (x *exchange) startBodyless(cl *call.Call) bool {
	if cl.Kind != 0 && !cl.Idempotent() || x.c.pending.Load() > maxPipelined {
		// A request that must not run twice is sent only when nothing before it
		// can end the connection.
		<-x.before
		if x.c.finished.Load() && !x.closing {
			x.abandon()
			return false
		}
	}
	go x.run(x.c.ctx, cl)
	return true
}

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

var errBodyTooLong = errors.New("entrance: request body too long")

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

// noteFailure tells the running call that made this one, before that can see the
// answer and end.
func (x *exchange) noteFailure() {
	if x.Nested && (x.Status >= http.StatusBadRequest || x.Status == 0) {
		x.c.server.config.Running.ChildFailed(x.ID)
	}
}

// abandon ends an exchange without an answer, because the connection ends.
func (x *exchange) abandon() {
	x.Reason, x.closing = call.ReasonCancelled, true
	x.noteFailure()
	<-x.before
	x.finish()
}

// run forwards the call and answers it.
func (x *exchange) run(ctx context.Context, cl *call.Call) {
	forwarder := x.c.server.config.Forwarder
	spent := x.c.server.config.Clock() - x.started
	cl.Left -= spent
	cl.TargetLeft -= spent
	r, a := forwarder.Forward(ctx, cl, x.Route)
	x.Result, x.Reason, x.Sent, x.Refusals, x.Host = r, r.Reason, a.sent, a.refusals, a.last
	switch r.Fate {
	case call.Answered:
		x.answer(r.Answer)
	case call.Refused:
		x.c.server.ages.Refused(x.c.server.config.Clock())
		x.fail(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	case call.Expired:
		if x.streamed != nil && x.streamed.tooLong.Load() {
			x.closing = true
			x.fail(http.StatusRequestEntityTooLarge, "body_too_long", 0)
			return
		}
		if ctx.Err() != nil {
			x.abandon()
			return
		}
		x.fail(http.StatusGatewayTimeout, r.Reason, 0)
	case call.Broken:
		x.fail(http.StatusBadGateway, r.Reason, 0)
	}
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// answer writes an endpoint's answer.
func (x *exchange) answer(a *call.Answer) {
	defer a.Close()
	<-x.before
	if x.c.finished.Load() && !x.closing {
		x.finish()
		return
	}
	x.Status = a.Status
	x.noteFailure()
	removeConnectionHeaders(a.Header)
	x.closing = x.closing || x.c.server.draining.Load()
	w := x.writer()
	defer releaseWriter(w)
	chunked := a.Stream != nil && a.Bytes < 0
	x.head(w, a.Status, a.Header, a.Bytes, chunked)
	err := x.body(w, a, chunked)
	if err != nil {
		x.Reason = call.ReasonTruncated
		x.closing = true
		// The client must not take the part for the whole.
		_ = x.c.net.Close()
	}
	x.finish()
}

func (x *exchange) body(w *bufio.Writer, a *call.Answer, chunked bool) error {
	if x.method != http.MethodHead {
		if _, err := w.Write(a.Body); err != nil {
			return err
		}
		if a.Stream != nil {
			if err := copyStream(w, a.Stream, chunked); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

func copyStream(w *bufio.Writer, r io.Reader, chunked bool) error {
	if !chunked {
		_, err := io.Copy(w, r)
		return err
	}
	buffer := make([]byte, 4<<10)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			_, _ = w.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n") // Flush returns the error.
			_, _ = w.Write(buffer[:n])
			_, _ = w.WriteString("\r\n")
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := w.WriteString("0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// fail answers with a status of the node's own.
func (x *exchange) fail(status int, reason string, retryAfter time.Duration) {
	<-x.before
	if x.c.finished.Load() && !x.closing {
		x.finish()
		return
	}
	x.Status, x.Reason = status, reason
	x.noteFailure()
	x.closing = x.closing || x.c.server.draining.Load()
	h := http.Header{}
	x.c.server.config.Headers.SetRequestID(h, x.ID)
	if retryAfter > 0 {
		x.c.server.config.Headers.SetRetryAfter(h, retryAfter)
	}
	w := x.writer()
	defer releaseWriter(w)
	x.head(w, status, h, 0, false)
	if err := w.Flush(); err != nil {
		x.closing = true
	}
	x.finish()
}

func (x *exchange) writer() *bufio.Writer {
	w := writers.Get().(*bufio.Writer)
	w.Reset(x.c.net)
	_ = x.c.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // An error shows in the next write.
	return w
}

func releaseWriter(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// head writes the head of an answer. Errors show in Flush.
func (x *exchange) head(w *bufio.Writer, status int, h http.Header, bytes int64, chunked bool) {
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(status))
	_, _ = w.WriteString("\r\n")
	for name, values := range h {
		if name == "Content-Length" && !(x.method == http.MethodHead) {
			continue
		}
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(value)
			_, _ = w.WriteString("\r\n")
		}
	}
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified || x.method == http.MethodHead:
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(bytes, 10))
		_, _ = w.WriteString("\r\n")
	}
	if x.closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
}
