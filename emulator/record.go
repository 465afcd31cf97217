package emulator

import (
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Execution is one execution of a call as its endpoint recorded it.
type Execution struct {
	Call     mesh.CallID
	Root     mesh.CallID
	Key      string
	Endpoint mesh.EndpointID
	Customer mesh.CustomerID
	Depth    int
	Start    time.Time
}

// Record collects the executions of all endpoints of an experiment. The outcomes
// that callers get are checked against it.
type Record struct {
	mu         sync.Mutex
	executions []*Execution
	count      atomic.Int64
	// countOnly makes the record count executions without keeping them, for long
	// load experiments.
	countOnly bool
}

// NewRecord returns an empty record. With countOnly it keeps no executions.
func NewRecord(countOnly bool) *Record { return &Record{countOnly: countOnly} }

func (r *Record) add(e *Execution) {
	r.count.Add(1)
	if r.countOnly {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = append(r.executions, e)
}

// Count returns the number of executions.
func (r *Record) Count() int64 { return r.count.Load() }

// ByCall returns the number of executions of each call ID.
func (r *Record) ByCall() map[mesh.CallID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[mesh.CallID]int{}
	for _, e := range r.executions {
		counts[e.Call]++
	}
	return counts
}

// ByRoot returns the number of executions of each root call, without its nested
// calls.
func (r *Record) ByRoot() map[mesh.CallID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[mesh.CallID]int{}
	for _, e := range r.executions {
		if e.Depth == 0 {
			counts[e.Root]++
		}
	}
	return counts
}

// LastStart returns when the last execution at an endpoint began, or the zero time if
// there was none.
func (r *Record) LastStart(id mesh.EndpointID) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, e := range r.executions {
		if e.Endpoint == id && e.Start.After(last) {
			last = e.Start
		}
	}
	return last
}

// ByKey returns the number of executions of each idempotency key, as CUSTOMER/KEY.
// Executions without a key are left out.
func (r *Record) ByKey() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, e := range r.executions {
		if e.Key != "" {
			counts[string(e.Customer)+"/"+e.Key]++
		}
	}
	return counts
}

// ByEndpoint returns the number of executions at each endpoint.
func (r *Record) ByEndpoint() map[mesh.EndpointID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[mesh.EndpointID]int{}
	for _, e := range r.executions {
		counts[e.Endpoint]++
	}
	return counts
}
