package proxy

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"geraniumnotch.example/geraniumnotch/admission"
	"geraniumnotch.example/geraniumnotch/claims"
	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routing"
	"geraniumnotch.example/geraniumnotch/selection"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

const testToken = "token-of-acme"

// testConfig has one customer and one route per kind of call.
func testConfig() *lists.Config {
	service := &lists.Service{Name: "orders", OtherShare: 0.2, LongShare: 0.5, MaxQueue: 16}
	route := func(name, prefix string) *lists.Route {
		return &lists.Route{Name: mesh.RouteName("gold/" + name), Service: service, PathPrefix: prefix, Rank: mesh.RankStandard, Deadline: 10 * time.Second}
	}
	lookup, once, keyed, long, hurried := route("lookup", "/lookup"), route("once", "/once"), route("keyed", "/keyed"), route("long", "/long"), route("hurried", "/hurried")
	lookup.Repeatable, keyed.Keyed, long.Long = true, true, true
	hurried.Deadline = 800 * time.Millisecond
	plan := &lists.Plan{Name: "gold", RatePerSecond: 1e6, Burst: 1e6, Concurrency: 1e6, Routes: []*lists.Route{hurried, lookup, once, keyed, long}}
	customer := &lists.Customer{ID: "acme", Plan: plan, TokenSHA256: sha256.Sum256([]byte(testToken))}
	return &lists.Config{
		Customers: map[mesh.CustomerID]*lists.Customer{"acme": customer},
		ByToken:   map[[32]byte]*lists.Customer{customer.TokenSHA256: customer},
		Plans:     map[mesh.PlanName]*lists.Plan{"gold": plan},
		Services:  map[mesh.ServiceName]*lists.Service{"orders": service},
	}
}

// testHost is a host with a gate and one endpoint.
type testHost struct {
	registry *endpoints.Registry
	gate     *Gate
	server   *httptest.Server
	running  *RunningCalls
	endpoint *httptest.Server
}

// testMesh is a set of hosts and the entry of the first one.
type testMesh struct {
	t           testing.TB
	current     routing.Current
	hosts       []*testHost
	entry       *Entry
	entryServer *httptest.Server
	explain     *DecisionLog
	view        *membership.View
	// network replaces loopback if it is not nil.
	network *faultnet.Network
	servers int
}

// startServer starts a server of the mesh.
func (m *testMesh) startServer(config *http.Server) *httptest.Server {
	s := httptest.NewUnstartedServer(nil)
	s.Config = config
	if m.network != nil {
		_ = s.Listener.Close() // Nothing uses it.
		m.servers++
		l, err := m.network.Listen(fmt.Sprintf("127.0.0.1:%d", m.servers))
		if err != nil {
			m.t.Fatal(err)
		}
		s.Listener = l
	}
	s.Start()
	m.t.Cleanup(s.Close)
	return s
}

// dial returns the dialer of the mesh, or nil for the default one.
func (m *testMesh) dial() DialFunc {
	if m.network == nil {
		return nil
	}
	return DialFunc(m.network.Dialer("127.0.0.2:1"))
}

// newTestMesh starts one host per endpoint handler.
func newTestMesh(t testing.TB, handlers ...http.Handler) *testMesh {
	return newTestMeshOn(nil, t, handlers...)
}

// newTestMeshOn is newTestMesh with an in-memory network, for bubbles of
// testing/synctest.
func newTestMeshOn(network *faultnet.Network, t testing.TB, handlers ...http.Handler) *testMesh {
	m := &testMesh{t: t, network: network, explain: NewDecisionLog(256), view: &membership.View{Hosts: map[mesh.HostID]*membership.Record{}}}
	for i, h := range handlers {
		m.addHost(i, h)
	}
	m.entry = NewEntry(EntryConfig{
		Snapshot: &m.current, Selector: selection.New(selection.Config{Domain: "d1"}),
		Admission: admission.New(admission.Config{}), Running: m.hosts[0].running, Decisions: m.explain, Claims: newFakeClaims(), Dial: m.dial(),
	})
	m.entryServer = m.startServer(NewServer(m.entry, nil))
	m.storeSnapshot()
	t.Cleanup(func() {
		m.entry.Close()
		for _, h := range m.hosts {
			h.gate.Close()
		}
	})
	return m
}

func (m *testMesh) addHost(i int, handler http.Handler) {
	h := &testHost{running: NewRunningCalls(), endpoint: m.startServer(&http.Server{Handler: handler})}
	id := mesh.HostID(fmt.Sprintf("h%d", i))
	record := &membership.Record{Host: id, Domain: "d1", State: membership.StateAlive}
	h.registry = endpoints.New(endpoints.Config{OnChange: func(all []membership.Endpoint) { record.Endpoints = all }})
	h.registry.Configure(testConfig())
	h.gate = NewGate(GateConfig{Endpoints: h.registry, Running: h.running})
	healthPath := ""
	if m.network != nil {
		h.gate.pools.dial = m.dial()
		// Without a health path a probe connects over loopback.
		healthPath = "/health"
	}
	h.server = m.startServer(NewServer(h.gate, nil))
	record.CallAddress = h.server.Listener.Addr().String()
	_, err := h.registry.Announce("e", endpoints.Announcement{Service: "orders", Address: h.endpoint.Listener.Addr().String(), HealthPath: healthPath, Slots: 16, TTLMs: 300000})
	if err != nil {
		m.t.Fatal(err)
	}
	m.view.Hosts[id] = record
	m.hosts = append(m.hosts, h)
}

func (m *testMesh) storeSnapshot() {
	m.current.Store(routing.Build(&lists.Version{ID: mesh.VersionID{Sequence: 7}, Config: testConfig()}, m.view))
}

func (m *testMesh) request(method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, m.entryServer.URL+path, body)
	if err != nil {
		m.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testToken)
	return r
}

// reply is the response that the caller gets.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (m *testMesh) do(r *http.Request) reply {
	// DisableKeepAlives keeps the test's own client from sending a request again.
	client := &http.Client{Transport: &http.Transport{DialContext: m.dial(), DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(body), err: err}
}

func (m *testMesh) get(path string) reply { return m.do(m.request(http.MethodGet, path, nil)) }

func (m *testMesh) post(path, body string) reply {
	return m.do(m.request(http.MethodPost, path, strings.NewReader(body)))
}

// outcomeAndReason returns the outcome and reason that the caller was told.
func (r reply) outcomeAndReason() string {
	return strings.TrimSpace(r.header.Get(mesh.HeaderOutcome) + " " + r.header.Get(mesh.HeaderReason))
}

// fakeClaims claims keys in memory.
type fakeClaims struct {
	log     chan string
	claimed map[string]bool
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{log: make(chan string, 64), claimed: map[string]bool{}}
}

func (f *fakeClaims) Claim(_ context.Context, r claims.Request) (Claim, error) {
	if f.claimed[r.Key] {
		return nil, &claims.Rejection{Reason: mesh.ReasonInProgress, Outcome: mesh.OutcomeUnknown}
	}
	f.claimed[r.Key] = true
	f.log <- "claim"
	return &fakeClaim{claims: f, key: r.Key}, nil
}

type fakeClaim struct {
	claims *fakeClaims
	key    string
}

func (c *fakeClaim) Release(context.Context) error {
	delete(c.claims.claimed, c.key)
	c.claims.log <- "release"
	return nil
}

func (c *fakeClaim) Complete(_ context.Context, status int) error {
	c.claims.log <- fmt.Sprintf("complete %d", status)
	return nil
}
