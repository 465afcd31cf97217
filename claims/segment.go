package claims

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// The stored format of a segment: a header of version, flags and two zero
// bytes, then entries of fixed size: key hash 16, body hash 8, nonce 8, state 1,
// zero 1, status 2 (big endian).
const (
	segmentVersion = 1
	headerBytes    = 4
	entryBytes     = 36
	flagsOffset    = 1
)

// Flags of a segment.
const (
	// flagChecked means that a writer read the floor after the segment was
	// created and found the bucket valid. Without it, a segment may have been
	// created again after cleanup, and each writer must read the floor itself.
	flagChecked = 1 << iota
	// flagSealed means that no key is added any more; the next segment of the
	// bucket takes new keys. The states of its entries still change.
	flagSealed
)

// State is the state of an entry.
type State uint8

// The states of an entry. An entry is never removed from its segment.
const (
	StateClaimed State = iota + 1
	StateReleased
	StateDone
)

// ErrFormat means that a stored value is not a segment of a known version.
var ErrFormat = errors.New("claims: stored value is not a segment")

// entry is the stored form of a claim.
type entry struct {
	key    KeyHash
	body   BodyHash
	nonce  Nonce
	state  State
	status uint16
}

func (e entry) append(raw []byte) []byte {
	raw = append(raw, e.key[:]...)
	raw = append(raw, e.body[:]...)
	raw = append(raw, e.nonce[:]...)
	raw = append(raw, byte(e.state), 0)
	return binary.BigEndian.AppendUint16(raw, e.status)
}

func entryAt(raw []byte, offset int) entry {
	b := raw[offset : offset+entryBytes]
	return entry{
		key:    KeyHash(b[:16]),
		body:   BodyHash(b[16:24]),
		nonce:  Nonce(b[24:32]),
		state:  State(b[32]),
		status: binary.BigEndian.Uint16(b[34:]),
	}
}

// segment is a stored segment as this writer last saw it. It belongs to the
// shard's worker.
type segment struct {
	number   int
	revision kvstore.Revision
	raw      []byte
	// index holds the offsets of the entries in raw.
	index map[KeyHash]int
	// lost are entries that the store no longer holds. No entry is ever removed,
	// so the store lost writes; the next write restores them.
	lost []entry

	// checked means that the floor is known to have been read since the
	// segment was created.
	checked bool
	// stale means that the store is known to hold something newer or unknown.
	stale bool
	// confirmed means that the content was seen in the store after the last
	// operation arrived.
	confirmed bool
	// contended means that another writer changed the segment recently, so that
	// reading before the write is cheaper than a failed write.
	contended bool
}

// newSegment returns a segment that the store does not hold yet.
func newSegment(number int) *segment {
	return &segment{number: number, raw: []byte{segmentVersion, 0, 0, 0}, index: map[KeyHash]int{}}
}

// decodeIndex checks a stored segment and returns the offsets of its entries.
func decodeIndex(raw []byte) (map[KeyHash]int, error) {
	if len(raw) < headerBytes || raw[0] != segmentVersion || (len(raw)-headerBytes)%entryBytes != 0 {
		return nil, errors.Wrapf(ErrFormat, "%d bytes", len(raw))
	}
	index := make(map[KeyHash]int, (len(raw)-headerBytes)/entryBytes)
	for offset := headerBytes; offset < len(raw); offset += entryBytes {
		e := entryAt(raw, offset)
		if e.state < StateClaimed || e.state > StateDone {
			return nil, errors.Wrapf(ErrFormat, "state %d", e.state)
		}
		if _, twice := index[e.key]; twice {
			return nil, errors.Wrap(ErrFormat, "key twice")
		}
		index[e.key] = offset
	}
	return index, nil
}

// update replaces the content by what the store holds. An absent key has
// revision zero and a nil value. It returns the number of lost entries.
func (s *segment) update(raw []byte, revision kvstore.Revision) (lost int, err error) {
	if revision == 0 {
		raw = newSegment(s.number).raw
	}
	index, err := decodeIndex(raw)
	if err != nil {
		return 0, err
	}
	for key, offset := range s.index {
		if _, kept := index[key]; !kept {
			s.lost = append(s.lost, entryAt(s.raw, offset))
			lost++
		}
	}
	s.contended = s.contended && revision != s.revision
	s.raw, s.index, s.revision = raw, index, revision
	s.checked = revision != 0 && raw[flagsOffset]&flagChecked != 0
	s.stale, s.confirmed = false, true
	return lost, nil
}

func (s *segment) sealed() bool { return s.raw[flagsOffset]&flagSealed != 0 }

// draft is a segment with the changes of one batch.
type draft struct {
	*segment
	// changed is nil as long as there is no change.
	changed []byte
	added   map[KeyHash]int
}

func newDraft(s *segment) *draft {
	d := &draft{segment: s, added: map[KeyHash]int{}}
	for _, e := range s.lost {
		if _, found := d.lookup(e.key); !found {
			d.put(e)
		}
	}
	return d
}

func (d *draft) content() []byte {
	if d.changed != nil {
		return d.changed
	}
	return d.raw
}

func (d *draft) offset(key KeyHash) (int, bool) {
	if offset, ok := d.index[key]; ok {
		return offset, true
	}
	offset, ok := d.added[key]
	return offset, ok
}

func (d *draft) lookup(key KeyHash) (entry, bool) {
	offset, ok := d.offset(key)
	if !ok {
		return entry{}, false
	}
	return entryAt(d.content(), offset), true
}

// put adds or replaces an entry.
func (d *draft) put(e entry) {
	d.change()
	if offset, ok := d.offset(e.key); ok {
		e.append(d.changed[:offset])
		return
	}
	d.added[e.key] = len(d.changed)
	d.changed = e.append(d.changed)
}

// seal makes the next segment take new keys.
func (d *draft) seal() {
	d.change()
	d.changed[flagsOffset] |= flagSealed
}

func (d *draft) change() {
	if d.changed == nil {
		d.changed = bytes.Clone(d.raw)
	}
}

func (d *draft) closed() bool { return d.content()[flagsOffset]&flagSealed != 0 }

func (d *draft) fits(limit int) bool { return len(d.content())+entryBytes <= limit }

// encode returns the value to write.
func (d *draft) encode() []byte {
	if d.checked {
		d.changed[flagsOffset] |= flagChecked
	}
	return d.changed
}

// commit makes the changes the content of the segment.
func (d *draft) commit(revision kvstore.Revision) {
	for key, offset := range d.added {
		d.index[key] = offset
	}
	d.raw, d.revision, d.lost = d.changed, revision, nil
	d.stale, d.confirmed = false, true
}
