package callmux

import (
	"context"
	"time"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/transport"
)

// receiptTimeout is how long a peer that sends nothing may take to confirm a call. It is
// longer than a host that may use a part of a core only, in intervals of 0.1 s, pauses.
const receiptTimeout = 200 * time.Millisecond

// quietAfter is the time without a frame from which a link may have gone silent.
const quietAfter = 100 * time.Millisecond

// shouldHold reports whether the peer must not execute a call before it is released, which
// costs a round trip. Without that, it is not known whether a call on a link that went
// silent was executed. A call that may be executed twice can be hedged instead.
func (m *Mux) shouldHold(c *call.Call) bool {
	return !c.Idempotent() || time.Since(m.link.LastReceived()) > quietAfter
}

// awaitReceipt waits until the peer has confirmed the call, and releases it if it is held.
// A held call that the peer does not confirm is not executed: its result is a rejection. It
// returns nil while the result is still to come.
func (m *Mux) awaitReceipt(ctx context.Context, id uint64, o *outgoing, c *call.Call) *call.Result {
	sentAt := time.Now()
	timer := time.NewTimer(receiptTimeout)
	defer timer.Stop()
	for {
		select {
		case <-o.received:
			return m.release(id, o)
		case result := <-o.result:
			r := m.finishRun(id, o, result)
			return &r
		case <-ctx.Done():
			r := m.cancelRun(ctx, id, o)
			return &r
		case <-timer.C:
		}
		if m.link.LastReceived().After(sentAt) {
			// The link works: the receipt waits behind other frames.
			sentAt = time.Now()
			timer.Reset(receiptTimeout)
			continue
		}
		if m.onSilence != nil {
			m.onSilence()
		}
		if c.OnSilence != nil {
			c.OnSilence()
		}
		if !o.held.Load() {
			return nil
		}
		m.removeOutgoing(id)
		_ = m.send(transport.KindCallCancel, cancelFrame{Stream: id}) // The peer executes nothing without a release.
		return &call.Result{Outcome: call.Rejected, Reason: call.ReasonNotReceived}
	}
}

// release lets the peer execute a held call.
func (m *Mux) release(id uint64, o *outgoing) *call.Result {
	if !o.held.Load() {
		return nil
	}
	frame, err := transport.EncodeFrame(transport.KindCallRelease, streamFrame{Stream: id})
	if err == nil {
		o.held.Store(false)
		if err = m.link.SendFrame(transport.KindCallRelease, frame, nil); err == nil {
			return nil
		}
	}
	m.removeOutgoing(id)
	return &call.Result{Outcome: call.Rejected, Reason: call.ReasonNoLink}
}

// confirm tells the peer that its call has arrived. A receipt that does not fit the queue
// is left out: the peer then sees the other frames.
func (m *Mux) confirm(stream uint64) {
	if frame, err := transport.EncodeFrame(transport.KindCallReceived, streamFrame{Stream: stream}); err == nil {
		_ = m.link.SendFrame(transport.KindCallReceived, frame, nil) // See above.
	}
}

// awaitRelease waits until a held call may be executed. It reports false if the call was
// cancelled or its time is over.
func (in *incoming) awaitRelease(ctx context.Context, c *call.Call) bool {
	if in.released == nil {
		return true
	}
	began := time.Now()
	timer := time.NewTimer(max(0, c.Remaining))
	defer timer.Stop()
	select {
	case <-in.released:
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
	waited := time.Since(began)
	c.Remaining -= waited
	c.TargetRemaining -= waited
	return true
}

// onReceived handles the receipt of a call of this host.
func (m *Mux) onReceived(msg transport.Message) error {
	var f streamFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	m.mu.Lock()
	o := m.outgoing[f.Stream]
	m.mu.Unlock()
	if o != nil {
		o.confirm()
	}
	return nil
}

// onRelease handles the release of a call that this host holds.
func (m *Mux) onRelease(msg transport.Message) error {
	var f streamFrame
	if err := msg.Decode(&f); err != nil {
		return err
	}
	m.mu.Lock()
	in := m.incoming[f.Stream]
	m.mu.Unlock()
	if in != nil && in.released != nil {
		in.releaseOnce.Do(func() { close(in.released) })
	}
	return nil
}
