package operator

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

var (
	eventFailed = events.Define(2300, hclog.Warn, "operator request failed",
		"The error names the cause. When it is the store, retry the request once the store is available.")
	eventDrain = events.Define(2301, hclog.Info, "drain requested by an operator",
		"The node completes the calls in flight and leaves the mesh.")
	eventRestore = events.Define(2302, hclog.Warn, "restore requested by an operator",
		"The node's version is written to a store that has rolled back. The next event tells the result.")
)
