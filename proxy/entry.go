// Package proxy is the HTTP call path. An Entry accepts calls from clients and
// from endpoints of its own host, and sends them to the Gate of the host that
// selection chose; the Gate waits for a slot and forwards them to the endpoint.
// Both stream requests and responses. Every response that a node generates itself
// is a Problem and states the outcome.
package proxy

import (
	"context"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/admission"
	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/retry"
	"geraniumnotch.example/geraniumnotch/routing"
	"geraniumnotch.example/geraniumnotch/selection"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
)

const (
	// DefaultMaxBufferedBodyBytes is the largest request body that is buffered, so that the
	// call can be retried after its body was sent.
	DefaultMaxBufferedBodyBytes = 64 << 10
	// MaxKeyedBodyBytes is the largest body of a keyed call.
	MaxKeyedBodyBytes = 1 << 20
	// DefaultMaxBodyBytes is the longest body of a request.
	DefaultMaxBodyBytes = 256 << 20
	// DefaultClientMemoryBytes is what clients may hold at a node together: 64 of the longest
	// bodies, or 1,024 of those that can be retried.
	DefaultClientMemoryBytes = 64 << 20
	// CallBytes is what a call takes besides its head and its body: the buffer of its
	// response.
	CallBytes = maxBufferedResponseBytes
)

// NewClientMemory returns the account for what clients hold at a node.
func NewClientMemory() *heldmemory.Account {
	return heldmemory.NewAccount(DefaultClientMemoryBytes, boottime.Now)
}

// EntryConfig configures an Entry. Snapshot, Selector and Admission are
// required.
type EntryConfig struct {
	// Snapshot holds the active routing snapshot, which new calls use.
	Snapshot  *routing.Current
	Selector  *selection.Selector
	Admission *admission.Controller
	// Claims claims the keys of keyed calls. If it is nil, such calls are rejected.
	Claims Claims
	// Running is shared with the Gate of the same node.
	Running *RunningCalls
	// Decisions records the decisions; nil means that none are recorded.
	Decisions *DecisionLog
	Retry     retry.Policy
	// RetryRatio is the number of retries that each call adds to the retry budget;
	// zero means retry.DefaultRatio.
	RetryRatio float64
	// MaxBufferedBodyBytes replaces DefaultMaxBufferedBodyBytes when it is not zero.
	MaxBufferedBodyBytes int64
	// MaxBodyBytes replaces DefaultMaxBodyBytes when it is not zero.
	MaxBodyBytes int64
	// Memory is what request bodies may hold, shared with the Gate of the same node; nil
	// means an account of DefaultClientMemoryBytes.
	Memory *heldmemory.Account
	// Dial replaces the dialer of connections to gates, for fault injection.
	Dial   DialFunc
	Now    func() time.Time
	Logger hclog.Logger
	// Meter creates the metrics; nil means that there are none.
	Meter metric.Meter
}

// Entry is the ingress of this program: the HTTP handler that accepts calls from
// clients and nested calls from the endpoints of its host. It is safe for concurrent
// use.
type Entry struct {
	cfg         EntryConfig
	pools       *pools
	uploadPools *pools
	budgets     *retry.Budgets
	calls       *inflight
	replays     *replayCache
	metrics     instruments
}

// NewEntry returns the handler for the entry address.
func NewEntry(cfg EntryConfig) *Entry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Running == nil {
		cfg.Running = NewRunningCalls()
	}
	if cfg.Memory == nil {
		cfg.Memory = NewClientMemory()
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.MaxBufferedBodyBytes == 0 {
		cfg.MaxBufferedBodyBytes = DefaultMaxBufferedBodyBytes
	}
	shortPools, uploadPools := newShortPools(cfg.Now), newPools(0, cfg.Now)
	if cfg.Dial != nil {
		shortPools.dial, uploadPools.dial = withDialTimeout(cfg.Dial), withDialTimeout(cfg.Dial)
	}
	return &Entry{
		cfg:         cfg,
		pools:       shortPools,
		uploadPools: uploadPools,
		budgets:     retry.NewBudgets(cfg.RetryRatio),
		calls:       newInflight(),
		replays:     newReplayCache(cfg.Now),
		metrics:     newInstruments(cfg.Meter),
	}
}

// Drain rejects root calls from now on. Nested calls of calls that still run at
// this host are served.
func (e *Entry) Drain() { e.calls.draining.Store(true) }

// WaitIdle waits until no call is in flight or ctx ends. A node that stops must
// wait for its Gate first, because calls that run there still make nested calls.
func (e *Entry) WaitIdle(ctx context.Context) error { return e.calls.wait(ctx) }

// InFlight returns the number of calls in flight.
func (e *Entry) InFlight() int { return int(e.calls.count.Load()) }

// Close closes idle connections to gates.
func (e *Entry) Close() {
	e.pools.close()
	e.uploadPools.close()
}

// poolsFor returns the connection pools for a call with the given body. The gate
// reads a buffered body immediately, but a streamed one only as fast as the
// endpoint reads it.
func (e *Entry) poolsFor(body *requestBody) *pools {
	if body.stream != nil {
		return e.uploadPools
	}
	return e.pools
}

// ServeHTTP serves one call.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.calls.begin()
	defer e.calls.end()
	c := &call{entry: e, w: w, r: r, id: newCallID(), started: e.cfg.Now()}
	c.root = c.id
	c.decision = &Decision{Call: c.id, Method: clip(r.Method), Path: clip(r.URL.Path), Start: c.started}
	c.decision.Attempts = c.decision.firstAttempt[:0]
	defer c.finish()
	if failure := c.serve(); failure != nil {
		c.writeFailure(failure)
	}
}

// serve runs the steps of the call. It returns the failure that the caller must
// be told, or nil if a response of an endpoint was sent to the caller.
func (c *call) serve() *callFailure {
	steps := []func() *callFailure{c.validate, c.identify, c.matchRoute, c.startDeadline, c.admit, c.readBody, c.claimKey}
	for _, step := range steps {
		if failure := step(); failure != nil {
			return failure
		}
	}
	if c.replay != nil {
		c.writeReplay()
		return nil
	}
	return c.forward()
}

// finish releases the resources of the call and records its decision. It also runs
// if the response had to be aborted.
func (c *call) finish() {
	c.body.release()
	if c.parent != nil {
		c.parent.nestedInFlight.Add(-1)
	}
	c.finishOriginal(c.decision.Outcome, nil)
	if c.unwatchParent != nil {
		c.unwatchParent()
	}
	if c.cancel != nil {
		c.cancel()
	}
	if c.ticket != nil {
		c.ticket.Done()
	}
	c.decision.Duration = c.entry.cfg.Now().Sub(c.started)
	c.entry.metrics.record(c.rank, c.decision)
	if c.entry.cfg.Decisions != nil {
		c.entry.cfg.Decisions.add(c.decision)
	}
}

// writeFailure responds to the call with a problem.
func (c *call) writeFailure(f *callFailure) {
	if f.outcome == mesh.OutcomeNotExecuted && c.parent != nil {
		c.parent.nestedRejected.Store(true)
	}
	c.finishClaim(f.outcome, 0)
	c.decision.Status, c.decision.Outcome, c.decision.Reason = f.statusCode(), f.outcome, f.reason
	if c.snapshot != nil {
		c.w.Header()[mesh.HeaderSequence] = []string{formatSequence(c.snapshot.Version.Sequence)}
	}
	f.writeProblem(c.w, c.id)
}
