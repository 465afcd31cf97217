package hostnode

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

// Log events of a node beside an endpoint on the platform.
var (
	eventStarted   = events.Define(2500, hclog.Info, "node started", "None.")
	eventStopping  = events.Define(2501, hclog.Info, "node stopping", "None; it finishes the calls that it has read.")
	eventStopped   = events.Define(2502, hclog.Info, "node stopped", "A count of calls above 0 means that the time for stopping was too short for them.")
	eventReloaded  = events.Define(2503, hclog.Info, "settings read again", "None.")
	eventBadReload = events.Define(2504, hclog.Error, "settings rejected", "The former settings stay in force; correct the file.")
	eventSuspended = events.Define(2505, hclog.Warn, "process did not run for a while", "Links to other hosts are opened anew; a suspended machine or an overloaded core are the usual causes.")

	eventPlan       = events.Define(2510, hclog.Info, "route plan in force", "None.")
	eventPlanOld    = events.Define(2511, hclog.Debug, "older route plan ignored", "None; a stale or late read.")
	eventPlanBad    = events.Define(2512, hclog.Error, "route plan rejected", "The former plan stays in force; correct the configuration.")
	eventPlanAsk    = events.Define(2517, hclog.Info, "peer cannot be asked for its route plan", "None; the store is read instead.")
	eventStoreLost  = events.Define(2513, hclog.Warn, "store does not answer", "The node goes on with the plan and the hosts that it knows; look at the store.")
	eventStoreBack  = events.Define(2514, hclog.Info, "store answers again", "None.")
	eventRecordBad  = events.Define(2515, hclog.Warn, "malformed host record in the store", "Remove the key, or compare the versions of the programs.")
	eventRegistered = events.Define(2516, hclog.Info, "host registered in the store", "None.")

	eventEndpoint    = events.Define(2520, hclog.Info, "endpoint announced itself", "None; the verdict says what changed.")
	eventEndpointBad = events.Define(2521, hclog.Warn, "announcement rejected", "Compare the endpoint with the host's settings.")

	eventCall      = events.Define(2530, hclog.Info, "call finished", "None.")
	eventCallError = events.Define(2531, hclog.Warn, "call failed", "The reason, the host tried last and the gate's line with the same ID lead to the cause; see docs/OPERATIONS.md.")
	eventAttempt   = events.Define(2532, hclog.Warn, "gate refused or lost a call", "The load, the slots and the time in the queue explain a refusal; broken attempts point to the endpoint.")
)
