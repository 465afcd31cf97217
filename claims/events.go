package claims

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

var (
	eventStoreFailed = events.Define(2000, hclog.Warn, "claims: store unavailable",
		"Keyed calls of this shard are rejected until the store answers. Check the platform's store service.")
	eventStoreRecovered = events.Define(2001, hclog.Info, "claims: store available again",
		"None.")
	eventUnreadable = events.Define(2002, hclog.Error, "claims: segment cannot be decoded",
		"Keyed calls of this segment are rejected. Find out which program wrote the key.")
	eventClaimsLost = events.Define(2003, hclog.Warn, "claims: store lost claims, writing them again",
		"The store has rolled back. Keys claimed by other hosts may be lost; check for calls that were executed twice.")
	eventReleaseFailed = events.Define(2004, hclog.Warn, "claims: release not written",
		"The key stays in use until it expires. No action is needed if the store was unavailable.")
	eventCompletionFailed = events.Define(2007, hclog.Warn, "claims: completion not written",
		"Duplicates of the key are answered as in progress. No action is needed if the node was stopping.")
	eventCleaned = events.Define(2005, hclog.Debug, "claims: expired segments deleted",
		"None.")
	eventCleanupFailed = events.Define(2006, hclog.Warn, "claims: cleanup failed",
		"Cleanup is retried later. Check the platform's store service if this lasts for hours.")
)
