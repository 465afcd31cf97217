package bench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// promise relates an invariant to the experiments that try to violate it.
type promise struct {
	text string
	// attack describes the faults and the load.
	attack string
	// attempts are metrics that count the attempts to violate the promise; their sum
	// must not be zero.
	attempts []metricRef
	// violations are metrics that count violations.
	violations []metricRef
	// checks are checks whose failure is a violation.
	checks []metricRef
}

// metricRef names a metric or a check of an experiment.
type metricRef struct{ experiment, metric string }

var promises = []promise{
	{
		text:       "No proxy goes back to an older version.",
		attack:     "older heads from the store, stale peer, paused watch holder, reordered updates",
		attempts:   []metricRef{{"regress", "snapshots_verified"}},
		violations: []metricRef{{"regress", "versions_regressed"}, {"churn", "versions_regressed"}},
	},
	{
		text:       "No route leads to a resource that the proxy lacks.",
		attack:     "routes and services added and removed under load",
		attempts:   []metricRef{{"resources", "calls"}, {"resources", "snapshots_verified"}},
		violations: []metricRef{{"resources", "calls_to_missing_resources"}, {"resources", "snapshots_broken"}},
	},
	{
		text:       "A bad version is never applied in part.",
		attack:     "invalid versions written to the store without validation",
		attempts:   []metricRef{{"resources", "invalid_versions_written"}},
		violations: []metricRef{{"resources", "invalid_versions_in_force"}, {"regress", "partial_versions"}},
		checks:     []metricRef{{"resources", "invalid_versions_rejected"}},
	},
	{
		text:       "Each caller gets the whole answer to its own request.",
		attack:     "endpoints that truncate or swap responses, hang and crash; cancelled calls",
		attempts:   []metricRef{{"answers", "calls"}},
		violations: []metricRef{{"answers", "wrong_answers"}},
	},
	{
		text:       "A request refused as not run did not run.",
		attack:     "orders under lost store responses, store outages, killed nodes, shedding and crashing endpoints",
		attempts:   []metricRef{{"orders", "requests_not_executed"}},
		violations: []metricRef{{"orders", "not_run_but_ran"}},
	},
	{
		text:     "An order that may not be repeated runs at most once.",
		attack:   "each key sent two to five times to random nodes under the same faults",
		attempts: []metricRef{{"orders", "requests"}},
		checks:   []metricRef{{"orders", "max_runs_per_key"}},
	},
	{
		text:     "A leaving endpoint gets no new work after a few seconds.",
		attack:   "rolling stop of every host under load",
		attempts: []metricRef{{"drain", "lookups_sent"}},
		checks:   []metricRef{{"drain", "new_work_after_s"}},
	},
	{
		text:       "A planned stop cuts no request in flight.",
		attack:     "slow uploads during the rolling stop",
		attempts:   []metricRef{{"drain", "uploads_sent"}},
		violations: []metricRef{{"drain", "cut_in_flight"}},
	},
	{
		text:     "An accepted change is in force everywhere within 8 s and never reverts.",
		attack:   "changes during restarts and host failures",
		attempts: []metricRef{{"churn", "changes"}},
		checks:   []metricRef{{"churn", "converge_max_s"}},
	},
}

// promiseRuns are the experiments of the promises. The durations keep the whole
// run at a few minutes; zero selects the default of the experiment.
var promiseRuns = []struct {
	name     string
	duration time.Duration
}{
	{"regress", 0}, {"resources", 0}, {"answers", 8 * time.Second}, {"orders", 20 * time.Second}, {"drain", 0}, {"churn", 20 * time.Second},
}

type promiseOptions struct {
	Deployment string `long:"deployment" default:"laronda" choice:"laronda" choice:"skovgaard" description:"shape of the mesh"`
	Seed       uint64 `long:"seed" default:"1" description:"seed of the load and the faults"`
}

// run runs the experiments of all promises, prints a table and returns the exit
// status.
func (o promiseOptions) run(ctx context.Context, stdout, stderr io.Writer) int {
	results := map[string]*Result{}
	for _, r := range promiseRuns {
		fmt.Fprintf(stderr, "running %s\n", r.name)
		result, err := Run(ctx, r.name, Params{Deployment: o.Deployment, Seed: o.Seed, Duration: r.duration})
		if err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailed
		}
		results[r.name] = result
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROMISE\tATTACK\tATTEMPTS\tVIOLATIONS\tVERDICT")
	status := ExitPassed
	for _, p := range promises {
		attempts, violations := p.countAttempts(results), p.countViolations(results)
		verdict := "held"
		if violations > 0 || attempts == 0 {
			verdict = "BROKEN"
			status = ExitFailed
		}
		fmt.Fprintf(table, "%s\t%s\t%.0f\t%.0f\t%s\n", p.text, p.attack, attempts, violations, verdict)
	}
	_ = table.Flush()
	return status
}

// countAttempts returns the sum of the attempts.
func (p promise) countAttempts(results map[string]*Result) float64 {
	return lo.SumBy(p.attempts, func(m metricRef) float64 { return results[m.experiment].Metrics[m.metric] })
}

// countViolations counts violations. A metric or check that the experiment did not
// report counts as one, so that a renamed metric does not hide violations.
func (p promise) countViolations(results map[string]*Result) float64 {
	sum := lo.SumBy(p.violations, func(m metricRef) float64 {
		value, found := results[m.experiment].Metrics[m.metric]
		if !found {
			return 1
		}
		return value
	})
	failedChecks := lo.CountBy(p.checks, func(m metricRef) bool {
		check, found := lo.Find(results[m.experiment].Checks, func(c Check) bool { return c.Name == m.metric })
		return !found || !check.Pass
	})
	return sum + float64(failedChecks)
}
