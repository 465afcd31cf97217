package admission

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

// Log events of admission.
var (
	eventBadMessage = events.Define(1700, hclog.Warn, "quota message ignored",
		"A peer sent a quota message that cannot be decoded. Check that all nodes run compatible releases.")
	eventUnsent = events.Define(1701, hclog.Debug, "quota message not sent",
		"The node has no link to the peer. It uses the equal share of the limits until one is established.")
	eventNoMetrics = events.Define(1702, hclog.Warn, "admission metrics are not available",
		"The instruments could not be created. Calls are not affected; check the metrics settings.")
)
