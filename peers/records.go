package peers

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// AddRecords adds hosts by their records from the store or from a peer.
func (d *Directory) AddRecords(records ...Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range records {
		d.addRecord(r)
	}
}

func (d *Directory) addRecord(r Record) *Peer {
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
	return d.storeRecord(r)
}

// storeRecord adds or replaces the record of a host and schedules its next
// dial.
func (d *Directory) storeRecord(r Record) *Peer {
	p := d.peers[r.Host]
	now := time.Now()
	if p == nil {
		p = &Peer{addedAt: now, lastUp: now, redialDelay: minRedialDelay}
		if d.config.Self.Host > r.Host {
			p.nextDial = now.Add(firstDialDelay)
		}
		d.peers[r.Host] = p
	} else {
		p.nextDial, p.redialDelay = now, minRedialDelay
	}
	p.record.Store(&r)
	return p
}

// superseded reports whether another host has the address of the record: one with a
// link, or one with a later record. Otherwise it removes the older records with that
// address: dialing them would reach the new host and replace the link to it.
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
		d.removeSuperseded(id, r)
	}
	return false
}

func (d *Directory) removeSuperseded(id mesh.HostID, successor Record) {
	delete(d.peers, id)
	eventPeerRemoved.Log(d.config.Logger, "host", id, "address_of", successor.Host)
}

// replaceRecord applies the record that a host reports about itself on its link. It
// replaces the records from the store whatever their incarnation, because clocks
// differ between hosts.
func (d *Directory) replaceRecord(r Record) *Peer {
	for id, p := range d.peers {
		if id != r.Host && p.record.Load().Address == r.Address {
			d.removeSuperseded(id, r)
		}
	}
	return d.storeRecord(r)
}
