package transport

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// outgoingFrame is an element of a link's send queue.
type outgoingFrame struct {
	kind  Kind
	frame []byte
	// done, if not nil, is called once the frame has left the queue, written or
	// not.
	done func()
	// closeLink marks an element without a frame that closes the link after the
	// frames before it were written.
	closeLink bool
	// handshake makes closeLink wait until the peer has closed its end too. Closing a
	// connection with unread bytes resets it, and the peer may lose the last frames.
	handshake bool
}

// Link is a connection to a peer. Its methods are safe for concurrent use.
type Link struct {
	peer   mesh.HostID
	dialed bool
	opened time.Time
	conn   *websocket.Conn
	queue  chan outgoingFrame
	meter  atomic.Pointer[Meter]
	// held is the memory of a long frame that is being read, nil if nothing limits it.
	held *heldmemory.Holder

	closeOnce sync.Once
	closed    chan struct{}
	// closing is set by the one that closes conn.
	closing atomic.Bool

	lastReceived atomic.Int64
	hasReceived  atomic.Bool
	lastSent     atomic.Int64
	receiving    atomic.Bool
	lastUsed     atomic.Int64
}

func newLink(peer mesh.HostID, dialed bool, conn *websocket.Conn, queueLength int, meter *Meter) *Link {
	now := time.Now()
	l := &Link{
		peer: peer, dialed: dialed, opened: now, conn: conn,
		queue:  make(chan outgoingFrame, queueLength),
		closed: make(chan struct{}),
	}
	l.meter.Store(meter)
	l.lastReceived.Store(now.UnixNano())
	l.lastSent.Store(now.UnixNano())
	l.lastUsed.Store(now.UnixNano())
	conn.SetReadLimit(MaxFrameBytes)
	return l
}

// Peer returns the host at the other end.
func (l *Link) Peer() mesh.HostID { return l.peer }

// Dialed reports whether this node opened the link.
func (l *Link) Dialed() bool { return l.dialed }

// SetMeter has the further traffic of the link counted by another meter.
func (l *Link) SetMeter(m *Meter) { l.meter.Store(m) }

// Opened returns the time at which the link was opened.
func (l *Link) Opened() time.Time { return l.opened }

// Receiving reports whether a part of a frame has arrived and its rest is missing.
func (l *Link) Receiving() bool { return l.receiving.Load() }

// HasReceived reports whether any bytes of a frame have arrived.
func (l *Link) HasReceived() bool { return l.hasReceived.Load() }

// LastReceived returns the time at which the last bytes of a frame arrived,
// or at which the link was opened.
func (l *Link) LastReceived() time.Time { return time.Unix(0, l.lastReceived.Load()) }

// LastSent returns the time at which the last frame to the peer was written.
func (l *Link) LastSent() time.Time { return time.Unix(0, l.lastSent.Load()) }

// LastUsed returns the time of the last message in either direction for which
// isDirect holds, or the time at which the link was opened.
func (l *Link) LastUsed() time.Time { return time.Unix(0, l.lastUsed.Load()) }

// isDirect reports whether a kind belongs to a package that opens links on demand.
// Versions and member records are sent over any link and do not keep one open.
func isDirect(kind Kind) bool { return kind > KindApplied }

// Send queues a message. It does not wait: when the queue is full, it drops the
// message and returns ErrQueueFull.
func (l *Link) Send(kind Kind, body any) error {
	frame, err := EncodeFrame(kind, body)
	if err != nil {
		return err
	}
	return l.SendFrame(kind, frame, nil)
}

// SendFrame queues an encoded frame. If done is not nil, it is called once the
// frame has been written or the link is closed; it is not called when SendFrame
// returns an error.
func (l *Link) SendFrame(kind Kind, frame []byte, done func()) error {
	select {
	case <-l.closed:
		return ErrClosed
	default:
	}
	if isDirect(kind) {
		l.lastUsed.Store(time.Now().UnixNano())
	}
	select {
	case l.queue <- outgoingFrame{kind: kind, frame: frame, done: done}:
		return nil
	default:
		return ErrQueueFull
	}
}

