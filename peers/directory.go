package peers

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/callmux"
	"geraniumnotch.example/geraniumnotch/departures"
	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/rollout"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// tickInterval is the interval at which links are checked and hosts dialed.
	tickInterval = 200 * time.Millisecond
	// statusInterval is the maximum time between two status reports on a link. It is
	// a third of linkTimeout, so that one lost report does not close the link.
	statusInterval = 500 * time.Millisecond
	// linkTimeout is the time without a received message after which a link is
	// closed. It is half of the time after which the users' platform treats a
	// machine as unreachable.
	linkTimeout = 1500 * time.Millisecond
	// staleAfter is the time without a received message after which a host gets
	// calls only if no other host can accept them. It exceeds statusInterval by more
	// than the ticks can delay a report.
	staleAfter = 800 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between dials of a host.
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 1500 * time.Millisecond
	// firstDialDelay is how long the host with the higher ID waits to be dialed by
	// the other one before it dials for the first time.
	firstDialDelay = 400 * time.Millisecond
	// removeAfter is how long a host without a link is kept and redialed. Hosts that
	// cannot read the store depend on being dialed by others.
	removeAfter = 90 * time.Second
	// closeTimeout limits the time in which the peers receive their results after Run
	// was told to end. It is less than the time that a stopping process reserves.
	closeTimeout = 150 * time.Millisecond
	// servingPollInterval is the interval at which Run then checks whether results are
	// due.
	servingPollInterval = 5 * time.Millisecond
	// linkQueueFrames is the capacity of the send queue of a link.
	linkQueueFrames = 128
)

var (
	eventPeerUp      = events.Define(2400, hclog.Info, "host reachable", "None.")
	eventPeerDown    = events.Define(2401, hclog.Warn, "host unreachable", "Calls in flight to it ended as broken; check whether the other host stopped and whether the network between both hosts works.")
	eventPeerChanged = events.Define(2402, hclog.Info, "host status changed", "None; new calls are placed by the new status.")
	eventPeerRemoved = events.Define(2403, hclog.Info, "host removed", "None; it had no link for a long time, or another host has its address.")
	eventBadFrame    = events.Define(2404, hclog.Warn, "malformed message from a host", "Compare the versions of both programs.")
)

// Config configures a Directory.
type Config struct {
	Self   Record
	Logger hclog.Logger
	Clock  boottime.Clock
	// Dial opens the connections of links; nil means net.Dialer.
	Dial transport.DialFunc
	// Local executes the calls of peers at the endpoint of this host.
	Local call.Runner
	// BodyMemory is what the calls and the long messages of peers may hold; nil limits
	// nothing.
	BodyMemory *heldmemory.Account
	// HostLink orders the long responses to peers; nil orders nothing.
	HostLink *hostlink.Link
	// LocalStatus returns this host's status without its record.
	LocalStatus func() Status
	// PlanDelta returns the active plan as a delta to the version that a peer has. It
	// reports false when there is no active plan.
	PlanDelta func(have uint64) (routeplan.Delta, bool)
	// OnPlan is called with a plan that a peer sent.
	OnPlan func(plan routeplan.Delta, from mesh.HostID)
	// OnPlanReport is called with what a peer reports about its plan.
	OnPlanReport func(plansync.Report)
	// OnLimitedEndpoint is called with the rate that the endpoint of this host has named
	// before, as a peer knows it; nil ignores it.
	OnLimitedEndpoint func(LimitedEndpoint)
	// OnReceiverDeparted is called with the first report on each link, and the endpoints of
	// this host that have left as the peer knows it; nil ignores them.
	OnReceiverDeparted func(known departures.List, from mesh.HostID)
	// OnReceiverEndpoint is called with the endpoint of this host that an earlier process of
	// it has reported last and that has not left as the peer knows it; nil ignores it.
	OnReceiverEndpoint func(e departures.Incarnation, from mesh.HostID)
	// LocalRollouts returns what this host knows of the versions of services, nil for
	// nothing, and OnRollouts is called with what a peer knows; both may be nil.
	LocalRollouts func() *rollout.Message
	OnRollouts    func(m *rollout.Message, from mesh.HostID)
	// Handlers handle the messages of other packages, by kind. They must not block. An
	// error is logged and costs the message only.
	Handlers map[transport.Kind]func(from mesh.HostID, m transport.Message) error
}

