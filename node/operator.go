package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/distribution"
	"geraniumnotch.example/geraniumnotch/kernel"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
	"geraniumnotch.example/geraniumnotch/proxy"
	"geraniumnotch.example/geraniumnotch/routing"
)

func init() {
	kernel.Register(kernel.Descriptor{
		ID: pluginOperator, After: []kernel.ID{pluginAuthority, pluginControl, pluginEntry},
		New: func() kernel.Plugin { return &operatorPlugin{} },
	})
}

// operatorPlugin serves the operator API and the metrics.
type operatorPlugin struct {
	base
	server *server
}

func (p *operatorPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.Handler())
	mux.Handle("/", operator.NewHandler(p.authority.Authority, operatorView{p.components}, p.logger.Named("operator")))
	p.server = newServer(p.components, serverOperator, p.listeners.operator, mux)
	return nil
}

func (p *operatorPlugin) Start(context.Context) error {
	p.server.start()
	return nil
}

func (p *operatorPlugin) Stop(ctx context.Context) error { return p.server.stop(ctx) }

// operatorView provides the operator API with the state of the node.
type operatorView struct{ *components }

// States of a node in the operator API.
const (
	stateStarting = "starting"
	stateRunning  = "running"
	stateDraining = "draining"
)

func (v operatorView) Status() operator.NodeStatus {
	control := v.control.Load()
	s, view, snapshot := control.Status(), control.View(), v.current.Load()
	live := lo.Filter(lo.Values(view.Hosts), func(r *membership.Record, _ int) bool { return r.State < membership.StateDead })
	status := operator.NodeStatus{
		Host: s.Host, Domain: s.Domain, State: v.state(view, snapshot), Version: s.Accepted, StoreRolledBack: s.StoreRolledBack,
		Domains:   lo.Uniq(lo.Map(live, func(r *membership.Record, _ int) mesh.FailureDomain { return r.Domain })),
		Hosts:     len(live),
		Endpoints: lo.SumBy(live, func(r *membership.Record) int { return len(r.Endpoints) }),
		Links:     len(s.Links),
		Since:     s.AcceptedAt, From: s.AcceptedFrom,
		CallsInFlight: v.entry.InFlight() + v.gate.InFlight(),
	}
	for sequence, reason := range s.Rejected {
		if sequence > s.Accepted.Sequence {
			status.Rejected = fmt.Sprintf("sequence %d: %s", sequence, reason)
		}
	}
	status.Lag = lagReason(s, status.Rejected)
	return status
}

// lagReason returns why the node may be behind the rest of the mesh, as far as it
// knows, or an empty string.
func lagReason(s distribution.Status, rejected string) string {
	switch {
	case rejected != "":
		return "the newer version was rejected"
	case s.Conflict != nil:
		return fmt.Sprintf("another version with sequence %d exists, digest %s", s.Conflict.Sequence, s.Conflict.Digest.Short())
	case len(s.Links) == 0 && !s.WatchHolder:
		return "no link to another node and no watch on the store"
	case s.Accepted.Sequence == 0:
		return "no version has arrived"
	case !s.Ready:
		return "comparing its version with peers before it serves"
	}
	return ""
}

func (v operatorView) state(view *membership.View, snapshot *routing.Snapshot) string {
	if own := view.Hosts[v.settings.Node.Host]; own != nil && own.State == membership.StateDraining {
		return stateDraining
	}
	if snapshot == nil {
		return stateStarting
	}
	return stateRunning
}

func (v operatorView) Explain(call mesh.CallID) (operator.Explanation, error) {
	decisions := v.decisions.Find(call)
	if len(decisions) == 0 {
		return operator.Explanation{}, operator.ErrCallNotFound
	}
	return explanationOf(decisions[len(decisions)-1]), nil
}

// Drain starts the drain before it returns, so that the response shows the new
// state, and requests that the program stops the node.
func (v operatorView) Drain() error {
	v.drain()
	v.requestStop()
	return nil
}

func (v operatorView) Version() *lists.Version { return v.control.Load().Accepted() }

// explanationOf converts a decision of the call path to an explanation.
func explanationOf(d *proxy.Decision) operator.Explanation {
	e := operator.Explanation{
		Call: d.Call, Root: d.Root, Customer: d.Customer, Route: d.Route, Rank: d.Rank.String(),
		Sequence: d.Sequence, Outcome: d.Outcome, Reason: d.Reason,
	}
	e.Steps = append(e.Steps, operator.ExplainStep{
		Time: d.Start, Component: "admission", Decision: d.Admission,
		Detail: fmt.Sprintf("%s %s, depth %d, version %d", d.Method, d.Path, d.Depth, d.Sequence),
	})
	for _, a := range d.Attempts {
		e.Steps = append(e.Steps, attemptStep(a))
	}
	e.Steps = append(e.Steps, operator.ExplainStep{
		Time: d.Start.Add(d.Duration), Component: "entry", Decision: fmt.Sprintf("answered with status %d", d.Status),
		Detail: fmt.Sprintf("after %s", d.Duration),
	})
	return e
}

func attemptStep(a proxy.AttemptRecord) operator.ExplainStep {
	detail := []string{fmt.Sprintf("failure domain %s, %s in all, %s in the queue", a.Domain, a.Duration, a.QueueingDelay)}
	if a.Reason != "" {
		detail = append(detail, "reason "+string(a.Reason))
	}
	if a.Rule != "" {
		detail = append(detail, "retry rule "+string(a.Rule))
	}
	return operator.ExplainStep{
		Time: a.Start, Component: "selection", Decision: fmt.Sprintf("endpoint %s on host %s: %s", a.Endpoint, a.Host, a.Outcome),
		Detail: strings.Join(detail, ", "),
	}
}
