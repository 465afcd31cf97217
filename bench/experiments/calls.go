package experiments

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
	"geraniumnotch.example/geraniumnotch/retry"
	"geraniumnotch.example/geraniumnotch/selection"
)

// baselineOptions returns the node options of the baseline: first-in-first-out
// gates, round-robin selection, retries without a budget, no admission levels.
func baselineOptions() node.Options {
	return node.Options{
		Selection: selection.PolicyRoundRobin, Gate: gate.PolicyFIFO, Retry: retry.PolicyPlain, DisableLevels: true,
	}
}

// optionsWithout returns the node options with one mechanism switched off. An
// unknown or empty name switches nothing off.
func optionsWithout(mechanism string) node.Options {
	var o node.Options
	switch mechanism {
	case "levels":
		o.DisableLevels = true
	case "ranked-gate":
		o.Gate = gate.PolicyFIFO
	case "selection":
		o.Selection = selection.PolicyRoundRobin
	case "retry-budget":
		o.Retry = retry.PolicyPlain
	}
	return o
}

// maxInFlight bounds the calls in flight of a class of load.
const maxInFlight = 20000

// newClient returns an HTTP client for callers. It reuses connections, because
// the callers of the deployments do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// caller sends calls of one kind to the entry addresses of hosts in round-robin
// order.
type caller struct {
	client   *http.Client
	hosts    []*emulator.Host
	method   string
	path     string
	customer mesh.CustomerID
}

// send makes one call and checks that the response is complete and belongs to it.
func (c caller) send(ctx context.Context, n int) load.Result {
	host := c.hosts[n%len(c.hosts)]
	r, err := host.NewRequest(ctx, c.method, c.path, c.customer)
	if err != nil {
		return load.Unknown
	}
	echo := strconv.Itoa(n) + c.path
	r.Header.Set(emulator.HeaderEcho, echo)
	return c.exchange(r, echo)
}

func (c caller) exchange(r *http.Request, echo string) load.Result {
	resp, err := c.client.Do(r)
	if err != nil {
		return load.Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return load.ClassifyFailure(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return load.Unknown
	}
	var decoded emulator.ResponseBody
	if json.Unmarshal(body, &decoded) != nil || decoded.Echo != echo {
		return load.Wrong
	}
	return load.OK
}

// hostsOf returns the hosts whose endpoint offers the service or, when offers is
// false, those whose endpoint does not.
func hostsOf(m *emulator.Mesh, service mesh.ServiceName, offers bool) []*emulator.Host {
	return lo.Filter(m.Hosts, func(h *emulator.Host, _ int) bool { return (h.Service == service) == offers })
}

// capacity returns the calls per second that the endpoints of a service can
// execute.
func capacity(m *emulator.Mesh, service mesh.ServiceName, serviceTime time.Duration) float64 {
	slots := len(hostsOf(m, service, true)) * m.Config.Deployment.SlotsOf(service)
	return float64(slots) / serviceTime.Seconds()
}

// behaviorFunc returns the behavior of the endpoints of a service.
type behaviorFunc = func(mesh.ServiceName) emulator.Behavior

// sameBehavior gives every endpoint the same behavior.
func sameBehavior(b emulator.Behavior) behaviorFunc {
	return func(mesh.ServiceName) emulator.Behavior { return b }
}

// startMesh starts a mesh of the parameters' deployment. Executions are counted,
// but not recorded one by one.
func startMesh(ctx context.Context, p bench.Params, o node.Options, behavior behaviorFunc) (*emulator.Mesh, error) {
	return startMeshWithRecord(ctx, p, o, behavior, emulator.NewRecord(true))
}

// startMeshWithRecord starts a mesh of the parameters' deployment whose
// executions go into record.
func startMeshWithRecord(ctx context.Context, p bench.Params, o node.Options, behavior behaviorFunc, record *emulator.Record) (*emulator.Mesh, error) {
	d, err := emulator.NamedDeployment(p.Deployment)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	return emulator.StartMesh(ctx, emulator.MeshConfig{
		Deployment: d, Nodes: p.Nodes, Domains: p.Domains, Options: o, Behavior: behavior, Seed: p.Seed, Record: record,
	})
}

// goodputPerSecond returns the calls per second that succeeded during the
// measured time d.
func goodputPerSecond(s *load.Stats, d time.Duration) float64 {
	return float64(s.OKInWindow()) / d.Seconds()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ratio returns numerator/denominator, or zero when the denominator is zero.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
