package node

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"

	"geraniumnotch.example/geraniumnotch/admission"
	"geraniumnotch.example/geraniumnotch/claims"
	"geraniumnotch.example/geraniumnotch/distribution"
	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/kernel"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/proxy"
	"geraniumnotch.example/geraniumnotch/selection"
	"geraniumnotch.example/geraniumnotch/transport"
)

func init() {
	kernel.Register(kernel.Descriptor{ID: pluginEndpoints, New: func() kernel.Plugin { return &endpointsPlugin{} }})
	kernel.Register(kernel.Descriptor{ID: pluginAdmission, New: func() kernel.Plugin { return &admissionPlugin{} }})
	kernel.Register(kernel.Descriptor{
		ID: pluginClaims, After: []kernel.ID{pluginStore, pluginControl},
		New: func() kernel.Plugin { return &claimsPlugin{} },
	})
	kernel.Register(kernel.Descriptor{
		ID: pluginGate, After: []kernel.ID{pluginEndpoints, pluginControl},
		New: func() kernel.Plugin { return &gatePlugin{} },
	})
	kernel.Register(kernel.Descriptor{
		ID: pluginEntry, After: []kernel.ID{pluginAdmission, pluginClaims, pluginGate},
		New: func() kernel.Plugin { return &entryPlugin{} },
	})
}

// worker runs a function in the background between Start and Stop.
type worker struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (w *worker) run(work func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Go(func() { work(ctx) })
}

func (w *worker) stop() {
	if w.cancel != nil {
		w.cancel()
	}
	w.done.Wait()
}

// deferredSender looks up the distribution service on each send, because the
// service is provisioned after the plug-ins that send through it.
type deferredSender struct{ *components }

func (s deferredSender) Send(ctx context.Context, to mesh.HostID, kind transport.Kind, body any) error {
	control := s.control.Load()
	if control == nil {
		return distribution.ErrUnknownHost
	}
	return control.Send(ctx, to, kind, body)
}

// endpointsPlugin serves the announcement API and updates the membership record of
// the host when the announced endpoints change.
type endpointsPlugin struct {
	base
	server *server
	worker worker
}

func (p *endpointsPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	p.endpoints = endpoints.New(endpoints.Config{
		Logger: p.logger.Named("endpoints"), Meter: p.metrics.Meter(), Policy: p.options.Gate, OnChange: p.setAnnounced,
	})
	p.server = newServer(p.components, serverEndpoints, p.listeners.endpoints, p.endpoints.Handler())
	return nil
}

func (p *endpointsPlugin) setAnnounced(announced []membership.Endpoint) {
	p.announced.mu.Lock()
	defer p.announced.mu.Unlock()
	p.announced.endpoints = announced
	p.publishEndpoints()
}

func (p *endpointsPlugin) Start(context.Context) error {
	p.server.start()
	p.worker.run(p.endpoints.Run)
	return nil
}

func (p *endpointsPlugin) Stop(ctx context.Context) error {
	p.worker.stop()
	return p.server.stop(ctx)
}

// admissionPlugin runs the admission of root calls.
type admissionPlugin struct {
	base
	worker worker
}

func (p *admissionPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	p.admission = admission.New(admission.Config{
		Host: p.settings.Node.Host, Domain: p.settings.Node.FailureDomain, Sender: deferredSender{p.components},
		Meter: p.metrics.Meter(), Logger: p.logger.Named("admission"), DisableLevels: p.options.DisableLevels,
	})
	return nil
}

func (p *admissionPlugin) Start(context.Context) error {
	control := p.control.Load()
	control.Register(transport.KindQuotaDemand, p.admission)
	control.Register(transport.KindQuotaGrant, p.admission)
	p.worker.run(p.admission.Run)
	return nil
}

func (p *admissionPlugin) Stop(context.Context) error {
	p.worker.stop()
	return p.admission.Close()
}

// claimsPlugin claims idempotency keys through the preferred owner of their shard.
type claimsPlugin struct {
	base
	claimer *claims.Claimer
	router  *claims.Router
	worker  worker
}

// cleanInterval is the time between the cleanings of two shards, in which their
// owner deletes expired segments. With 64 shards each one is cleaned about every
// ten minutes.
const cleanInterval = 10 * time.Second

