// Package boottime reads a clock that continues while the machine is suspended,
// and detects suspensions. Go's monotonic clock stops during a suspension, so
// deadlines of calls are kept on this clock.
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

// Now reads CLOCK_BOOTTIME. Where the kernel lacks it, Now falls back to the
// monotonic time since the start of the process.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

const (
	// watchInterval is the time between two checks of WatchSuspensions. It is a third
	// of the shortest time after which peers no longer rely on a host that sends
	// nothing.
	watchInterval = 250 * time.Millisecond
	// MinSuspension is the smallest gap that counts as a suspension. Peers tolerate a
	// host that sends nothing during a shorter gap.
	MinSuspension = 400 * time.Millisecond
)

// WatchSuspensions calls suspended with the length of each gap in which the process
// did not run, until ctx ends. A gap means that the machine was suspended or the
// process stopped for longer than MinSuspension.
func WatchSuspensions(ctx context.Context, clock Clock, suspended func(gap time.Duration)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := clock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock()
		if gap := now - last - watchInterval; gap > MinSuspension {
			suspended(gap)
		}
		last = now
	}
}
