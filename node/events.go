package node

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

var (
	eventStart = events.Define(1000, hclog.Info, "node starting",
		"Normal. The line names the host, its failure domain and its entry address.")
	eventShutdown = events.Define(1001, hclog.Info, "graceful shutdown started",
		"Normal. New calls are rejected as not_executed; calls in flight continue.")
	eventStopped = events.Define(1002, hclog.Info, "node stopped",
		"Normal when the error is empty. Otherwise calls were still in flight at the end of the shutdown, or a component failed to stop.")
	eventVersionActive = events.Define(1010, hclog.Info, "version activated",
		"Normal. Calls that arrive from now on use this version.")
	eventServerFailed = events.Define(1020, hclog.Error, "server ended unexpectedly",
		"The node no longer serves the named address. Restart it and report the error.")
)