// SendWait queues an encoded frame and waits while the queue is full. It returns
// ErrClosed when the link ends first. A queued frame may still be lost when the
// link ends later. If done is not nil, it is called as by SendFrame.
func (l *Link) SendWait(kind Kind, frame []byte, done func()) error {
	if isDirect(kind) {
		l.lastUsed.Store(time.Now().UnixNano())
	}
	select {
	case <-l.closed:
		return ErrClosed
	case l.queue <- outgoingFrame{kind: kind, frame: frame, done: done}:
		return nil
	}
}

// Closed returns a channel that is closed when the link has ended.
func (l *Link) Closed() <-chan struct{} { return l.closed }

// Close ends the link immediately and drops the queued frames. It does not wait for a
// closing handshake that has begun.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		if !l.closing.Swap(true) {
			_ = l.conn.CloseNow()
		}
	})
}

// CloseAfterWrites ends the link after the frames in the queue were written, or
// immediately when the queue is full.
func (l *Link) CloseAfterWrites() {
	select {
	case l.queue <- outgoingFrame{closeLink: true}:
	default:
		l.Close()
	}
}

// closeWithHandshake ends the link after the frames in the queue were written and the
// peer has read them, at the latest when the link is closed otherwise.
func (l *Link) closeWithHandshake() {
	select {
	case l.queue <- outgoingFrame{closeLink: true, handshake: true}:
	case <-l.closed:
	}
}

// writeFrames writes the queued frames until the link ends.
func (l *Link) writeFrames() {
	defer l.discard()
	for {
		select {
		case <-l.closed:
			return
		case o := <-l.queue:
			if !l.writeFrame(o) {
				l.Close()
				return
			}
		}
	}
}

// writeFrame writes a frame and reports whether the link can be used further.
func (l *Link) writeFrame(o outgoingFrame) bool {
	if o.done != nil {
		defer o.done()
	}
	if o.closeLink {
		if o.handshake && !l.closing.Swap(true) {
			_ = l.conn.Close(websocket.StatusGoingAway, "") // The link ends in either case.
		}
		return false
	}
	if err := l.conn.Write(context.Background(), websocket.MessageBinary, o.frame); err != nil {
		return false
	}
	l.lastSent.Store(time.Now().UnixNano())
	l.meter.Load().sent(o.kind, frameBytes(len(o.frame), l.dialed))
	return true
}

// discard empties the queue of a closed link and calls done for each frame.
func (l *Link) discard() {
	for {
		select {
		case o := <-l.queue:
			if o.done != nil {
				o.done()
			}
		default:
			return
		}
	}
}

func (l *Link) readFrame() ([]byte, error) {
	_, r, err := l.conn.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	defer l.receiving.Store(false)
	r = progressReader{l, r}
	if l.held == nil {
		return io.ReadAll(r)
	}
	frame, err := io.ReadAll(io.LimitReader(r, uncountedFrameBytes))
	if err != nil || len(frame) < uncountedFrameBytes {
		return frame, err
	}
	rest, err := (&heldmemory.Reader{Holder: l.held, Source: r}).ReadUpTo(context.Background(), -1, MaxFrameBytes)
	return append(frame, rest...), err
}

// uncountedFrameBytes is the length of a frame from which it counts in the memory that
// clients may hold. Messages of calls are shorter.
const uncountedFrameBytes = 64 << 10

// progressReader records when each part of a frame arrives, so that a link which
// is receiving a large frame is not closed as one that receives nothing.
type progressReader struct {
	link *Link
	r    io.Reader
}

func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	p.link.lastReceived.Store(time.Now().UnixNano())
	p.link.hasReceived.Store(true)
	p.link.receiving.Store(err == nil)
	return n, err
}

// readFrames passes messages to handle until the link ends.
func (l *Link) readFrames(handle func(*Link, Message)) error {
	for {
		frame, err := l.readFrame()
		if err != nil {
			return err
		}
		m, err := ParseFrame(frame)
		if err != nil {
			return err
		}
		if isDirect(m.Kind) {
			l.lastUsed.Store(time.Now().UnixNano())
		}
		l.meter.Load().received(m.Kind, frameBytes(len(frame), !l.dialed))
		handle(l, m)
		if l.held != nil {
			l.held.Close()
		}
	}
}
