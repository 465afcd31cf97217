package experiments

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/bench"
	"geraniumnotch.example/geraniumnotch/bench/load"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/node"
)

func init() {
	bench.Register(bench.Experiment{
		Name:     "resources",
		Summary:  "routes and services that are added and removed under load, and invalid versions in the store",
		Defaults: bench.Params{Rate: 300, Changes: 20},
		Run:      runResources,
	})
}

const (
	changePause     = 200 * time.Millisecond
	changingPath    = "/changing"
	changingRoute   = "sample/changing"
	changingService = "changing"
)

// runResources adds and removes a route and its service while calls use it, and
// writes versions to the store that the authority would reject.
func runResources(ctx context.Context, p bench.Params, r *bench.Result) error {
	m, err := startMesh(ctx, p, node.Options{}, sameBehavior(emulator.Behavior{}))
	if err != nil {
		return err
	}
	defer m.Close()
	var verified, broken atomic.Int64
	c := caller{client: newClient(), hosts: m.Hosts, method: http.MethodGet, path: changingPath, customer: emulator.CustomerPrimary}
	loadCtx, stopLoad := context.WithCancel(ctx)
	done := make(chan *load.Stats, 1)
	go func() {
		length := time.Duration(p.Changes) * 2 * changePause
		done <- load.Run(loadCtx, p.Seed, load.Window{Length: length}, load.Class{
			Name: "changing", Rate: p.Rate, MaxInFlight: maxInFlight, Send: func(_ context.Context, n int) load.Result {
				verifySnapshot(m.Hosts[n%len(m.Hosts)], &verified, &broken)
				return c.send(ctx, n)
			},
		})["changing"]
	}()
	invalid, err := changeResources(ctx, m, p.Changes)
	stopLoad()
	stats := <-done
	if err != nil {
		return err
	}
	r.Check("calls_to_missing_resources", float64(stats.Count(load.Unknown)+stats.Count(load.Wrong)), bench.Equal, 0)
	r.Check("snapshots_broken", float64(broken.Load()), bench.Equal, 0)
	r.Check("invalid_versions_in_force", float64(invalid.active), bench.Equal, 0)
	r.Set("invalid_versions_written", float64(invalid.written))
	r.Check("invalid_versions_rejected", float64(invalid.rejected), bench.Equal, float64(invalid.written))
	r.Set("snapshots_verified", float64(verified.Load()))
	r.Set("calls", float64(stats.Sent))
	r.Set("calls_ok", float64(stats.Count(load.OK)))
	r.Set("calls_not_executed", float64(stats.Count(load.NotExecuted)))
	return nil
}

// verifySnapshot checks that the routing snapshot of a host contains the services
// of its routes, the plans of its customers and the services of its targets.
func verifySnapshot(h *emulator.Host, verified, broken *atomic.Int64) {
	s := h.Node.Snapshot()
	if s == nil {
		return
	}
	verified.Add(1)
	for _, route := range s.Config.Routes {
		if s.Config.Services[route.Service.Name] != route.Service {
			broken.Add(1)
		}
	}
	for _, customer := range s.Config.Customers {
		if s.Config.Plans[customer.Plan.Name] != customer.Plan {
			broken.Add(1)
		}
	}
	for service := range s.Targets {
		if s.Config.Services[service] == nil {
			broken.Add(1)
		}
	}
}

// invalidVersions counts the invalid versions that were written to the store
// without the authority, those that some node reports as rejected, and the nodes
// on which one was active.
type invalidVersions struct{ written, rejected, active int }

// changeResources makes the changes. Every fourth one is an invalid version,
// written to the store without the authority.
func changeResources(ctx context.Context, m *emulator.Mesh, changes int) (invalidVersions, error) {
	var result invalidVersions
	for i := range changes {
		if err := bench.Sleep(ctx, changePause); err != nil {
			return result, err
		}
		if i%4 == 3 {
			id, err := writeInvalidVersion(ctx, m)
			if err != nil {
				return result, err
			}
			result.written++
			if err := bench.Sleep(ctx, changePause); err != nil {
				return result, err
			}
			result.active += countActive(m, id)
			if isRejected(m, id) {
				result.rejected++
			}
			continue
		}
		if _, err := m.ApplyLists(ctx, withChangingRoute(m.Config.Lists, m.Config.Deployment, i%3)); err != nil {
			return result, err
		}
	}
	return result, nil
}

// withChangingRoute returns the lists with a route to an existing service
// (variant 0), with a route to a new service that no endpoint offers (1), or
// unchanged (2).
func withChangingRoute(base lists.Lists, d emulator.Deployment, variant int) lists.Lists {
	next := make(lists.Lists, len(base)+2)
	for k, f := range base {
		next[k] = f
	}
	service := string(d.LookupService())
	switch variant {
	case 1:
		service = changingService
		next[lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindService, Name: changingService}] = lists.Fields{"other-share": "0.1", "long-share": "0.5", "max-queue": "10"}
	case 2:
		return next
	}
	next[lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindRoute, Name: changingRoute}] = lists.Fields{
		"service": service, "path-prefix": changingPath, "rank": "standard", "deadline": "2s",
		"repeatable": "true", "keyed": "false", "long": "false",
	}
	return next
}

// writeInvalidVersion writes a version to the store whose lists name a missing
// plan, as a faulty program with access to the store could.
func writeInvalidVersion(ctx context.Context, m *emulator.Mesh) (mesh.VersionID, error) {
	head, revision, err := m.Authority.Head(ctx)
	if err != nil {
		return mesh.VersionID{}, err
	}
	bad := withChangingRoute(m.Config.Lists, m.Config.Deployment, 2)
	bad[lists.EntryKey{List: lists.ListPlans, Kind: lists.KindCustomer, Name: "orphan"}] = lists.Fields{"plan": "missing", "token-sha256": fmt.Sprintf("%064x", revision)}
	body, err := lists.Encode(bad)
	if err != nil {
		return mesh.VersionID{}, errors.Wrap(err, "encode invalid lists")
	}
	id := mesh.VersionID{Sequence: head.Version.Sequence + 1, Digest: mesh.DigestOf(body)}
	if err := writeKey(ctx, m.Store, fmt.Sprintf("version/%s/0", id.Digest), body, 0); err != nil {
		return id, err
	}
	next := head
	next.Version, next.Bytes, next.Chunks = id, len(body), 1
	next.Change = mesh.ChangeID(fmt.Sprintf("invalid-%d", id.Sequence))
	next.Recent = append(append([]authority.RecentChange{}, head.Recent...), authority.RecentChange{Change: next.Change, Version: id, Chunks: 1})
	encoded, err := cbor.Marshal(next)
	if err != nil {
		return id, errors.Wrap(err, "encode head")
	}
	return id, writeKey(ctx, m.Store, "head", encoded, revision)
}

func writeKey(ctx context.Context, store kvstore.Store, key string, value []byte, expected kvstore.Revision) error {
	_, err := store.CompareAndSwap(ctx, key, value, expected)
	return errors.Wrapf(err, "write %s", key)
}

func countActive(m *emulator.Mesh, id mesh.VersionID) int {
	n := 0
	for _, h := range m.Hosts {
		if h.Node.Snapshot().Version == id {
			n++
		}
	}
	return n
}

func isRejected(m *emulator.Mesh, id mesh.VersionID) bool {
	return lo.SomeBy(m.Hosts, func(h *emulator.Host) bool {
		_, found := h.Node.Control().Status().Rejected[id.Sequence]
		return found
	})
}
