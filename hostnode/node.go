// Package hostnode assembles the node that runs beside an endpoint on the
// platform: entry for the calls of its host, gate of its endpoint, and peer of
// the other hosts.
package hostnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/ingress"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/metrics"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/retrybudget"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// readyWithoutPeers is how long after its start a node waits for the other
	// hosts before it takes calls all the same.
	readyWithoutPeers = 2 * time.Second
	// settledPeers is how long after the hosts were read the links are up.
	settledPeers = 300 * time.Millisecond
	// noticeTime is how long after a stop signal clients may still send calls:
	// the platform asks for readiness once a second and believes the second miss.
	noticeTime = 2300 * time.Millisecond
	// drainPoll is how often a stopping node looks whether calls are under way.
	drainPoll = 50 * time.Millisecond
	// drainReserve is kept of the time for stopping to end the process.
	drainReserve = 300 * time.Millisecond
	// reloadInterval is how often the settings file is compared, because it may
	// change without a signal.
	reloadInterval = 2 * time.Second
)

// Node is the node of a host.
type Node struct {
	path     string
	settings atomic.Pointer[Settings]
	logger   hclog.Logger
	started  time.Time

	store        *platform.Store
	plan         routeplan.Current
	keeper       *planKeeper
	registrar    *registrar
	registration *localendpoint.Registration
	directory    *peers.Directory
	entry        *ingress.Server
	metrics      *metrics.Registry

	stopping  atomic.Bool
	listedAt  atomic.Int64
	reloading sync.Mutex
	listeners []net.Listener
	// calls is the listener for clients.
	calls   net.Listener
	servers []*http.Server
	cancel  context.CancelFunc
}

// New assembles a node with the settings of a file. It starts nothing.
// DroppedLines returns the number of log lines that were dropped.
func New(path string, logger hclog.Logger, droppedLines func() int64) (*Node, error) {
	s, err := LoadSettings(path)
	if err != nil {
		return nil, err
	}
	registry, err := metrics.New()
	if err != nil {
		return nil, err
	}
	store := platform.OpenStore(s.StoreAddress)
	watch, err := newObserver(logger, registry.Meter(), droppedLines, store.Calls)
	if err != nil {
		return nil, err
	}
	n := &Node{path: path, logger: logger, metrics: registry, started: time.Now(), store: store}
	n.settings.Store(s)
	n.keeper = &planKeeper{
		store: n.store, current: &n.plan, logger: logger, fresh: plansync.New(fmt.Sprint(s.Host, "/", n.started.UnixNano()), s.PlanDeadline),
		rank:     func() int { return n.directory.Rank() },
		ask:      func(host mesh.HostID, have uint64) error { return n.directory.AskPlan(host, have) },
		accepted: func(p *routeplan.Plan) { n.entry.PlanChanged(p) },
		changed:  func() { n.directory.Changed() },
		returned: func() { n.registrar.storeReturned() },
		health:   dependency{logger: logger, name: "plan"},
	}
	n.registration = localendpoint.NewRegistration(s.Endpoint, boottime.Now, func(*localendpoint.Endpoint) { n.directory.Changed() })
	gate := localendpoint.NewGate(n.registration, platform.Headers{}, boottime.Now, watch)
	record := peers.Record{Host: s.Host, Address: s.Listen.PeersAdvertised, FailureDomain: s.FailureDomain, Incarnation: n.started.UnixNano(), LinkMbps: s.LinkMbps}
	n.directory = peers.New(peers.Config{
		Self: record, Logger: logger, Clock: boottime.Now, Local: gate,
		Report: n.report, Plan: n.keeper.difference, OfferPlan: n.keeper.offerFromPeer,
		HeardPlan: func(from mesh.HostID, version uint64, read plansync.Stamp) {
			n.keeper.fresh.Heard(from, version, read, boottime.Now())
		},
	})
	n.registrar = &registrar{
		store: n.store, record: record, logger: logger, learn: n.directory.Learn,
		returned: make(chan struct{}, 1), hosts: n.directory.Hosts, health: dependency{logger: logger, name: "hosts"},
	}
	n.entry = ingress.New(ingress.Config{
		Plan: &n.plan, Headers: platform.Headers{}, Clock: boottime.Now, Observer: watch,
		Forwarder: &ingress.Forwarder{
			Domain: s.FailureDomain, Peers: n.directory, Local: gate, Endpoint: n.registration, Clock: boottime.Now,
			Repeats: retrybudget.New(s.Repeats, boottime.Now, n.directory.Hosts),
		},
		Caller:  func() mesh.ServiceName { return n.settings.Load().Endpoint.Service },
		Running: gate.Running,
	})
	return n, nil
}

// report is the host's status for its peers.
func (n *Node) report() peers.Status {
	s := peers.Status{PlanVersion: n.keeper.version(), PlanRead: n.keeper.fresh.Latest(), Leaving: n.stopping.Load()}
	if e := n.registration.Current(); e != nil && !e.Leaving {
		load, now := e.Queue.Load(), boottime.Now()
		s.Endpoint = &peers.EndpointStatus{
			ID: e.ID, Service: e.Service, Slots: e.Slots, Running: load.Running, Waiting: load.Waiting,
			MeanRun: e.Queue.MeanRun(now), FailPercent: int(100 * e.Health.FailShare()), Cold: e.ColdUntil > now,
		}
	}
	return s
}