// Peer is another host. Each placement reads its atomics without the directory's
// lock.
type Peer struct {
	record atomic.Pointer[Record]
	// status is nil until the peer has reported.
	status atomic.Pointer[Status]
	mux    atomic.Pointer[callmux.Mux]
	// lastEndpoint is the latest reported endpoint. It stays when the link is lost.
	lastEndpoint atomic.Pointer[EndpointStatus]
	// departed are the latest endpoints of the host that have left. The host may have
	// restarted since and not know it.
	departed atomic.Pointer[departures.List]
	// reportedCalls is the number of calls at the peer's gate by its latest report
	// or result, and sentSinceReport the calls that this host has sent since.
	reportedCalls   atomic.Int64
	sentSinceReport atomic.Int64
	// link is the latest report about the link of the host, nil without one.
	// expectedBytes are those of the long responses that this host has asked for since the
	// latest status report.
	link          atomic.Pointer[linkReport]
	expectedBytes atomic.Int64
	// stale is set while a status report of the peer is overdue.
	stale atomic.Bool
	// silentSince is the time in Unix nanoseconds at which the peer did not confirm a call
	// and sent nothing else, 0 when it has sent something since.
	silentSince atomic.Int64

	addedAt     time.Time
	lastUp      time.Time
	nextDial    time.Time
	redialDelay time.Duration
	dialing     bool
	// stopped is set when the link was lost while the host drained.
	stopped bool
	// silentAt is when a link was lost that had gone silent. Zero if the last link was
	// closed by the other end or reset.
	silentAt time.Time
}

// linkState is what the directory knows of an open link.
type linkState struct {
	mux *callmux.Mux
	// received is the latest whole report on the link, the base of deltas.
	received *Status
	// acceptsDeltas is set when the peer reads deltas.
	acceptsDeltas bool
	// knowsWorkspaces is set when the peer knows workspaces, quotas and roll-outs.
	knowsWorkspaces bool
	// sentBase is the number of the latest whole report that was sent on the link, 0 for
	// none.
	sentBase uint64
	// sentLink is the latest report about this host's link that was sent.
	sentLink linkStatus
}

// Directory holds the other hosts of the mesh and the links to them. It is safe for
// concurrent use.
type Directory struct {
	config      Config
	manager     *transport.Manager
	bodyLimiter *callmux.BodyLimiter
	// localTraffic and remoteTraffic count the bytes on links within the failure domain
	// and to other ones. A link to a host whose domain is not known yet counts as remote.
	localTraffic, remoteTraffic transport.Meter

	// sent is the latest report to all links; only Run uses it.
	sent sentStatus

	mu    sync.Mutex
	peers map[mesh.HostID]*Peer
	links map[*transport.Link]*linkState
	// byService maps a service to the hosts whose endpoint provides it. The map is
	// replaced, never changed.
	byService atomic.Pointer[map[mesh.ServiceName][]*Peer]
	hostCount atomic.Int64
	// sendNow triggers a status report immediately.
	sendNow chan struct{}
}

