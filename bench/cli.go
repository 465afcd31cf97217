package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit statuses of the tool.
const (
	ExitPassed = 0
	ExitFailed = 1
	ExitUsage  = 2
)

type runOptions struct {
	Deployment string        `long:"deployment" choice:"laronda" choice:"skovgaard" description:"shape of the mesh"`
	Nodes      int           `long:"nodes" description:"number of nodes"`
	Domains    int           `long:"domains" description:"number of failure domains"`
	Changes    int           `long:"changes" description:"number of changes of the lists"`
	Rate       float64       `long:"rate" description:"calls per second"`
	Duration   time.Duration `long:"duration" description:"length of the load"`
	Baseline   string        `long:"baseline" optional:"yes" optional-value:"plain" description:"measure the plain variant in the same run"`
	Without    string        `long:"without" description:"switch one mechanism off"`
	Seed       uint64        `long:"seed" description:"seed of the load"`
	JSON       string        `long:"json" description:"write the result as JSON to this file, - for standard output"`
	Args       struct {
		Name string `positional-arg-name:"experiment" required:"yes"`
	} `positional-args:"yes"`
}

// Main runs the tool with the command-line arguments and returns its exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var (
		runOpts      runOptions
		standinOpts  standinOptions
		endpointOpts endpointOptions
		promiseOpts  promiseOptions
	)
	parser := flags.NewNamedParser("geraniumnotch-bench", flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range []struct {
		name, short string
		options     any
	}{
		{"run", "run an experiment on loopback", &runOpts},
		{"list", "list the experiments", &struct{}{}},
		{"promises", "test every promise with fault injection on a running mesh and print a table", &promiseOpts},
		{"standin", "serve a stand-in of the platform's key-value store", &standinOpts},
		{"endpoint", "run a sample endpoint", &endpointOpts},
	} {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.options); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitUsage
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch parser.Active.Name {
	case "standin":
		return exitStatus(standinOpts.run(ctx, stdout), stderr)
	case "endpoint":
		return exitStatus(endpointOpts.run(ctx, stdout), stderr)
	case "promises":
		return promiseOpts.run(ctx, stdout, stderr)
	case "list":
		for _, e := range Experiments() {
			fmt.Fprintf(stdout, "%-14s %s\n", e.Name, e.Summary)
		}
		return ExitPassed
	}
	return runExperiment(ctx, runOpts, stdout, stderr)
}

// exitStatus returns the exit status for err, and prints err when it is not nil.
func exitStatus(err error, stderr io.Writer) int {
	if err == nil {
		return ExitPassed
	}
	fmt.Fprintln(stderr, err)
	return ExitFailed
}

func runExperiment(ctx context.Context, o runOptions, stdout, stderr io.Writer) int {
	result, err := Run(ctx, o.Args.Name, Params{
		Deployment: o.Deployment, Nodes: o.Nodes, Domains: o.Domains, Changes: o.Changes, Rate: o.Rate,
		Duration: o.Duration, Baseline: o.Baseline, DisabledMechanism: o.Without, Seed: o.Seed, Progress: stderr,
	})
	if err != nil {
		fmt.Fprintln(stderr, err)
		if errors.Is(err, ErrUnknownExperiment) {
			return ExitUsage
		}
		return ExitFailed
	}
	if err := writeResult(result, o.JSON, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if !result.Passed() {
		return ExitFailed
	}
	return ExitPassed
}

// writeResult writes the result as text when path is empty, as JSON to stdout when
// it is "-", and as JSON to the file otherwise.
func writeResult(result *Result, path string, stdout io.Writer) error {
	switch path {
	case "":
		result.WriteText(stdout)
		return nil
	case "-":
		return result.WriteJSON(stdout)
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "bench: create result file")
	}
	return errors.CombineErrors(result.WriteJSON(file), file.Close())
}
