package memory

import "time"

// Limits of the writes that can be rewound, which bound the memory of the undo
// records.
const (
	maxUndoRecords = 4096
	maxUndoBytes   = 64 << 20
)

// undoRecord is the state of a key before a write.
type undoRecord struct {
	key    string
	before record
	at     time.Time
}

// recordUndo keeps the state of key before a write and drops the older half of
// the undo records when they exceed the limits. The caller holds s.mu.
func (s *Store) recordUndo(key string, before record) {
	s.undo = append(s.undo, undoRecord{key: key, before: before, at: time.Now()})
	s.undoBytes += len(before.value)
	if len(s.undo) > maxUndoRecords || s.undoBytes > maxUndoBytes {
		s.dropOldestUndo(len(s.undo) / 2)
	}
}

// dropOldestUndo drops the n oldest undo records. The caller holds s.mu.
func (s *Store) dropOldestUndo(n int) {
	for _, u := range s.undo[:n] {
		s.undoBytes -= len(u.before.value)
	}
	s.undo = append([]undoRecord(nil), s.undo[n:]...)
}

// RewindWrites makes the store lose its last n writes, revisions included, and
// returns how many it lost. Later writes use the same revisions again, as in a
// store restored from an older backup. Leases are not affected. A watch returns
// nothing until the key's revision exceeds the one that it waits after.
func (s *Store) RewindWrites(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for lost < n && len(s.undo) > 0 {
		s.undoLastWrite()
		lost++
	}
	return lost
}

// RewindTo makes the store lose its writes after t in the way of RewindWrites.
func (s *Store) RewindTo(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for len(s.undo) > 0 && s.undo[len(s.undo)-1].at.After(t) {
		s.undoLastWrite()
		lost++
	}
	return lost
}

// undoLastWrite restores the state before the last write. The caller holds s.mu.
func (s *Store) undoLastWrite() {
	last := s.undo[len(s.undo)-1]
	s.undo = s.undo[:len(s.undo)-1]
	s.undoBytes -= len(last.before.value)
	if last.before.revision == 0 {
		delete(s.records, last.key)
		return
	}
	s.records[last.key] = last.before
}