// New returns a directory that knows only this host.
func New(config Config) *Directory {
	d := &Directory{config: config, bodyLimiter: callmux.NewBodyLimiter(config.Self.LinkMbps), peers: map[mesh.HostID]*Peer{}, links: map[*transport.Link]*linkState{}, sendNow: make(chan struct{}, 1)}
	d.bodyLimiter.SetMemory(config.BodyMemory)
	if config.HostLink != nil {
		d.localTraffic.SetOnSent(d.recordSent)
		d.remoteTraffic.SetOnSent(d.recordSent)
	}
	d.byService.Store(&map[mesh.ServiceName][]*Peer{})
	d.hostCount.Store(1)
	d.manager = transport.NewManager(transport.Config{
		Self: config.Self.Host, Logger: config.Logger, Dial: config.Dial, QueueLength: linkQueueFrames,
		HandshakesPerSecond: handshakesPerSecond, Meter: &d.remoteTraffic,
		Memory: config.BodyMemory,
		OnUp:   d.onLinkUp, OnDown: d.onLinkDown, OnMessage: d.onMessage, IsIdle: d.isIdle,
	})
	return d
}

// recordSent records the messages that leave without waiting for the host's link.
func (d *Directory) recordSent(kind transport.Kind, bytes int) {
	if kind != transport.KindResponseData {
		d.config.HostLink.RecordShort(bytes)
	}
}

// handshakesPerSecond bounds the rate of accepted links. At this rate all hosts of a
// mesh of 750 dial each other within about 4 s after a mass restart.
const handshakesPerSecond = 200

// Manager returns the link manager, an HTTP handler that accepts links of peers.
func (d *Directory) Manager() *transport.Manager { return d.manager }

// LocalTraffic returns the traffic on links within the failure domain.
func (d *Directory) LocalTraffic() map[transport.Kind]transport.KindTraffic {
	return d.localTraffic.Read()
}

// RemoteTraffic returns the traffic on links to other domains.
func (d *Directory) RemoteTraffic() map[transport.Kind]transport.KindTraffic {
	return d.remoteTraffic.Read()
}

// HostCount returns the number of reachable hosts, including this one.
func (d *Directory) HostCount() int { return int(d.hostCount.Load()) }

// Run dials hosts, sends status reports and checks the links until ctx ends. It then
// closes the links once the peers have received their results, after closeTimeout in any
// case.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastReport := time.Time{}
	for {
		select {
		case <-ctx.Done():
			d.closeLinks()
			return
		case <-d.sendNow:
			lastReport = time.Time{}
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(lastReport) >= statusInterval-tickInterval/2 {
			d.sendStatus()
			lastReport = now
		}
		d.checkLinks(now)
		d.dialPeers(ctx, now)
	}
}

// closeLinks closes the links once the peers have received their results.
func (d *Directory) closeLinks() {
	defer d.manager.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for d.Serving() > 0 && ctx.Err() == nil {
		time.Sleep(servingPollInterval)
	}
	d.manager.Shutdown(ctx)
}

// Serving returns the number of calls of peers whose result has not been queued, and of
// frames of results that have not been written.
func (d *Directory) Serving() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, state := range d.links {
		n += state.mux.Serving()
	}
	return n
}

// ReportNow triggers a status report to all peers before the next one is due.
func (d *Directory) ReportNow() {
	select {
	case d.sendNow <- struct{}{}:
	default: // A report is already pending.
	}
}

// Reset closes all links, because they may have been lost without notice while the
// machine was suspended.
func (d *Directory) Reset() {
	for _, l := range d.manager.OpenLinks() {
		l.Close()
	}
}

func (d *Directory) sendStatus() {
	// A link that another one has replaced may carry calls, and is checked like the others.
	links := d.manager.OpenLinks()
	if len(links) == 0 {
		return
	}
	status := d.config.LocalStatus()
	now := time.Now()
	if d.sent.number == 0 || !hasBase(&status, &d.sent.base) || reportsClasses(&status, &d.sent.base, now.Sub(d.sent.at)) {
		d.sent = sentStatus{base: status, number: d.sent.number + 1, at: now}
	}
	frames := statusFrames{status: &status}
	d.sendLinkStatus(links)
	for _, l := range links {
		if err := d.sendStatusOn(l, &frames); err != nil {
			eventBadFrame.Log(d.config.Logger, "error", err)
			return
		}
	}
}

