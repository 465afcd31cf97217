package callmux

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/internal/fieldname"
	"geraniumnotch.example/geraniumnotch/internal/statuscode"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Mux multiplexes the calls of one link, in both directions.
type Mux struct {
	link  *transport.Link
	local call.Runner
	clock boottime.Clock
	// bodyLimiter limits the request bodies that peers send.
	bodyLimiter *BodyLimiter
	// hostLink orders the long responses to peers; nil orders nothing.
	hostLink *hostlink.Link

	// confirms is set when the peer confirms the calls that it receives and holds those of
	// KindCallHeld until they are released.
	confirms atomic.Bool
	// readsByteStrings is set when the peer reads strings that are not UTF-8. Others would
	// close the link.
	readsByteStrings atomic.Bool
	// knowsWorkspaces is set when the peer knows workspaces. Others would ignore the
	// message that starts a call of one.
	knowsWorkspaces atomic.Bool
	// onSilence is called when the peer confirms nothing and sends nothing else.
	onSilence func()

	lastStream atomic.Uint64
	// unwritten is the number of frames of results that wait in the queue of the link.
	unwritten atomic.Int64

	mu       sync.Mutex
	closed   bool
	outgoing map[uint64]*outgoing
	incoming map[uint64]*incoming
	// minClockOffset is the minimum difference seen between this host's clock at the
	// receipt of a call and the sender's clock at its sending. What exceeds it is
	// transit delay.
	minClockOffset      boottime.Time
	minClockOffsetKnown bool
}

// outgoing is a call that this host sends to the peer.
type outgoing struct {
	result   chan call.Result
	window   *sendWindow
	response *pipe
	// unsent is the number of body bytes that the other host still needs before it
	// may start the call, 0 for calls that it may start immediately.
	unsent atomic.Int64
	// received is closed when the peer confirms that it has the call.
	received     chan struct{}
	receivedOnce sync.Once
	// held is set until the peer may execute the call.
	held atomic.Bool
}

// mayHaveStarted reports whether everything that the other host needs to start the
// call has been sent.
func (o *outgoing) mayHaveStarted() bool { return o.unsent.Load() <= 0 && !o.held.Load() }

func (o *outgoing) confirm() { o.receivedOnce.Do(func() { close(o.received) }) }

// incoming is a call that the peer sends to this host.
type incoming struct {
	cancel context.CancelFunc
	body   *pipe
	window *sendWindow
	permit permit
	// held is the memory of the call, nil if nothing limits it. It does not depend on a
	// client: the call is whole, or its body is at the other host.
	held *heldmemory.Holder
	// transfer is nil while long responses are not ordered.
	transfer *hostlink.Transfer
	// released is closed when a held call may be executed; nil for other calls.
	released    chan struct{}
	releaseOnce sync.Once
}

// NewMux returns a mux for the link. The calls of the peer are executed by local.
func NewMux(link *transport.Link, local call.Runner, clock boottime.Clock, bodyLimiter *BodyLimiter) *Mux {
	return &Mux{
		link: link, local: local, clock: clock, bodyLimiter: bodyLimiter,
		outgoing: map[uint64]*outgoing{}, incoming: map[uint64]*incoming{},
	}
}

// SetConfirms records that the peer confirms the calls that it receives.
func (m *Mux) SetConfirms() { m.confirms.Store(true) }

// SetReadsByteStrings records that the peer reads strings that are not UTF-8.
func (m *Mux) SetReadsByteStrings() { m.readsByteStrings.Store(true) }

// SetKnowsWorkspaces records that the peer knows workspaces.
func (m *Mux) SetKnowsWorkspaces() { m.knowsWorkspaces.Store(true) }

// SetHostLink sets the link by which the responses leave. It must be set before the first
// call.
func (m *Mux) SetHostLink(l *hostlink.Link) { m.hostLink = l }

// SetOnSilence sets the function that is called when the peer does not confirm a call and
// sends nothing else. It must be set before the first call.
func (m *Mux) SetOnSilence(f func()) { m.onSilence = f }

