package ingress

import (
	"net/http"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// identifyCaller finds the workspace of a request if the plan has workspaces, and removes
// the key and any name of a workspace from the headers. It returns the reason if the request
// is rejected.
func (x *exchange) identifyCaller(plan *routeplan.Plan, h http.Header) *routeFailure {
	keys := x.c.server.config.Keys
	if keys == nil || !plan.RequiresKeys() {
		return nil
	}
	key := keys.TakeKey(h)
	if key != "" {
		// Nested calls carry no key: the client has chosen an ID that looks like that of one.
		x.Nested, x.Workspace = false, ""
	}
	switch {
	case x.Route.Public || x.Nested:
		return nil
	case key == "" && x.mayHaveLostParent(plan):
		return &routeFailure{http.StatusServiceUnavailable, call.ReasonUnknownParent, 0}
	case key == "":
		return &routeFailure{http.StatusUnauthorized, call.ReasonUnknownKey, 0}
	}
	if x.workspace = plan.WorkspaceOf(key); x.workspace == nil {
		fingerprint := routeplan.FingerprintOf(key)
		x.UnknownKey = &fingerprint
		if newer := x.c.server.config.NewerPlanKnown; newer != nil && newer() {
			// The newer plan may have the key. Clients do not retry after 401.
			return &routeFailure{http.StatusServiceUnavailable, call.ReasonPlanBehind, noPlanRetryAfter}
		}
		return &routeFailure{http.StatusUnauthorized, call.ReasonUnknownKey, 0}
	}
	x.Workspace = x.workspace.Name
	return nil
}

// mayHaveLostParent reports whether the request may be a nested call whose parent ended
// without a response, or was passed to the endpoint by an earlier process of this node. Its
// sender is an endpoint, which has no key.
func (x *exchange) mayHaveLostParent(plan *routeplan.Plan) bool {
	s := x.c.server
	if s.config.RunningCalls.BrokeOffParent(x.ID) {
		return true
	}
	return localendpoint.IsNestedID(x.ID) && x.started-s.started < plan.LongestTimeout()
}
