package membership

import (
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// MergeResult is the result of a merge.
type MergeResult struct {
	// Changed are the hosts whose records changed and must be forwarded to peers.
	Changed []mesh.HostID
	// Stale are the hosts for which the table holds a newer record than the one
	// received; the sender should get it.
	Stale []mesh.HostID
	// Unchanged are the hosts whose received records equal those of the table.
	Unchanged []mesh.HostID
	// Refuted is set if the node raised its own incarnation to override a suspicion,
	// a declaration of death, or a record of an earlier run of the host.
	Refuted bool
	// Invalid is the number of records that exceeded the limits.
	Invalid int
}

// Merge merges records from a peer into the table.
func (t *Table) Merge(records []Record, now time.Time) MergeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result MergeResult
	for i := range records {
		r := &records[i]
		switch {
		case r.Validate() != nil:
			result.Invalid++
		case r.Host == t.self:
			t.mergeSelf(r, now, &result)
		default:
			t.mergeOther(r, now, &result)
		}
	}
	return result
}

// mergeSelf handles a record about the node itself. Only the node writes its
// record, so a newer one comes from a peer that suspects it or declares it dead,
// or from an earlier run of the host. The node refutes it with a higher
// incarnation.
func (t *Table) mergeSelf(r *Record, now time.Time, result *MergeResult) {
	own := t.entries[t.self].record
	if equal(own, r) {
		result.Unchanged = append(result.Unchanged, t.self)
		return
	}
	newer := r.Incarnation > own.Incarnation
	overridden := r.Incarnation == own.Incarnation && statePrecedence(r.State) > statePrecedence(own.State)
	notWrittenHere := r.Incarnation == own.Incarnation && r.Revision >= own.Revision && statePrecedence(r.State) == 0
	if !newer && !overridden && !notWrittenHere {
		result.Stale = append(result.Stale, t.self)
		return
	}
	if !t.refutations.AllowN(now, 1) {
		return
	}
	next := *own
	next.Incarnation = r.Incarnation + 1
	next.Revision = 0
	t.put(&next, now)
	result.Refuted = true
	result.Changed = append(result.Changed, t.self)
}

func (t *Table) mergeOther(r *Record, now time.Time, result *MergeResult) {
	e, known := t.entries[r.Host]
	if !known {
		// An unknown dead or left host is not stored: the digests omit it, and storing
		// it again would keep its record beyond the retention.
		if !r.State.DeadOrLeft() {
			t.put(r, now)
			result.Changed = append(result.Changed, r.Host)
		}
		return
	}
	if equal(e.record, r) {
		result.Unchanged = append(result.Unchanged, r.Host)
		return
	}
	merged := Join(*e.record, *r)
	if merged.State == StateDead && !e.record.State.DeadOrLeft() {
		t.deferDead(e, &merged, now)
	}
	if equal(&merged, e.record) {
		if !equal(&merged, r) && r.State != StateDead {
			result.Stale = append(result.Stale, r.Host)
		}
		return
	}
	t.put(&merged, now)
	if merged.State == StateSuspect && r.State == StateDead {
		e.deadReported = true
	}
	result.Changed = append(result.Changed, r.Host)
}

// deferDead turns the state dead into suspect for a host that this node does not
// list as dead. The host so gets the chance to refute before any node that saw it
// alive drops it; otherwise the two sides of a healed partition would briefly
// empty each other's tables.
func (t *Table) deferDead(e *entry, merged *Record, now time.Time) {
	merged.State = StateSuspect
	if e.record.State == StateSuspect && e.record.Incarnation == merged.Incarnation {
		e.deadReported = true
		if now.Sub(e.stateSince) >= t.options.SuspicionTimeout {
			merged.State = StateDead
		}
	}
}

// Suspect marks a host of the local failure domain as suspect if it still has the
// given incarnation. It reports whether the table changed.
func (t *Table) Suspect(h mesh.HostID, incarnation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[h]
	if !known || h == t.self || e.record.Domain != t.domain || e.record.Incarnation != incarnation {
		return false
	}
	if e.record.State != StateAlive && e.record.State != StateDraining {
		return false
	}
	next := *e.record
	next.State = StateSuspect
	t.put(&next, now)
	return true
}

// Tick declares suspects dead whose suspicion timeout is over and removes dead and
// left records whose retention is over. It returns the hosts that were declared
// dead. A suspect of a remote failure domain is declared dead only after a peer
// reported it dead, because this node cannot tell a dead host from a partition
// between the domains.
func (t *Table) Tick(now time.Time) []mesh.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []mesh.HostID
	for h, e := range t.entries {
		age := now.Sub(e.stateSince)
		switch {
		case e.record.State.DeadOrLeft() && h != t.self && age >= t.options.Retention:
			t.removeEntry(h)
		case e.record.State == StateSuspect && age >= t.options.SuspicionTimeout &&
			(e.record.Domain == t.domain || e.deadReported):
			next := *e.record
			next.State = StateDead
			t.put(&next, now)
			e.declaredDead = e.record.Domain == t.domain
			dead = append(dead, h)
		}
	}
	return dead
}

// RemoveDeclaredDead removes the records that this node itself declared dead, and
// returns their number. A node that was cut off from its whole failure domain
// calls it when it gets its first link back, so that not every host has to refute
// its declarations.
func (t *Table) RemoveDeclaredDead() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed := 0
	for h, e := range t.entries {
		if e.declaredDead && e.record.State == StateDead {
			t.removeEntry(h)
			removed++
		}
	}
	return removed
}