// send encodes a frame and queues it. It blocks while the link's queue is full.
func (m *Mux) send(kind transport.Kind, body any) error {
	frame, err := transport.EncodeFrame(kind, body)
	if err != nil {
		return err
	}
	return m.link.SendWait(kind, frame, nil)
}

// sendResult is send for a frame of a result to the peer.
func (m *Mux) sendResult(kind transport.Kind, body any) error {
	frame, err := transport.EncodeFrame(kind, body)
	if err != nil {
		return err
	}
	m.unwritten.Add(1)
	if err := m.link.SendWait(kind, frame, func() { m.unwritten.Add(-1) }); err != nil {
		m.unwritten.Add(-1)
		return err
	}
	return nil
}

// Run sends a call to the peer and waits for its result. When ctx ends, it cancels
// the call at the peer.
func (m *Mux) Run(ctx context.Context, c *call.Call) call.Result {
	id := m.lastStream.Add(1)
	open, rest, err := m.newOpenFrame(id, c)
	if err != nil {
		return call.Result{Outcome: call.Rejected, Reason: call.ReasonBodyIncomplete}
	}
	if open.NeedsByteStrings() && !m.readsByteStrings.Load() || c.Workspace != "" && !m.knowsWorkspaces.Load() {
		return call.Result{Outcome: call.Rejected, Reason: call.ReasonHostCannotRead}
	}
	o := &outgoing{result: make(chan call.Result, 1), window: newSendWindow(0), received: make(chan struct{})}
	o.response = newPipe(func(n int) {
		_ = m.send(transport.KindResponseCredit, creditFrame{Stream: id, Bytes: n}) // Close ends the stream if the link is lost.
	})
	if isFetchable(open.More, c.BodyBytes) {
		o.unsent.Store(c.BodyBytes)
	}
	confirms := m.confirms.Load()
	o.held.Store(confirms && rest == nil && m.shouldHold(c))
	kind, frame, err := m.encodeOpen(open, o.held.Load(), c)
	if err != nil || !m.addOutgoing(id, o) {
		return call.Result{Outcome: call.Rejected, Reason: call.ReasonNoLink}
	}
	if err := m.link.SendFrame(kind, frame, nil); err != nil {
		m.removeOutgoing(id)
		return call.Result{Outcome: call.Rejected, Reason: call.ReasonNoLink}
	}
	if rest != nil {
		go copyBody(rest, o.window, chunkBytes, func(data []byte, end, broken bool) error {
			o.unsent.Add(-int64(len(data)))
			return m.send(transport.KindCallData, dataFrame{Stream: id, Data: data, End: end, Broken: broken})
		})
	}
	if confirms {
		if r := m.awaitReceipt(ctx, id, o, c); r != nil {
			return *r
		}
	}
	select {
	case result := <-o.result:
		return m.finishRun(id, o, result)
	case <-ctx.Done():
		return m.cancelRun(ctx, id, o)
	}
}

// cancelConfirmTimeout is how long a stopping node waits for the peer to confirm that a
// cancelled call has not been executed.
const cancelConfirmTimeout = 100 * time.Millisecond

// cancelRun cancels a call at the peer. While this node stops, it waits for the peer's
// result, because a call that has not been executed may be retried by its client.
func (m *Mux) cancelRun(ctx context.Context, id uint64, o *outgoing) call.Result {
	_ = m.send(transport.KindCallCancel, cancelFrame{Stream: id}) // The peer cancels the call too if the link is lost.
	if errors.Is(context.Cause(ctx), call.ErrNodeStopping) {
		select {
		case result := <-o.result:
			return m.finishRun(id, o, result)
		case <-time.After(cancelConfirmTimeout):
		}
	}
	m.removeOutgoing(id)
	return call.Result{Outcome: call.Expired, Reason: call.ReasonCancelled, Sent: o.mayHaveStarted()}
}

// isFetchable reports whether the receiving host fetches the whole body before it
// starts the call.
func isFetchable(more bool, bytes int64) bool { return more && bytes >= 0 && bytes <= fetchableBytes }

