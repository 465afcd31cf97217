// Package cli is the operators' command line. Commands register themselves in
// init; Run selects one and turns its error into an exit status. All but
// validate --offline talk to the operator address of one node.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/operator"
	"geraniumnotch.example/geraniumnotch/registry"
)

// App holds the context, the output streams and the global options of a command.
type App struct {
	// Context ends when the user interrupts the program.
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	Global  Global
}

// Global holds the options of all commands.
type Global struct {
	Address string `long:"address" env:"GERANIUMNOTCH_ADDRESS" default:"127.0.0.1:7070" value-name:"IP:PORT" description:"Operator address of a node"`
	JSON    bool   `long:"json" description:"Print the result as JSON"`
}

// Command describes a command. New returns a pointer to a struct with the
// command's options; its Execute runs the command.
type Command struct {
	Name  string
	Short string
	Long  string
	New   func(app *App) flags.Commander
}

var commands = registry.New[string, Command]("command")

// Register adds a command. It panics when the name is taken.
func Register(c Command) { commands.Add(c.Name, c) }

// Run parses the arguments, runs the command and returns the exit status. It
// reports errors on stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := &App{Context: ctx, Stdout: stdout, Stderr: stderr}
	parser := flags.NewNamedParser("geraniumnotch", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitStatusHelp
	if _, err := parser.AddGroup("Global options", "", &app.Global); err != nil {
		return app.report(err)
	}
	for _, c := range commands.All() {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.New(app)); err != nil {
			return app.report(err)
		}
	}
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)
	return app.report(err)
}

// execute runs a command. Arguments that remain after parsing are an error, because
// a file name given without its option would be ignored otherwise.
func execute(command flags.Commander, rest []string) error {
	if len(rest) > 0 {
		return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q; see --help", rest[0])}
	}
	return command.Execute(rest)
}

// report prints the error and returns its exit status.
func (a *App) report(err error) int {
	if err == nil {
		return int(ExitOK)
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(a.Stdout, usage.Message)
		return int(ExitOK)
	}
	status := statusOf(err)
	if a.Global.JSON {
		a.printJSON(a.Stderr, jsonError{ExitStatus: status, Error: err.Error(), Problem: problemIn(err)})
	} else {
		fmt.Fprintln(a.Stderr, "geraniumnotch:", describe(err))
	}
	return int(status)
}

// jsonError is an error as printed with --json.
type jsonError struct {
	ExitStatus ExitStatus        `json:"exitStatus"`
	Error      string            `json:"error"`
	Problem    *operator.Problem `json:"problem,omitempty"`
}

// Client returns a client of the node at the operator address.
func (a *App) Client() (*operator.Client, error) { return operator.NewClient(a.Global.Address) }

// Print writes value as JSON with --json. Otherwise it calls text with a writer
// that aligns columns separated by tabs.
func (a *App) Print(value any, text func(w io.Writer)) error {
	if a.Global.JSON {
		a.printJSON(a.Stdout, value)
		return nil
	}
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func (a *App) printJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(a.Stderr, "geraniumnotch:", err)
	}
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
