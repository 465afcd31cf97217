package hostnode

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/time/rate"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/ingress"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

var (
	eventKeysRejected = events.Define(2540, hclog.Warn, "calls without a known key rejected with 401", "Compare the plan's version with the newest one, and the fingerprint with those of the caller's keys; see docs/OPERATIONS.md.")
	eventPlanRefused  = events.Define(2541, hclog.Warn, "route plan of an earlier program ignored", "None, the node reads the store; bring all hosts to one version of the program, because earlier ones drop the workspaces of a plan.")
	eventKeysChanged  = events.Define(2542, hclog.Info, "keys of workspaces changed with the route plan", "None; calls with added keys work at once, and those with removed ones get 401.")
)

// keyLineInterval is the shortest time between two lines about rejected keys. A client with
// a withdrawn key may send at any rate, and one line says what the next ones would.
const keyLineInterval = 5 * time.Second

// callResult classifies the calls of workspaces for metrics.
type callResult int

const (
	resultServed callResult = iota
	// resultRejected is for calls that have not been executed and never will be.
	resultRejected
	resultFailed
	callResults
)

var callResultNames = [callResults]string{"served", "rejected", "failed"}

func classifyStatus(status int) callResult {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return resultRejected
	case status == 0 || status >= http.StatusInternalServerError || status == http.StatusRequestTimeout:
		return resultFailed
	}
	return resultServed
}

// workspaceObserver counts the calls of clients by workspace, and logs rejected keys. Its
// state is bounded by the plan.
type workspaceObserver struct {
	logger hclog.Logger
	lines  *rate.Limiter
	// unlogged is the number of rejected calls since the last line about them.
	unlogged atomic.Int64

	mu sync.RWMutex
	// version is that of the newest plan. calls has an entry for each of its workspaces.
	version uint64
	calls   map[mesh.WorkspaceName]*[callResults]atomic.Int64
}

func newWorkspaceObserver(logger hclog.Logger, meter metric.Meter) (*workspaceObserver, error) {
	o := &workspaceObserver{
		logger: logger, lines: rate.NewLimiter(rate.Every(keyLineInterval), 1),
		calls: map[mesh.WorkspaceName]*[callResults]atomic.Int64{},
	}
	_, err := meter.Int64ObservableCounter("host_workspace_calls", metric.WithDescription("calls of clients by workspace and result"),
		metric.WithInt64Callback(func(_ context.Context, counter metric.Int64Observer) error {
			o.observe(counter)
			return nil
		}))
	return o, errors.Wrap(err, "hostnode: create counter")
}

func (o *workspaceObserver) observe(counter metric.Int64Observer) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	for name, counts := range o.calls {
		for result := range counts {
			if n := counts[result].Load(); n > 0 {
				counter.Observe(n, metric.WithAttributes(attribute.String("workspace", string(name)), attribute.String("result", callResultNames[result])))
			}
		}
	}
}

// planChanged logs how many keys the new plan adds and removes, and forgets the workspaces
// that it does not have.
func (o *workspaceObserver) planChanged(old, p *routeplan.Plan) {
	if changes := p.KeyChanges(old); changes != (routeplan.KeyChanges{}) {
		eventKeysChanged.Log(o.logger, "version", p.Version, "workspaces", len(p.Workspaces),
			"added", changes.Added, "removed", changes.Removed, "moved", changes.Moved)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.Version < o.version {
		return // A newer plan of another source has overtaken it.
	}
	o.version = p.Version
	calls := make(map[mesh.WorkspaceName]*[callResults]atomic.Int64, len(p.Workspaces))
	for i := range p.Workspaces {
		name := p.Workspaces[i].Name
		if calls[name] = o.calls[name]; calls[name] == nil {
			calls[name] = &[callResults]atomic.Int64{}
		}
	}
	o.calls = calls
}

// finished counts the call of a client. It reports whether it was rejected because of its
// key, and logs that in place of the line of the call.
func (o *workspaceObserver) finished(e *ingress.Exchange) (rejected bool) {
	if e.Reason == call.ReasonUnknownKey {
		o.logRejected(e)
		return true
	}
	if e.Workspace == "" || e.Nested {
		return false
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	if counts := o.calls[e.Workspace]; counts != nil {
		counts[classifyStatus(e.Status)].Add(1)
	}
	return false
}

func (o *workspaceObserver) logRejected(e *ingress.Exchange) {
	o.unlogged.Add(1)
	if !o.lines.Allow() {
		return
	}
	key := "none"
	if e.UnknownKey != nil {
		key = e.UnknownKey.String()
	}
	eventKeysRejected.Log(o.logger, "calls", o.unlogged.Swap(0), "latest_id", e.ID, "key", key, "route", e.Route.Name, "plan", e.PlanVersion)
}
