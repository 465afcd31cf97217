package node

import (
	"net/netip"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/routing"
)

// rebuildInterval is the minimum time between two snapshots that differ only in
// their member view. A mass restart changes the view hundreds of times per second.
const rebuildInterval = 20 * time.Millisecond

// snapshotUpdater builds the routing snapshot from the accepted version and the
// member view, and activates it.
type snapshotUpdater struct {
	components *components
	metrics    *controlMetrics

	mu      sync.Mutex
	version *lists.Version
	view    *membership.View
	timer   *time.Timer
	stopped bool
}

// setVersion activates a version before it returns, so that the node never reports
// a version that its calls do not use yet.
func (r *snapshotUpdater) setVersion(v *lists.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = v
	r.build()
	eventVersionActive.Log(r.components.logger, "sequence", v.ID.Sequence, "digest", v.ID.Digest.Short(), "change", v.Change.ID)
	r.components.allowEndpoints()
	r.metrics.recordActivation(v)
	if notify := r.components.options.OnVersion; notify != nil {
		notify(v)
	}
}

// announced holds the endpoints announced at this host. They are published to the
// mesh only once a version is active, because a node serves no calls before that.
type announced struct {
	mu        sync.Mutex
	endpoints []membership.Endpoint
	allowed   bool
}

// allowEndpoints allows publishing and publishes the endpoints that were announced
// before the first version became active.
func (p *components) allowEndpoints() {
	p.announced.mu.Lock()
	defer p.announced.mu.Unlock()
	if !p.announced.allowed {
		p.announced.allowed = true
		p.publishEndpoints()
	}
}

// publishEndpoints sets the announced endpoints in the membership record of the
// host. It requires announced.mu.
func (p *components) publishEndpoints() {
	if control := p.control.Load(); control != nil && p.announced.allowed {
		endpoints := p.announced.endpoints
		control.UpdateSelf(func(r *membership.Record) { r.Endpoints = endpoints })
	}
}

// setView activates a member view within rebuildInterval.
func (r *snapshotUpdater) setView(view *membership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.components.storePeers(view)
	if r.view == nil {
		r.view = view
		r.build()
		return
	}
	r.view = view
	if r.timer == nil && !r.stopped {
		r.timer = time.AfterFunc(rebuildInterval, r.buildPending)
	}
}

func (r *snapshotUpdater) buildPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = nil
	if !r.stopped {
		r.build()
	}
}

// build builds and activates a snapshot. Limits and gates are configured before the
// snapshot with the routes that use them is stored. It requires r.mu.
func (r *snapshotUpdater) build() {
	if r.version == nil || r.view == nil {
		return
	}
	r.components.endpoints.Configure(r.version.Config)
	r.components.admission.Configure(r.version.Config, r.view)
	r.components.current.Store(routing.Build(r.version, r.view))
}

// storePeers sets the addresses from which the gate accepts calls. They include
// those of dead hosts, because a host that is wrongly declared dead still sends
// calls.
func (p *components) storePeers(view *membership.View) {
	peers := make(map[netip.Addr]bool, len(view.Hosts))
	for _, record := range view.Hosts {
		if peer, err := netip.ParseAddrPort(record.PeerAddress); err == nil {
			peers[peer.Addr()] = true
		}
	}
	p.peers.Store(&peers)
}

func (r *snapshotUpdater) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	if r.timer != nil {
		r.timer.Stop()
	}
}
