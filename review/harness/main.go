// Command harness plays the cases of the review that are no days of the bench: a small
// deployment of the project's host program on loopback addresses, with stand-ins of the
// store, of workers and of clients.
//
// It ends with status 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to its function, which reports whether the rule held.
var cases = map[string]func(w *world, trouble bool) bool{
	"late-heartbeat": lateHeartbeat,
	"spoiled-stamp":  spoiledStamp,
	"nested-late":    nestedLate,
	"latin-header":   latinHeader,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) (status int) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "cannot run:", r)
			status = 2
		}
	}()
	w := newWorld(record)
	defer w.close()
	go w.closeOnSignal()
	if cases[name](w, os.Getenv("TROUBLE") != "0") {
		w.say("the rule held")
		return 0
	}
	w.say("the rule was broken")
	return 1
}

// maxRunTime is the longest time that a case may take.
const maxRunTime = 115 * time.Second

// closeOnSignal ends the case and all its processes on a signal or when it takes too long.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	w.close()
	os.Exit(2)
}
