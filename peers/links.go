package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumnotch.example/geraniumnotch/callmux"
	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/transport"
)

// checkLinks closes the links on which nothing was received for linkTimeout, and
// marks the peers whose status report is overdue as stale.
func (d *Directory) checkLinks(now time.Time) {
	for _, l := range d.manager.OpenLinks() {
		sinceReceived := now.Sub(l.LastReceived())
		if sinceReceived > linkTimeout {
			l.Close()
			continue
		}
		d.mu.Lock()
		if p := d.peers[l.Peer()]; p != nil && d.manager.Link(l.Peer()) == l {
			// A link that was opened because the one before went silent says nothing yet.
			if sinceReceived > staleAfter || l.HasReceived() {
				p.stale.Store(sinceReceived > staleAfter)
			}
			if since := p.silentSince.Load(); since != 0 && l.HasReceived() && l.LastReceived().UnixNano() > since {
				p.silentSince.Store(0)
			}
		}
		d.mu.Unlock()
	}
}

func (d *Directory) dialPeers(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		// A link may have gone silent though new connections work. The old link stays for
		// the calls on it.
		isSilent := p.Stale()
		if p.mux.Load() != nil && !isSilent {
			continue
		}
		if p.mux.Load() == nil && now.Sub(p.lastUp) > removeAfter {
			delete(d.peers, id)
			eventPeerRemoved.Log(d.config.Logger, "host", id)
			continue
		}
		if p.dialing || now.Before(p.nextDial) || d.manager.Link(id) != nil && !isSilent {
			continue
		}
		p.dialing = true
		go d.dial(ctx, p, p.record.Load().Address)
	}
}

func (d *Directory) dial(ctx context.Context, p *Peer, address string) {
	_, err := d.manager.Dial(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	p.dialing = false
	if err == nil {
		p.redialDelay = minRedialDelay
	} else {
		p.redialDelay = min(2*p.redialDelay, maxRedialDelay)
	}
	p.nextDial = time.Now().Add(p.redialDelay/2 + time.Duration(rand.Int64N(int64(p.redialDelay))))
}

func (d *Directory) onLinkUp(l *transport.Link) {
	mux := callmux.NewMux(l, d.config.Local, d.config.Clock, d.bodyLimiter)
	mux.SetHostLink(d.config.HostLink)
	mux.SetOnSilence(func() { d.onSilence(l) })
	d.mu.Lock()
	state := &linkState{mux: mux}
	state.sentLink.KBps = int64(hostlink.BytesPerSecond(d.config.Self.LinkMbps) / bytesPerKB)
	d.links[l] = state
	var limited *LimitedEndpoint
	var departed departures.List
	var reported *departures.Incarnation
	if p := d.peers[l.Peer()]; p != nil {
		p.stopped = false
		departed = p.departures()
		if e := p.lastEndpoint.Load(); e != nil {
			if e.CallsPerSecond > 0 {
				limited = &LimitedEndpoint{ID: e.ID, CallsPerSecond: e.CallsPerSecond}
			}
			if !p.IsLeaving(e) {
				reported = &departures.Incarnation{ID: e.ID, StartedAtMs: e.StartedAtMs}
			}
		}
	}
	// Calls are sent on the link that both hosts keep. One that replaces a silent link is
	// used from the first report on it.
	if p := d.peers[l.Peer()]; p != nil && d.manager.Link(l.Peer()) == l && (p.mux.Load() == nil || !p.Stale()) {
		p.mux.Store(mux)
		p.lastUp = time.Now()
	}
	d.mu.Unlock()
	status := d.config.LocalStatus()
	status.Record, status.LimitedEndpoint, status.Protocol = &d.config.Self, limited, currentProtocol
	status.ReceiverDeparted, status.ReceiverEndpoint = departed, reported
	if d.config.LocalRollouts != nil {
		status.Rollouts = d.config.LocalRollouts()
	}
	_ = l.Send(transport.KindHostStatus, status) // The queue of a new link has room.
	eventPeerUp.Log(d.config.Logger, "host", l.Peer())
}

// onSilence marks the peer of a link that does not confirm calls, and has it dialed again.
func (d *Directory) onSilence(l *transport.Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[l.Peer()]; p != nil && d.manager.Link(l.Peer()) == l {
		p.markSilent()
	}
}

// isIdle reports whether a link carries no call.
func (d *Directory) isIdle(l *transport.Link) bool {
	d.mu.Lock()
	state := d.links[l]
	d.mu.Unlock()
	return state == nil || state.mux.IsIdle()
}

func (d *Directory) onLinkDown(l *transport.Link, err error) {
	d.mu.Lock()
	mux := d.links[l].mux
	delete(d.links, l)
	if p := d.peers[l.Peer()]; p != nil && p.mux.CompareAndSwap(mux, nil) {
		p.link.Store(nil)
		p.lastUp = time.Now()
		p.nextDial = time.Now()
		status := p.status.Swap(nil)
		p.stopped = status != nil && status.Draining
		p.silentAt = time.Time{}
		if time.Since(l.LastReceived()) > staleAfter {
			p.silentAt = time.Now()
		}
	}
	d.rebuildIndex()
	d.mu.Unlock()
	mux.Close()
	eventPeerDown.Log(d.config.Logger, "host", l.Peer(), "silent_ms", time.Since(l.LastReceived()).Milliseconds(), "error", err)
}
