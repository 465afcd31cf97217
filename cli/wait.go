package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
)

// pollInterval is the pause between two reads of the summaries. One read costs
// the store 10 calls with 8 failure domains.
const pollInterval = 500 * time.Millisecond

// waitOptions are the options for waiting until every host runs a version.
type waitOptions struct {
	Wait    bool          `long:"wait" description:"Wait until every host runs the version"`
	Timeout time.Duration `long:"timeout" default:"30s" value-name:"DURATION" description:"Longest wait"`
}

// convergenceWaiter polls the summaries until every host of every failure domain
// runs a version.
type convergenceWaiter struct {
	status   func(ctx context.Context) (operator.Status, error)
	target   mesh.Sequence
	out      io.Writer
	terminal bool
	// lastLines holds the last printed line per failure domain; the empty name
	// stands for errors of the status request.
	lastLines map[mesh.FailureDomain]string
}

// waitForConvergence waits until every host runs target. Progress goes to stdout,
// or to stderr when stdout carries JSON.
func (a *App) waitForConvergence(client *operator.Client, target mesh.Sequence, options waitOptions) error {
	out := lo.Ternary(a.Global.JSON, a.Stderr, a.Stdout)
	w := &convergenceWaiter{status: client.Status, target: target, out: out, terminal: isTerminal(out)}
	ctx, cancel := context.WithTimeout(a.Context, options.Timeout)
	defer cancel()
	return w.run(ctx)
}

func (w *convergenceWaiter) run(ctx context.Context) error {
	w.lastLines = map[mesh.FailureDomain]string{}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if w.poll(ctx) {
			w.endLine()
			return nil
		}
		select {
		case <-ctx.Done():
			w.endLine()
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return errTimeout
			}
			return errors.Wrap(ctx.Err(), "interrupted while waiting; the change is accepted")
		case <-ticker.C:
		}
	}
}

// poll prints what has changed and reports whether all failure domains are
// complete.
func (w *convergenceWaiter) poll(ctx context.Context) bool {
	status, err := w.status(ctx)
	if err == nil && status.StoreError != "" {
		err = errors.Newf("the node cannot read the store: %s", status.StoreError)
	}
	if err != nil {
		if ctx.Err() == nil {
			w.show("", fmt.Sprintf("no convergence figures: %v", err))
		}
		return false
	}
	delete(w.lastLines, "")
	summaries := lo.KeyBy(status.Domains, func(s authority.Summary) mesh.FailureDomain { return s.Domain })
	domains := lo.Uniq(append(status.Node.Domains, lo.Map(status.Domains, func(s authority.Summary, _ int) mesh.FailureDomain {
		return s.Domain
	})...))
	complete := 0
	for _, domain := range domains {
		summary, known := summaries[domain]
		done := known && isComplete(summary, w.target)
		complete += lo.Ternary(done, 1, 0)
		if !w.terminal {
			w.show(domain, describeDomain(domain, summary, known, w.target, done))
		}
	}
	if w.terminal {
		fmt.Fprintf(w.out, "\r\x1b[Kversion %d: %d of %d failure domains complete", w.target, complete, len(domains))
	}
	return complete > 0 && complete == len(domains)
}

// show prints a line if it differs from the last one of the failure domain.
func (w *convergenceWaiter) show(domain mesh.FailureDomain, line string) {
	if w.lastLines[domain] != line {
		w.lastLines[domain] = line
		fmt.Fprintln(w.out, line)
	}
}

// endLine ends the progress line that poll rewrites on a terminal.
func (w *convergenceWaiter) endLine() {
	if w.terminal {
		fmt.Fprintln(w.out)
	}
}

// isComplete reports whether every host of the domain runs target or a later
// version.
func isComplete(s authority.Summary, target mesh.Sequence) bool {
	if s.Sequence < target || s.Hosts == 0 {
		return false
	}
	// While a later version spreads, hosts that lag behind it may run target.
	recent := lo.CountBy(s.Lagging, func(h authority.LaggingHost) bool { return h.Sequence >= target })
	return s.AtSequence+recent >= s.Hosts
}

func describeDomain(domain mesh.FailureDomain, s authority.Summary, known bool, target mesh.Sequence, done bool) string {
	switch {
	case !known:
		return fmt.Sprintf("%s: no figures yet", domain)
	case done:
		return fmt.Sprintf("%s: complete, %d hosts run version %d or later", domain, s.Hosts, target)
	case s.Sequence < target:
		return fmt.Sprintf("%s: %d hosts, highest version %d", domain, s.Hosts, s.Sequence)
	}
	return fmt.Sprintf("%s: %d of %d hosts run version %d%s", domain, s.AtSequence, s.Hosts, s.Sequence, describeLagging(s.Lagging))
}

func describeLagging(lagging []authority.LaggingHost) string {
	if len(lagging) == 0 {
		return ""
	}
	return ", lagging: " + strings.Join(lo.Map(lagging, func(h authority.LaggingHost, _ int) string {
		return fmt.Sprintf("%s (%d)", h.Host, h.Sequence)
	}), ", ")
}
