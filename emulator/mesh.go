package emulator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/kvstore/httpstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/kvstore/standin"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
	"geraniumnotch.example/geraniumnotch/routing"
	"geraniumnotch.example/geraniumnotch/settings"
)

// MeshConfig describes a mesh in one process.
type MeshConfig struct {
	Deployment Deployment
	Nodes      int
	Domains    int
	// Behavior returns the behavior of the endpoints of a service. Without it the
	// hosts have no endpoints.
	Behavior func(mesh.ServiceName) Behavior
	// Lists replaces the sample lists.
	Lists lists.Lists
	// HTTPStore makes nodes use the store over HTTP on loopback instead of in
	// process.
	HTTPStore bool
	Record    *Record
	Logger    hclog.Logger
	// Options are passed to every node. OnVersion is replaced.
	Options node.Options
	// OptionsFor changes the options of a host's node.
	OptionsFor func(host mesh.HostID, domain mesh.FailureDomain, o *node.Options)
	// OnVersion is called when a node has activated a version.
	OnVersion func(host mesh.HostID, v *lists.Version, at time.Time)
	Seed      uint64
	// BasePort is the first of the consecutive ports that the hosts listen on; zero
	// means any free ports. With ports below the range of outgoing connections, no
	// connection can occupy the port of a host that is down.
	BasePort int
}

// Host is a host of the mesh: its settings, its node and its endpoint.
type Host struct {
	ID       mesh.HostID
	Domain   mesh.FailureDomain
	Service  mesh.ServiceName
	Settings *settings.Settings
	// Node and Endpoint are nil while the host is down.
	Node     *node.Node
	Endpoint *Endpoint
	up       atomic.Bool
}

// IsUp reports whether the host accepts calls. It is safe to call while the host
// starts or stops.
func (h *Host) IsUp() bool { return h.up.Load() }

// Mesh is a set of nodes, endpoints and a stand-in of the platform's service in
// one process, over loopback sockets.
type Mesh struct {
	Config    MeshConfig
	Store     *memory.Store
	Authority *authority.Authority
	Hosts     []*Host

	storeServer *httptest.Server
	mu          sync.Mutex
}

