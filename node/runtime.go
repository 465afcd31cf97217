package node

import "runtime/debug"

const (
	// gcPercent lets the heap grow to five times the live data before a
	// collection. A node has little live data, so with the default of 100 it
	// collects many times per second under load, which raises the p99 latency of
	// calls.
	gcPercent = 400
	// memoryLimitBytes makes the garbage collector run more often before a node
	// reaches the 256 MB that it may use.
	memoryLimitBytes = 192 << 20
)

// TuneRuntime configures the garbage collector of a process that runs one node.
func TuneRuntime() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
}

// TuneSharedRuntime configures the garbage collector of a process that runs many
// nodes with their endpoints and callers. It sets no memory limit.
func TuneSharedRuntime() { debug.SetGCPercent(gcPercent) }
