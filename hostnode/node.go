// Package hostnode assembles the node that runs beside an endpoint on the platform:
// the ingress for the calls of its host, the gate of its endpoint, and the links to
// the other hosts.
package hostnode

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/ingress"
	"geraniumnotch.example/geraniumnotch/internal/sockpoll"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/metrics"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/placement"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/quota"
	"geraniumnotch.example/geraniumnotch/responsesize"
	"geraniumnotch.example/geraniumnotch/retrybudget"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// maxPeerWait is how long after its start a node waits for the other hosts. It
	// then reports readiness without them.
	maxPeerWait = 2 * time.Second
	// peerLinkDelay is the time that the links need to come up after the hosts were
	// read from the store.
	peerLinkDelay = 300 * time.Millisecond
	// drainNotice is how long after a stop signal clients may still send calls: the
	// platform checks readiness once a second and acts on the second failed check.
	drainNotice = 2300 * time.Millisecond
	// drainPollInterval is the interval at which a draining node checks whether calls
	// are in flight.
	drainPollInterval = 50 * time.Millisecond
	// drainReserve is the part of the drain time that is reserved for ending the
	// process.
	drainReserve = 300 * time.Millisecond
	// abortReserve is the part of the drain time before drainReserve in which the calls
	// that are still in flight get a response.
	abortReserve = 300 * time.Millisecond
	// linkCloseTimeout is the part of drainReserve in which the other hosts receive the
	// last results of their calls.
	linkCloseTimeout = 200 * time.Millisecond
	// reloadInterval is the interval at which the settings file is read again,
	// because it may change without a signal.
	reloadInterval = 2 * time.Second
)

// Node is the node that runs beside an endpoint.
type Node struct {
	path     string
	settings atomic.Pointer[Settings]
	logger   hclog.Logger
	system
	started time.Time

	store        *platform.Store
	plan         routeplan.ActivePlan
	planKeeper   *planKeeper
	registrar    *registrar
	registration *localendpoint.Registration
	gate         *localendpoint.Gate
	directory    *peers.Directory
	hostLink     *hostlink.Link
	forwarder    *ingress.Forwarder
	ingress      *ingress.Server
	metrics      *metrics.Registry
	bodyMemory   *heldmemory.Account
	// quotas is nil if the settings state no bound on quotas.
	quotas *quota.Service
	// rollouts is nil where no versions are rolled out.
	rollouts *rolloutKeeper

	stopping atomic.Bool
	// healthCheckDue signals that there may be an endpoint to confirm.
	healthCheckDue chan struct{}
	hostsListedAt  atomic.Int64
	reloadMu       sync.Mutex
	listeners      []net.Listener
	// calls is the listener for clients and the endpoint of the host. callsEnded is
	// closed when no further connection of it is accepted.
	calls      net.Listener
	callsEnded chan struct{}
	servers    []*http.Server
	cancel     context.CancelFunc
	// linksClosed is closed when the links to the other hosts have ended.
	linksClosed chan struct{}
}

// New assembles a node with the settings of the file at path. It starts nothing.
// DroppedLines returns the number of log lines that were dropped.
func New(path string, logger hclog.Logger, droppedLines func() int64) (*Node, error) {
	return newNode(path, logger, droppedLines, system{clock: boottime.Now, openListener: net.Listen})
}

