package localendpoint

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const (
	// nestedLevelDecrease and nestedLevelIncrease multiply the admission level of a class
	// with each of its calls whose nested calls were rejected, and with each other one. In
	// balance a sixth of the calls have rejected nested calls: enough to see that there is
	// no room, at the price of a sixth of the work.
	nestedLevelDecrease = 0.85
	nestedLevelIncrease = 1.03
	// nestedLevelRecovery raises the level each second, so that a class that gets few calls
	// finds out that there is room again within the recovery time of the users, 15 s.
	nestedLevelRecovery = 0.06
	// minNestedLevel keeps a few calls that show whether there is room.
	minNestedLevel = 0.1
	// nestedRejectionMemory is how long a rejected nested call counts against its
	// workspace: a workspace has a call at each gate every few seconds.
	nestedRejectionMemory = 5 * time.Second
)

// NestedAdmission limits the calls that endpoints execute in vain: their nested calls are
// rejected for lack of slots, after the work before them was done, and those of their nested
// calls that are executed take slots from other calls. It rejects some calls of a class
// before they begin, and only of workspaces whose own nested calls were rejected. It is safe
// for concurrent use.
type NestedAdmission struct {
	mu     sync.Mutex
	levels map[slotqueue.Class]*admissionLevel
	// rejectedAt holds the workspaces of the route plan whose nested calls were rejected
	// within nestedRejectionMemory.
	rejectedAt map[mesh.WorkspaceName]boottime.Time
}

// admissionLevel is the fraction of the calls of a class that are admitted.
type admissionLevel struct {
	value     float64
	updatedAt boottime.Time
}

// NewNestedAdmission returns an admission that has seen no rejection.
func NewNestedAdmission() *NestedAdmission {
	return &NestedAdmission{levels: map[slotqueue.Class]*admissionLevel{}, rejectedAt: map[mesh.WorkspaceName]boottime.Time{}}
}

func (l *admissionLevel) recover(now boottime.Time) {
	l.value = min(1, l.value+nestedLevelRecovery*max(0, now-l.updatedAt).Seconds())
	l.updatedAt = max(now, l.updatedAt)
}

// Admits reports whether a call may begin. Random is a number in [0, 1).
func (a *NestedAdmission) Admits(c slotqueue.Class, workspace mesh.WorkspaceName, random float64, now boottime.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.levels[c]
	if l == nil {
		return true
	}
	l.recover(now)
	rejectedAt, rejected := a.rejectedAt[workspace]
	return random < l.value || !rejected || now-rejectedAt > nestedRejectionMemory
}

// Record records a call that was executed, and whether a nested call of it was rejected.
func (a *NestedAdmission) Record(c slotqueue.Class, workspace mesh.WorkspaceName, nestedRejected bool, now boottime.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.levels[c]
	if !nestedRejected {
		if l == nil {
			return
		}
		l.recover(now)
		if l.value = l.value * nestedLevelIncrease; l.value >= 1 {
			delete(a.levels, c)
		}
		return
	}
	if l == nil {
		l = &admissionLevel{value: 1, updatedAt: now}
		a.levels[c] = l
	}
	l.recover(now)
	l.value = max(minNestedLevel, l.value*nestedLevelDecrease)
	for w, at := range a.rejectedAt {
		if now-at > nestedRejectionMemory {
			delete(a.rejectedAt, w)
		}
	}
	a.rejectedAt[workspace] = now
}

// LowestLevel returns the lowest admission level of a class.
func (a *NestedAdmission) LowestLevel(now boottime.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	lowest := 1.0
	for _, l := range a.levels {
		l.recover(now)
		lowest = min(lowest, l.value)
	}
	return lowest
}
