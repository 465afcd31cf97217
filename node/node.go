// Package node assembles the process that runs on every endpoint host from kernel
// plug-ins: store, authority, control plane, endpoints, admission, claims, gate,
// entry and operator API.
package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"geraniumnotch.example/geraniumnotch/admission"
	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/connlimit"
	"geraniumnotch.example/geraniumnotch/distribution"
	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/kernel"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/metrics"
	"geraniumnotch.example/geraniumnotch/proxy"
	"geraniumnotch.example/geraniumnotch/retry"
	"geraniumnotch.example/geraniumnotch/routing"
	"geraniumnotch.example/geraniumnotch/selection"
	"geraniumnotch.example/geraniumnotch/settings"
	"geraniumnotch.example/geraniumnotch/transport"
)

// Options are what a program passes to a node besides its settings.
type Options struct {
	Logger hclog.Logger
	// Store replaces the store that the settings name, for meshes in one process.
	Store kvstore.Store
	// Dial replaces the dialer of links between nodes, for fault injection.
	Dial transport.DialFunc
	// DialCall replaces the dialer of connections that carry calls to other
	// hosts, for fault injection.
	DialCall proxy.DialFunc
	// Rand replaces the random source of the jitter between nodes, and
	// HandshakesPerSecond the limit on accepted links, for baselines in experiments.
	Rand                func() float64
	HandshakesPerSecond float64
	// Timing replaces intervals of the control plane; zero fields come from the
	// settings.
	Timing distribution.Timing
	// Selection, Gate and Retry replace policies, for baselines.
	Selection selection.Policy
	Gate      gate.Policy
	Retry     retry.Policy
	// OnVersion is called after a version becomes active on the node.
	OnVersion func(*lists.Version)
	// DisableLevels admits root calls regardless of the pressure, for baselines.
	DisableLevels bool
}

// Node is one node of the mesh.
type Node struct {
	settings   *settings.Settings
	injector   do.Injector
	kernel     *kernel.Kernel
	components *components
}

// components holds the objects that the plug-ins of a node share. Each plug-in sets
// its own fields in Provision and reads those of the plug-ins that it names in
// After.
type components struct {
	settings  *settings.Settings
	options   Options
	logger    hclog.Logger
	metrics   *metrics.Registry
	listeners listeners

	store     *kvstore.CountingStore
	authority *authorityPlugin
	// control is nil until the control plug-in is provisioned. Plug-ins that are
	// provisioned earlier must load it when they use it.
	control atomic.Pointer[distribution.Service]
	current routing.Current
	// peers are the addresses of all known hosts. The gate accepts calls only from
	// them.
	peers     atomic.Pointer[map[netip.Addr]bool]
	snapshots *snapshotUpdater
	announced announced
	admission *admission.Controller
	endpoints *endpoints.Registry
	selector  *selection.Selector
	decisions *proxy.DecisionLog
	running   *proxy.RunningCalls
	// clientMemory is what clients may hold with the heads and bodies of requests, and
	// connections the number of connections of each server by its name.
	clientMemory *heldmemory.Account
	connections  map[string]int
	// operatorMemory is what operators may hold.
	operatorMemory *heldmemory.Account
	// limiters are those of the servers by their names.
	limiters map[string]*connlimit.Limiter
	gate     *proxy.Gate
	entry    *proxy.Entry
	claims   proxy.Claims
	drain    func()
	// stopRequested is closed by requestStop.
	stopRequested chan struct{}
	requestStop   func()
}

// listeners are the sockets of the node. They are opened before any plug-in is
// started, so that New reports a port in use.
type listeners struct {
	peer, call, entry, operator, endpoints net.Listener
}

// Addresses are the addresses that the node listens on.
type Addresses struct {
	Peer, Call, Entry, Operator, Endpoints string
}

// plugins are the plug-ins of a node. The kernel orders them by their
// dependencies.
var plugins = []kernel.ID{
	pluginStore, pluginAuthority, pluginEndpoints, pluginControl, pluginAdmission,
	pluginClaims, pluginGate, pluginEntry, pluginOperator,
}

// IDs of the plug-ins.
const (
	pluginStore     kernel.ID = "node.store"
	pluginAuthority kernel.ID = "node.authority"
	pluginEndpoints kernel.ID = "node.endpoints"
	pluginControl   kernel.ID = "node.control"
	pluginAdmission kernel.ID = "node.admission"
	pluginClaims    kernel.ID = "node.claims"
	pluginGate      kernel.ID = "node.gate"
	pluginEntry     kernel.ID = "node.entry"
	pluginOperator  kernel.ID = "node.operator"
)

