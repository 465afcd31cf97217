package proxy

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/mesh"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// ProbePath is the path of probes on the call address. If an endpoint ID follows,
// the gate checks that endpoint as well.
const ProbePath = "/.geraniumnotch/probe/"

// probeTimeout bounds a probe and the check of an endpoint.
const probeTimeout = time.Second

// GateConfig configures a Gate.
type GateConfig struct {
	Endpoints *endpoints.Registry
	// Running is shared with the Entry of the same node.
	Running *RunningCalls
	// IsTrusted reports whether an address belongs to a node of the mesh. If it is
	// nil, all addresses are trusted, which is safe only where no other program can
	// reach the call address.
	IsTrusted func(netip.Addr) bool
	Now       func() time.Time
	Logger    hclog.Logger
	// Memory is what request bodies may hold, shared with the Entry of the same node; nil
	// means an account of DefaultClientMemoryBytes.
	Memory *heldmemory.Account
}

// Gate serves the call address of a host: it accepts calls from nodes, waits for
// a slot of the endpoint, and forwards them to it. It is safe for concurrent use.
type Gate struct {
	cfg   GateConfig
	pools *pools
	calls *inflight
}

// NewGate returns the handler for the call address.
func NewGate(cfg GateConfig) *Gate {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Memory == nil {
		cfg.Memory = NewClientMemory()
	}
	if cfg.Running == nil {
		cfg.Running = NewRunningCalls()
	}
	return &Gate{cfg: cfg, pools: newPools(endpoints.MaxConnections, cfg.Now), calls: newInflight()}
}

// Drain rejects calls from now on. Calls in flight are not interrupted.
func (g *Gate) Drain() { g.calls.draining.Store(true) }

// WaitIdle waits until no call is in flight or ctx ends.
func (g *Gate) WaitIdle(ctx context.Context) error { return g.calls.wait(ctx) }

// InFlight returns the number of calls in flight.
func (g *Gate) InFlight() int { return int(g.calls.count.Load()) }

// Close closes idle connections to endpoints.
func (g *Gate) Close() { g.pools.close() }

// ServeHTTP serves calls and probes.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.isTrusted(r) {
		notExecuted(mesh.ReasonUnauthenticated, "calls are accepted from nodes only").writeProblem(w, "")
		return
	}
	if len(r.URL.Path) >= len(ProbePath) && r.URL.Path[:len(ProbePath)] == ProbePath {
		g.serveProbe(w, r)
		return
	}
	g.calls.begin()
	defer g.calls.end()
	in, err := parseIncoming(r.Header, g.cfg.Now())
	if err != nil {
		notExecuted(mesh.ReasonMalformed, err.Error()).writeProblem(w, in.call)
		return
	}
	g.serveCall(w, r, in)
}

func (g *Gate) isTrusted(r *http.Request) bool {
	if g.cfg.IsTrusted == nil {
		return true
	}
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && g.cfg.IsTrusted(peer.Addr().Unmap())
}

func (g *Gate) serveCall(w http.ResponseWriter, r *http.Request, in incomingCall) {
	endpoint, failure := g.findEndpoint(in)
	if failure != nil {
		failure.writeProblem(w, in.call)
		return
	}
	body, err := g.readBody(w, r, in)
	defer body.release()
	if errors.Is(err, heldmemory.ErrNoMemory) {
		notExecuted(mesh.ReasonOverload, "the node has no memory for the request body").writeProblem(w, in.call)
		return
	}
	if err != nil {
		notExecuted(mesh.ReasonCancelled, "the request body ended early").writeProblem(w, in.call)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), in.deadline)
	defer cancel()
	queuedAt := g.cfg.Now()
	slot, err := endpoint.Gate.Acquire(ctx, in.toGateCall())
	if err != nil {
		g.rejectWithoutSlot(ctx, w, in, endpoint, err)
		return
	}
	startedAt := g.cfg.Now()
	c := &gateCall{
		gate: g, w: w, r: r, in: in, body: body, endpoint: endpoint,
		slot: slot, started: startedAt, queueingDelay: startedAt.Sub(queuedAt),
	}
	defer c.release()
	c.forward(ctx)
}

// readBody reads a short body before the call is queued. The HTTP server detects
// a closed connection only after the body was read, and a call whose sender has
// closed the connection must not keep its place in the queue.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request, in incomingCall) (*requestBody, error) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(in.deadline.Add(bodyReadGrace))
	}
	if r.Header.Get("Expect") != "" {
		return newRequestBody(w, r, g.cfg.Memory, -1)
	}
	return newRequestBody(w, r, g.cfg.Memory, MaxKeyedBodyBytes)
}

func (g *Gate) findEndpoint(in incomingCall) (*endpoints.Endpoint, *callFailure) {
	if g.calls.draining.Load() {
		return nil, notExecuted(mesh.ReasonDraining, "the host is stopping")
	}
	if in.depth > mesh.MaxDepth {
		return nil, notExecuted(mesh.ReasonTooDeep, "")
	}
	endpoint, ok := g.cfg.Endpoints.Get(in.endpoint)
	if !ok || in.service != "" && endpoint.Announcement().Service != in.service {
		return nil, notExecuted(mesh.ReasonNoEndpoint, "the host has no such endpoint")
	}
	return endpoint, nil
}

// rejectWithoutSlot responds to a call that got no slot.
func (g *Gate) rejectWithoutSlot(ctx context.Context, w http.ResponseWriter, in incomingCall, endpoint *endpoints.Endpoint, err error) {
	reason := mesh.ReasonOverload
	var rejection *gate.Rejection
	if errors.As(err, &rejection) {
		reason = rejection.Reason
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = mesh.ReasonDeadline
	}
	w.Header().Set(mesh.HeaderLoad, endpoint.Gate.Load().String())
	notExecuted(reason, "").writeProblem(w, in.call)
}

// serveProbe responds to a probe. If the path names an endpoint, the status also
// says whether that endpoint accepts a connection or, if it announced a health
// path, whether it responds to a request for it.
func (g *Gate) serveProbe(w http.ResponseWriter, r *http.Request) {
	id := mesh.EndpointID(r.URL.Path[len(ProbePath):])
	if id == "" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	endpoint, ok := g.cfg.Endpoints.Get(id)
	if !ok || endpoint.Draining() || g.calls.draining.Load() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), probeTimeout)
	defer cancel()
	if err := g.checkEndpoint(ctx, endpoint.Announcement()); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *Gate) checkEndpoint(ctx context.Context, a *endpoints.Announcement) error {
	if a.HealthPath == "" {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", a.Address)
		if err != nil {
			return errors.Wrap(err, "proxy: connect to endpoint")
		}
		return errors.Wrap(conn.Close(), "proxy: close probe connection")
	}
	x, out := newExchange(ctx, nil)
	out.Method, out.URL, out.Header = http.MethodGet, &url.URL{Scheme: "http", Host: a.Address, Path: a.HealthPath}, http.Header{}
	(&requestBody{}).attach(out)
	x.send(g.pools, out)
	if x.err != nil {
		return errors.Wrap(x.err, "proxy: request the health path of the endpoint")
	}
	_ = x.resp.Body.Close()
	if x.resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("proxy: health path of the endpoint returned status %d", x.resp.StatusCode)
	}
	return nil
}

// formatPressure formats a load or pressure as a header value.
func formatPressure(p float64) string { return strconv.FormatFloat(p, 'f', 2, 64) }