// system is what a node uses of its machine. Tests replace it.
type system struct {
	clock        boottime.Clock
	openListener func(network, address string) (net.Listener, error)
	// dial opens connections; nil means the default dialers.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func newNode(path string, logger hclog.Logger, droppedLines func() int64, sys system) (*Node, error) {
	clock := sys.clock
	s, err := LoadSettings(path)
	if err != nil {
		return nil, err
	}
	registry, err := metrics.New()
	if err != nil {
		return nil, err
	}
	store := platform.OpenStoreWith(s.StoreAddress, sys.dial)
	observer, err := newObserver(logger, registry.Meter(), droppedLines, store.Calls)
	if err != nil {
		return nil, err
	}
	n := &Node{path: path, logger: logger, system: sys, metrics: registry, started: time.Now(), store: store, linksClosed: make(chan struct{}), healthCheckDue: make(chan struct{}, 1)}
	n.settings.Store(s)
	n.planKeeper = &planKeeper{
		clock: clock, store: n.store, current: &n.plan, logger: logger, tracker: plansync.New(fmt.Sprint(s.Host, "/", n.started.UnixNano()), s.PlanDeadline),
		rank:       func() (all, domain int) { return n.directory.Rank() },
		askPeer:    func(host mesh.HostID, have uint64) error { return n.directory.RequestPlan(host, have) },
		peersHeard: func() bool { return n.peersHeard() },
		onActivated: func(old, p *routeplan.Plan) {
			observer.workspaces.planChanged(old, p)
			n.planActivated(p)
		},
		onConfirmed:      func() { n.directory.ReportNow() },
		onStoreRecovered: func() { n.registrar.signalStoreRecovered() },
		monitor:          storeMonitor{logger: logger, use: "plan"},
	}
	n.registration = localendpoint.NewRegistration(s.Endpoint, clock, n.endpointChanged)
	n.registration.Dial = localendpoint.DialFunc(sys.dial)
	n.registration.RequireConfirmation(n.started)
	buffers := call.NewBuffers(int64(s.ResponseBufferMB) << 20)
	n.gate = localendpoint.NewGate(n.registration, platform.Headers{}, clock, observer, buffers)
	n.hostLink = hostlink.New(hostlink.Config{Mbps: s.LinkMbps, Clock: clock, Logger: logger, OnWait: observer.waitedForLink})
	if err := observeHostLink(registry.Meter(), n.hostLink); err != nil {
		return nil, err
	}
	n.bodyMemory = heldmemory.NewAccount(s.bodyMemory(), clock)
	record := peers.Record{Host: s.Host, Address: s.Listen.PeersAdvertised, FailureDomain: s.FailureDomain, Incarnation: n.started.UnixNano(), LinkMbps: s.LinkMbps}
	n.quotas = newQuotas(s, n.started.UnixNano(), logger, clock, func() bool { return n.registrar.listed.Load() }, func() *peers.Directory { return n.directory })
	handlers := map[transport.Kind]func(mesh.HostID, transport.Message) error{}
	if n.quotas != nil {
		maps.Copy(handlers, n.quotas.Handlers())
	}
	directoryConfig := peers.Config{
		Self: record, Logger: logger, Clock: clock, Dial: transport.DialFunc(sys.dial), Local: n.gate, BodyMemory: n.bodyMemory, HostLink: n.hostLink,
		Handlers:    handlers,
		LocalStatus: n.statusReport, PlanDelta: n.planKeeper.deltaFrom, OnPlan: n.planKeeper.activateDelta,
		OnPlanReport: n.planKeeper.recordReport,
		OnLimitedEndpoint: func(e peers.LimitedEndpoint) {
			n.registration.ExpectRate(localendpoint.ExpectedRate{ID: e.ID, CallsPerSecond: e.CallsPerSecond})
		},
		OnReceiverDeparted: func(known departures.List, from mesh.HostID) { n.learnDepartures(known, string(from)) },
		OnReceiverEndpoint: func(e departures.Incarnation, from mesh.HostID) { n.confirm(e, string(from)) },
	}
	if n.quotas != nil {
		if err := observeQuotas(registry.Meter(), n.quotas.Stats); err != nil {
			return nil, err
		}
	}
	if s.Rollout != nil {
		n.rollouts = newRolloutKeeper(n, *s.Rollout, s.PlanDeadline)
		n.planKeeper.rollouts = n.rollouts
		n.gate.OnResult = n.rollouts.observe
		handlers[transport.KindRolloutState] = n.rollouts.handle
		directoryConfig.LocalRollouts, directoryConfig.OnRollouts = n.rollouts.introduction, n.rollouts.record
		if err := n.rollouts.register(registry.Meter()); err != nil {
			return nil, err
		}
	}
	n.directory = peers.New(directoryConfig)
	if err := observeLinks(registry.Meter(), n.directory.LocalTraffic, n.directory.RemoteTraffic); err != nil {
		return nil, err
	}
	if err := observeShares(registry.Meter(), n.registration, n.gate.NestedAdmission, clock); err != nil {
		return nil, err
	}
	n.registrar = &registrar{
		store: n.store, record: record, logger: logger, addHosts: n.directory.AddRecords,
		departures: newDepartureWriter(n.registration.Departures), onDepartures: func(known departures.List) { n.learnDepartures(known, "store") },
		storeRecovered: make(chan struct{}, 1), hostCount: n.directory.HostCount, hostsAhead: n.directory.HostsAhead, writesPerSecond: s.StoreWritesPerSecond, monitor: storeMonitor{logger: logger, use: "hosts"},
	}
	n.forwarder = &ingress.Forwarder{
		Domain: s.FailureDomain, Headers: platform.Headers{}, Peers: n.directory, LocalGate: n.gate, Registration: n.registration, Clock: clock,
		RetryBudget: retrybudget.New(s.RetryBudget, clock, n.directory.HostCount),
		Sizes:       responsesize.New(), Buffers: buffers, RemoteByteCost: s.RemoteCostPerKB / 1024,
		HostLink: n.hostLink, Domains: placement.NewDomains(), OnPlaced: observer.placed, OnHedge: observer.hedged,
	}
	if n.rollouts != nil {
		n.rollouts.directory = n.directory
		n.forwarder.Versions = n.rollouts.table
	}
	config := ingress.Config{
		Plan: &n.plan, Headers: platform.Headers{}, Keys: platform.Headers{}, NewerPlanKnown: n.planKeeper.tracker.IsNewerKnown, Clock: clock, Observer: observer, Forwarder: n.forwarder,
		LocalService: func() mesh.ServiceName { return n.settings.Load().Endpoint.Service },
		RunningCalls: n.gate.RunningCalls,
		Memory:       n.bodyMemory, MaxConnections: s.maxConnections(),
	}
	if n.quotas != nil {
		config.Quotas = ingressQuotas{n.quotas}
	}
	n.ingress = ingress.New(config)
	return n, observeClientLimits(registry.Meter(), n.bodyMemory.Usage, n.ingress.ConnectionUsage)
}

