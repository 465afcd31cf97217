package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/callmux"
	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/plansync"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// tickInterval is how often links are checked and due dials made.
	tickInterval = 200 * time.Millisecond
	// statusInterval is the longest time between two reports on a link. A third
	// of silenceLimit, so that one lost report is no silence.
	statusInterval = 500 * time.Millisecond
	// silenceLimit is the silence after which a link is given up. Half of the
	// time after which the users' platform counts a machine as out of touch.
	silenceLimit = 1500 * time.Millisecond
	// doubtAfter is the silence from which a host gets calls only when others
	// cannot take them: a report is overdue by more than the ticks may add.
	doubtAfter = 800 * time.Millisecond
	// redialLeast and redialMost bound the pause between dials of a host.
	redialLeast = 200 * time.Millisecond
	redialMost  = 1500 * time.Millisecond
	// yieldTime is how long the host with the higher ID leaves the first dial to
	// the other.
	yieldTime = 400 * time.Millisecond
	// forgetAfter is how long a host without a link is kept and dialed. Hosts that
	// cannot read the store depend on being dialed by others.
	forgetAfter = 90 * time.Second
	// linkQueue is the number of frames that may wait on a link.
	linkQueue = 128
)

var (
	eventPeerUp   = events.Define(2400, hclog.Info, "host reachable", "None.")
	eventPeerDown = events.Define(2401, hclog.Warn, "host unreachable", "Calls under way there ended as broken; look for the other host's stop, or for a cut between the two.")
	eventPeerNews = events.Define(2402, hclog.Info, "host reported a change", "None; calls are placed by the new report from now on.")
	eventPeerGone = events.Define(2403, hclog.Info, "host forgotten", "None; it had no link for a long time.")
	eventBadFrame = events.Define(2404, hclog.Warn, "malformed message of a host", "Compare the versions of both programs.")
)

// Config configures a Directory.
type Config struct {
	Self   Record
	Logger hclog.Logger
	Clock  boottime.Clock
	// Local runs calls of peers and of this host at the endpoint of this host.
	Local call.Runner
	// Report returns the host's own status without its record.
	Report func() Status
	// Plan returns the plan in force as a difference to the version that a peer
	// has, and false when there is none.
	Plan func(have uint64) (routeplan.Delta, bool)
	// OfferPlan is called with the plan of a peer.
	OfferPlan func(plan routeplan.Delta, from mesh.HostID)
	// HeardPlan is called with the version that a peer reports and the latest
	// read that it knows to have shown it.
	HeardPlan func(from mesh.HostID, version uint64, read plansync.Stamp)
}

// Peer is another host. Its atomics are read by each placement.
type Peer struct {
	record atomic.Pointer[Record]
	// status is nil until the peer has reported.
	status atomic.Pointer[Status]
	mux    atomic.Pointer[callmux.Mux]
	// occupied is the number of calls at the peer's gate by its latest report,
	// and opened the calls that this host sent since.
	occupied atomic.Int64
	opened   atomic.Int64
	// doubtful is set while a report of the peer is overdue.
	doubtful atomic.Bool

	learned time.Time
	lastUp  time.Time
	nextTry time.Time
	pause   time.Duration
	dialing bool
}

// Directory holds all hosts. It is safe for concurrent use.
type Directory struct {
	config  Config
	manager *transport.Manager
	bodies  *callmux.Bodies

	mu    sync.Mutex
	peers map[mesh.HostID]*Peer
	muxes map[*transport.Link]*callmux.Mux
	// index holds the hosts with an endpoint by service. It is replaced as a
	// whole.
	index atomic.Pointer[map[mesh.ServiceName][]*Peer]
	hosts atomic.Int64
	// kick makes the next report leave at once.
	kick chan struct{}
}

// New returns a directory that knows only this host.
func New(config Config) *Directory {
	d := &Directory{config: config, bodies: callmux.NewBodies(config.Self.LinkMbps), peers: map[mesh.HostID]*Peer{}, muxes: map[*transport.Link]*callmux.Mux{}, kick: make(chan struct{}, 1)}
	d.index.Store(&map[mesh.ServiceName][]*Peer{})
	d.hosts.Store(1)
	d.manager = transport.NewManager(transport.Config{
		Self: config.Self.Host, Logger: config.Logger, QueueLength: linkQueue,
		HandshakesPerSecond: handshakesPerSecond,
		OnUp:                d.up, OnDown: d.down, OnMessage: d.message,
	})
	return d
}

// handshakesPerSecond bounds accepted links. All hosts of a mesh of 750 dial each
// other within about 4 s after a mass restart.
const handshakesPerSecond = 200

// Manager accepts links of peers over HTTP.
func (d *Directory) Manager() *transport.Manager { return d.manager }

// Hosts returns the number of hosts that are known to live, this one included.
func (d *Directory) Hosts() int { return int(d.hosts.Load()) }

// Run keeps the links up until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastReport := time.Time{}
	for {
		select {
		case <-ctx.Done():
			d.manager.Close()
			return
		case <-d.kick:
			lastReport = time.Time{}
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(lastReport) >= statusInterval-tickInterval/2 {
			d.report()
			lastReport = now
		}
		d.checkSilent(now)
		d.dialDue(ctx, now)
	}
}

// Changed sends the status to all peers without waiting for the next report.
func (d *Directory) Changed() {
	select {
	case d.kick <- struct{}{}:
	default: // One is pending.
	}
}

// Reset closes all links, because they may have ended unnoticed during a
// suspension.
func (d *Directory) Reset() {
	for _, l := range d.manager.Links() {
		l.Close()
	}
}

