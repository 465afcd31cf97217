package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumnotch.example/geraniumnotch/callmux"
	"geraniumnotch.example/geraniumnotch/transport"
)

// checkSilent closes the links that bring nothing, and marks the peers whose report
// is overdue.
func (d *Directory) checkSilent(now time.Time) {
	for _, l := range d.manager.Links() {
		silent := now.Sub(l.LastReceived())
		if silent > silenceLimit {
			l.Close()
			continue
		}
		d.mu.Lock()
		if p := d.peers[l.Peer()]; p != nil {
			p.doubtful.Store(silent > doubtAfter)
		}
		d.mu.Unlock()
	}
}

func (d *Directory) dialDue(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		if p.mux.Load() != nil {
			continue
		}
		if now.Sub(p.lastUp) > forgetAfter {
			delete(d.peers, id)
			eventPeerGone.Log(d.config.Logger, "host", id)
			continue
		}
		if p.dialing || now.Before(p.nextTry) || d.manager.Link(id) != nil {
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
		p.pause = redialLeast
	} else {
		p.pause = min(2*p.pause, redialMost)
	}
	p.nextTry = time.Now().Add(p.pause/2 + time.Duration(rand.Int64N(int64(p.pause))))
}

func (d *Directory) up(l *transport.Link) {
	mux := callmux.NewMux(l, d.config.Local, d.config.Clock, d.bodies)
	d.mu.Lock()
	d.muxes[l] = mux
	if p := d.peers[l.Peer()]; p != nil {
		p.mux.Store(mux)
		p.lastUp = time.Now()
	}
	d.mu.Unlock()
	status := d.config.Report()
	status.Record = &d.config.Self
	_ = l.Send(transport.KindHostStatus, status) // The queue of a new link is empty.
	eventPeerUp.Log(d.config.Logger, "host", l.Peer())
}

func (d *Directory) down(l *transport.Link, err error) {
	d.mu.Lock()
	mux := d.muxes[l]
	delete(d.muxes, l)
	if p := d.peers[l.Peer()]; p != nil && p.mux.CompareAndSwap(mux, nil) {
		p.lastUp = time.Now()
		p.nextTry = time.Now()
		p.status.Store(nil)
	}
	d.rebuild()
	d.mu.Unlock()
	mux.Close()
	eventPeerDown.Log(d.config.Logger, "host", l.Peer(), "silent_ms", time.Since(l.LastReceived()).Milliseconds(), "error", err)
}