// planActivated applies a new plan to the parts that depend on it.
func (n *Node) planActivated(p *routeplan.Plan) {
	n.hostLink.SetEnabled(p.HasKind(routeplan.Download))
	n.ingress.PlanChanged(p)
	if n.quotas != nil {
		n.quotas.SetPlan(p)
	}
	n.signalHealthCheck()
}

// endpointChanged reports the endpoint of this host to its peers. The endpoint is nil
// when there is none.
func (n *Node) endpointChanged(e *localendpoint.Endpoint) {
	if e == nil {
		eventEndpointRemoved.Log(n.logger)
	}
	n.directory.ReportNow()
	n.registrar.departures.signal()
}

// statusReport returns the host's status for its peers.
func (n *Node) statusReport() peers.Status {
	now := n.clock()
	read := n.planKeeper.tracker.LatestRead()
	s := peers.Status{
		SentAt: now, PlanVersion: n.planKeeper.activeVersion(), PlanRead: read.Stamp, StoreEpoch: read.Epoch,
		Draining: n.stopping.Load(), Departed: n.registration.Departures(),
	}
	if read.Stamp.Number != 0 {
		s.PlanReadAge = now - read.BeganAt
	}
	if e := n.registration.Current(); e != nil && !e.Draining {
		load := e.Queue.Load()
		s.Endpoint = &peers.EndpointStatus{
			ID: e.ID, Service: e.Service, Slots: e.Slots, Running: load.Running, Waiting: load.Waiting,
			MeanServiceTime: e.Queue.MeanServiceTime(now), FailurePercent: int(100 * e.Health.FailureRatio()), Cold: e.ColdUntil > now,
			CallsPerSecond: e.Queue.StartsPerSecond(), StartedAtMs: e.StartedAtMs, Classes: classStatuses(e.Queue.ClassServiceTimes(now)),
		}
		if n.rollouts != nil {
			s.Endpoint.Software = e.Software
		}
	}
	return s
}