// StartMesh starts the mesh, applies its lists and waits until they are active on
// every node and every node sees every endpoint.
func StartMesh(ctx context.Context, cfg MeshConfig) (*Mesh, error) {
	cfg.Nodes = lo.CoalesceOrEmpty(cfg.Nodes, 11)
	cfg.Domains = lo.CoalesceOrEmpty(cfg.Domains, len(cfg.Deployment.Domains))
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Lists == nil {
		cfg.Lists = cfg.Deployment.SampleLists()
	}
	m := &Mesh{Config: cfg, Store: memory.New(memory.WithSeed(cfg.Seed))}
	m.Authority = authority.New(m.Store, authority.Options{})
	if cfg.HTTPStore {
		m.storeServer = httptest.NewServer(standin.New(m.Store, cfg.Logger))
	}
	if err := m.start(ctx); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

func (m *Mesh) start(ctx context.Context) error {
	if _, err := m.ApplyLists(ctx, m.Config.Lists); err != nil {
		return err
	}
	services := m.Config.Deployment.servicesOfHosts(m.Config.Nodes)
	domains := m.Config.Deployment.domainNames(m.Config.Domains)
	for i, service := range services {
		h := &Host{ID: mesh.HostID(fmt.Sprintf("host-%03d", i+1)), Domain: domains[i%len(domains)], Service: service}
		m.Hosts = append(m.Hosts, h)
		if err := m.StartHost(ctx, h); err != nil {
			return err
		}
	}
	return m.WaitReady(ctx)
}

// ApplyLists proposes a change that replaces the current lists with the given ones.
func (m *Mesh) ApplyLists(ctx context.Context, want lists.Lists) (mesh.VersionID, error) {
	current, _, err := m.Authority.ListsAt(ctx, 0)
	if err != nil && !errors.Is(err, authority.ErrVersionNotFound) {
		return mesh.VersionID{}, errors.Wrap(err, "emulator: read lists")
	}
	id := mesh.ChangeID(fmt.Sprintf("change-%d", time.Now().UnixNano()))
	accepted, err := m.Authority.Propose(ctx, authority.Proposal{ChangeID: id, Author: "emulator", Edits: lists.Diff(current, want)})
	return accepted.Version, errors.Wrap(err, "emulator: apply lists")
}

// StartHost starts the node and the endpoint of a host. A host that ran before keeps
// its addresses and no other state, like a replaced host.
func (m *Mesh) StartHost(ctx context.Context, h *Host) error {
	if h.Settings == nil {
		h.Settings = m.settingsOf(h)
	}
	options := m.Config.Options
	options.Logger = m.Config.Logger.With("host", string(h.ID))
	options.OnVersion = func(v *lists.Version) {
		if m.Config.OnVersion != nil {
			m.Config.OnVersion(h.ID, v, time.Now())
		}
	}
	if m.storeServer == nil {
		options.Store = m.Store
	} else {
		store, err := httpstore.Open(m.storeServer.Listener.Addr().String())
		if err != nil {
			return err
		}
		options.Store = store
	}
	if m.Config.OptionsFor != nil {
		m.Config.OptionsFor(h.ID, h.Domain, &options)
	}
	n, err := node.New(h.Settings, options)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	a := n.Addresses()
	h.Settings.Listen = settings.Listen{Peer: a.Peer, Call: a.Call, Entry: a.Entry, Operator: a.Operator, Endpoints: a.Endpoints}
	h.Node = n
	h.up.Store(true)
	return m.startEndpoint(h)
}

func (m *Mesh) startEndpoint(h *Host) error {
	if m.Config.Behavior == nil {
		return nil
	}
	d := m.Config.Deployment
	endpoint, err := StartEndpoint(EndpointConfig{
		ID: mesh.EndpointID(h.ID) + "-w1", Service: h.Service, Slots: d.SlotsOf(h.Service), Connections: d.Connections,
		AnnounceAddress: h.Settings.Listen.Endpoints, EntryAddress: h.Settings.Listen.Entry, Record: m.Config.Record, Seed: m.Config.Seed,
	}, m.Config.Behavior(h.Service))
	h.Endpoint = endpoint
	return err
}

// maxLocalSeeds is the number of seed peers in the local failure domain that the
// settings of a host name. They name one in a remote domain as well.
const maxLocalSeeds = 3

func (m *Mesh) settingsOf(h *Host) *settings.Settings {
	ports := m.portsOf(h)
	s, err := settings.Parse([]byte(fmt.Sprintf(`[node]
host = %s
failure-domain = %s
[listen]
peer = 127.0.0.1:%d
call = 127.0.0.1:%d
entry = 127.0.0.1:%d
operator = 127.0.0.1:%d
endpoints = 127.0.0.1:%d
[store]
address = 127.0.0.1:0
`, h.ID, h.Domain, ports[0], ports[1], ports[2], ports[3], ports[4])))
	if err != nil {
		panic(err)
	}
	var localSeeds, remoteSeeds []string
	for _, peer := range m.Hosts {
		if peer == h || peer.Settings == nil {
			continue
		}
		if peer.Domain == h.Domain && len(localSeeds) < maxLocalSeeds {
			localSeeds = append(localSeeds, peer.Settings.Listen.Peer)
		} else if peer.Domain != h.Domain && len(remoteSeeds) == 0 {
			remoteSeeds = append(remoteSeeds, peer.Settings.Listen.Peer)
		}
	}
	s.Peers.Seeds = append(localSeeds, remoteSeeds...)
	return s
}

// portsOf returns the ports of the host's sockets; zero means any free port.
func (m *Mesh) portsOf(h *Host) (ports [5]int) {
	if m.Config.BasePort == 0 {
		return ports
	}
	firstPort := m.Config.BasePort + len(ports)*lo.IndexOf(m.Hosts, h)
	for i := range ports {
		ports[i] = firstPort + i
	}
	return ports
}

// RunningHosts returns the hosts whose node is running.
func (m *Mesh) RunningHosts() []*Host {
	return lo.Filter(m.Hosts, func(h *Host, _ int) bool { return h.Node != nil })
}

// pollInterval is the time between two checks of a condition in WaitUntil.
const pollInterval = 5 * time.Millisecond

// WaitReady waits until the latest version is active on every running node and every
// node sees all running hosts and their endpoints.
func (m *Mesh) WaitReady(ctx context.Context) error {
	head, _, err := m.Authority.Head(ctx)
	if err != nil {
		return errors.Wrap(err, "emulator: read head")
	}
	running := m.RunningHosts()
	endpoints := lo.CountBy(running, func(h *Host) bool { return h.Endpoint != nil })
	return m.WaitUntil(ctx, "mesh not ready", func() bool {
		return lo.EveryBy(running, func(h *Host) bool {
			snapshot := h.Node.Snapshot()
			return snapshot != nil && snapshot.Version.Sequence >= head.Version.Sequence &&
				countAliveHosts(snapshot.View) == len(running) && countTargets(h.Node) >= endpoints
		})
	})
}

// WaitUntil waits until the condition holds. When the context ends first, the error
// contains the text failure.
func (m *Mesh) WaitUntil(ctx context.Context, failure string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "emulator: %s", failure)
		}
	}
	return nil
}

func countAliveHosts(view *membership.View) int {
	return lo.CountBy(lo.Values(view.Hosts), func(r *membership.Record) bool { return r.State == membership.StateAlive })
}

func countTargets(n *node.Node) int {
	return lo.SumBy(lo.Values(n.Snapshot().Targets), func(t []*routing.Target) int { return len(t) })
}

// KillHost stops the node and the endpoint of a host immediately.
func (m *Mesh) KillHost(h *Host) {
	h.up.Store(false)
	m.mu.Lock()
	n, e := h.Node, h.Endpoint
	h.Node, h.Endpoint = nil, nil
	m.mu.Unlock()
	if n != nil {
		n.Kill()
	}
	if e != nil {
		e.Kill()
	}
}

// StopHost stops the node of a host gracefully, then its endpoint.
func (m *Mesh) StopHost(ctx context.Context, h *Host) error {
	h.up.Store(false)
	err := h.Node.Stop(ctx)
	if h.Endpoint != nil {
		h.Endpoint.Kill()
	}
	h.Node, h.Endpoint = nil, nil
	return err
}

// Close stops all hosts and the server of the store immediately.
func (m *Mesh) Close() {
	var kills sync.WaitGroup
	for _, h := range m.Hosts {
		kills.Go(func() { m.KillHost(h) })
	}
	kills.Wait()
	if m.storeServer != nil {
		m.storeServer.CloseClientConnections()
		m.storeServer.Close()
	}
}

// NewRequest returns a request of a sample customer to the entry of the host.
func (h *Host) NewRequest(ctx context.Context, method, path string, customer mesh.CustomerID) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.Settings.Listen.Entry+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "emulator: build request")
	}
	r.Header.Set("Authorization", "Bearer "+Token(customer))
	return r, nil
}

// SetStoreUnavailable makes the platform's service unavailable or available.
func (m *Mesh) SetStoreUnavailable(unavailable bool) {
	m.Store.UpdateFaults(func(f *memory.Faults) { f.Unavailable = unavailable })
}
