// Package hostlink shares the network link of a host between the calls of other hosts. It
// decides what leaves next, how much of it at a time, and whether a long response can
// still leave in time.
//
// It answers the load of responses of 100 kB on links of some Mbit/s: without an order,
// answers that other calls wait for leave behind them, and responses are executed that
// arrive too late. Order, admission and the estimate of the rate read no clock and do no
// I/O.
package hostlink

import "geraniumnotch.example/geraniumnotch/boottime"

// Need says how urgent a response is.
type Need struct {
	// Nested is set when another call waits for the response and holds a slot meanwhile.
	Nested bool
	// Rank is the rank of the call; 0 is the most urgent.
	Rank uint8
	// TargetBy is when the latency target ends, DeadlineBy when the caller stops waiting. The
	// TargetBy of a response that gets the room that is left over is its DeadlineBy.
	TargetBy, DeadlineBy boottime.Time
}

// hasRankOf reports whether only the latency targets order a and b.
func (a Need) hasRankOf(b Need) bool { return a.Nested == b.Nested && a.Rank == b.Rank }

// before reports whether a leaves before b: responses to nested calls first, then by rank,
// then by latency target. One that has missed its target is not put behind the others: it
// has been begun, and the bytes that have left would be lost.
func (a Need) before(b Need) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.TargetBy < b.TargetBy
}
