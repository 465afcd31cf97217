package proxy

import (
	"strings"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/retry"
)

// AttemptRecord describes one attempt of a call.
type AttemptRecord struct {
	Call     mesh.CallID        `json:"call"`
	Host     mesh.HostID        `json:"host"`
	Endpoint mesh.EndpointID    `json:"endpoint"`
	Domain   mesh.FailureDomain `json:"domain"`
	Start    time.Time          `json:"start"`
	Duration time.Duration      `json:"duration"`
	// QueueingDelay is the queueing delay that the gate reported.
	QueueingDelay time.Duration `json:"queued"`
	Status        int           `json:"status,omitempty"`
	Outcome       mesh.Outcome  `json:"outcome"`
	Reason        mesh.Reason   `json:"reason,omitempty"`
	// Rule is the row of the retry table that applied after a failure.
	Rule retry.Rule `json:"rule,omitempty"`
}

// Decision records how a node handled one call. It is immutable once recorded.
type Decision struct {
	Call     mesh.CallID      `json:"call"`
	Root     mesh.CallID      `json:"root,omitempty"`
	Parent   mesh.CallID      `json:"parent,omitempty"`
	Depth    int              `json:"depth"`
	Sequence mesh.Sequence    `json:"sequence"`
	Customer mesh.CustomerID  `json:"customer,omitempty"`
	Route    mesh.RouteName   `json:"route,omitempty"`
	Service  mesh.ServiceName `json:"service,omitempty"`
	Rank     mesh.Rank        `json:"rank"`
	Method   string           `json:"method"`
	Path     string           `json:"path"`
	// Admission is "admitted", "nested", or the reason of the rejection.
	Admission string          `json:"admission,omitempty"`
	Attempts  []AttemptRecord `json:"attempts,omitempty"`
	Status    int             `json:"status"`
	Outcome   mesh.Outcome    `json:"outcome"`
	Reason    mesh.Reason     `json:"reason,omitempty"`
	Start     time.Time       `json:"start"`
	Duration  time.Duration   `json:"duration"`

	// firstAttempt is the initial backing array of Attempts. It saves an allocation
	// for the calls with one attempt, which are most calls.
	firstAttempt [1]AttemptRecord
}

// maxDecisionText is the length of a method or a path in a decision. The log holds thousands
// of decisions, and a head may be 64 KiB long.
const maxDecisionText = 256

// clip returns the beginning of a text, without the rest of it or of the head in memory.
func clip(text string) string { return strings.Clone(text[:min(len(text), maxDecisionText)]) }

// DecisionLog holds the most recent decisions in a ring buffer. Adding takes no lock.
type DecisionLog struct {
	next atomic.Uint64
	ring []atomic.Pointer[Decision]
}

// NewDecisionLog returns a DecisionLog for size decisions, at least one.
func NewDecisionLog(size int) *DecisionLog {
	return &DecisionLog{ring: make([]atomic.Pointer[Decision], max(1, size))}
}

func (l *DecisionLog) add(d *Decision) {
	index := l.next.Add(1) - 1
	l.ring[index%uint64(len(l.ring))].Store(d)
}

// Find returns the decisions that belong to a call ID, the oldest first. The ID
// may be that of the call, of its root, or of one of its attempts.
func (l *DecisionLog) Find(id mesh.CallID) []*Decision {
	return l.filter(func(d *Decision) bool { return d.concerns(id) })
}

// Recent returns up to limit decisions, the newest first.
func (l *DecisionLog) Recent(limit int) []*Decision {
	var recent []*Decision
	next := l.next.Load()
	for i := uint64(1); i <= uint64(len(l.ring)) && i <= next && len(recent) < limit; i++ {
		if d := l.ring[(next-i)%uint64(len(l.ring))].Load(); d != nil {
			recent = append(recent, d)
		}
	}
	return recent
}

func (l *DecisionLog) filter(match func(*Decision) bool) []*Decision {
	var found []*Decision
	for _, d := range l.Recent(len(l.ring)) {
		if match(d) {
			found = append([]*Decision{d}, found...)
		}
	}
	return found
}

func (d *Decision) concerns(id mesh.CallID) bool {
	if d.Call == id || d.Root == id {
		return true
	}
	for i := range d.Attempts {
		if d.Attempts[i].Call == id {
			return true
		}
	}
	return false
}