// sendStatusOn sends the status on a link, as a delta if the peer has its base.
func (d *Directory) sendStatusOn(l *transport.Link, frames *statusFrames) error {
	d.mu.Lock()
	state := d.links[l]
	asDelta := state != nil && state.acceptsDeltas && state.sentBase == d.sent.number
	d.mu.Unlock()
	kind, encode := transport.KindHostStatus, frames.encodeWhole
	if asDelta {
		kind, encode = transport.KindHostStatusDelta, frames.encodeDelta
	}
	frame, err := encode()
	if err != nil {
		return err
	}
	if err := l.SendFrame(kind, frame, nil); err != nil {
		// Calls can fill the queue of a slow link: other frames then show the peer that this
		// host is reachable. The link is closed only if the peer does not read.
		if time.Since(l.LastSent()) > linkTimeout {
			l.Close()
		}
		return nil
	}
	if state != nil && !asDelta {
		d.mu.Lock()
		state.sentBase = d.sent.number
		d.mu.Unlock()
	}
	return nil
}

func (d *Directory) onMessage(l *transport.Link, m transport.Message) {
	d.mu.Lock()
	state := d.links[l]
	d.mu.Unlock()
	known, err := state.mux.Handle(m)
	if !known {
		err = d.handleControl(l, state, m)
	}
	if err != nil {
		eventBadFrame.Log(d.config.Logger, "host", l.Peer(), "kind", int(m.Kind), "error", err)
		l.Close()
	}
}

func (d *Directory) handleControl(l *transport.Link, state *linkState, m transport.Message) error {
	switch m.Kind {
	case transport.KindHostStatus:
		var s Status
		if err := m.Decode(&s); err != nil {
			return err
		}
		d.handleStatus(l, state, s)
	case transport.KindHostStatusDelta:
		var delta statusDelta
		if err := m.Decode(&delta); err != nil {
			return err
		}
		return d.handleStatusDelta(l, state, &delta)
	case transport.KindLinkStatus:
		var s linkStatus
		if err := m.Decode(&s); err != nil {
			return err
		}
		return d.handleLinkStatus(l, s)
	case transport.KindPlanRequest:
		var r planRequest
		if err := m.Decode(&r); err != nil {
			return err
		}
		plan, known := d.config.PlanDelta(r.Have)
		if !known {
			return nil
		}
		kind, body := transport.KindPlanValue, any(plan)
		if plan.Workspaces != nil {
			if !d.knowsWorkspaces(state) {
				return nil // The peer reads the store.
			}
			kind, body = transport.KindKeyedPlanValue, keyedPlan{Plan: plan, Workspaces: plan.Workspaces}
		}
		// If the queue is full, the peer asks again or reads the store.
		if err := l.Send(kind, body); !errors.Is(err, transport.ErrQueueFull) {
			return err
		}
	case transport.KindPlanValue:
		var plan routeplan.Delta
		if err := m.Decode(&plan); err != nil {
			return err
		}
		plan.MayLackWorkspaces = !d.knowsWorkspaces(state)
		d.config.OnPlan(plan, l.Peer())
	case transport.KindKeyedPlanValue:
		plan, err := decodeKeyedPlan(m)
		if err != nil {
			return err
		}
		d.config.OnPlan(plan, l.Peer())
	default:
		if handle := d.config.Handlers[m.Kind]; handle != nil {
			if err := handle(l.Peer(), m); err != nil {
				eventBadFrame.Log(d.config.Logger, "host", l.Peer(), "kind", int(m.Kind), "error", err)
			}
		}
	}
	return nil
}

func (d *Directory) knowsWorkspaces(state *linkState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return state.knowsWorkspaces
}

// ErrNoPeer means that a host has no link, or runs an earlier program that does not know
// the message.
var ErrNoPeer = errors.New("peers: host is not reachable or does not know the message")

