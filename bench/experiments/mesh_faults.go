package experiments

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

const (
	// firstPort lies below the range of ephemeral ports. The process ID selects one
	// of portSlots port ranges, so that parallel runs rarely share ports.
	firstPort    = 12000
	portSlots    = 16
	portsPerSlot = 1100

	sampleServiceTime = 2 * time.Millisecond
	convergePoll      = 20 * time.Millisecond
	// convergeTimeout bounds the wait for convergence. It exceeds the bounds of the
	// checks, so that a late convergence is reported and fails its check.
	convergeTimeout = 25 * time.Second
)

// faultMesh is a mesh whose links, call connections and store connections can be
// cut, and whose hosts can be replaced under load.
type faultMesh struct {
	*emulator.Mesh
	params      bench.Params
	network     *faultnet.Network
	activations *activations
	verifier    *verifier
	suspicions  *suspicions

	mu           sync.Mutex
	stores       map[mesh.HostID]*hostStore
	live         map[mesh.HostID]*node.Node
	changeNumber int
	// dialCtx ends when a cut ends, and cancels the dials in progress.
	dialCtx     context.Context
	cancelDials context.CancelFunc
}

// startWarmMesh starts the mesh of the parameters and runs a load on it until
// its connections are open.
func startWarmMesh(ctx context.Context, p bench.Params) (*faultMesh, error) {
	f, err := startFaultMesh(ctx, p, nil)
	if err != nil {
		return nil, err
	}
	if err := f.runWarmUpLoad(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startFaultMesh starts the mesh of the parameters. A configure that is not nil
// may change the options of each node.
func startFaultMesh(ctx context.Context, p bench.Params, configure func(*node.Options)) (*faultMesh, error) {
	d, err := emulator.NamedDeployment(p.Deployment)
	if err != nil {
		return nil, err
	}
	f := &faultMesh{
		params: p, network: faultnet.New(), activations: newActivations(), verifier: newVerifier(), suspicions: newSuspicions(),
		stores: map[mesh.HostID]*hostStore{}, live: map[mesh.HostID]*node.Node{},
	}
	f.dialCtx, f.cancelDials = context.WithCancel(context.Background())
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	f.Mesh, err = emulator.StartMesh(ctx, emulator.MeshConfig{
		Deployment: d, Nodes: p.Nodes, Domains: p.Domains, Seed: p.Seed, Record: emulator.NewRecord(true),
		BasePort: firstPort + os.Getpid()%portSlots*portsPerSlot, Logger: f.suspicions.logger(), OnVersion: f.activations.record,
		Behavior: func(mesh.ServiceName) emulator.Behavior { return emulator.Behavior{ServiceTime: sampleServiceTime} },
		OptionsFor: func(h mesh.HostID, domain mesh.FailureDomain, o *node.Options) {
			f.attachFaults(h, domain, o)
			if configure != nil {
				configure(o)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	return f, f.registerHosts(ctx)
}

// registerHosts puts the addresses of all hosts into the network groups of their
// failure domains and adds the first version to the verifier.
func (f *faultMesh) registerHosts(ctx context.Context) error {
	for _, h := range f.Hosts {
		f.network.Group(string(h.Domain), h.Settings.Listen.Peer, h.Settings.Listen.Call)
		f.updateLive(h)
	}
	head, _, err := f.Authority.Head(ctx)
	if err != nil {
		return err
	}
	return f.verifier.addVersion(head.Version, f.Config.Lists)
}

// attachFaults gives a node the fault-injecting network and a store of its own.
func (f *faultMesh) attachFaults(h mesh.HostID, domain mesh.FailureDomain, o *node.Options) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stores[h] == nil {
		f.stores[h] = newHostStore(o.Store)
		f.network.Group(string(domain), string(h))
	}
	dial := f.cancelDialsOnHeal(f.network.Wrap(string(h), (&net.Dialer{}).DialContext))
	o.Store, o.Dial, o.DialCall = f.stores[h], dial, dial
}

// cancelDialsOnHeal makes a dial that a cut blocks fail when the cut ends.
// Package faultnet would let it connect immediately, whereas with TCP its packets
// are lost.
func (f *faultMesh) cancelDialsOnHeal(dial faultnet.DialFunc) faultnet.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		f.mu.Lock()
		dialCtx := f.dialCtx
		f.mu.Unlock()
		defer context.AfterFunc(dialCtx, cancel)()
		return dial(ctx, network, address)
	}
}

// heal ends all cuts of the network.
func (f *faultMesh) heal() {
	f.mu.Lock()
	f.cancelDials()
	f.dialCtx, f.cancelDials = context.WithCancel(context.Background())
	f.mu.Unlock()
	f.network.Heal()
}

// updateLive records whether the host has a running node.
func (f *faultMesh) updateLive(h *emulator.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.Node == nil {
		delete(f.live, h.ID)
	} else {
		f.live[h.ID] = h.Node
	}
	f.suspicions.setRunning(h.ID, h.Node != nil)
}

// liveNodes returns the nodes that run now.
func (f *faultMesh) liveNodes() map[mesh.HostID]*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := make(map[mesh.HostID]*node.Node, len(f.live))
	for h, n := range f.live {
		live[h] = n
	}
	return live
}

func (f *faultMesh) storeOf(h mesh.HostID) *hostStore {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stores[h]
}

// domains returns the failure domains in the order of their first hosts.
func (f *faultMesh) domains() []mesh.FailureDomain {
	return lo.Uniq(lo.Map(f.Hosts, func(h *emulator.Host, _ int) mesh.FailureDomain { return h.Domain }))
}

func (f *faultMesh) hostsIn(domains ...mesh.FailureDomain) []*emulator.Host {
	return lo.Filter(f.Hosts, func(h *emulator.Host, _ int) bool { return lo.Contains(domains, h.Domain) })
}

// kill kills hosts at the same time.
func (f *faultMesh) kill(hosts ...*emulator.Host) {
	var all sync.WaitGroup
	for _, h := range hosts {
		f.suspicions.setRunning(h.ID, false)
		all.Go(func() { f.KillHost(h) })
	}
	all.Wait()
	for _, h := range hosts {
		f.updateLive(h)
	}
}

// stop shuts hosts down gracefully.
func (f *faultMesh) stop(ctx context.Context, hosts ...*emulator.Host) error {
	err := forEachInParallel(hosts, func(h *emulator.Host) error {
		f.suspicions.setRunning(h.ID, false)
		return f.StopHost(ctx, h)
	})
	for _, h := range hosts {
		f.updateLive(h)
	}
	return err
}

// start starts hosts at the same time, with empty state.
func (f *faultMesh) start(ctx context.Context, hosts ...*emulator.Host) error {
	err := forEachInParallel(hosts, func(h *emulator.Host) error { return f.StartHost(ctx, h) })
	for _, h := range hosts {
		f.updateLive(h)
	}
	return err
}

func forEachInParallel(hosts []*emulator.Host, do func(*emulator.Host) error) error {
	errs := make([]error, len(hosts))
	var all sync.WaitGroup
	for i, h := range hosts {
		all.Go(func() { errs[i] = do(h) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// applyChange applies a change of one entry through the authority.
func (f *faultMesh) applyChange(ctx context.Context) (mesh.VersionID, error) {
	f.changeNumber++
	next := withRoute(f.Config.Lists, f.Config.Deployment, f.changeNumber)
	return f.applyLists(ctx, next)
}

func (f *faultMesh) applyLists(ctx context.Context, next lists.Lists) (mesh.VersionID, error) {
	id, err := f.ApplyLists(ctx, next)
	if err != nil {
		return id, err
	}
	f.Config.Lists = next
	return id, f.verifier.addVersion(id, next)
}

// waitConverged waits until the store's version is active on every node and every
// node sees all live hosts. It returns the seconds since start, and stops waiting
// after convergeTimeout.
func (f *faultMesh) waitConverged(ctx context.Context, start time.Time) (float64, error) {
	head, _, err := f.Authority.Head(ctx)
	if err != nil {
		return 0, err
	}
	return f.waitConvergedAt(ctx, head.Version.Sequence, start)
}

// waitConvergedWithoutStore is waitConverged for a time at which the store is
// unavailable: the highest active version must be active on every node.
func (f *faultMesh) waitConvergedWithoutStore(ctx context.Context, start time.Time) (float64, error) {
	highest := lo.Max(lo.Map(f.RunningHosts(), func(h *emulator.Host, _ int) mesh.Sequence { return activeSequence(h.Node) }))
	return f.waitConvergedAt(ctx, highest, start)
}

func (f *faultMesh) waitConvergedAt(ctx context.Context, sequence mesh.Sequence, start time.Time) (float64, error) {
	running := f.RunningHosts()
	for time.Since(start) < convergeTimeout {
		incarnations := lo.SliceToMap(running, func(h *emulator.Host) (mesh.HostID, uint64) {
			return h.ID, h.Node.Control().View().Hosts[h.ID].Incarnation
		})
		if lo.EveryBy(running, func(h *emulator.Host) bool { return hasConverged(h.Node, sequence, incarnations) }) {
			return time.Since(start).Seconds(), nil
		}
		if err := bench.Sleep(ctx, convergePoll); err != nil {
			return 0, err
		}
	}
	f.params.Logf("not converged at sequence %d: %s", sequence, describeLagging(running, sequence))
	return time.Since(start).Seconds(), nil
}

// hasConverged reports whether the sequence or a newer one is active on a node
// and the node sees the current incarnation of every running host with its
// endpoint, and no other live host.
func hasConverged(n *node.Node, sequence mesh.Sequence, incarnations map[mesh.HostID]uint64) bool {
	s := n.Snapshot()
	if s == nil || s.Version.Sequence < sequence {
		return false
	}
	alive := 0
	for _, r := range s.View.Hosts {
		incarnation, isRunning := incarnations[r.Host]
		if r.State != membership.StateAlive {
			continue
		}
		if !isRunning || r.Incarnation != incarnation || len(r.Endpoints) == 0 {
			return false
		}
		alive++
	}
	return alive == len(incarnations)
}

// waitActive waits until the sequence or a newer one is active on the nodes. It
// returns the seconds since start, and stops waiting after convergeTimeout.
func (f *faultMesh) waitActive(ctx context.Context, nodes map[mesh.HostID]*node.Node, sequence mesh.Sequence, start time.Time) float64 {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	_ = f.WaitUntil(ctx, "version not active", func() bool {
		return lo.EveryBy(lo.Values(nodes), func(n *node.Node) bool { return activeSequence(n) >= sequence })
	})
	return time.Since(start).Seconds()
}

// activeSequence returns the sequence of the active version of a node, or zero
// before the first.
func activeSequence(n *node.Node) mesh.Sequence {
	if s := n.Snapshot(); s != nil {
		return s.Version.Sequence
	}
	return 0
}

// trafficByHost returns the link bytes of each running node in both directions.
func (f *faultMesh) trafficByHost() map[mesh.HostID]float64 {
	return lo.MapValues(f.liveNodes(), func(n *node.Node, _ mesh.HostID) float64 {
		sum := 0.0
		for _, t := range n.Control().Status().Traffic {
			sum += float64(t.In.Bytes + t.Out.Bytes)
		}
		return sum
	})
}
