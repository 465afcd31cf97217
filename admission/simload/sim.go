// Package simload runs admission and gates under synthetic load in virtual
// time. It models a few gates and the nodes that admit root calls, not a whole
// cluster: there are no failures. Runs with the same seed give the same results.
package simload

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Sim is a discrete event simulation. It is not safe for concurrent use.
type Sim struct {
	Random       *rand.Rand
	now          time.Duration
	events       events
	lastSequence int
}

// New returns a simulation at virtual time zero.
func New(seed uint64) *Sim {
	return &Sim{Random: rand.New(rand.NewPCG(seed, 1))}
}

// Now returns the virtual time. It is the clock of gates and controllers.
func (s *Sim) Now() time.Time { return epoch.Add(s.now) }

var epoch = time.Unix(0, 0)

// After calls f after the delay.
func (s *Sim) After(delay time.Duration, f func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: s.now + max(delay, 0), sequence: s.lastSequence, run: f})
}

// Run processes events up to the given time since the start.
func (s *Sim) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap ordered by time; events of the same time keep the order in
// which they were added.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Distribution draws a random service time.
type Distribution func(random *rand.Rand) time.Duration

// Uniform returns a uniform distribution around the mean; spread is the largest
// deviation as a fraction of the mean.
func Uniform(mean time.Duration, spread float64) Distribution {
	return func(random *rand.Rand) time.Duration {
		return time.Duration(float64(mean) * (1 + spread*(2*random.Float64()-1)))
	}
}

// Exponential returns an exponential distribution with the mean.
func Exponential(mean time.Duration) Distribution {
	return func(random *rand.Rand) time.Duration {
		return time.Duration(float64(mean) * random.ExpFloat64())
	}
}