func (d *Directory) report() {
	links := d.manager.Links()
	if len(links) == 0 {
		return
	}
	frame, err := transport.Encode(transport.KindHostStatus, d.config.Report())
	if err != nil {
		eventBadFrame.Log(d.config.Logger, "error", err)
		return
	}
	for _, l := range links {
		if err := l.SendFrame(transport.KindHostStatus, frame, nil); err != nil {
			l.Close() // The peer has not read for as long as the queue holds.
		}
	}
}

func (d *Directory) message(l *transport.Link, m transport.Message) {
	d.mu.Lock()
	mux := d.muxes[l]
	d.mu.Unlock()
	known, err := mux.Handle(m)
	if !known {
		err = d.control(l, mux, m)
	}
	if err != nil {
		eventBadFrame.Log(d.config.Logger, "host", l.Peer(), "kind", int(m.Kind), "error", err)
		l.Close()
	}
}

func (d *Directory) control(l *transport.Link, mux *callmux.Mux, m transport.Message) error {
	switch m.Kind {
	case transport.KindHostStatus:
		var s Status
		if err := m.Decode(&s); err != nil {
			return err
		}
		d.accept(l, mux, s)
	case transport.KindPlanRequest:
		var r planRequest
		if err := m.Decode(&r); err != nil {
			return err
		}
		if plan, known := d.config.Plan(r.Have); known {
			return l.Send(transport.KindPlanValue, plan)
		}
	case transport.KindPlanValue:
		var plan routeplan.Delta
		if err := m.Decode(&plan); err != nil {
			return err
		}
		d.config.OfferPlan(plan, l.Peer())
	}
	return nil
}

// accept takes the report of a peer.
func (d *Directory) accept(l *transport.Link, mux *callmux.Mux, s Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[l.Peer()]
	if s.Record != nil && s.Record.Host == l.Peer() {
		p = d.introduce(*s.Record)
	}
	if p == nil || d.manager.Link(l.Peer()) != l {
		// A report of a link that another one has replaced must not bring its
		// calls back into use.
		return
	}
	p.lastUp = time.Now()
	old := p.status.Load()
	p.status.Store(&s)
	p.mux.Store(mux)
	if s.Endpoint != nil {
		p.occupied.Store(int64(s.Endpoint.Running + s.Endpoint.Waiting))
		p.opened.Store(0)
	}
	if old == nil || !sameUse(old, &s) {
		d.rebuild()
		d.logNews(p, &s)
	}
	d.config.HeardPlan(p.record.Load().Host, s.PlanVersion, s.PlanRead)
}

func (d *Directory) logNews(p *Peer, s *Status) {
	args := []any{"host", p.record.Load().Host, "leaving", s.Leaving, "plan", s.PlanVersion}
	if e := s.Endpoint; e != nil {
		args = append(args, "endpoint", e.ID, "service", e.Service, "slots", e.Slots)
	}
	eventPeerNews.Log(d.config.Logger, args...)
}

// sameUse reports whether the two reports allow the same calls.
func sameUse(a, b *Status) bool {
	if a.Leaving != b.Leaving || (a.Endpoint == nil) != (b.Endpoint == nil) {
		return false
	}
	return a.Endpoint == nil || (a.Endpoint.ID == b.Endpoint.ID && a.Endpoint.Service == b.Endpoint.Service)
}

// AskPlan asks a peer for its plan, as a difference to the version have.
func (d *Directory) AskPlan(host mesh.HostID, have uint64) error {
	l := d.manager.Link(host)
	if l == nil {
		return transport.ErrNoLink
	}
	return l.Send(transport.KindPlanRequest, planRequest{Have: have})
}

// Rank returns the number of reachable hosts that come before this one where one
// host acts for all.
func (d *Directory) Rank() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	rank := 0
	for _, p := range d.peers {
		if p.mux.Load() != nil && p.record.Load().before(d.config.Self) {
			rank++
		}
	}
	return rank
}

// rebuild makes the index of endpoints. The lock is held.
func (d *Directory) rebuild() {
	index := map[mesh.ServiceName][]*Peer{}
	live := int64(1)
	for _, p := range d.peers {
		s := p.status.Load()
		if s == nil || p.mux.Load() == nil {
			continue
		}
		live++
		if s.Endpoint != nil && !s.Leaving {
			index[s.Endpoint.Service] = append(index[s.Endpoint.Service], p)
		}
	}
	d.index.Store(&index)
	d.hosts.Store(live)
}

// Offering returns the hosts whose endpoint offers a service.
func (d *Directory) Offering(service mesh.ServiceName) []*Peer { return (*d.index.Load())[service] }

// Host returns the peer's ID.
func (p *Peer) Host() mesh.HostID { return p.record.Load().Host }

// FailureDomain returns where the peer is.
func (p *Peer) FailureDomain() mesh.FailureDomain { return p.record.Load().FailureDomain }

// Endpoint returns the latest report of the peer's endpoint, or nil.
func (p *Peer) Endpoint() *EndpointStatus {
	if s := p.status.Load(); s != nil {
		return s.Endpoint
	}
	return nil
}

// Occupied estimates the number of calls at the peer's gate: by its latest
// report, and those sent to it since.
func (p *Peer) Occupied() int { return int(p.occupied.Load() + p.opened.Load()) }

// Doubtful reports whether a report of the peer is overdue: it may be dead or cut
// off.
func (p *Peer) Doubtful() bool { return p.doubtful.Load() }

// Run sends a call to the peer.
func (p *Peer) Run(ctx context.Context, c *call.Call) call.Result {
	mux := p.mux.Load()
	if mux == nil {
		return call.Result{Fate: call.Refused, Reason: call.ReasonNoLink}
	}
	p.opened.Add(1)
	r := mux.Run(ctx, c)
	if r.HasLoad {
		p.occupied.Store(int64(r.Load.Running + r.Load.Waiting))
		p.opened.Store(0)
	}
	return r
}
