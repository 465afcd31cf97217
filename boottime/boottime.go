// Package boottime reads a clock that keeps counting while the machine is
// suspended, and notices suspensions. Go's monotonic clock stands still during a
// suspension, so deadlines of calls are kept on this clock.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine booted, suspensions included.
type Time = time.Duration

// Clock returns the current time.
type Clock func() Time

// Now reads CLOCK_BOOTTIME. It falls back to the monotonic clock of the process
// where the kernel lacks it.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

const (
	// watchInterval is how often Watch compares the clocks. A third of the
	// shortest time after which peers give up a silent host.
	watchInterval = 250 * time.Millisecond
	// SuspensionMin is the least gap that counts as a suspension. Shorter ones
	// are within the silence that peers tolerate.
	SuspensionMin = 400 * time.Millisecond
)

// Watch calls suspended with the length of each gap in which the process did not
// run, until ctx ends. A gap is a suspension of the machine or a stop of the
// process for longer than SuspensionMin.
func Watch(ctx context.Context, suspended func(gap time.Duration)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := Now()
		if gap := now - last - watchInterval; gap > SuspensionMin {
			suspended(gap)
		}
		last = now
	}
}
