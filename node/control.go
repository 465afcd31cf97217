package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/distribution"
	"geraniumnotch.example/geraniumnotch/kernel"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
)

func init() {
	kernel.Register(kernel.Descriptor{ID: pluginStore, New: func() kernel.Plugin { return &storePlugin{} }})
	kernel.Register(kernel.Descriptor{ID: pluginAuthority, After: []kernel.ID{pluginStore}, New: func() kernel.Plugin { return &authorityPlugin{} }})
	kernel.Register(kernel.Descriptor{
		ID: pluginControl, After: []kernel.ID{pluginStore, pluginAuthority, pluginEndpoints, pluginAdmission},
		New: func() kernel.Plugin { return &controlPlugin{} },
	})
}

// base gives a plug-in the parts of its node and empty life cycle methods.
type base struct{ *parts }

func (b *base) Provision(injector do.Injector) error {
	p, err := do.Invoke[*parts](injector)
	if err != nil {
		return errors.Wrap(err, "node: parts")
	}
	b.parts = p
	return nil
}

func (b *base) Validate() error             { return nil }
func (b *base) Start(context.Context) error { return nil }
func (b *base) Stop(context.Context) error  { return nil }

// storePlugin connects to the platform's service through the adapter that the
// settings name.
type storePlugin struct{ base }

func (p *storePlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	store := p.options.Store
	if store == nil {
		opened, err := kvstore.Open(p.settings.Store.Adapter, p.settings.Store.Address)
		if err != nil {
			return errors.Wrap(err, "node: open the platform's service")
		}
		store = opened
	}
	p.parts.store = kvstore.Counting(store)
	return errors.Wrap(p.parts.store.ExportMetrics(p.metrics.Meter()), "node: metrics of the store")
}

// authorityPlugin gives access to the versions in the store.
type authorityPlugin struct {
	base
	*authority.Authority
}

func (p *authorityPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	p.Authority = authority.New(p.store, authority.Options{Logger: p.logger.Named("authority"), Held: p.held})
	p.parts.authority = p
	return nil
}

func (p *authorityPlugin) held() mesh.VersionID {
	if control := p.control.Load(); control != nil {
		if v := control.Accepted(); v != nil {
			return v.ID
		}
	}
	return mesh.VersionID{}
}

// controlPlugin runs the control part: links, members and versions.
type controlPlugin struct {
	base
	service *distribution.Service
	server  *server
}

func (p *controlPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	traffic := &transport.Meter{}
	instruments, err := newControlMetrics(p.parts, traffic)
	if err != nil {
		return err
	}
	p.refresh = &refresher{parts: p.parts, metrics: instruments}
	service, err := distribution.New(p.config(traffic))
	if err != nil {
		return errors.Wrap(err, "node: control")
	}
	p.service = service
	p.control.Store(service)
	p.server = newServer(p.parts, "peer", p.listeners.peer, service.Handler())
	return nil
}

func (p *controlPlugin) config(traffic *transport.Meter) distribution.Config {
	s := p.settings
	timing := p.options.Timing
	timing.PingAfter = lo.CoalesceOrEmpty(timing.PingAfter, s.Membership.PingInterval)
	timing.DigestInterval = lo.CoalesceOrEmpty(timing.DigestInterval, s.Membership.DigestInterval)
	return distribution.Config{
		Self: membership.Record{
			Host: s.Node.Host, Domain: s.Node.FailureDomain,
			PeerAddress: p.listeners.peer.Addr().String(), CallAddress: p.listeners.call.Addr().String(),
		},
		Seeds: s.Peers.Seeds, Source: p.authority, Store: p.store,
		Summaries: p.authority, Logger: p.logger.Named("control"), Meter: traffic, Dial: p.options.Dial,
		Timing: timing, Members: membership.Options{SuspicionTimeout: s.Membership.SuspicionTimeout},
		Rand: p.options.Rand, HandshakesPerSecond: p.options.HandshakesPerSecond,
		OnVersion: p.refresh.setVersion, OnMembers: p.refresh.setView,
	}
}

func (p *controlPlugin) Start(ctx context.Context) error {
	p.server.start()
	return p.service.Start(ctx)
}

func (p *controlPlugin) Stop(ctx context.Context) error {
	p.refresh.stop()
	err := p.service.Stop(ctx)
	return errors.CombineErrors(err, p.server.stop(ctx))
}
