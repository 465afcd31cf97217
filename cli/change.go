package cli

import (
	"cmp"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
)

// authorOptions are the options that name the author and the reason of a change.
type authorOptions struct {
	Author  string `long:"author" env:"GERANIUMNOTCH_AUTHOR" value-name:"NAME" description:"Author in the audit trail, the user's login name by default"`
	Comment string `long:"comment" value-name:"TEXT" description:"Comment in the audit trail"`
}

func (o authorOptions) authorName() string {
	return cmp.Or(o.Author, os.Getenv("USER"), os.Getenv("LOGNAME"), "unknown")
}

// changeOptions are the options that identify a change.
type changeOptions struct {
	authorOptions
	ChangeID string `long:"change-id" value-name:"ID" description:"ID of the change; repeat an interrupted change with the ID that it printed"`
}

// printChangeID prints the change ID before anything is sent, so that the user can
// retry an interrupted command, and returns it.
func (o changeOptions) printChangeID(app *App) mesh.ChangeID {
	id := cmp.Or(o.ChangeID, uuid.NewString())
	fmt.Fprintf(app.Stderr, "change ID %s\n", id)
	return mesh.ChangeID(id)
}

// Change is the JSON result of apply, rollback and restore.
type Change struct {
	authority.Accepted
	// Unchanged is set when the files contained no changes.
	Unchanged bool `json:"unchanged,omitempty"`
	// Edits is the number of entries that this command proposed to change.
	Edits int `json:"edits"`
	// Converged is set when --wait found the version on every host.
	Converged bool `json:"converged,omitempty"`
}

// waitAndPrint prints the result and, with --wait, waits until every host runs the
// version.
func (a *App) waitAndPrint(client *operator.Client, change Change, wait waitOptions) error {
	if !a.Global.JSON {
		fmt.Fprintln(a.Stdout, describeChange(change))
	}
	var err error
	if wait.Wait && !change.Unchanged {
		err = a.waitForConvergence(client, change.Version.Sequence, wait)
		change.Converged = err == nil
	}
	if a.Global.JSON {
		a.printJSON(a.Stdout, change)
	}
	return err
}

func describeChange(c Change) string {
	switch {
	case c.Unchanged:
		return "nothing to change"
	case c.Repeated:
		return fmt.Sprintf("version %d was accepted by an earlier call, change %s", c.Version.Sequence, c.Change)
	}
	return fmt.Sprintf("version %d accepted, change %s", c.Version.Sequence, c.Change)
}

type applyCommand struct {
	app *App
	fileOptions
	baseOptions
	changeOptions
	waitOptions
}

// Execute proposes the edits that the files contain.
func (c *applyCommand) Execute([]string) error {
	client, err := c.app.Client()
	if err != nil {
		return err
	}
	id := c.printChangeID(c.app)
	change, err := c.propose(client, id)
	if err != nil {
		return withRetryHint(err, id)
	}
	return c.app.waitAndPrint(client, change, c.waitOptions)
}

// propose first asks for the result of an earlier command when the user gave a
// change ID: once that command has taken effect, the files contain no edits any
// more.
func (c *applyCommand) propose(client *operator.Client, id mesh.ChangeID) (Change, error) {
	if c.ChangeID != "" {
		accepted, err := client.Change(c.app.Context, id)
		if p := problemIn(err); err == nil || p == nil || p.Type != operator.ProblemNotFound {
			return Change{Accepted: accepted}, err
		}
	}
	edits, err := c.app.edits(client, c.fileOptions, c.baseOptions)
	if err != nil {
		return Change{}, err
	}
	if len(edits) == 0 {
		return Change{Unchanged: true}, nil
	}
	if !c.app.Global.JSON {
		printEdits(c.app.Stdout, edits)
	}
	accepted, err := client.Propose(c.app.Context, operator.ChangeRequest{
		ChangeID: id, Author: c.authorName(), Comment: c.Comment, Edits: edits,
	})
	return Change{Accepted: accepted, Edits: len(edits)}, err
}

// withRetryHint adds to an error with an unknown outcome how to retry the command.
func withRetryHint(err error, id mesh.ChangeID) error {
	if statusOf(err) != ExitUnknown {
		return err
	}
	return errors.Wrapf(err, "outcome unknown, retry the command with --change-id %s", id)
}

type rollbackCommand struct {
	app *App
	To  uint64 `long:"to" required:"true" value-name:"SEQUENCE" description:"Version whose lists the new version takes"`
	changeOptions
	waitOptions
}

// Execute makes a new version with the lists of an older one.
func (c *rollbackCommand) Execute([]string) error {
	client, err := c.app.Client()
	if err != nil {
		return err
	}
	id := c.printChangeID(c.app)
	accepted, err := client.Rollback(c.app.Context, operator.RollbackRequest{
		ChangeID: id, Author: c.authorName(), Comment: c.Comment, To: mesh.Sequence(c.To),
	})
	if err != nil {
		return withRetryHint(err, id)
	}
	return c.app.waitAndPrint(client, Change{Accepted: accepted}, c.waitOptions)
}

type restoreCommand struct {
	app *App
	authorOptions
}

// Execute writes the node's version back to a store that has rolled back.
func (c *restoreCommand) Execute([]string) error {
	client, err := c.app.Client()
	if err != nil {
		return err
	}
	accepted, err := client.Restore(c.app.Context, operator.RestoreRequest{Author: c.authorName(), Comment: c.Comment})
	if err != nil {
		return err
	}
	return c.app.Print(accepted, func(w io.Writer) {
		fmt.Fprintf(w, "the store holds version %d again\n", accepted.Version.Sequence)
	})
}

func init() {
	Register(Command{
		Name: "apply", Short: "Propose the changes in both files",
		Long: "Proposes what the files change compared to the version that they were made from. Entries that others changed meanwhile are kept; if both changed the same entry, nothing is written and both values are shown.",
		New:  func(a *App) flags.Commander { return &applyCommand{app: a} },
	})
	Register(Command{
		Name: "rollback", Short: "Make a new version with the lists of an older one",
		Long: "Makes a new version with the lists of an older one. It can be undone by another rollback.",
		New:  func(a *App) flags.Commander { return &rollbackCommand{app: a} },
	})
	Register(Command{
		Name: "restore", Short: "Write the node's version back to a store that has rolled back",
		Long: "Writes the version that the node runs back to a store that lost writes. Check the store's address first: the version at a wrong address would be replaced.",
		New:  func(a *App) flags.Commander { return &restoreCommand{app: a} },
	})
}
