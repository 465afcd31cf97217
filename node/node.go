// Package node assembles the process that runs on every endpoint host from
// plug-ins of the kernel: connection to the store, control between nodes,
// admission, claims, endpoints, gate, entry and operator API.
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
	"geraniumnotch.example/geraniumnotch/distribution"
	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/gate"
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
	// Store replaces the adapter that the settings name, for meshes in one
	// process.
	Store kvstore.Store
	// Dial replaces the dialer of links between nodes, to inject faults.
	Dial transport.DialFunc
	// DialCall replaces the dialer of connections that carry calls to other
	// hosts, to inject faults.
	DialCall proxy.DialFunc
	// Rand replaces the random source of the jitter between nodes, and
	// HandshakesPerSecond the limit of accepted links, for baselines.
	Rand                func() float64
	HandshakesPerSecond float64
	// Timing replaces intervals of the control part; zero fields come from the
	// settings.
	Timing distribution.Timing
	// Selection, Gate and Retry replace policies, for baselines.
	Selection selection.Policy
	Gate      gate.Policy
	Retry     retry.Policy
	// OnVersion is called after a version is in force on the node.
	OnVersion func(*lists.Version)
	// WithoutLevels admits roots whatever the pressure is, for baselines.
	WithoutLevels bool
}

// Node is one node of the mesh.
type Node struct {
	settings *settings.Settings
	injector do.Injector
	kernel   *kernel.Kernel
	parts    *parts
}

// parts is the state that plug-ins share. Each plug-in sets its own fields in
// Provision and reads those of the plug-ins that it names in After.
type parts struct {
	settings  *settings.Settings
	options   Options
	logger    hclog.Logger
	metrics   *metrics.Registry
	listeners listeners

	store     *kvstore.CountingStore
	authority *authorityPlugin
	// control is set once the distribution service exists; plug-ins that come
	// before it read it when they are called.
	control atomic.Pointer[distribution.Service]
	current routing.Current
	// peers are the addresses of all known hosts, for the gate.
	peers     atomic.Pointer[map[netip.Addr]bool]
	refresh   *refresher
	announced announced
	admission *admission.Controller
	endpoints *endpoints.Registry
	selector  *selection.Selector
	explain   *proxy.Explain
	running   *proxy.Running
	gateway   *proxy.Gate
	entry     *proxy.Entry
	claims    proxy.Claims
	drain     func()
	// stopRequested is closed by requestStop.
	stopRequested chan struct{}
	requestStop   func()
}

// listeners are the sockets of the node. They are opened before anything is
// started, so that a port in use is an error of validation.
type listeners struct {
	peer, call, entry, operator, endpoints net.Listener
}

// Addresses are the addresses that the node listens on.
type Addresses struct {
	Peer, Call, Entry, Operator, Endpoints string
}

// plugins are the plug-ins of a node in no particular order.
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

// New returns a node whose sockets are open and whose parts are validated. It
// serves nothing before Start.
func New(s *settings.Settings, options Options) (*Node, error) {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	registry, err := metrics.New()
	if err != nil {
		return nil, err
	}
	p := &parts{settings: s, options: options, logger: options.Logger, metrics: registry, stopRequested: make(chan struct{})}
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
	return &Node{settings: s, injector: injector, kernel: k, parts: p}, nil
}

// Start starts the node.
func (n *Node) Start(ctx context.Context) error {
	eventStart.Log(n.parts.logger, "host", n.settings.Node.Host, "domain", n.settings.Node.FailureDomain, "entry", n.Addresses().Entry)
	return n.kernel.Start(ctx)
}

// Stop shuts the node down gracefully: it refuses new work, waits for all calls
// in flight, and leaves the mesh. The context ends the waiting.
func (n *Node) Stop(ctx context.Context) error {
	if limit := n.settings.Node.DrainLimit; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	eventStop.Log(n.parts.logger, "host", n.settings.Node.Host)
	n.Drain()
	err := n.parts.waitIdle(ctx)
	err = errors.CombineErrors(err, n.kernel.Stop(ctx))
	eventStopped.Log(n.parts.logger, "host", n.settings.Node.Host, "error", err)
	return err
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() {
	if control := n.parts.control.Load(); control != nil {
		control.Kill()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.kernel.Stop(ctx)
}

// StopRequested is closed when an operator asks the node to stop.
func (n *Node) StopRequested() <-chan struct{} { return n.parts.stopRequested }

// Drain makes the node refuse new work. Calls in flight go on.
func (n *Node) Drain() { n.parts.drain() }

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	l := &n.parts.listeners
	return Addresses{
		Peer: l.peer.Addr().String(), Call: l.call.Addr().String(), Entry: l.entry.Addr().String(),
		Operator: l.operator.Addr().String(), Endpoints: l.endpoints.Addr().String(),
	}
}

// Control returns the control part of the node.
func (n *Node) Control() *distribution.Service { return n.parts.control.Load() }

// Store returns the node's counted connection to the platform's service.
func (n *Node) Store() *kvstore.CountingStore { return n.parts.store }

// Snapshot returns the routing snapshot in force, or nil before the first.
func (n *Node) Snapshot() *routing.Snapshot { return n.parts.current.Load() }

// Explain returns the recent decisions of the node.
func (n *Node) Explain() *proxy.Explain { return n.parts.explain }

// Admission returns the admission controller of the node.
func (n *Node) Admission() *admission.Controller { return n.parts.admission }

// waitIdle waits for the gate first: calls that run at this host still make
// nested calls through the entry.
func (p *parts) waitIdle(ctx context.Context) error {
	err := p.gateway.WaitIdle(ctx)
	err = errors.CombineErrors(err, p.entry.WaitIdle(ctx))
	return errors.Wrap(err, "node: calls in flight when the shutdown ended")
}

// shutdownGrace bounds the closing of servers that have no call in flight.
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
