package callmux

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Mux carries the calls of one link in both directions.
type Mux struct {
	link  *transport.Link
	local call.Runner
	clock boottime.Clock
	// bodies bounds the request bodies of peers.
	bodies *Bodies

	next atomic.Uint64

	mu       sync.Mutex
	closed   bool
	outgoing map[uint64]*outgoing
	incoming map[uint64]*incoming
	// fastest is the least difference seen between the receipt of a call and the
	// sender's clock. What a frame takes longer was spent under way.
	fastest      boottime.Time
	fastestKnown bool
}

// outgoing is a call that this host sent.
type outgoing struct {
	result chan call.Result
	flow   *flow
	answer *pipe
	// unsent is the number of bytes that are missing at the other host before it
	// may start the call, 0 for calls that it may start at once.
	unsent atomic.Int64
}

// mayHaveRun reports whether the other host had all that it needs to start.
func (o *outgoing) mayHaveRun() bool { return o.unsent.Load() <= 0 }

// incoming is a call that the peer sent.
type incoming struct {
	cancel context.CancelFunc
	body   *pipe
	flow   *flow
	permit permit
}

// NewMux returns the calls of a link. Calls of the peer are run by local.
func NewMux(link *transport.Link, local call.Runner, clock boottime.Clock, bodies *Bodies) *Mux {
	return &Mux{
		link: link, local: local, clock: clock, bodies: bodies,
		outgoing: map[uint64]*outgoing{}, incoming: map[uint64]*incoming{},
	}
}

// send encodes a frame and queues it, waiting while the link's queue is full.
func (m *Mux) send(kind transport.Kind, body any) error {
	frame, err := transport.Encode(kind, body)
	if err != nil {
		return err
	}
	return m.link.SendWait(kind, frame)
}

// Run sends a call to the peer and waits for its answer. When ctx ends, the call
// is cancelled at the peer.
func (m *Mux) Run(ctx context.Context, c *call.Call) call.Result {
	id := m.next.Add(1)
	open, rest, err := m.open(id, c)
	if err != nil {
		return call.Result{Fate: call.Refused, Reason: call.ReasonBodyMissing}
	}
	o := &outgoing{result: make(chan call.Result, 1), flow: newFlow(0)}
	o.answer = newPipe(func(n int) {
		_ = m.send(transport.KindAnswerCredit, creditFrame{Stream: id, Bytes: n}) // A lost link ends the stream.
	})
	if fetchable(open.More, c.BodyBytes) {
		o.unsent.Store(c.BodyBytes)
	}
	frame, err := transport.Encode(transport.KindCallOpen, open)
	if err != nil || !m.begin(id, o) {
		return call.Result{Fate: call.Refused, Reason: call.ReasonNoLink}
	}
	if err := m.link.SendFrame(transport.KindCallOpen, frame, nil); err != nil {
		m.end(id)
		return call.Result{Fate: call.Refused, Reason: call.ReasonNoLink}
	}
	if rest != nil {
		go copyBody(rest, o.flow, func(data []byte, end, broken bool) error {
			o.unsent.Add(-int64(len(data)))
			return m.send(transport.KindCallData, dataFrame{Stream: id, Data: data, End: end, Broken: broken})
		})
	}
	select {
	case result := <-o.result:
		return m.finish(id, o, result)
	case <-ctx.Done():
		m.end(id)
		_ = m.send(transport.KindCallCancel, cancelFrame{Stream: id}) // A lost link cancels as well.
		return call.Result{Fate: call.Expired, Reason: call.ReasonCancelled, Sent: o.mayHaveRun()}
	}
}

// fetchable reports whether the other host fetches the whole body before it starts
// the call.
func fetchable(more bool, bytes int64) bool { return more && bytes >= 0 && bytes <= fetchableBytes }

// finish ends the stream unless the answer's body is still to come.
func (m *Mux) finish(id uint64, o *outgoing, result call.Result) call.Result {
	if result.Answer == nil || result.Answer.Stream == nil {
		m.end(id)
		return result
	}
	result.Answer.Stream = &answerBody{Reader: o.answer, close: func() {
		if m.end(id) {
			_ = m.send(transport.KindCallCancel, cancelFrame{Stream: id}) // A lost link cancels as well.
		}
	}}
	return result
}

