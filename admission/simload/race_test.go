//go:build race

package simload

// seedCount is the number of seeds with which each scenario runs. The simulation
// uses one goroutine, so the race detector only slows it down; make check runs all
// seeds without it.
const seedCount = 1
