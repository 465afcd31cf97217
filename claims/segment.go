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
	// flagWatermarkChecked means that a writer read the low watermark after the
	// segment was created and found the bucket valid. Without the flag, the segment
	// may have been created again after cleanup, and each writer must read the low
	// watermark itself.
	flagWatermarkChecked = 1 << iota
	// flagSealed means that no more keys are added; new keys go to the next segment
	// of the bucket. The states of existing entries still change.
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

// entry is a claim as it is stored.
type entry struct {
	key    KeyHash
	body   BodyHash
	nonce  Nonce
	state  State
	status uint16
}

func (e entry) appendTo(raw []byte) []byte {
	raw = append(raw, e.key[:]...)
	raw = append(raw, e.body[:]...)
	raw = append(raw, e.nonce[:]...)
	raw = append(raw, byte(e.state), 0)
	return binary.BigEndian.AppendUint16(raw, e.status)
}

func decodeEntry(raw []byte, offset int) entry {
	b := raw[offset : offset+entryBytes]
	return entry{
		key:    KeyHash(b[:16]),
		body:   BodyHash(b[16:24]),
		nonce:  Nonce(b[24:32]),
		state:  State(b[32]),
		status: binary.BigEndian.Uint16(b[34:]),
	}
}

// segment is a stored segment as this writer last read or wrote it. Only the shard's
// worker uses it.
type segment struct {
	number   int
	revision kvstore.Revision
	raw      []byte
	// index holds the offsets of the entries in raw.
	index map[KeyHash]int
	// lostEntries are entries that this writer knows and that the store no longer
	// holds. No entry is ever removed, so the store lost writes; the next write
	// restores them.
	lostEntries []entry

	// watermarkChecked means that the low watermark is known to have been read after
	// the segment was created.
	watermarkChecked bool
	// stale means that the store holds a newer value, or that it is not known which
	// value it holds.
	stale bool
	// confirmed means that the content was read from or written to the store after
	// the last operation on the bucket arrived.
	confirmed bool
	// contended means that another writer changed the segment recently, so that a
	// read before the write costs less than a failed write.
	contended bool
}

// newSegment returns a segment that the store does not hold yet.
func newSegment(number int) *segment {
	return &segment{number: number, raw: []byte{segmentVersion, 0, 0, 0}, index: map[KeyHash]int{}}
}

// decodeIndex validates a stored segment and returns the offsets of its entries.
func decodeIndex(raw []byte) (map[KeyHash]int, error) {
	if len(raw) < headerBytes || raw[0] != segmentVersion || (len(raw)-headerBytes)%entryBytes != 0 {
		return nil, errors.Wrapf(ErrFormat, "%d bytes", len(raw))
	}
	index := make(map[KeyHash]int, (len(raw)-headerBytes)/entryBytes)
	for offset := headerBytes; offset < len(raw); offset += entryBytes {
		e := decodeEntry(raw, offset)
		if e.state < StateClaimed || e.state > StateDone {
			return nil, errors.Wrapf(ErrFormat, "unknown entry state %d", e.state)
		}
		if _, duplicate := index[e.key]; duplicate {
			return nil, errors.Wrap(ErrFormat, "duplicate key")
		}
		index[e.key] = offset
	}
	return index, nil
}

// update replaces the content with the value in the store. An absent key has
// revision zero and a nil value. It returns the number of entries that the store
// lost.
func (s *segment) update(raw []byte, revision kvstore.Revision) (lost int, err error) {
	if revision == 0 {
		raw = newSegment(s.number).raw
	}
	index, err := decodeIndex(raw)
	if err != nil {
		return 0, err
	}
	for key, offset := range s.index {
		if _, present := index[key]; !present {
			s.lostEntries = append(s.lostEntries, decodeEntry(s.raw, offset))
			lost++
		}
	}
	s.contended = s.contended && revision != s.revision
	s.raw, s.index, s.revision = raw, index, revision
	s.watermarkChecked = revision != 0 && raw[flagsOffset]&flagWatermarkChecked != 0
	s.stale, s.confirmed = false, true
	return lost, nil
}

func (s *segment) isSealed() bool { return s.raw[flagsOffset]&flagSealed != 0 }

// draft is a segment with the changes of one batch.
type draft struct {
	*segment
	// newContent is the content with the changes, nil without changes.
	newContent []byte
	added      map[KeyHash]int
}

func newDraft(s *segment) *draft {
	d := &draft{segment: s, added: map[KeyHash]int{}}
	for _, e := range s.lostEntries {
		if _, found := d.lookup(e.key); !found {
			d.put(e)
		}
	}
	return d
}

func (d *draft) content() []byte {
	if d.newContent != nil {
		return d.newContent
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
	return decodeEntry(d.content(), offset), true
}

// put adds an entry or replaces the one with the same key.
func (d *draft) put(e entry) {
	d.cloneContent()
	if offset, ok := d.offset(e.key); ok {
		e.appendTo(d.newContent[:offset])
		return
	}
	d.added[e.key] = len(d.newContent)
	d.newContent = e.appendTo(d.newContent)
}

// seal makes new keys go to the next segment.
func (d *draft) seal() {
	d.cloneContent()
	d.newContent[flagsOffset] |= flagSealed
}

func (d *draft) cloneContent() {
	if d.newContent == nil {
		d.newContent = bytes.Clone(d.raw)
	}
}

func (d *draft) willBeSealed() bool { return d.content()[flagsOffset]&flagSealed != 0 }

func (d *draft) hasRoom(limit int) bool { return len(d.content())+entryBytes <= limit }

// encode returns the value to write.
func (d *draft) encode() []byte {
	if d.watermarkChecked {
		d.newContent[flagsOffset] |= flagWatermarkChecked
	}
	return d.newContent
}

// commit applies the changes to the segment after a successful write.
func (d *draft) commit(revision kvstore.Revision) {
	for key, offset := range d.added {
		d.index[key] = offset
	}
	d.raw, d.revision, d.lostEntries = d.newContent, revision, nil
	d.stale, d.confirmed = false, true
}