type answerBody struct {
	io.Reader
	once  sync.Once
	close func()
}

// Close ends the stream.
func (a *answerBody) Close() error {
	a.once.Do(a.close)
	return nil
}

// open returns the first frame of a call and the body that follows it.
func (m *Mux) open(id uint64, c *call.Call) (openFrame, io.Reader, error) {
	f := openFrame{
		Stream: id, ID: c.ID, Method: c.Method, URI: c.URI, Host: c.Host, Header: flatten(c.Header),
		Caller: c.Caller, Service: c.Service, Kind: c.Kind, Rank: c.Rank, Nested: c.Nested,
		Left: c.Left, TargetLeft: c.TargetLeft, BodyBytes: c.BodyBytes, HasBody: c.Body != nil,
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

func (m *Mux) begin(id uint64, o *outgoing) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.outgoing[id] = o
	return true
}

// end forgets an outgoing call and reports whether it was known.
func (m *Mux) end(id uint64) bool {
	m.mu.Lock()
	o := m.outgoing[id]
	delete(m.outgoing, id)
	m.mu.Unlock()
	if o == nil {
		return false
	}
	o.flow.close()
	o.answer.finish(ErrLinkLost)
	return true
}

// Close fails all calls of the link: those sent may have run unless their body is
// not complete at the other host, those received are cancelled.
func (m *Mux) Close() {
	m.mu.Lock()
	m.closed = true
	sent, received := m.outgoing, m.incoming
	m.outgoing, m.incoming = map[uint64]*outgoing{}, map[uint64]*incoming{}
	m.mu.Unlock()
	for _, o := range sent {
		o.flow.close()
		o.answer.finish(ErrLinkLost)
		if o.mayHaveRun() {
			o.deliver(call.Result{Fate: call.Broken, Reason: call.ReasonLinkLost, Sent: true})
		} else {
			o.deliver(call.Result{Fate: call.Refused, Reason: call.ReasonLinkLost})
		}
	}
	for _, in := range received {
		in.stop(ErrLinkLost)
	}
}

func (o *outgoing) deliver(r call.Result) {
	select {
	case o.result <- r:
	default: // The attempt has its result.
	}
}

func (in *incoming) stop(err error) {
	in.cancel()
	in.flow.close()
	in.permit.release()
	if in.body != nil {
		in.body.finish(err)
	}
}

// Handle takes a message of the link. It reports false for kinds that do not
// belong to calls. It does not wait.
func (m *Mux) Handle(msg transport.Message) (bool, error) {
	switch msg.Kind {
	case transport.KindCallOpen:
		return true, m.onOpen(msg)
	case transport.KindCallData, transport.KindAnswerData:
		return true, m.onData(msg)
	case transport.KindCallCredit, transport.KindAnswerCredit:
		return true, m.onCredit(msg)
	case transport.KindCallCancel:
		return true, m.onCancel(msg)
	case transport.KindAnswerHead:
		return true, m.onHead(msg)
	case transport.KindAttemptFailed:
		return true, m.onFailed(msg)
	default:
		return false, nil
	}
}

func (m *Mux) onOpen(msg transport.Message) error {
	var f openFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	c := &call.Call{
		ID: f.ID, Method: f.Method, URI: f.URI, Host: f.Host, Header: unflatten(f.Header),
		Caller: f.Caller, Service: f.Service, Kind: f.Kind, Rank: f.Rank, Nested: f.Nested,
		Left: f.Left, TargetLeft: f.TargetLeft, BodyBytes: f.BodyBytes,
	}
	late := m.underWay(f.SentAt)
	c.Left -= late
	c.TargetLeft -= late
	ctx, cancel := context.WithCancel(context.Background())
	in := &incoming{cancel: cancel, flow: newFlow(windowBytes), permit: permit{bodies: m.bodies}}
	if f.More {
		in.body = newPipe(func(n int) {
			_ = m.send(transport.KindCallCredit, creditFrame{Stream: f.Stream, Bytes: n}) // A lost link ends the stream.
		})
		body := remoteBody{in: in, bytes: f.BodyBytes, ended: ctx.Done()}
		c.Body = &body
		if fetchable(f.More, f.BodyBytes) {
			c.Body = &fetchableBody{body}
		}
	} else if f.HasBody {
		c.Body = call.BytesBody(f.Body)
	}
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		cancel()
		return nil
	}
	m.incoming[f.Stream] = in
	m.mu.Unlock()
	go m.serve(ctx, f.Stream, in, c)
	return nil
}

