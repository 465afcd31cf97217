package hostnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/platform"
)

const (
	// checkTimeout limits the check of an endpoint. Endpoints announce themselves about
	// every 1.5 s, and each announcement starts a check.
	checkTimeout = 1400 * time.Millisecond
	// checkInterval is the pause between the requests of a check, and planPollInterval
	// the one between looks for the first plan, which names the path of the request.
	checkInterval    = 100 * time.Millisecond
	planPollInterval = 20 * time.Millisecond
	// checking is the result of an announcement that starts a check of the endpoint.
	checking localendpoint.AnnounceResult = "checking"
)

var (
	errNoPlan    = errors.New("hostnode: no route plan yet")
	errNoService = errors.New("hostnode: the plan does not have the endpoint's service")
)

// announce applies an announcement. An endpoint that may have drained before this
// process started is registered once it has stated that it accepts calls.
func (n *Node) announce(a localendpoint.Announcement) localendpoint.AnnounceResult {
	if !n.registration.NeedsCheck(a) {
		return n.registration.Announce(a)
	}
	if n.checkRuns.CompareAndSwap(false, true) {
		go func() {
			defer n.checkRuns.Store(false)
			n.checkAndRegister(a)
		}()
	}
	return checking
}

func (n *Node) checkAndRegister(a localendpoint.Announcement) {
	ctx, cancel := context.WithTimeout(n.running, checkTimeout)
	defer cancel()
	for {
		err := n.checkEndpoint(ctx, a)
		if err == nil {
			result := n.registration.Announce(a)
			eventAnnouncement.Log(n.logger, "endpoint", a.ID, "service", a.Service, "verdict", result, "started_at_ms", a.StartedAtMs, "sequence", a.Sequence, "slots", a.Slots, "leaving", a.Draining)
			return
		}
		pause := checkInterval
		if errors.Is(err, errNoPlan) {
			pause = planPollInterval
		}
		if errors.Is(err, platform.ErrNotServing) || !sleep(ctx, pause) {
			eventEndpointUnchecked.Log(n.logger, "endpoint", a.ID, "error", err)
			return
		}
	}
}

func (n *Node) checkEndpoint(ctx context.Context, a localendpoint.Announcement) error {
	plan := n.plan.Load()
	if plan == nil {
		return errNoPlan
	}
	service := plan.Service(a.Service)
	if service == nil {
		return errNoService
	}
	if service.HealthPath == "" {
		return nil
	}
	return platform.CheckHealth(ctx, n.dial, a.Address, service.HealthPath, a.ID)
}