// finishRun ends the stream, unless a response body follows: then Close of that body
// ends it.
func (m *Mux) finishRun(id uint64, o *outgoing, result call.Result) call.Result {
	if result.Response != nil && (!statuscode.IsFinal(result.Response.Status) || fieldname.Check(result.Response.Header) != nil) {
		// Earlier programs pass such a response of an endpoint on.
		m.removeOutgoing(id)
		if result.Response.Stream != nil {
			_ = m.send(transport.KindCallCancel, cancelFrame{Stream: id}) // The peer cancels the call too if the link is lost.
		}
		return call.Result{Outcome: call.Broken, Reason: call.ReasonResponseMalformed, Sent: true, Load: result.Load, HasLoad: result.HasLoad}
	}
	if result.Response == nil || result.Response.Stream == nil {
		m.removeOutgoing(id)
		return result
	}
	result.Response.Stream = &responseBody{Reader: o.response, close: func() {
		if m.removeOutgoing(id) {
			_ = m.send(transport.KindCallCancel, cancelFrame{Stream: id}) // The peer cancels the call too if the link is lost.
		}
	}}
	return result
}

type responseBody struct {
	io.Reader
	once  sync.Once
	close func()
}

// Close ends the stream.
func (a *responseBody) Close() error {
	a.once.Do(a.close)
	return nil
}

// newOpenFrame returns the open frame of a call, and the body that follows it in data
// frames or nil.
func (m *Mux) newOpenFrame(id uint64, c *call.Call) (openFrame, io.Reader, error) {
	f := openFrame{
		Stream: id, ID: c.ID, Method: c.Method, URI: c.URI, Host: c.Host, Header: flattenHeader(c.Header),
		Caller: c.Caller, Service: c.Service, Kind: c.Kind, Rank: c.Rank, Nested: c.Nested,
		Remaining: c.Remaining, TargetRemaining: c.TargetRemaining, BodyBytes: c.BodyBytes, HasBody: c.Body != nil,
	}
	var rest io.Reader
	switch {
	case c.Body == nil:
	case c.BodyBytes >= 0 && c.BodyBytes <= inlineBytes:
		body := make([]byte, c.BodyBytes)
		if _, err := io.ReadFull(c.Body, body); err != nil {
			return f, nil, errors.Wrap(err, "callmux: read body")
		}
		f.Body = body
	default:
		rest, f.More = c.Body, true
	}
	f.SentAt = m.clock()
	return f, rest, nil
}

// encodeOpen returns the message that starts a call. Only peers that know workspaces learn
// the workspace and the expected length of the response.
func (m *Mux) encodeOpen(open openFrame, held bool, c *call.Call) (transport.Kind, []byte, error) {
	kind, body := transport.KindCallOpen, any(open)
	switch {
	case m.knowsWorkspaces.Load() && (c.Workspace != "" || c.ResponseBytes > 0):
		kind = transport.KindCallOpenFor
		body = openForFrame{Open: open, Held: held, Workspace: c.Workspace, ClassRank: c.ClassRank, ResponseBytes: c.ResponseBytes}
	case held:
		kind = transport.KindCallHeld
	}
	frame, err := transport.EncodeFrame(kind, body)
	return kind, frame, err
}

func (m *Mux) addOutgoing(id uint64, o *outgoing) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.outgoing[id] = o
	return true
}

// removeOutgoing removes an outgoing call and reports whether it existed.
func (m *Mux) removeOutgoing(id uint64) bool {
	m.mu.Lock()
	o := m.outgoing[id]
	delete(m.outgoing, id)
	m.mu.Unlock()
	if o == nil {
		return false
	}
	o.window.close()
	o.response.closeWithError(ErrLinkLost)
	return true
}

