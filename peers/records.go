package peers

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Learn adds hosts that the store or a peer named.
func (d *Directory) Learn(records ...Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range records {
		d.learn(r)
	}
}

func (d *Directory) learn(r Record) *Peer {
	if r.Host == d.config.Self.Host || r.Host == "" || r.Address == "" {
		return nil
	}
	p := d.peers[r.Host]
	if p != nil && (p.record.Load().Incarnation >= r.Incarnation || p.mux.Load() != nil) {
		return p
	}
	if d.superseded(r) {
		return nil
	}
	return d.put(r)
}

// put takes a record over.
func (d *Directory) put(r Record) *Peer {
	p := d.peers[r.Host]
	now := time.Now()
	if p == nil {
		p = &Peer{learned: now, lastUp: now, pause: redialLeast}
		if d.config.Self.Host > r.Host {
			p.nextTry = now.Add(yieldTime)
		}
		d.peers[r.Host] = p
	} else {
		p.nextTry, p.pause = now, redialLeast
	}
	p.record.Store(&r)
	return p
}

// superseded reports whether another host has the address of the record: one that
// is linked, or a later one. Records that the new one supersedes are forgotten; a
// dial of them would reach the new host and replace the link to it.
func (d *Directory) superseded(r Record) bool {
	if r.Address == d.config.Self.Address {
		return true
	}
	for id, p := range d.peers {
		if id == r.Host || p.record.Load().Address != r.Address {
			continue
		}
		if p.mux.Load() != nil || p.record.Load().Incarnation > r.Incarnation {
			return true
		}
		d.forget(id, r)
	}
	return false
}

func (d *Directory) forget(id mesh.HostID, successor Record) {
	delete(d.peers, id)
	eventPeerGone.Log(d.config.Logger, "host", id, "address_of", successor.Host)
}

// introduce takes the record that a host reports of itself over its link. It
// replaces all that the store said, because times of day differ between hosts.
func (d *Directory) introduce(r Record) *Peer {
	for id, p := range d.peers {
		if id != r.Host && p.record.Load().Address == r.Address {
			d.forget(id, r)
		}
	}
	return d.put(r)
}
