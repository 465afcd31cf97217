package gate

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

// Log events of gates.
var (
	eventShed = events.Define(1800, hclog.Warn, "endpoint sheds load, fewer slots in use",
		"The endpoint refused a call for overload. Check its slot count and its own load; the limit rises again by itself.")
	eventShedRecovered = events.Define(1801, hclog.Info, "all slots in use again",
		"The endpoint shed no more load. No action is needed.")
	eventDraining = events.Define(1802, hclog.Info, "endpoint is draining",
		"Waiting and new calls are refused as not executed; running calls end normally.")
	eventDrained = events.Define(1803, hclog.Info, "endpoint has drained",
		"No call runs any more. The endpoint may be stopped.")
)

// log schedules an event to be logged after the lock is released.
func (g *Gate) log(e events.Event, keysAndValues ...any) {
	if g.config.Logger == nil {
		return
	}
	args := append([]any{"endpoint", g.config.Endpoint, "service", g.limits.Name}, keysAndValues...)
	g.afterUnlock = append(g.afterUnlock, func() { e.Log(g.config.Logger, args...) })
}
