//go:build !race

package simload

// seedCount is the number of seeds with which each scenario runs.
const seedCount = 3
