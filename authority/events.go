package authority

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

var (
	eventAccepted = events.Define(1300, hclog.Info, "change accepted",
		"A new version of the lists is in the store. Nothing to do.")
	eventRejected = events.Define(1301, hclog.Warn, "change rejected",
		"The reason names the conflict or the invalid entries. The author corrects the change and proposes it with a new ID.")
	eventStoreRolledBack = events.Define(1302, hclog.Error, "store has rolled back",
		"The store holds an older version than this node: it lost writes or its address is wrong. Check the address; if it is right, run geraniumnotch restore.")
	eventOutcomeUnknown = events.Define(1303, hclog.Warn, "outcome of a change is unknown",
		"The store's response was lost. Retry the change with the same change ID.")
	eventDeleteFailed = events.Define(1304, hclog.Warn, "deletion of old store values failed",
		"A later change deletes them. Act only when this happens again and again and the store fills up.")
	eventRejectionNotRecorded = events.Define(1305, hclog.Warn, "rejected change could not be recorded",
		"The rejection is in this log only. Nothing to do.")
	eventRestored = events.Define(1306, hclog.Warn, "version restored to the store",
		"The store holds the version of the mesh again. Find out why it lost writes.")
)
