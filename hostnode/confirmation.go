package hostnode

import (
	"context"

	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// healthSource is the source of a confirmation by the endpoint itself.
const healthSource = "health check"

// confirm registers an endpoint whose announcements are deferred. The source is what
// confirms that it had not left when this process started.
func (n *Node) confirm(i departures.Incarnation, source string) {
	a, isDeferred := n.registration.Confirm(i)
	if !isDeferred {
		return
	}
	eventEndpointConfirmed.Log(n.logger, "endpoint", i.ID, "started_at_ms", i.StartedAtMs, "source", source)
	n.announce(a)
}

// signalHealthCheck has an endpoint whose announcements are deferred checked soon.
func (n *Node) signalHealthCheck() {
	select {
	case n.healthCheckDue <- struct{}{}:
	default: // A check is due already.
	}
}

// runHealthChecks checks endpoints whose announcements are deferred when that is due.
func (n *Node) runHealthChecks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.healthCheckDue:
			n.checkUnconfirmed(ctx)
		}
	}
}

// checkUnconfirmed checks the health of the latest endpoint whose announcements are deferred
// and confirms it.
func (n *Node) checkUnconfirmed(ctx context.Context) {
	i, isDeferred := n.registration.Unconfirmed()
	path := healthPath(n.plan.Load(), n.settings.Load())
	if !isDeferred || path == "" {
		return
	}
	id, err := n.gate.CheckHealth(ctx, path)
	if err != nil || id != i.ID {
		eventEndpointUnconfirmed.Log(n.logger, "endpoint", i.ID, "started_at_ms", i.StartedAtMs, "answered", id, "error", err)
		return
	}
	n.confirm(i, healthSource)
}

// healthPath returns the health path of the host's service, empty if no plan is known or
// the plan has none.
func healthPath(p *routeplan.Plan, s *Settings) string {
	if p == nil {
		return ""
	}
	for _, service := range p.Services {
		if service.Name == s.Endpoint.Service {
			return service.HealthPath
		}
	}
	return ""
}
