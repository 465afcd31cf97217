// Package daemon implements the node program: command line, settings, logger,
// signals and the life cycle of the node.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/node"
	"geraniumnotch.example/geraniumnotch/settings"
)

// Exit statuses of the program.
const (
	ExitOK = 0
	// ExitFailed means that the node could not start or was stopped before all
	// calls in flight had ended.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
)

type options struct {
	Check string `long:"check" value-name:"FILE" description:"check a settings file and exit"`
	Args  struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file"`
	} `positional-args:"yes"`
}

// Main runs the program and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("geraniumnotchd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	path := o.Args.Settings
	if o.Check != "" {
		path = o.Check
	}
	if path == "" {
		fmt.Fprintln(stderr, "geraniumnotchd: a settings file is required; see --help")
		return ExitUsage
	}
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if o.Check != "" {
		fmt.Fprintf(stdout, "%s: valid settings of host %s in failure domain %s\n", path, s.Node.Host, s.Node.FailureDomain)
		return ExitOK
	}
	return run(s, stderr)
}

func run(s *settings.Settings, stderr io.Writer) int {
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "geraniumnotchd", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON, Output: stderr,
	})
	node.TuneRuntime()
	n, err := node.New(s, node.Options{Logger: logger})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	if err := n.Start(context.Background()); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	select {
	case <-signals:
	case <-n.StopRequested():
	}
	if err := stop(n, signals); err != nil {
		return ExitFailed
	}
	return ExitOK
}

// stop shuts the node down gracefully. A second signal ends the wait for calls in
// flight.
func stop(n *node.Node, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return errors.Wrap(n.Stop(ctx), "daemon: stop the node")
}