// New returns a node whose sockets are open and whose plug-ins are provisioned and
// validated. The node serves nothing before Start.
func New(s *settings.Settings, options Options) (*Node, error) {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	registry, err := metrics.New()
	if err != nil {
		return nil, err
	}
	p := &components{settings: s, options: options, logger: options.Logger, metrics: registry, limiters: map[string]*connlimit.Limiter{}, stopRequested: make(chan struct{})}
	p.operatorMemory = heldmemory.NewAccount(operatorMemoryBytes, boottime.Now)
	p.clientMemory, p.connections = proxy.NewClientMemory(), maxConnections(s.Limits, descriptors())
	p.requestStop = sync.OnceFunc(func() { close(p.stopRequested) })
	if err := p.listeners.open(s.Listen); err != nil {
		return nil, err
	}
	injector := do.New()
	do.ProvideValue(injector, p)
	k, err := kernel.New(injector, plugins...)
	if err != nil {
		p.listeners.close()
		return nil, errors.Wrapf(err, "node: assemble host %s", s.Node.Host)
	}
	if err := observeClients(p); err != nil {
		p.listeners.close()
		return nil, err
	}
	return &Node{settings: s, injector: injector, kernel: k, components: p}, nil
}

// Start starts the node.
func (n *Node) Start(ctx context.Context) error {
	eventStart.Log(n.components.logger, "host", n.settings.Node.Host, "domain", n.settings.Node.FailureDomain, "entry", n.Addresses().Entry)
	return n.kernel.Start(ctx)
}

// Stop shuts the node down gracefully: it rejects new calls, waits for all calls in
// flight, and leaves the mesh. It stops waiting when ctx ends or the drain limit of
// the settings is reached.
func (n *Node) Stop(ctx context.Context) error {
	if limit := n.settings.Node.DrainLimit; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	eventShutdown.Log(n.components.logger, "host", n.settings.Node.Host)
	n.Drain()
	err := n.components.waitIdle(ctx)
	err = errors.CombineErrors(err, n.kernel.Stop(ctx))
	eventStopped.Log(n.components.logger, "host", n.settings.Node.Host, "error", err)
	return err
}

// Kill stops the node immediately, as a crash would.
func (n *Node) Kill() {
	if control := n.components.control.Load(); control != nil {
		control.Kill()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.kernel.Stop(ctx)
}

// StopRequested is closed when an operator asks the node to stop.
func (n *Node) StopRequested() <-chan struct{} { return n.components.stopRequested }

// Drain makes the node reject new calls. Calls in flight continue.
func (n *Node) Drain() { n.components.drain() }

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	l := &n.components.listeners
	return Addresses{
		Peer: l.peer.Addr().String(), Call: l.call.Addr().String(), Entry: l.entry.Addr().String(),
		Operator: l.operator.Addr().String(), Endpoints: l.endpoints.Addr().String(),
	}
}

// Control returns the distribution service of the node.
func (n *Node) Control() *distribution.Service { return n.components.control.Load() }

// Store returns the store of the node, which counts its calls.
func (n *Node) Store() *kvstore.CountingStore { return n.components.store }

// Snapshot returns the active routing snapshot, or nil before the first.
func (n *Node) Snapshot() *routing.Snapshot { return n.components.current.Load() }

// Decisions returns the recent decisions of the node.
func (n *Node) Decisions() *proxy.DecisionLog { return n.components.decisions }

// Admission returns the admission controller of the node.
func (n *Node) Admission() *admission.Controller { return n.components.admission }

// waitIdle waits until no call is in flight or ctx ends. It waits for the gate
// first, because calls that run at this host still make nested calls through the
// entry.
func (p *components) waitIdle(ctx context.Context) error {
	err := p.gate.WaitIdle(ctx)
	err = errors.CombineErrors(err, p.entry.WaitIdle(ctx))
	return errors.Wrap(err, "node: calls still in flight at the end of the shutdown")
}

// shutdownGrace bounds the shutdown of a server once no call is in flight.
const shutdownGrace = 2 * time.Second

func (l *listeners) open(addresses settings.Listen) error {
	for _, socket := range []struct {
		name    string
		address string
		to      *net.Listener
	}{
		{"peer", addresses.Peer, &l.peer},
		{"call", addresses.Call, &l.call},
		{"entry", addresses.Entry, &l.entry},
		{"operator", addresses.Operator, &l.operator},
		{"endpoints", addresses.Endpoints, &l.endpoints},
	} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			l.close()
			return errors.Wrapf(err, "node: listen on %s address %s", socket.name, socket.address)
		}
		*socket.to = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.peer, l.call, l.entry, l.operator, l.endpoints} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
