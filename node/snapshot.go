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
func (u *snapshotUpdater) setVersion(v *lists.Version) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.version = v
	u.build()
	eventVersionActive.Log(u.components.logger, "sequence", v.ID.Sequence, "digest", v.ID.Digest.Short(), "change", v.Change.ID)
	u.components.allowEndpoints()
	u.metrics.recordActivation(v)
	if notify := u.components.options.OnVersion; notify != nil {
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
func (u *snapshotUpdater) setView(view *membership.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.components.storePeers(view)
	if u.view == nil {
		u.view = view
		u.build()
		return
	}
	u.view = view
	if u.timer == nil && !u.stopped {
		u.timer = time.AfterFunc(rebuildInterval, u.buildPending)
	}
}

func (u *snapshotUpdater) buildPending() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timer = nil
	if !u.stopped {
		u.build()
	}
}

// build builds and activates a snapshot. Limits and gates are configured before the
// snapshot with the routes that use them is stored. It requires r.mu.
func (u *snapshotUpdater) build() {
	if u.version == nil || u.view == nil {
		return
	}
	u.components.endpoints.Configure(u.version.Config)
	u.components.admission.Configure(u.version.Config, u.view)
	u.components.current.Store(routing.Build(u.version, u.view))
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

func (u *snapshotUpdater) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	if u.timer != nil {
		u.timer.Stop()
	}
}
