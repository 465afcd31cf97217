package devmesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
)

// activationLimit is the time within which an accepted change must be active on every
// node. Each step of the demonstration may take twice as long.
const activationLimit = 8 * time.Second

// demo is a demonstration on one deployment.
type demo struct {
	out        io.Writer
	mesh       *emulator.Mesh
	deployment string
	token      string
	startedAt  time.Time
}

func (c *command) runDemo(deployment string) error {
	startedAt := time.Now()
	m, err := c.startMesh(deployment)
	if err != nil {
		return err
	}
	defer m.Close()
	d := &demo{out: c.app.Stdout, mesh: m, deployment: deployment, token: exampleTokens[deployment], startedAt: startedAt}
	fmt.Fprintf(d.out, "\n%s: %d nodes in %d failure domains\n", deployment, len(m.Hosts), len(m.Config.Deployment.Domains))
	d.report("every node has the lists in force and sees every endpoint")
	for _, step := range []func(context.Context) error{d.explainCall, d.addRoute, d.sendDuplicateOrder, d.loseStoreAndHost} {
		ctx, cancel := context.WithTimeout(c.app.Context, 2*activationLimit)
		err := step(ctx)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) report(format string, args ...any) {
	fmt.Fprintf(d.out, "%8.3f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

type response struct {
	status  int
	outcome string
	call    string
	latency time.Duration
}

// call sends a request through the node of a host and returns an error unless the
// response has the wanted status.
func (d *demo) call(ctx context.Context, h *emulator.Host, method, path string, header http.Header, want int) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.Settings.Listen.Entry+path, nil)
	if err != nil {
		return response{}, errors.Wrap(err, "build request")
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+d.token)
	start := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, errors.Wrapf(err, "read the response of %s %s", method, path)
	}
	result := response{status: resp.StatusCode, outcome: resp.Header.Get(mesh.HeaderOutcome), call: resp.Header.Get(mesh.HeaderCall), latency: time.Since(start)}
	if result.status != want {
		return result, errors.Newf("%s %s: status %d, want %d: %.200s", method, path, result.status, want, body)
	}
	d.report("%s %s through %s: status %d, %s, in %.1f ms", method, path, h.ID, result.status, result.outcome, float64(result.latency.Microseconds())/1000)
	return result, nil
}

// explainCall makes a call and prints the node's explanation of its routing decisions.
func (d *demo) explainCall(ctx context.Context) error {
	h := d.mesh.Hosts[len(d.mesh.Hosts)-1]
	result, err := d.call(ctx, h, http.MethodGet, lookupPaths[d.deployment]+"/1", nil, http.StatusOK)
	if err != nil {
		return err
	}
	client, err := operator.NewClient(h.Settings.Listen.Operator)
	if err != nil {
		return err
	}
	explanation, err := client.Explain(ctx, mesh.CallID(result.call))
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	for _, step := range explanation.Steps {
		fmt.Fprintf(d.out, "            explain: %s: %s (%s)\n", step.Component, step.Decision, step.Detail)
	}
	return nil
}

// addRoute adds a route through the operator API of one node, waits until it is
// active on all nodes, and calls it through three of them.
func (d *demo) addRoute(ctx context.Context) error {
	const path = "/new-service"
	first := d.mesh.Hosts[0]
	if _, err := d.call(ctx, first, http.MethodGet, path, nil, http.StatusNotFound); err != nil {
		return err
	}
	client, err := operator.NewClient(first.Settings.Listen.Operator)
	if err != nil {
		return err
	}
	start := time.Now()
	accepted, err := client.Propose(ctx, operator.ChangeRequest{
		ChangeID: mesh.ChangeID(uuid.NewString()), Author: "demo", Comment: "add a route", Edits: []lists.Edit{d.routeEdit(path)},
	})
	if err != nil {
		return errors.Wrap(err, "propose the edit")
	}
	d.report("edit accepted as version %d after %.1f ms", accepted.Version.Sequence, time.Since(start).Seconds()*1000)
	err = d.mesh.WaitUntil(ctx, "the edit is not active on every node", func() bool {
		return lo.EveryBy(d.mesh.RunningHosts(), func(h *emulator.Host) bool {
			return h.Node.Snapshot().Version.Sequence >= accepted.Version.Sequence
		})
	})
	if err != nil {
		return err
	}
	if activationTime := time.Since(start); activationTime > activationLimit {
		return errors.Newf("the edit was active on every node after %s, want at most %s", activationTime, activationLimit)
	}
	d.report("in force on all %d nodes after %.1f ms", len(d.mesh.Hosts), time.Since(start).Seconds()*1000)
	for _, h := range []*emulator.Host{first, d.mesh.Hosts[1], d.mesh.Hosts[2]} {
		if _, err := d.call(ctx, h, http.MethodGet, path, nil, http.StatusOK); err != nil {
			return err
		}
	}
	return d.awaitSummaries(ctx, client, accepted.Version.Sequence)
}

