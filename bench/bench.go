// Package bench is the load and experiment tool. It has a registry of named
// experiments, the format of their results and the checks against stated bounds.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/registry"
)

// Params are the parameters of a run. An experiment ignores the parameters that
// it does not use.
type Params struct {
	// Deployment is the shape of the mesh: laronda or skovgaard.
	Deployment string
	Nodes      int
	Domains    int
	Changes    int
	// Rate is the load in calls per second; zero selects the load of the
	// experiment.
	Rate     float64
	Duration time.Duration
	// Baseline names the variant without the mechanisms under test that is measured
	// in the same run; empty means none.
	Baseline string
	// DisabledMechanism names a mechanism that is switched off for the run; empty
	// means none.
	DisabledMechanism string
	Seed              uint64
	// Progress receives lines that describe the progress of the run. It may be nil.
	Progress io.Writer
}

// Logf writes a line of progress.
func (p Params) Logf(format string, args ...any) {
	if p.Progress != nil {
		fmt.Fprintf(p.Progress, format+"\n", args...)
	}
}

// Relation is the required relation between a value and its bound.
type Relation string

// The relations.
const (
	AtMost  Relation = "<="
	AtLeast Relation = ">="
	Equal   Relation = "=="
)

// Check is the comparison of a metric with a bound from the stated target.
type Check struct {
	Name     string   `json:"name"`
	Relation Relation `json:"relation"`
	Bound    float64  `json:"bound"`
	Value    float64  `json:"value"`
	Pass     bool     `json:"pass"`
}

// Result holds the metrics, checks and notes of a run.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Metrics    map[string]float64 `json:"metrics"`
	Checks     []Check            `json:"checks"`
	Notes      []string           `json:"notes,omitempty"`
}

// Set records a metric. NaN and infinite values are recorded as -1, because JSON
// cannot represent them.
func (r *Result) Set(name string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		value = -1
	}
	r.Metrics[name] = value
}

// Check records a metric and compares it with a bound. NaN fails every check.
func (r *Result) Check(name string, value float64, relation Relation, bound float64) {
	r.Set(name, value)
	pass := false
	switch relation {
	case AtMost:
		pass = value <= bound
	case AtLeast:
		pass = value >= bound
	case Equal:
		pass = value == bound
	}
	r.Checks = append(r.Checks, Check{Name: name, Relation: relation, Bound: bound, Value: r.Metrics[name], Pass: pass})
}

// Note adds a remark about the conditions of the run.
func (r *Result) Note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// Passed reports whether there are checks and all of them passed.
func (r *Result) Passed() bool {
	return len(r.Checks) > 0 && lo.EveryBy(r.Checks, func(c Check) bool { return c.Pass })
}

// WriteJSON writes the result as one JSON object.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result as human-readable text.
func (r *Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "experiment %s, seed %d\n", r.Experiment, r.Seed)
	names := lo.Keys(r.Metrics)
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "  %-38s %12.4f\n", name, r.Metrics[name])
	}
	for _, c := range r.Checks {
		verdict := "pass"
		if !c.Pass {
			verdict = "FAIL"
		}
		fmt.Fprintf(w, "  %s  %s = %.4f, wanted %s %g\n", verdict, c.Name, c.Value, c.Relation, c.Bound)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "  note: %s\n", note)
	}
}

// Experiment is a named experiment.
type Experiment struct {
	Name    string
	Summary string
	// Defaults replaces parameters that are zero.
	Defaults Params
	Run      func(ctx context.Context, p Params, r *Result) error
}

// ErrUnknownExperiment is returned for a name that is not registered.
var ErrUnknownExperiment = errors.New("bench: unknown experiment")

var experiments = registry.New[string, Experiment]("experiment")

// Register adds an experiment. It panics when the name is already registered.
func Register(e Experiment) { experiments.Add(e.Name, e) }

// Experiments returns the registered experiments in the order of their names.
func Experiments() []Experiment { return experiments.All() }

// Run runs the named experiment. It returns ErrUnknownExperiment for a name that
// is not registered.
func Run(ctx context.Context, name string, p Params) (*Result, error) {
	e, found := experiments.Get(name)
	if !found {
		return nil, errors.Wrapf(ErrUnknownExperiment, "%q", name)
	}
	p = withDefaults(p, e.Defaults)
	r := &Result{Experiment: name, Seed: p.Seed, Metrics: map[string]float64{}, Checks: []Check{}}
	if err := e.Run(ctx, p, r); err != nil {
		return nil, errors.Wrapf(err, "bench: experiment %s", name)
	}
	return r, nil
}

func withDefaults(p, d Params) Params {
	p.Deployment = lo.CoalesceOrEmpty(p.Deployment, d.Deployment, "laronda")
	p.Nodes = lo.CoalesceOrEmpty(p.Nodes, d.Nodes, 11)
	p.Domains = lo.CoalesceOrEmpty(p.Domains, d.Domains, 3)
	p.Changes = lo.CoalesceOrEmpty(p.Changes, d.Changes, 20)
	p.Rate = lo.CoalesceOrEmpty(p.Rate, d.Rate)
	p.Duration = lo.CoalesceOrEmpty(p.Duration, d.Duration, 10*time.Second)
	p.Seed = lo.CoalesceOrEmpty(p.Seed, d.Seed, 1)
	return p
}
