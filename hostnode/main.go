package hostnode

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/asynclog"
)

// Exit statuses of the program.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are wrong.
	ExitUsage = 2
)

const (
	// gcPercent lets the heap grow by half between collections, because memory costs
	// the operators more than processor time.
	gcPercent = 50
	// memoryLimitFraction is the fraction of the configured memory that is set as the
	// memory limit of the Go runtime, near which the garbage collector works harder.
	// The rest is for buffers of the kernel.
	memoryLimitFraction = 0.6
)

type options struct {
	Check    bool   `long:"check" description:"check the settings file and exit"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
	Args     struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file in INI"`
	} `positional-args:"yes" required:"yes"`
}

// Main runs the program and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("geraniumnotch-host", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	path := o.Args.Settings
	if o.Check {
		s, err := LoadSettings(path)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return ExitUsage
		}
		fmt.Fprintf(stdout, "%s: valid settings of host %s in failure domain %s\n", path, s.Host, s.FailureDomain)
		return ExitOK
	}
	return run(path, o.LogLevel, stdout, stderr)
}

func run(path, level string, stdout, stderr io.Writer) int {
	// Signals are handled before anything else, because a reload signal without a
	// handler ends the process.
	stop, reload := notifySignals()
	lines := asynclog.New(stdout)
	defer lines.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "geraniumnotch-host", Level: hclog.LevelFromString(level), JSONFormat: true, Output: lines,
	})
	n, err := New(path, logger, lines.Dropped)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(n.settings.Load().MemoryMB<<20)))
	if err := n.Start(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	awaitStop(stop, reload, n.Reload)
	n.Stop()
	return ExitOK
}

// notifySignals returns the channels of stop and reload signals. They are separate,
// because a signal that finds its channel full is dropped.
func notifySignals() (stop, reload chan os.Signal) {
	stop, reload = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	return stop, reload
}

// awaitStop reloads the settings on each reload signal until a stop signal arrives.
func awaitStop(stop, reload <-chan os.Signal, onReload func()) {
	for {
		select {
		case <-stop:
			return
		case <-reload:
			onReload()
		}
	}
}