// classStatuses returns service times as they are reported to peers, in whole
// milliseconds, which take fewer bytes.
func classStatuses(times []slotqueue.ClassServiceTime) []peers.ClassStatus {
	return lo.Map(times, func(t slotqueue.ClassServiceTime, _ int) peers.ClassStatus {
		return peers.ClassStatus{
			Kind: t.Class.Kind, Rank: t.Class.Rank, Nested: t.Class.Nested, ServiceTime: max(t.Mean, time.Millisecond).Round(time.Millisecond),
		}
	})
}

// ready reports whether clients may send calls.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.plan.Load() != nil && n.peersHeard()
}

// peersHeard reports whether the links to the other hosts have had time to come up since
// the start. A host that cannot list the others waits for maxPeerWait.
func (n *Node) peersHeard() bool {
	if time.Since(n.started) > maxPeerWait {
		return true
	}
	if !n.registrar.listed.Load() {
		return false
	}
	n.hostsListedAt.CompareAndSwap(0, time.Now().UnixNano())
	return time.Since(time.Unix(0, n.hostsListedAt.Load())) > peerLinkDelay
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
	peersMux := http.NewServeMux()
	peersMux.Handle(transport.Path, n.directory.Manager())
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", n.metrics.Handler())
	for address, server := range map[string]*http.Server{
		s.Listen.Peers:         {Handler: peersMux, ReadHeaderTimeout: controlReadTimeout},
		s.Listen.Ready:         n.readyServer(),
		s.Listen.Announcements: n.announcementServer(),
		s.Listen.Metrics:       {Handler: metricsMux, ReadTimeout: controlReadTimeout},
	} {
		l, err := n.listen(address)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, server)
		fraction := controlDescriptorFraction
		if address == s.Listen.Peers {
			fraction = peerDescriptorFraction
		}
		limited := n.limitControl(server, l, fraction)
		go func() { _ = server.Serve(limited) }() // Ends when the listener is closed.
	}
	n.calls = calls
	n.callsEnded = make(chan struct{})
	go func() {
		defer close(n.callsEnded)
		_ = n.ingress.Serve(calls) // Ends when the listener is closed.
	}()
	go n.planKeeper.run(ctx)
	if n.quotas != nil {
		go n.quotas.Run(ctx)
	}
	go n.registrar.run(ctx)
	if n.rollouts != nil {
		go n.rollouts.run(ctx)
	}
	go func() {
		defer close(n.linksClosed)
		n.directory.Run(ctx)
	}()
	go boottime.WatchSuspensions(ctx, n.clock, n.onSuspended)
	go n.runHealthChecks(ctx)
	go n.watchSettings(ctx)
	go n.watchClientLimits(ctx, n.bodyMemory.Usage, n.ingress.ConnectionUsage)
	eventStarted.Log(n.logger, "host", s.Host, "failure_domain", s.FailureDomain, "service", s.Endpoint.Service, "endpoint_address", s.Endpoint.Address)
	return nil
}

func (n *Node) listen(address string) (net.Listener, error) {
	l, err := n.openListener("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "hostnode: listen on %s", address)
	}
	n.listeners = append(n.listeners, l)
	return l, nil
}

// onSuspended closes connections that may be stale because the process did not run
// for the time gap.
func (n *Node) onSuspended(gap time.Duration) {
	eventSuspended.Log(n.logger, "gap_ms", gap.Milliseconds())
	if gap > maxSuspension {
		n.directory.Reset()
		n.store.CloseIdleConnections()
	}
}

// maxSuspension is the gap after which peers have closed their links to this host.
const maxSuspension = 1500 * time.Millisecond