func (p *claimsPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	claimer, err := claims.New(claims.Config{
		Store: p.store, MinBatchInterval: p.settings.Claims.BatchInterval, Retention: p.settings.Claims.Retention,
		CallTimeout: p.settings.Store.Timeout, Logger: p.logger.Named("claims"), Meter: p.metrics.Meter(),
	})
	if err != nil {
		return errors.Wrap(err, "node: create the claimer")
	}
	p.claimer = claimer
	p.router, err = claims.NewRouter(claims.RouterConfig{
		Claimer: claimer, Sender: deferredSender{p.components}, Self: p.settings.Node.Host, Domain: p.settings.Node.FailureDomain,
		View: p.view, Logger: p.logger.Named("claims"), Meter: p.metrics.Meter(),
	})
	p.claims = proxy.ClaimsFrom(p.router)
	return errors.Wrap(err, "node: create the claims router")
}

func (p *claimsPlugin) view() *membership.View { return p.control.Load().View() }

func (p *claimsPlugin) Start(context.Context) error {
	control := p.control.Load()
	control.Register(transport.KindClaimRequest, p.router)
	control.Register(transport.KindClaimReply, p.router)
	p.worker.run(func(ctx context.Context) { p.router.CleanOwned(ctx, cleanInterval) })
	return nil
}

func (p *claimsPlugin) Stop(ctx context.Context) error {
	p.worker.stop()
	return p.claimer.Close(ctx)
}

// gatePlugin serves the call address, to which other nodes send calls.
type gatePlugin struct {
	base
	server *server
	worker worker
}

func (p *gatePlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	p.running = proxy.NewRunningCalls()
	p.gate = proxy.NewGate(proxy.GateConfig{
		Endpoints: p.endpoints, Running: p.running, Memory: p.clientMemory, IsTrusted: p.isPeer, Logger: p.logger.Named("gate"),
	})
	p.server = newServer(p.components, serverCall, p.listeners.call, p.gate)
	return nil
}

// isPeer reports whether the address is that of a known host.
func (p *gatePlugin) isPeer(address netip.Addr) bool {
	peers := p.peers.Load()
	return peers != nil && (*peers)[address]
}

func (p *gatePlugin) Start(context.Context) error {
	p.server.start()
	p.worker.run(p.gate.Run)
	return nil
}

func (p *gatePlugin) Stop(ctx context.Context) error {
	p.worker.stop()
	defer p.gate.Close()
	return p.server.stop(ctx)
}

// decisionLogSize is the number of recent decisions that a node records.
const decisionLogSize = 4096

// entryPlugin serves the entry address, to which clients send calls.
type entryPlugin struct {
	base
	server *server
	worker worker
}

func (p *entryPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	p.decisions = proxy.NewDecisionLog(decisionLogSize)
	p.selector = selection.New(selection.Config{
		Domain: p.settings.Node.FailureDomain, Policy: p.options.Selection,
		MaxEjectedShare: p.settings.Selection.MaxEjectedShare, Logger: p.logger.Named("selection"), Meter: p.metrics.Meter(),
	})
	p.entry = proxy.NewEntry(proxy.EntryConfig{
		Snapshot: &p.current, Selector: p.selector, Admission: p.admission, Claims: p.claims, Running: p.running, Memory: p.clientMemory, MaxBodyBytes: p.settings.Limits.BodyBytes,
		Decisions: p.decisions, Dial: p.options.DialCall, Retry: p.options.Retry, RetryRatio: p.settings.Retry.BudgetShare,
		Logger: p.logger.Named("entry"), Meter: p.metrics.Meter(),
	})
	p.server = newServer(p.components, serverEntry, p.listeners.entry, p.entry)
	p.drain = sync.OnceFunc(p.drainAll)
	return nil
}

// drainAll publishes the draining state first, so that other nodes stop sending
// calls; the gate rejects those that still arrive.
func (p *entryPlugin) drainAll() {
	p.control.Load().UpdateSelf(func(r *membership.Record) { r.State = membership.StateDraining })
	p.entry.Drain()
	p.endpoints.DrainAll()
	p.gate.Drain()
}

func (p *entryPlugin) Start(context.Context) error {
	p.server.start()
	p.worker.run(p.entry.RunProbes)
	return nil
}

func (p *entryPlugin) Stop(ctx context.Context) error {
	p.worker.stop()
	defer p.entry.Close()
	return p.server.stop(ctx)
}