// Send sends a message of another package to a host. It does not wait.
func (d *Directory) Send(to mesh.HostID, kind transport.Kind, body any) error {
	l := d.manager.Link(to)
	d.mu.Lock()
	state := d.links[l]
	d.mu.Unlock()
	if l == nil || state == nil || !state.knowsWorkspaces {
		return ErrNoPeer
	}
	return l.Send(kind, body)
}

// Reachable returns the hosts that Send can reach.
func (d *Directory) Reachable() []mesh.HostID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var hosts []mesh.HostID
	for l, state := range d.links {
		if p := d.peers[l.Peer()]; p != nil && state.knowsWorkspaces && p.mux.Load() == state.mux {
			hosts = append(hosts, l.Peer())
		}
	}
	return hosts
}

// Endpoints returns the endpoints of the reachable hosts by their latest status, but for
// those that leave.
func (d *Directory) Endpoints() []*EndpointStatus {
	var endpoints []*EndpointStatus
	for _, hosts := range *d.byService.Load() {
		for _, p := range hosts {
			if e := p.Endpoint(); e != nil && !p.IsLeaving(e) {
				endpoints = append(endpoints, e)
			}
		}
	}
	return endpoints
}

// errStatusDelta means that a delta has no base or numbers that no host has.
var errStatusDelta = errors.New("peers: malformed status delta")

// handleStatusDelta applies the status report of a peer that is a delta.
func (d *Directory) handleStatusDelta(l *transport.Link, state *linkState, delta *statusDelta) error {
	d.mu.Lock()
	base := state.received
	d.mu.Unlock()
	if base == nil || !delta.isValid() {
		return errStatusDelta
	}
	d.applyStatus(l, state.mux, delta.apply(base))
	return nil
}

// handleStatus applies the whole status report of a peer.
func (d *Directory) handleStatus(l *transport.Link, state *linkState, s Status) {
	d.mu.Lock()
	state.received = &s
	if s.Protocol >= protocolReceipts {
		state.acceptsDeltas = true
		state.mux.SetConfirms()
	}
	if s.Protocol >= protocolWorkspaces {
		state.knowsWorkspaces = true
		state.mux.SetKnowsWorkspaces()
	}
	if s.Protocol >= protocolByteStrings {
		state.mux.SetReadsByteStrings()
	}
	d.mu.Unlock()
	d.applyStatus(l, state.mux, s)
}

