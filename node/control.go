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

// base gives a plug-in the shared components of its node and default life cycle
// methods that do nothing.
type base struct{ *components }

func (b *base) Provision(injector do.Injector) error {
	p, err := do.Invoke[*components](injector)
	if err != nil {
		return errors.Wrap(err, "node: get the shared components")
	}
	b.components = p
	return nil
}

func (b *base) Validate() error             { return nil }
func (b *base) Start(context.Context) error { return nil }
func (b *base) Stop(context.Context) error  { return nil }

// storePlugin opens the store, a service of the platform, through the adapter that
// the settings name.
type storePlugin struct{ base }

func (p *storePlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	store := p.options.Store
	if store == nil {
		opened, err := kvstore.Open(p.settings.Store.Adapter, p.settings.Store.Address)
		if err != nil {
			return errors.Wrap(err, "node: open the store")
		}
		store = opened
	}
	p.components.store = kvstore.NewCountingStore(store)
	return errors.Wrap(p.components.store.ExportMetrics(p.metrics.Meter()), "node: export the store metrics")
}

// authorityPlugin provides access to the versions of the lists in the store.
type authorityPlugin struct {
	base
	*authority.Authority
}

func (p *authorityPlugin) Provision(injector do.Injector) error {
	if err := p.base.Provision(injector); err != nil {
		return err
	}
	p.Authority = authority.New(p.store, authority.Options{Logger: p.logger.Named("authority"), ActiveVersion: p.acceptedVersion})
	p.components.authority = p
	return nil
}

func (p *authorityPlugin) acceptedVersion() mesh.VersionID {
	if control := p.control.Load(); control != nil {
		if v := control.Accepted(); v != nil {
			return v.ID
		}
	}
	return mesh.VersionID{}
}

// controlPlugin runs the control plane: links between nodes, membership and the
// distribution of versions.
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
	instruments, err := newControlMetrics(p.components, traffic)
	if err != nil {
		return err
	}
	p.snapshots = &snapshotUpdater{components: p.components, metrics: instruments}
	service, err := distribution.New(p.config(traffic))
	if err != nil {
		return errors.Wrap(err, "node: create the control plane")
	}
	p.service = service
	p.control.Store(service)
	p.server = newServer(p.components, serverPeer, p.listeners.peer, service.Handler())
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
		Memory:    p.clientMemory,
		OnVersion: p.snapshots.setVersion, OnMembers: p.snapshots.setView,
	}
}

func (p *controlPlugin) Start(ctx context.Context) error {
	p.server.start()
	return p.service.Start(ctx)
}

func (p *controlPlugin) Stop(ctx context.Context) error {
	p.snapshots.stop()
	err := p.service.Stop(ctx)
	return errors.CombineErrors(err, p.server.stop(ctx))
}