func (d *demo) routeEdit(path string) lists.Edit {
	plan := "driver"
	if d.deployment == "skovgaard" {
		plan = "maker"
	}
	return lists.Edit{
		Key: lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindRoute, Name: plan + "/new-service"},
		After: lists.Fields{
			"service": string(d.mesh.Config.Deployment.LookupService()), "path-prefix": path,
			"rank": "standard", "deadline": "2s", "repeatable": "true",
		},
	}
}

// awaitSummaries waits until the convergence summaries of all failure domains show
// the version on all hosts, and prints them.
func (d *demo) awaitSummaries(ctx context.Context, client *operator.Client, sequence mesh.Sequence) error {
	var status operator.Status
	err := d.mesh.WaitUntil(ctx, "the convergence summaries are not complete", func() bool {
		var err error
		status, err = client.Status(ctx)
		complete := lo.CountBy(status.Domains, func(s authority.Summary) bool {
			return s.Sequence >= sequence && s.Hosts > 0 && s.AtSequence == s.Hosts
		})
		return err == nil && complete == len(d.mesh.Config.Deployment.Domains)
	})
	if err != nil {
		return err
	}
	for _, s := range status.Domains {
		d.report("status: failure domain %s: %d of %d hosts at version %d", s.Domain, s.AtSequence, s.Hosts, s.Sequence)
	}
	return nil
}

// sendDuplicateOrder sends the same order twice, through nodes of different failure
// domains, and checks that it was executed once.
func (d *demo) sendDuplicateOrder(ctx context.Context) error {
	header := http.Header{}
	header.Set(mesh.HeaderIdempotencyKey, uuid.NewString())
	header.Set(mesh.HeaderIssuedAt, strconv.FormatInt(time.Now().Unix(), 10))
	if _, err := d.call(ctx, d.mesh.Hosts[0], http.MethodPost, "/orders", header, http.StatusOK); err != nil {
		return err
	}
	if _, err := d.call(ctx, d.mesh.Hosts[1], http.MethodPost, "/orders", header, http.StatusConflict); err != nil {
		return err
	}
	for key, executions := range d.mesh.Config.Record.ByKey() {
		if strings.HasSuffix(key, header.Get(mesh.HeaderIdempotencyKey)) {
			if executions != 1 {
				return errors.Newf("the order was executed %d times, want once", executions)
			}
			d.report("the endpoints recorded one execution of the order")
			return nil
		}
	}
	return errors.New("the endpoints recorded no execution of the order")
}

// loseStoreAndHost makes the platform's service unavailable, kills a host and
// replaces it, and checks that calls are still answered.
func (d *demo) loseStoreAndHost(ctx context.Context) error {
	d.mesh.SetStoreUnavailable(true)
	killed := d.mesh.Hosts[0]
	d.mesh.KillHost(killed)
	d.report("the platform's service is unavailable and host %s is killed", killed.ID)
	if _, err := d.call(ctx, d.mesh.Hosts[1], http.MethodGet, lookupPaths[d.deployment]+"/2", nil, http.StatusOK); err != nil {
		return err
	}
	if err := d.mesh.StartHost(ctx, killed); err != nil {
		return errors.Wrap(err, "replace the host")
	}
	err := d.mesh.WaitUntil(ctx, "the replaced host has no version", func() bool { return killed.Node.Snapshot() != nil })
	if err != nil {
		return err
	}
	d.report("the replaced host has version %d from its peers", killed.Node.Snapshot().Version.Sequence)
	_, err = d.call(ctx, killed, http.MethodGet, lookupPaths[d.deployment]+"/3", nil, http.StatusOK)
	return err
}
