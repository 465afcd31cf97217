package distribution

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

func entry(list lists.ListName, kind lists.EntryKind, name string) lists.EntryKey {
	return lists.EntryKey{List: list, Kind: kind, Name: name}
}

func customer(name, plan string) lists.Edit {
	return lists.Edit{
		Key:   entry(lists.ListPlans, lists.KindCustomer, name),
		After: lists.Fields{"plan": plan, "token-sha256": mesh.DigestOf([]byte(name)).String()},
	}
}

// successor returns the version after v with one more customer. Only the plan
// gold exists; with any other plan the version is invalid.
func successor(v *lists.Version, name, plan string) *lists.Version {
	base, sequence := lists.Lists{}, mesh.Sequence(0)
	edits := []lists.Edit{customer(name, plan)}
	if v != nil {
		base, sequence = v.Lists, v.ID.Sequence
	} else {
		edits = append(edits, lists.Edit{
			Key:   entry(lists.ListAllowances, lists.KindPlan, "gold"),
			After: lists.Fields{"rate-per-second": "10", "burst": "5", "concurrency": "3"},
		})
	}
	next, err := lists.Apply(base, edits)
	if err != nil {
		panic(err)
	}
	body, err := lists.Encode(next)
	if err != nil {
		panic(err)
	}
	return &lists.Version{
		ID:     mesh.VersionID{Sequence: sequence + 1, Digest: mesh.DigestOf(body)},
		Change: lists.Change{ID: mesh.ChangeID(name), Edits: edits}, Lists: next, Body: body,
	}
}

// fakeSource is an in-memory replacement for the authority.
type fakeSource struct {
	mu       sync.Mutex
	head     authority.Head
	revision kvstore.Revision
	versions map[mesh.VersionID]*lists.Version
	changed  chan struct{}
	calls    int
}

func newFakeSource() *fakeSource {
	return &fakeSource{versions: map[mesh.VersionID]*lists.Version{}, changed: make(chan struct{})}
}

func (f *fakeSource) set(v *lists.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.head, f.versions[v.ID] = authority.Head{Version: v.ID}, v
	f.revision++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeSource) Head(context.Context) (authority.Head, kvstore.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.head, f.revision, nil
}

func (f *fakeSource) Load(_ context.Context, head authority.Head) (*lists.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	v := f.versions[head.Version]
	return lists.NewVersion(v.ID, v.Change, v.Body)
}

func (f *fakeSource) WatchHead(ctx context.Context, after kvstore.Revision) (authority.Head, kvstore.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	f.calls++
	for err == nil && f.revision <= after {
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		f.mu.Lock()
	}
	return f.head, f.revision, err
}

type testNode struct {
	*Service
	server *http.Server
}

// testMesh runs nodes on an in-memory network, under synctest.
type testMesh struct {
	t         *testing.T
	network   *faultnet.Network
	nodes     map[mesh.HostID]*testNode
	seeds     []string
	configure func(*Config)
}

func newTestMesh(t *testing.T) *testMesh {
	m := &testMesh{t: t, network: faultnet.New(), nodes: map[mesh.HostID]*testNode{}}
	t.Cleanup(m.stop)
	return m
}

func (m *testMesh) stop() {
	m.network.Heal()
	for h := range m.nodes {
		m.kill(h)
	}
}

func address(domain, n int) string { return fmt.Sprintf("10.%d.0.%d:7000", domain, n) }

func host(domain, n int) mesh.HostID { return mesh.HostID(fmt.Sprintf("host-%d-%d", domain, n)) }

func (m *testMesh) start(domain, n int) *testNode {
	addr := address(domain, n)
	c := Config{
		Self: membership.Record{
			Host: host(domain, n), Domain: mesh.FailureDomain(fmt.Sprintf("fd%d", domain)),
			PeerAddress: addr, CallAddress: addr,
		},
		Seeds: m.seeds, Dial: m.network.Dialer(addr),
	}
	m.network.Group(fmt.Sprintf("fd%d", domain), addr)
	if m.configure != nil {
		m.configure(&c)
	}
	s, err := New(c)
	if err != nil {
		m.t.Fatal(err)
	}
	listener, err := m.network.Listen(addr)
	if err != nil {
		m.t.Fatal(err)
	}
	node := &testNode{Service: s, server: &http.Server{Handler: s.Handler()}}
	go func() { _ = node.server.Serve(listener) }()
	if err := s.Start(context.Background()); err != nil {
		m.t.Fatal(err)
	}
	m.nodes[host(domain, n)] = node
	return node
}

// startDomains starts the given number of hosts in each failure domain.
func (m *testMesh) startDomains(hosts ...int) {
	m.seeds = append(m.seeds, address(1, 1), address(2, 1))
	for d, count := range hosts {
		for n := range count {
			m.start(d+1, n+1)
		}
	}
}

func (m *testMesh) kill(h mesh.HostID) {
	node := m.nodes[h]
	delete(m.nodes, h)
	node.Kill()
	_ = node.server.Close()
}

// sequenceCounts counts the nodes by accepted sequence.
func (m *testMesh) sequenceCounts() map[mesh.Sequence]int {
	counts := map[mesh.Sequence]int{}
	for _, n := range m.nodes {
		counts[n.acceptedID().Sequence]++
	}
	return counts
}

// stateCounts counts the records in the views of all nodes by state.
func (m *testMesh) stateCounts() map[membership.State]int {
	counts := map[membership.State]int{}
	for _, n := range m.nodes {
		for _, r := range n.View().Hosts {
			counts[r.State]++
		}
	}
	return counts
}

// advance advances the bubble's clock and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// useStore configures an in-memory store and a source of versions for the nodes
// started after it.
func (m *testMesh) useStore() (*fakeSource, *memory.Store) {
	source, store := newFakeSource(), memory.New()
	summaries := authority.New(store, authority.Options{})
	m.configure = func(c *Config) { c.Source, c.Store, c.Summaries = source, store, summaries }
	return source, store
}

// useAuthority is like useStore with a real authority as the source.
func (m *testMesh) useAuthority() (*authority.Authority, *memory.Store) {
	store := memory.New()
	a := authority.New(store, authority.Options{})
	m.configure = func(c *Config) { c.Source, c.Store, c.Summaries = a, store, a }
	return a, store
}

// propose writes the change of a version to the store.
func (m *testMesh) propose(a *authority.Authority, v *lists.Version) {
	_, err := a.Propose(context.Background(), authority.Proposal{ChangeID: v.Change.ID, Author: "test", Edits: v.Change.Edits})
	if err != nil {
		m.t.Fatal(err)
	}
}

func (m *testMesh) watchHolders() []*testNode {
	return lo.Filter(lo.Values(m.nodes), func(n *testNode, _ int) bool { return n.Status().WatchHolder })
}

// traffic sums the messages of a kind that all nodes sent.
func (m *testMesh) traffic(kind transport.Kind) transport.Traffic {
	var sum transport.Traffic
	for _, n := range m.nodes {
		out := n.config.Meter.Read()[kind].Out
		sum.Messages += out.Messages
		sum.Bytes += out.Bytes
	}
	return sum
}

func (n *testNode) pullsFrom() mesh.HostID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pulls.from
}

// summary returns the stored summary of the first failure domain.
func summary(store *memory.Store) authority.Summary {
	summaries, err := authority.New(store, authority.Options{}).Summaries(context.Background())
	if err != nil || len(summaries) == 0 {
		return authority.Summary{}
	}
	return summaries[0]
}