func (d *Directory) applyStatus(l *transport.Link, mux *callmux.Mux, s Status) {
	if s.LimitedEndpoint != nil && d.config.OnLimitedEndpoint != nil {
		d.config.OnLimitedEndpoint(*s.LimitedEndpoint)
	}
	if s.Record != nil && s.Rollouts != nil && d.config.OnRollouts != nil {
		d.config.OnRollouts(s.Rollouts, l.Peer())
	}
	if s.Record != nil && d.config.OnReceiverDeparted != nil {
		d.config.OnReceiverDeparted(s.ReceiverDeparted.Latest(departures.MaxShared), l.Peer())
	}
	if s.Record != nil && s.ReceiverEndpoint != nil && d.config.OnReceiverEndpoint != nil {
		d.config.OnReceiverEndpoint(*s.ReceiverEndpoint, l.Peer())
	}
	readAt := d.config.Clock() - max(0, s.PlanReadAge)
	if s.SentAt != 0 {
		readAt -= mux.TransitDelay(s.SentAt)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[l.Peer()]
	if s.Record != nil && s.Record.Host == l.Peer() {
		p = d.replaceRecord(*s.Record)
		if s.Record.FailureDomain == d.config.Self.FailureDomain {
			l.SetMeter(&d.localTraffic)
		}
	}
	if p != nil {
		p.addDeparted(s.Departed.Latest(departures.MaxShared)...)
	}
	if p == nil || d.manager.Link(l.Peer()) != l {
		// A report on a link that another one has replaced must not restore the mux
		// of the old link.
		return
	}
	p.lastUp = time.Now()
	p.stale.Store(false)
	p.silentSince.Store(0)
	old := p.status.Load()
	p.status.Store(&s)
	p.mux.Store(mux)
	if s.Endpoint != nil {
		p.lastEndpoint.Store(s.Endpoint)
		p.reportedCalls.Store(int64(s.Endpoint.Running + s.Endpoint.Waiting))
		p.sentSinceReport.Store(0)
	}
	p.expectedBytes.Store(0)
	if old == nil || !sameAvailability(old, &s) {
		d.rebuildIndex()
		d.logStatusChange(p, &s)
	}
	record := p.record.Load()
	sameDomain := record.FailureDomain == d.config.Self.FailureDomain
	d.config.OnPlanReport(plansync.Report{From: record.Host, SameDomain: sameDomain, KnowsWorkspaces: d.links[l] != nil && d.links[l].knowsWorkspaces, Version: s.PlanVersion, Read: plansync.Read{
		Stamp: s.PlanRead, BeganAt: readAt, Epoch: s.StoreEpoch,
	}})
}

func (d *Directory) logStatusChange(p *Peer, s *Status) {
	args := []any{"host", p.record.Load().Host, "leaving", s.Draining, "plan", s.PlanVersion}
	if e := s.Endpoint; e != nil {
		args = append(args, "endpoint", e.ID, "service", e.Service, "slots", e.Slots)
	}
	eventPeerChanged.Log(d.config.Logger, args...)
}

// sameAvailability reports whether two statuses allow the same calls.
func sameAvailability(a, b *Status) bool {
	if a.Draining != b.Draining || (a.Endpoint == nil) != (b.Endpoint == nil) {
		return false
	}
	return a.Endpoint == nil || (a.Endpoint.ID == b.Endpoint.ID && a.Endpoint.Service == b.Endpoint.Service)
}

// RequestPlan requests the plan of a peer, as a delta to the version have.
func (d *Directory) RequestPlan(host mesh.HostID, have uint64) error {
	l := d.manager.Link(host)
	if l == nil {
		return transport.ErrNoLink
	}
	return l.Send(transport.KindPlanRequest, planRequest{Have: have})
}

// HostsAhead returns the number of reachable hosts that precede this one when one host
// acts for all.
func (d *Directory) HostsAhead() int {
	all, _ := d.Rank()
	return all
}

// Rank returns the number of reachable hosts that precede this one when one host acts for
// all, and the number of those in its failure domain.
func (d *Directory) Rank() (all, domain int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.peers {
		r := p.record.Load()
		if p.mux.Load() == nil || !r.precedes(d.config.Self) {
			continue
		}
		all++
		if r.FailureDomain == d.config.Self.FailureDomain {
			domain++
		}
	}
	return all, domain
}

// silentLossDelay is the time within which the other end notices that a link has gone
// silent, after this end has. Both close the link after linkTimeout, counted from reports
// that are up to statusInterval apart and checked at each tickInterval.
const silentLossDelay = statusInterval + 2*tickInterval + 100*time.Millisecond

// Hosts are the other hosts of the mesh. Each list is sorted.
type Hosts struct {
	// Known holds those that have not stopped, whether reachable or not.
	Known []mesh.HostID
	// Reached holds those with a link that know workspaces, quotas and roll-outs.
	Reached []mesh.HostID
	// Silent holds those whose link went silent. They may not have noticed it yet, and may
	// still be connected with others.
	Silent []mesh.HostID
}

// Hosts returns the other hosts.
func (d *Directory) Hosts() Hosts {
	d.mu.Lock()
	defer d.mu.Unlock()
	var h Hosts
	now := time.Now()
	for id, p := range d.peers {
		if !p.stopped {
			h.Known = append(h.Known, id)
		}
		if state := d.links[d.manager.Link(id)]; state != nil && state.knowsWorkspaces {
			h.Reached = append(h.Reached, id)
		} else if now.Sub(p.silentAt) < silentLossDelay {
			h.Silent = append(h.Silent, id)
		}
	}
	slices.Sort(h.Known)
	slices.Sort(h.Reached)
	slices.Sort(h.Silent)
	return h
}

// rebuildIndex rebuilds byService and hostCount. The caller holds the lock.
func (d *Directory) rebuildIndex() {
	byService := map[mesh.ServiceName][]*Peer{}
	hosts := int64(1)
	for _, p := range d.peers {
		s := p.status.Load()
		if s == nil || p.mux.Load() == nil {
			continue
		}
		hosts++
		if s.Endpoint != nil && !s.Draining {
			byService[s.Endpoint.Service] = append(byService[s.Endpoint.Service], p)
		}
	}
	d.byService.Store(&byService)
	d.hostCount.Store(hosts)
}

// ByService returns the peers whose endpoint provides the service.
func (d *Directory) ByService(service mesh.ServiceName) []*Peer {
	return (*d.byService.Load())[service]
}

// Host returns the peer's ID.
func (p *Peer) Host() mesh.HostID { return p.record.Load().Host }

// FailureDomain returns the peer's failure domain.
func (p *Peer) FailureDomain() mesh.FailureDomain { return p.record.Load().FailureDomain }

// Endpoint returns the latest status of the peer's endpoint, or nil.
func (p *Peer) Endpoint() *EndpointStatus {
	if s := p.status.Load(); s != nil {
		return s.Endpoint
	}
	return nil
}

// MarkLeaving records that the endpoint has stated in a response that it leaves.
func (p *Peer) MarkLeaving(e *EndpointStatus) {
	p.addDeparted(departures.Departure{ID: e.ID, StartedAtMs: e.StartedAtMs})
}

// IsLeaving reports whether the endpoint, or a later incarnation of it, has left or has
// stated in a response that it leaves.
func (p *Peer) IsLeaving(e *EndpointStatus) bool { return p.departures().Covers(e.ID, e.StartedAtMs) }

// departures returns the latest endpoints of the host that have left.
func (p *Peer) departures() departures.List { return lo.FromPtr(p.departed.Load()) }

// addDeparted adds endpoints of the host that have left.
func (p *Peer) addDeparted(added ...departures.Departure) {
	for {
		old := p.departed.Load()
		known := lo.FromPtr(old)
		if len(departures.List(added).Without(known)) == 0 {
			return
		}
		next := known.Add(departures.MaxShared, added...)
		if p.departed.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Occupied estimates the number of calls at the peer's gate: those in its latest
// report, plus those that this host has sent since.
func (p *Peer) Occupied() int { return int(p.reportedCalls.Load() + p.sentSinceReport.Load()) }

// Stale reports whether a status report of the peer or the receipt of a call is overdue:
// the peer may have stopped or be unreachable, or the link to it silent.
func (p *Peer) Stale() bool { return p.stale.Load() || p.silentSince.Load() != 0 }

// markSilent records that the peer does not confirm calls.
func (p *Peer) markSilent() { p.silentSince.CompareAndSwap(0, time.Now().UnixNano()) }

// Run sends a call to the peer.
func (p *Peer) Run(ctx context.Context, c *call.Call) call.Result {
	mux := p.mux.Load()
	if mux == nil {
		return call.Result{Outcome: call.Rejected, Reason: call.ReasonNoLink}
	}
	p.sentSinceReport.Add(1)
	if c.ResponseBytes > 0 {
		p.expectedBytes.Add(c.ResponseBytes)
	}
	r := mux.Run(ctx, c)
	if r.HasLoad {
		p.reportedCalls.Store(int64(r.Load.Running + r.Load.Waiting))
		p.sentSinceReport.Store(0)
	}
	return r
}