// Close ends all calls after the link is closed. Outgoing calls are broken, because
// they may have been executed, or rejected if their body was not completely sent.
// Incoming calls are cancelled.
func (m *Mux) Close() {
	m.mu.Lock()
	m.closed = true
	sent, received := m.outgoing, m.incoming
	m.outgoing, m.incoming = map[uint64]*outgoing{}, map[uint64]*incoming{}
	m.mu.Unlock()
	for _, o := range sent {
		o.window.close()
		o.response.closeWithError(ErrLinkLost)
		if o.mayHaveStarted() {
			o.deliver(call.Result{Outcome: call.Broken, Reason: call.ReasonLinkLost, Sent: true})
		} else {
			o.deliver(call.Result{Outcome: call.Rejected, Reason: call.ReasonLinkLost})
		}
	}
	for _, in := range received {
		in.stop(ErrLinkLost)
	}
}

func (o *outgoing) deliver(r call.Result) {
	select {
	case o.result <- r:
	default: // The attempt already has a result.
	}
}

func (in *incoming) stop(err error) {
	in.cancel()
	in.window.close()
	in.permit.release()
	if in.body != nil {
		in.body.closeWithError(err)
	}
}

// Serving returns the number of the peer's calls whose result has not been queued, and of
// frames of results that have not been written.
func (m *Mux) Serving() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.incoming) + int(m.unwritten.Load())
}

// IsIdle reports whether the link carries no call.
func (m *Mux) IsIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.outgoing) == 0 && len(m.incoming) == 0
}

// Handle handles a message from the link. It reports false for kinds that do not
// belong to calls. It does not block.
func (m *Mux) Handle(msg transport.Message) (bool, error) {
	switch msg.Kind {
	case transport.KindCallOpen, transport.KindCallHeld, transport.KindCallOpenFor:
		return true, m.onOpen(msg)
	case transport.KindCallReceived:
		return true, m.onReceived(msg)
	case transport.KindCallRelease:
		return true, m.onRelease(msg)
	case transport.KindCallData, transport.KindResponseData:
		return true, m.onData(msg)
	case transport.KindCallCredit, transport.KindResponseCredit:
		return true, m.onCredit(msg)
	case transport.KindCallCancel:
		return true, m.onCancel(msg)
	case transport.KindResponseHead:
		return true, m.onHead(msg)
	case transport.KindAttemptFailed:
		return true, m.onFailed(msg)
	default:
		return false, nil
	}
}

func (m *Mux) onOpen(msg transport.Message) error {
	received, err := decodeOpen(msg)
	if err != nil {
		return err
	}
	f := &received.Open
	in := &incoming{permit: permit{limiter: m.bodyLimiter}}
	if !in.hold(f) {
		// The queue of the link may be full, and this goroutine reads the link.
		go func() {
			_ = m.sendResult(transport.KindAttemptFailed, failedFrame{ // The peer detects a lost link itself.
				Stream: f.Stream, Outcome: call.Rejected, Reason: call.ReasonNoMemory, RetryAfter: heldmemory.StallTime, Load: m.localLoad(),
			})
		}()
		return nil
	}
	c := &call.Call{
		ID: f.ID, Method: f.Method, URI: f.URI, Host: f.Host, Header: unflattenHeader(f.Header),
		Caller: f.Caller, Service: f.Service, Kind: f.Kind, Rank: f.Rank, Nested: f.Nested,
		Workspace: received.Workspace, ClassRank: received.ClassRank, ResponseBytes: received.ResponseBytes,
		Remaining: f.Remaining, TargetRemaining: f.TargetRemaining, BodyBytes: f.BodyBytes,
	}
	delay := m.TransitDelay(f.SentAt)
	c.Remaining -= delay
	c.TargetRemaining -= delay
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel, in.window = cancel, newSendWindow(windowBytes)
	now := m.clock()
	in.transfer = m.hostLink.NewTransfer(hostlink.Need{Nested: c.Nested, Rank: c.Rank, TargetBy: now + c.TargetRemaining, DeadlineBy: now + c.Remaining})
	if in.transfer != nil {
		c.Transfer = in.transfer
	}
	if received.Held {
		in.released = make(chan struct{})
	}
	if f.More {
		in.body = newPipe(func(n int) {
			_ = m.send(transport.KindCallCredit, creditFrame{Stream: f.Stream, Bytes: n}) // Close ends the stream if the link is lost.
		})
		body := remoteBody{in: in, bytes: f.BodyBytes, ended: ctx.Done()}
		c.Body = &body
		if isFetchable(f.More, f.BodyBytes) {
			c.Body = &fetchableBody{body}
		}
	} else if f.HasBody {
		c.Body = call.BytesBody(f.Body)
	}
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		cancel()
		in.release()
		return nil
	}
	m.incoming[f.Stream] = in
	m.mu.Unlock()
	m.confirm(f.Stream)
	go m.serve(ctx, f.Stream, in, c)
	return nil
}

