package proxy

import (
	"context"
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// runningShards is the number of locks over which the running calls are spread.
const runningShards = 64

// RunningCalls is the table of the calls that run at this host's endpoints. A nested
// call must name one of them as its parent. It is safe for concurrent use.
type RunningCalls struct {
	seed   maphash.Seed
	shards [runningShards]struct {
		sync.RWMutex
		calls map[mesh.CallID]*runningCall
	}
}

// runningCall is a call that holds a slot of an endpoint of this host.
type runningCall struct {
	call, root mesh.CallID
	customer   mesh.CustomerID
	rank       mesh.Rank
	depth      int
	deadline   time.Time
	ctx        context.Context

	// pressure is the highest pressure that nested calls reported, as float bits.
	pressure atomic.Uint64
	// nestedInFlight is the number of nested calls in flight.
	nestedInFlight atomic.Int32
	// nestedRejected is set when a nested call ended as not executed.
	nestedRejected atomic.Bool
	// finished is set if the call ended normally. It is set before the context ends,
	// so that nested calls still in flight are not cancelled.
	finished atomic.Bool
}

// NewRunningCalls returns an empty table.
func NewRunningCalls() *RunningCalls {
	r := &RunningCalls{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].calls = map[mesh.CallID]*runningCall{}
	}
	return r
}

func (r *RunningCalls) shard(call mesh.CallID) int {
	return int(maphash.String(r.seed, string(call)) % runningShards)
}

func (r *RunningCalls) add(c *runningCall) {
	s := &r.shards[r.shard(c.call)]
	s.Lock()
	s.calls[c.call] = c
	s.Unlock()
}

func (r *RunningCalls) remove(c *runningCall) {
	s := &r.shards[r.shard(c.call)]
	s.Lock()
	delete(s.calls, c.call)
	s.Unlock()
}

func (r *RunningCalls) find(call mesh.CallID) *runningCall {
	s := &r.shards[r.shard(call)]
	s.RLock()
	defer s.RUnlock()
	return s.calls[call]
}

// recordPressure records the pressure that a nested call reported.
func (c *runningCall) recordPressure(pressure float64) {
	for {
		old := c.pressure.Load()
		if math.Float64frombits(old) >= pressure {
			return
		}
		if c.pressure.CompareAndSwap(old, math.Float64bits(pressure)) {
			return
		}
	}
}

func (c *runningCall) highestPressure() float64 { return math.Float64frombits(c.pressure.Load()) }