// watchSettings reads the settings file again at each reloadInterval.
func (n *Node) watchSettings(ctx context.Context) {
	for sleep(ctx, reloadInterval) {
		n.reload()
	}
}

// Reload reads the settings file again after a signal.
func (n *Node) Reload() {
	n.reload()
	eventSettingsReloaded.Log(n.logger, "path", n.path)
}

// reload applies the settings that may change while the node runs: the endpoint's
// service and address.
func (n *Node) reload() {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	s, err := LoadSettings(n.path)
	if err != nil {
		eventSettingsRejected.Log(n.logger, "path", n.path, "error", err)
		return
	}
	old := n.settings.Load()
	if s.Endpoint != old.Endpoint {
		eventSettingsReloaded.Log(n.logger, "path", n.path, "service", s.Endpoint.Service, "endpoint_address", s.Endpoint.Address)
	}
	n.settings.Store(s)
	n.registration.SetIdentity(s.Endpoint)
}

// Stop drains the node and ends it once the calls that it has read and those of its
// peers have finished. Shortly before the drain time is over, it ends those that are
// still in flight.
func (n *Node) Stop() {
	started := time.Now()
	n.stopping.Store(true)
	abortAfter := n.settings.Load().Drain - drainReserve - abortReserve
	n.ingress.Drain(n.clock()+drainNotice, n.clock()+abortAfter)
	n.directory.ReportNow()
	eventStopping.Log(n.logger, "calls", n.ingress.Active())
	if !n.awaitDrained(started, func() bool { return time.Since(started) <= abortAfter }) {
		n.abortCalls()
		// The number of checks bounds the wait, because a process that was delayed beyond
		// the limit still has to write the responses.
		checks := abortReserve / drainPollInterval
		n.awaitDrained(started, func() bool { checks--; return checks >= 0 })
	}
	eventStopped.Log(n.logger, "calls", n.ingress.Active(), "took_ms", time.Since(started).Milliseconds())
	n.cancel()
	select {
	case <-n.linksClosed:
	case <-time.After(linkCloseTimeout):
	}
	n.closeListeners()
}

// awaitDrained waits until the node is drained. It reports false if continues did so
// before.
func (n *Node) awaitDrained(started time.Time, continues func() bool) bool {
	for continues() {
		if time.Since(started) > drainNotice && n.closeIfDrained() {
			return true
		}
		time.Sleep(drainPollInterval)
	}
	return false
}

// closeIfDrained closes the listener for calls if no call is in flight. It reports true
// when the last connection of a client has ended after that.
func (n *Node) closeIfDrained() bool {
	// Closing the listener would reset the connections that wait to be accepted.
	if n.ingress.CloseIdle() != 0 || n.servesPeers() || sockpoll.Readable(n.calls) {
		return false
	}
	_ = n.calls.Close() // It may be closed already.
	// A connection that was accepted before may have a request, and a peer that has no
	// report of the drain yet may send a call.
	<-n.callsEnded
	n.registration.RejectWaiting()
	return n.ingress.Connections() == 0 && !n.servesPeers()
}

// servesPeers reports whether a call is at the endpoint or its result is not yet written
// to the link to its host.
func (n *Node) servesPeers() bool { return n.endpointCalls() != 0 || n.directory.Serving() != 0 }

// abortCalls ends the calls in flight. Those of peers that wait for the endpoint may
// still be executed at another host.
func (n *Node) abortCalls() {
	eventCallsAborted.Log(n.logger, "calls", n.ingress.Active(), "endpoint_calls", n.endpointCalls())
	n.ingress.Abort()
}

// closeListeners closes the listeners and the servers.
func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close() // An error changes nothing: the node ends.
	}
	for _, s := range n.servers {
		_ = s.Close() // An error changes nothing: the node ends.
	}
}

// endpointCalls returns the number of calls that wait for the endpoint or run there.
func (n *Node) endpointCalls() int {
	e := n.registration.Current()
	if e == nil {
		return 0
	}
	load := e.Queue.Load()
	return load.Running + load.Waiting
}