const (
	// callBytes is what a call of a peer takes besides its head and its body: goroutines,
	// the call and its state.
	callBytes = 4 << 10
	// messageFieldBytes is what a field of its head takes in the message: two strings.
	messageFieldBytes = 32
)

// hold takes memory for a call that a peer opens, without waiting. It reports false if there
// is none.
func (in *incoming) hold(f *openFrame) bool {
	account := in.permit.limiter.memory
	if account == nil {
		return true
	}
	length, fields := len(f.URI), len(f.Header)/2
	for _, text := range f.Header {
		length += len(text)
	}
	in.held = account.NewHolder(nil)
	return in.held.TryGrow(callBytes + int64(len(f.Body)) + heldmemory.HeadBytes(length, fields) + messageFieldBytes*int64(fields))
}

// localLoad returns the load that a rejection states which the gate has not seen.
func (m *Mux) localLoad() call.Load {
	if gate, ok := m.local.(interface{ Load() call.Load }); ok {
		return gate.Load()
	}
	return call.Load{}
}

// release returns the memory of the call.
func (in *incoming) release() {
	if in.held != nil {
		in.held.Close()
	}
}

// decodeOpen decodes any of the messages that start a call.
func decodeOpen(msg transport.Message) (openForFrame, error) {
	var f openForFrame
	if msg.Kind == transport.KindCallOpenFor {
		if err := msg.Decode(&f); err != nil {
			return f, err
		}
		return f, f.validate()
	}
	err := msg.Decode(&f.Open)
	f.Held, f.ClassRank = msg.Kind == transport.KindCallHeld, f.Open.Rank
	return f, err
}

// TransitDelay estimates how long a frame took to arrive, relative to the fastest
// frame so far.
func (m *Mux) TransitDelay(sentAt boottime.Time) boottime.Time {
	offset := m.clock() - sentAt
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.minClockOffsetKnown || offset < m.minClockOffset {
		m.minClockOffset, m.minClockOffsetKnown = offset, true
	}
	return offset - m.minClockOffset
}

// serve executes a call of the peer and sends its result.
func (m *Mux) serve(ctx context.Context, stream uint64, in *incoming, c *call.Call) {
	defer func() {
		m.removeIncoming(stream, in)
		in.release()
	}()
	defer in.transfer.Close()
	if !in.awaitRelease(ctx, c) {
		return
	}
	r := m.local.Run(ctx, c)
	if r.Outcome != call.Answered {
		_ = m.sendResult(transport.KindAttemptFailed, failedFrame{ // The peer detects a lost link itself.
			Stream: stream, Outcome: r.Outcome, Reason: r.Reason, Sent: r.Sent, RetryAfter: r.RetryAfter, Load: r.Load,
		})
		return
	}
	a := r.Response
	defer a.Close()
	if in.held != nil {
		in.held.Take(int64(len(a.Body)))
	}
	inline, rest := a.Body, io.Reader(a.Stream)
	if len(a.Body) > chunkBytes {
		// A long frame would delay the other calls on the link.
		inline, rest = nil, bytes.NewReader(a.Body)
	}
	more := a.Stream != nil || inline == nil && a.Body != nil
	head := headFrame{
		Stream: stream, Status: a.Status, Header: flattenHeader(a.Header), BodyBytes: a.BodyBytes, Body: inline, More: more,
		Load: r.Load, NestedFailed: r.NestedFailed,
	}
	if head.NeedsByteStrings() && !m.readsByteStrings.Load() {
		_ = m.sendResult(transport.KindAttemptFailed, failedFrame{ // The peer detects a lost link itself.
			Stream: stream, Outcome: call.Broken, Reason: call.ReasonHostCannotRead, Sent: true, Load: r.Load,
		})
		return
	}
	if err := m.sendResult(transport.KindResponseHead, head); err != nil || !more {
		return
	}
	limit := chunkBytes
	if in.transfer != nil {
		in.transfer.Begin(a.BodyBytes)
		limit = hostlink.ChunkBytes
	}
	copyBody(rest, in.window, limit, func(data []byte, end, broken bool) error {
		if !in.transfer.Wait(ctx.Done(), len(data)) {
			return ErrBodyIncomplete
		}
		return m.sendResult(transport.KindResponseData, dataFrame{Stream: stream, Data: data, End: end, Broken: broken})
	})
}