// underWay returns how much longer than the fastest a frame took to arrive.
func (m *Mux) underWay(sentAt boottime.Time) boottime.Time {
	difference := m.clock() - sentAt
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fastestKnown || difference < m.fastest {
		m.fastest, m.fastestKnown = difference, true
	}
	return difference - m.fastest
}

// serve runs a call of the peer and sends its result.
func (m *Mux) serve(ctx context.Context, stream uint64, in *incoming, c *call.Call) {
	defer m.forget(stream, in)
	r := m.local.Run(ctx, c)
	if r.Fate != call.Answered {
		_ = m.send(transport.KindAttemptFailed, failedFrame{ // The peer sees the lost link itself.
			Stream: stream, Fate: r.Fate, Reason: r.Reason, Sent: r.Sent, RetryAfter: r.RetryAfter, Load: r.Load,
		})
		return
	}
	a := r.Answer
	defer a.Close()
	head := headFrame{
		Stream: stream, Status: a.Status, Header: flatten(a.Header), Bytes: a.Bytes, Body: a.Body, More: a.Stream != nil,
		Load: r.Load, NestedFailed: r.NestedFailed,
	}
	if err := m.send(transport.KindAnswerHead, head); err != nil || a.Stream == nil {
		return
	}
	copyBody(a.Stream, in.flow, func(data []byte, end, broken bool) error {
		return m.send(transport.KindAnswerData, dataFrame{Stream: stream, Data: data, End: end, Broken: broken})
	})
}

func (m *Mux) forget(stream uint64, in *incoming) {
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
	p, in := m.pipeOf(msg.Kind, f.Stream)
	if p == nil {
		return nil
	}
	if in != nil && (f.End || f.Broken) {
		in.permit.release()
	}
	p.add(f.Data)
	switch {
	case f.Broken:
		p.finish(ErrBodyBroken)
	case f.End:
		p.finish(io.EOF)
	}
	return nil
}

// pipeOf returns the body that a frame belongs to, with the call for the body of
// a request.
func (m *Mux) pipeOf(kind transport.Kind, stream uint64) (*pipe, *incoming) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kind == transport.KindAnswerData {
		if o := m.outgoing[stream]; o != nil {
			return o.answer, nil
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
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Kind == transport.KindCallCredit {
		if o := m.outgoing[f.Stream]; o != nil {
			o.flow.add(f.Bytes)
		}
		return nil
	}
	if in := m.incoming[f.Stream]; in != nil {
		in.flow.add(f.Bytes)
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
		in.stop(ErrBodyBroken)
	}
	return nil
}

func (m *Mux) onHead(msg transport.Message) error {
	var f headFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	m.mu.Lock()
	o := m.outgoing[f.Stream]
	m.mu.Unlock()
	if o == nil {
		return nil
	}
	a := &call.Answer{Status: f.Status, Header: unflatten(f.Header), Bytes: f.Bytes, Body: f.Body}
	if f.More {
		a.Stream = io.NopCloser(bytes.NewReader(nil)) // Run puts the pipe in its place.
	}
	o.deliver(call.Result{Fate: call.Answered, Sent: true, Load: f.Load, HasLoad: true, Answer: a, NestedFailed: f.NestedFailed})
	return nil
}

func (m *Mux) onFailed(msg transport.Message) error {
	var f failedFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	m.mu.Lock()
	o := m.outgoing[f.Stream]
	m.mu.Unlock()
	if o != nil {
		o.deliver(call.Result{
			Fate: f.Fate, Reason: f.Reason, Sent: f.Sent, RetryAfter: f.RetryAfter, Load: f.Load, HasLoad: true,
		})
	}
	return nil
}
