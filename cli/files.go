package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
)

// fileOptions are the options that name the files of both lists.
type fileOptions struct {
	Plans      string `long:"plans" default:"plans.ini" value-name:"FILE" description:"File of the plans list"`
	Allowances string `long:"allowances" default:"allowances.ini" value-name:"FILE" description:"File of the allowances list"`
}

// baseOptions are the options that select the version that the files were made
// from.
type baseOptions struct {
	Base uint64 `long:"base" value-name:"SEQUENCE" description:"Version that the files were made from; the default is the version in their first line, or the latest"`
}

func (o fileOptions) read() (operator.ListsText, error) {
	plans, err := os.ReadFile(o.Plans)
	if err != nil {
		return operator.ListsText{}, errors.Mark(err, errUsage)
	}
	allowances, err := os.ReadFile(o.Allowances)
	return operator.ListsText{Plans: string(plans), Allowances: string(allowances)}, errors.Mark(err, errUsage)
}

func parseLists(texts operator.ListsText) (lists.Lists, error) {
	return lists.Parse([]byte(texts.Plans), []byte(texts.Allowances))
}

// base returns the version that the files were made from, zero for the latest.
func (o baseOptions) base(texts operator.ListsText) (mesh.Sequence, error) {
	if o.Base > 0 {
		return mesh.Sequence(o.Base), nil
	}
	plans, _ := operator.ParseVersionHeader([]byte(texts.Plans))
	allowances, _ := operator.ParseVersionHeader([]byte(texts.Allowances))
	if plans != allowances {
		return 0, errors.Mark(errors.Newf(
			"the files were made from different versions, %d and %d; name the right one with --base", plans, allowances), errUsage)
	}
	return plans, nil
}

// edits returns the changes that the files contain: the difference to the version
// that they were made from, without edits that the latest version contains
// already. Entries that only others changed since then are not part of it.
func (a *App) edits(client *operator.Client, files fileOptions, options baseOptions) ([]lists.Edit, error) {
	texts, err := files.read()
	if err != nil {
		return nil, err
	}
	wanted, err := parseLists(texts)
	if err != nil {
		return nil, err
	}
	base, err := options.base(texts)
	if err != nil {
		return nil, err
	}
	baseLists, err := a.fetch(client, base)
	if err != nil {
		return nil, err
	}
	edits := lists.Diff(baseLists, wanted)
	if base == 0 || len(edits) == 0 {
		return edits, nil
	}
	latest, err := a.fetch(client, 0)
	if err != nil {
		return nil, err
	}
	remaining := lists.Diff(latest, wanted)
	return lo.Filter(edits, func(e lists.Edit, _ int) bool {
		return lo.ContainsBy(remaining, func(o lists.Edit) bool { return o.Key == e.Key })
	}), nil
}

// fetch returns the lists of a version, or of the latest version for zero.
func (a *App) fetch(client *operator.Client, sequence mesh.Sequence) (lists.Lists, error) {
	texts, err := client.Lists(a.Context, sequence)
	if err != nil {
		return nil, err
	}
	return parseLists(texts)
}

type validateCommand struct {
	app *App
	fileOptions
	Offline bool `long:"offline" description:"Validate in this program instead of on a node"`
}

// Execute validates the files.
func (c *validateCommand) Execute([]string) error {
	texts, err := c.read()
	if err != nil {
		return err
	}
	result, err := c.validate(texts)
	if err != nil {
		return err
	}
	return c.app.Print(result, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d entries, digest %s\n", result.Entries, result.Digest.Short())
	})
}

func (c *validateCommand) validate(texts operator.ListsText) (operator.Validation, error) {
	if !c.Offline {
		client, err := c.app.Client()
		if err != nil {
			return operator.Validation{}, err
		}
		return client.Validate(c.app.Context, texts)
	}
	l, err := parseLists(texts)
	if err != nil {
		return operator.Validation{}, err
	}
	body, err := lists.Encode(l)
	return operator.Validation{Entries: len(l), Digest: mesh.DigestOf(body)}, err
}

type diffCommand struct {
	app *App
	fileOptions
	baseOptions
}

// Execute prints the edits that apply would propose.
func (c *diffCommand) Execute([]string) error {
	client, err := c.app.Client()
	if err != nil {
		return err
	}
	edits, err := c.app.edits(client, c.fileOptions, c.baseOptions)
	if err != nil {
		return err
	}
	return c.app.Print(lo.Ternary(edits == nil, []lists.Edit{}, edits), func(w io.Writer) { printEdits(w, edits) })
}

func printEdits(w io.Writer, edits []lists.Edit) {
	if len(edits) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, e := range edits {
		fmt.Fprintf(w, "%s [%s]\n", e.Key.List, e.Key)
		if e.Before != nil {
			fmt.Fprintf(w, "  - %s\n", e.Before)
		}
		if e.After != nil {
			fmt.Fprintf(w, "  + %s\n", e.After)
		}
	}
}

type listsCommand struct {
	app *App
	fileOptions
	Version uint64 `long:"version" value-name:"SEQUENCE" description:"Version to write, the latest by default"`
}

// Execute writes both lists of a version to files.
func (c *listsCommand) Execute([]string) error {
	client, err := c.app.Client()
	if err != nil {
		return err
	}
	texts, err := client.Lists(c.app.Context, mesh.Sequence(c.Version))
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Plans, []byte(texts.Plans), 0o644); err != nil {
		return errors.Mark(err, errUsage)
	}
	if err := os.WriteFile(c.Allowances, []byte(texts.Allowances), 0o644); err != nil {
		return errors.Mark(err, errUsage)
	}
	return c.app.Print(texts.Version, func(w io.Writer) {
		fmt.Fprintf(w, "version %d written to %s and %s\n", texts.Version.Sequence, c.Plans, c.Allowances)
	})
}

func init() {
	Register(Command{
		Name: "validate", Short: "Check both lists", Long: "Reports every problem of both lists with list, entry, key, line and value.",
		New: func(a *App) flags.Commander { return &validateCommand{app: a} },
	})
	Register(Command{
		Name: "diff", Short: "Show what apply would change", Long: "Shows the entries that apply would change, with both values.",
		New: func(a *App) flags.Commander { return &diffCommand{app: a} },
	})
	Register(Command{
		Name: "lists", Short: "Write the lists to files", Long: "Writes both lists to files. Their first line names the version, so that apply finds out later what the files change.",
		New: func(a *App) flags.Commander { return &listsCommand{app: a} },
	})
}