// ready reports whether clients may send calls.
func (n *Node) ready() bool {
	if n.stopping.Load() || n.plan.Load() == nil {
		return false
	}
	if time.Since(n.started) > readyWithoutPeers {
		return true
	}
	if !n.registrar.listed.Load() {
		return false
	}
	n.listedAt.CompareAndSwap(0, time.Now().UnixNano())
	return time.Since(time.Unix(0, n.listedAt.Load())) > settledPeers
}

// Start opens the listeners and begins to serve.
func (n *Node) Start() error {
	s := n.settings.Load()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	calls, err := n.listen(s.Listen.Calls)
	if err != nil {
		return err
	}
	links := http.NewServeMux()
	links.Handle(transport.Path, n.directory.Manager())
	measures := http.NewServeMux()
	measures.Handle("/metrics", n.metrics.Handler())
	for address, server := range map[string]*http.Server{
		s.Listen.Peers:         {Handler: links, ReadHeaderTimeout: controlReadTimeout},
		s.Listen.Ready:         n.readyServer(),
		s.Listen.Announcements: n.announcementServer(),
		s.Listen.Metrics:       {Handler: measures, ReadTimeout: controlReadTimeout},
	} {
		l, err := n.listen(address)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, server)
		go func() { _ = server.Serve(l) }() // Ends when the listener is closed.
	}
	n.calls = calls
	go func() { _ = n.entry.Serve(calls) }() // Ends when the listener is closed.
	go n.keeper.run(ctx)
	go n.registrar.run(ctx)
	go n.directory.Run(ctx)
	go boottime.Watch(ctx, n.onSuspended)
	go n.watchSettings(ctx)
	eventStarted.Log(n.logger, "host", s.Host, "failure_domain", s.FailureDomain, "service", s.Endpoint.Service, "endpoint_address", s.Endpoint.Address)
	return nil
}

func (n *Node) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "hostnode: listen on %s", address)
	}
	n.listeners = append(n.listeners, l)
	return l, nil
}

// onSuspended drops what may have gone stale while the process did not run.
func (n *Node) onSuspended(gap time.Duration) {
	eventSuspended.Log(n.logger, "gap_ms", gap.Milliseconds())
	if gap > suspensionLimit {
		n.directory.Reset()
		n.store.Forget()
	}
}

// suspensionLimit is the gap after which peers have given up their links.
const suspensionLimit = 1500 * time.Millisecond

// watchSettings reads the settings file again when it has changed.
func (n *Node) watchSettings(ctx context.Context) {
	for sleep(ctx, reloadInterval) {
		n.reload()
	}
}

// Reload reads the settings file again, as after a signal.
func (n *Node) Reload() {
	n.reload()
	eventReloaded.Log(n.logger, "path", n.path)
}

// reload takes over what may change while the node runs: the endpoint's service
// and address.
func (n *Node) reload() {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	s, err := LoadSettings(n.path)
	if err != nil {
		eventBadReload.Log(n.logger, "path", n.path, "error", err)
		return
	}
	old := n.settings.Load()
	if s.Endpoint != old.Endpoint {
		eventReloaded.Log(n.logger, "path", n.path, "service", s.Endpoint.Service, "endpoint_address", s.Endpoint.Address)
	}
	n.settings.Store(s)
	n.registration.SetIdentity(s.Endpoint)
}

// Stop ends the node after the calls that it has read and those of its peers.
func (n *Node) Stop() {
	begun := time.Now()
	n.stopping.Store(true)
	limit := n.settings.Load().Drain - drainReserve
	n.entry.Drain(boottime.Now()+noticeTime, boottime.Now()+limit)
	n.directory.Changed()
	eventStopping.Log(n.logger, "calls", n.entry.Active())
	for time.Since(begun) < limit {
		if time.Since(begun) > noticeTime && n.entry.CloseIdle() == 0 && n.busy() == 0 {
			// A request may come on a new connection until the listener is closed.
			_ = n.calls.Close() // It may be closed already.
			if n.entry.CloseIdle() == 0 && n.busy() == 0 {
				break
			}
		}
		time.Sleep(drainPoll)
	}
	eventStopped.Log(n.logger, "calls", n.entry.Active(), "took_ms", time.Since(begun).Milliseconds())
	n.cancel()
	n.closeListeners()
}

// closeListeners ends the taking of connections.
func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close() // Nothing is left to do with it.
	}
	for _, s := range n.servers {
		_ = s.Close() // Nothing is left to do with it.
	}
}

// busy returns the number of calls at the endpoint.
func (n *Node) busy() int {
	e := n.registration.Current()
	if e == nil {
		return 0
	}
	load := e.Queue.Load()
	return load.Running + load.Waiting
}
