package gate

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

// Log events of gates.
var (
	eventShed = events.Define(1800, hclog.Warn, "endpoint sheds load, slot limit reduced",
		"The endpoint rejected a call because of overload. Check its slot count and the load that it announces; the limit rises again by itself.")
	eventShedRecovered = events.Define(1801, hclog.Info, "slot limit fully restored",
		"The endpoint no longer sheds load. No action is needed.")
	eventDraining = events.Define(1802, hclog.Info, "endpoint is draining",
		"Waiting and new calls are rejected as not_executed; running calls end normally.")
	eventDrained = events.Define(1803, hclog.Info, "endpoint has drained",
		"No call runs at the endpoint any more. It may be stopped.")
)

// log schedules an event to be logged after the lock is released.
func (g *Gate) log(e events.Event, keysAndValues ...any) {
	if g.config.Logger == nil {
		return
	}
	args := append([]any{"endpoint", g.config.Endpoint, "service", g.limits.Name}, keysAndValues...)
	g.afterUnlock = append(g.afterUnlock, func() { e.Log(g.config.Logger, args...) })
}
