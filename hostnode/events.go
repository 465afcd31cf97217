package hostnode

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/events"
)

// Log events of a node beside an endpoint on the platform.
var (
	eventStarted          = events.Define(2500, hclog.Info, "node started", "None.")
	eventStopping         = events.Define(2501, hclog.Info, "node stopping", "None; the node finishes the calls that it has accepted.")
	eventStopped          = events.Define(2502, hclog.Info, "node stopped", "A count of calls above 0 means that these got no response within the drain time.")
	eventCallsAborted     = events.Define(2506, hclog.Warn, "calls in flight ended before the process", "Calls lasted longer than the drain time; compare the timeouts of the routes with it.")
	eventSettingsReloaded = events.Define(2503, hclog.Info, "settings reloaded", "None.")
	eventSettingsRejected = events.Define(2504, hclog.Error, "settings rejected", "The previous settings stay active; correct the file.")
	eventSuspended        = events.Define(2505, hclog.Warn, "process was suspended or stalled", "After a long gap the node reconnects to the other hosts; a suspended machine or an overloaded core are the usual causes.")

	eventPlanActivated     = events.Define(2510, hclog.Info, "route plan activated", "None.")
	eventPlanIgnored       = events.Define(2511, hclog.Debug, "older route plan ignored", "None; the store or a peer delivered a stale or late version.")
	eventPlanRejected      = events.Define(2512, hclog.Error, "route plan rejected", "The previous plan stays active; correct the configuration.")
	eventPlanReported      = events.Define(2523, hclog.Info, "newer route plan reported by a host", "None; the node asks that host for it. A long read of the store at that time is in reading_ms.")
	eventPlanRequestFailed = events.Define(2517, hclog.Info, "route plan request to a peer failed", "None; the node reads the store instead.")
	eventStoreUnavailable  = events.Define(2513, hclog.Warn, "store unavailable", "The node continues with the plan and the hosts that it knows; check the store.")
	eventStoreRecovered    = events.Define(2514, hclog.Info, "store available again", "None.")
	eventRecordMalformed   = events.Define(2515, hclog.Warn, "malformed host record in the store", "Remove the key, or compare the versions of the programs.")
	eventStoreRestored     = events.Define(2518, hclog.Warn, "store restored from a copy", "None; the node reads the route plan in full and registers again. Entries that others wrote since the copy was made are missing.")
	eventRegistered        = events.Define(2516, hclog.Info, "host registered in the store", "None.")
	eventRecordReplaced    = events.Define(2519, hclog.Info, "host record was replaced or removed in the store", "None; the node writes it again.")

	eventAnnouncement         = events.Define(2520, hclog.Info, "endpoint announced itself or deregistered", "None; the verdict says what changed.")
	eventAnnouncementRejected = events.Define(2521, hclog.Warn, "announcement rejected", "Compare the endpoint with the host's settings.")
	eventEndpointRemoved      = events.Define(2522, hclog.Info, "endpoint removed", "None; nothing listens at its address, another endpoint does, or the settings name another one. Its next announcement registers it again.")
	eventEndpointRate         = events.Define(2524, hclog.Info, "endpoint names another rate of calls", "None; the gate starts no more calls than that. A rate of 0 means that there is no limit.")
	eventEndpointLeaving      = events.Define(2525, hclog.Info, "endpoint states in a response that it leaves", "None; it gets no further calls.")

	eventDeparturesLearned = events.Define(2526, hclog.Info, "departures of endpoints learned", "None; an earlier process of the host acknowledged them. Late announcements of these endpoints are ignored.")
	eventDepartureNotSaved = events.Define(2527, hclog.Warn, "departure acknowledged before the store has it", "Check the store. The node writes it again; until then only other hosts tell it to the next process of this host, which defers announcements that may be late (2529).")

	eventEndpointConfirmed   = events.Define(2528, hclog.Info, "endpoint had not left before the start of the node", "None; its announcements are applied from now on. The source says what shows that it had not left.")
	eventEndpointUnconfirmed = events.Define(2529, hclog.Info, "endpoint not confirmed by a health check", "None; an earlier process of the host may have acknowledged that it leaves. It is registered when a later check succeeds, or after announcing itself for some seconds.")

	eventRolloutChanged    = events.Define(2570, hclog.Info, "roll-out of a version changed", "None; the phase and the share say which calls may go to the target version.")
	eventRolloutWithdrawn  = events.Define(2571, hclog.Warn, "version withdrawn", "None; no call goes to the target version. Event 2572 of the deciding host says why.")
	eventRolloutVerdict    = events.Define(2572, hclog.Warn, "version judged to be bad", "Its answers failed or were slow more often than those of the earlier versions; look at its logs.")
	eventRolloutMalformed  = events.Define(2573, hclog.Error, "order of a roll-out rejected", "Correct the order; the versions keep the calls that they have.")
	eventRolloutNotWritten = events.Define(2574, hclog.Warn, "status of a roll-out not written", "Check the store. The node tries again; a withdrawal is in effect already, a completion is not.")

	eventClientLimits = events.Define(2590, hclog.Warn, "clients met the limits on memory or connections", "Find out who sends unfinished requests or reads no responses. Bodies and connections without progress give way, further ones are refused; ordinary clients that meet the limits need more memory-mb or max-descriptors.")

	eventCallFinished  = events.Define(2530, hclog.Info, "call finished", "None.")
	eventCallFailed    = events.Define(2531, hclog.Warn, "call failed", "The reason, the host of the last attempt and the gate's log line with the same ID lead to the cause; see docs/OPERATIONS.md.")
	eventAttemptFailed = events.Define(2532, hclog.Warn, "attempt at the local endpoint failed", "The load, the slots and the time in the queue explain a rejection; broken attempts point to the endpoint.")
)