func (m *Mux) removeIncoming(stream uint64, in *incoming) {
	m.mu.Lock()
	delete(m.incoming, stream)
	m.mu.Unlock()
	in.stop(io.EOF)
}

func (m *Mux) onData(msg transport.Message) error {
	var f dataFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	p, in := m.bodyPipe(msg.Kind, f.Stream)
	if p == nil {
		return nil
	}
	if in != nil && (f.End || f.Broken) {
		in.permit.release()
	}
	p.add(f.Data)
	switch {
	case f.Broken:
		p.closeWithError(ErrBodyIncomplete)
	case f.End:
		p.closeWithError(io.EOF)
	}
	return nil
}

// bodyPipe returns the pipe of the body that a data frame belongs to, and for a
// request body its call.
func (m *Mux) bodyPipe(kind transport.Kind, stream uint64) (*pipe, *incoming) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kind == transport.KindResponseData {
		if o := m.outgoing[stream]; o != nil {
			return o.response, nil
		}
		return nil, nil
	}
	if in := m.incoming[stream]; in != nil {
		return in.body, in
	}
	return nil, nil
}

func (m *Mux) onCredit(msg transport.Message) error {
	var f creditFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	if err := f.validate(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Kind == transport.KindCallCredit {
		if o := m.outgoing[f.Stream]; o != nil {
			o.window.add(f.Bytes)
		}
		return nil
	}
	if in := m.incoming[f.Stream]; in != nil {
		in.window.add(f.Bytes)
		in.transfer.Credited(f.Bytes)
	}
	return nil
}

func (m *Mux) onCancel(msg transport.Message) error {
	var f cancelFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	m.mu.Lock()
	in := m.incoming[f.Stream]
	m.mu.Unlock()
	if in != nil {
		in.stop(ErrBodyIncomplete)
	}
	return nil
}

func (m *Mux) onHead(msg transport.Message) error {
	var f headFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	if err := f.validate(); err != nil {
		return err
	}
	m.mu.Lock()
	o := m.outgoing[f.Stream]
	m.mu.Unlock()
	if o == nil {
		return nil
	}
	a := &call.Response{Status: f.Status, Header: unflattenHeader(f.Header), BodyBytes: f.BodyBytes, Body: f.Body}
	if f.More {
		a.Stream = io.NopCloser(bytes.NewReader(nil)) // finishRun replaces it by the pipe.
	}
	o.deliver(call.Result{Outcome: call.Answered, Sent: true, Load: f.Load, HasLoad: true, Response: a, NestedFailed: f.NestedFailed})
	return nil
}

func (m *Mux) onFailed(msg transport.Message) error {
	var f failedFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	if err := f.validate(); err != nil {
		return err
	}
	m.mu.Lock()
	o := m.outgoing[f.Stream]
	m.mu.Unlock()
	if o != nil {
		o.deliver(call.Result{
			Outcome: f.Outcome, Reason: f.Reason, Sent: f.Sent, RetryAfter: f.RetryAfter, Load: f.Load, HasLoad: true,
		})
	}
	return nil
}
