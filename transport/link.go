package transport

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"geraniumnotch.example/geraniumnotch/mesh"
)

type outgoing struct {
	kind  Kind
	frame []byte
	// written is called after the frame left the queue, sent or not.
	written func()
	// last closes the link after the frames before it were written.
	last bool
}

// Link is a connection to a peer. Its methods are safe for concurrent use.
type Link struct {
	peer   mesh.HostID
	dialed bool
	opened time.Time
	conn   *websocket.Conn
	queue  chan outgoing
	meter  *Meter

	closeOnce sync.Once
	closed    chan struct{}

	lastReceived atomic.Int64
	lastSent     atomic.Int64
	receiving    atomic.Bool
	lastUsed     atomic.Int64
}

func newLink(peer mesh.HostID, dialed bool, conn *websocket.Conn, queue int, meter *Meter) *Link {
	now := time.Now()
	l := &Link{
		peer: peer, dialed: dialed, opened: now, conn: conn, meter: meter,
		queue:  make(chan outgoing, queue),
		closed: make(chan struct{}),
	}
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

// Opened returns the time at which the link was opened.
func (l *Link) Opened() time.Time { return l.opened }

// Receiving reports whether a part of a frame has arrived and the rest has not.
func (l *Link) Receiving() bool { return l.receiving.Load() }

// LastReceived returns the time at which the last bytes of a frame arrived.
func (l *Link) LastReceived() time.Time { return time.Unix(0, l.lastReceived.Load()) }

// LastSent returns the time at which the last frame to the peer was written.
func (l *Link) LastSent() time.Time { return time.Unix(0, l.lastSent.Load()) }

// LastUsed returns the time of the last direct message either way, or the time
// at which the link was opened.
func (l *Link) LastUsed() time.Time { return time.Unix(0, l.lastUsed.Load()) }

// direct reports whether a kind belongs to a package that opens links on demand.
// Versions and member records flow over any link and do not keep one open.
func direct(kind Kind) bool { return kind > KindApplied }

// Send queues a message. It does not wait: when the queue is full the message is
// dropped and ErrQueueFull returned.
func (l *Link) Send(kind Kind, body any) error {
	frame, err := Encode(kind, body)
	if err != nil {
		return err
	}
	return l.SendFrame(kind, frame, nil)
}

// SendFrame queues an encoded frame. The function written, if there is one, is
// called once the frame has been written or the link is closed; it is not called
// when SendFrame returns an error.
func (l *Link) SendFrame(kind Kind, frame []byte, written func()) error {
	select {
	case <-l.closed:
		return ErrClosed
	default:
	}
	if direct(kind) {
		l.lastUsed.Store(time.Now().UnixNano())
	}
	select {
	case l.queue <- outgoing{kind: kind, frame: frame, written: written}:
		return nil
	default:
		return ErrQueueFull
	}
}

// SendWait queues an encoded frame and waits while the queue is full. It returns
// ErrClosed when the link ends first; the frame may be lost all the same when the
// link ends later.
func (l *Link) SendWait(kind Kind, frame []byte) error {
	if direct(kind) {
		l.lastUsed.Store(time.Now().UnixNano())
	}
	select {
	case <-l.closed:
		return ErrClosed
	case l.queue <- outgoing{kind: kind, frame: frame}:
		return nil
	}
}

// Closed is closed when the link has ended.
func (l *Link) Closed() <-chan struct{} { return l.closed }

// Close ends the link at once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.CloseNow()
	})
}

// CloseAfterWrites ends the link after the frames in the queue were written.
func (l *Link) CloseAfterWrites() {
	select {
	case l.queue <- outgoing{last: true}:
	default:
		l.Close()
	}
}

func (l *Link) write() {
	defer l.discard()
	for {
		select {
		case <-l.closed:
			return
		case o := <-l.queue:
			if !l.writeOne(o) {
				l.Close()
				return
			}
		}
	}
}

func (l *Link) writeOne(o outgoing) bool {
	if o.written != nil {
		defer o.written()
	}
	if o.last {
		return false
	}
	if err := l.conn.Write(context.Background(), websocket.MessageBinary, o.frame); err != nil {
		return false
	}
	l.lastSent.Store(time.Now().UnixNano())
	l.meter.sent(o.kind, frameBytes(len(o.frame), l.dialed))
	return true
}

// discard releases the frames that were never written.
func (l *Link) discard() {
	for {
		select {
		case o := <-l.queue:
			if o.written != nil {
				o.written()
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
	return io.ReadAll(progress{l, r})
}

// progress notes each part of a frame that arrives, so that a link which is busy
// with a large frame does not count as silent.
type progress struct {
	link *Link
	r    io.Reader
}

func (p progress) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	p.link.lastReceived.Store(time.Now().UnixNano())
	p.link.receiving.Store(err == nil)
	return n, err
}

// read passes frames to handle until the link ends.
func (l *Link) read(handle func(*Link, Message)) error {
	for {
		frame, err := l.readFrame()
		if err != nil {
			return err
		}
		m, err := Split(frame)
		if err != nil {
			return err
		}
		if direct(m.Kind) {
			l.lastUsed.Store(time.Now().UnixNano())
		}
		l.meter.received(m.Kind, frameBytes(len(frame), !l.dialed))
		handle(l, m)
	}
}
