package memory

import "time"

// The bounds of the writes that can be lost, and so of the memory they take.
const (
	maxUndo      = 4096
	maxUndoBytes = 64 << 20
)

// undoRecord is the state of a key before a write.
type undoRecord struct {
	key    string
	before record
	at     time.Time
}

// remember needs the lock.
func (s *Store) remember(key string, before record) {
	s.undo = append(s.undo, undoRecord{key: key, before: before, at: time.Now()})
	s.undoBytes += len(before.value)
	if len(s.undo) > maxUndo || s.undoBytes > maxUndoBytes {
		s.forgetOldest(len(s.undo) / 2)
	}
}

// forgetOldest needs the lock.
func (s *Store) forgetOldest(n int) {
	for _, u := range s.undo[:n] {
		s.undoBytes -= len(u.before.value)
	}
	s.undo = append([]undoRecord(nil), s.undo[n:]...)
}

// RewindWrites makes the store lose its last n writes, revisions included, and
// returns how many it lost. Later writes give the same revisions again, as a
// store restored from an older copy does. Leases are not affected. Watches see
// nothing until a revision exceeds the one that they know.
func (s *Store) RewindWrites(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for lost < n && len(s.undo) > 0 {
		s.undoLast()
		lost++
	}
	return lost
}

// RewindTo makes the store lose its writes after t, as RewindWrites does.
func (s *Store) RewindTo(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for len(s.undo) > 0 && s.undo[len(s.undo)-1].at.After(t) {
		s.undoLast()
		lost++
	}
	return lost
}

// undoLast needs the lock.
func (s *Store) undoLast() {
	last := s.undo[len(s.undo)-1]
	s.undo = s.undo[:len(s.undo)-1]
	s.undoBytes -= len(last.before.value)
	if last.before.revision == 0 {
		delete(s.records, last.key)
		return
	}
	s.records[last.key] = last.before
}
