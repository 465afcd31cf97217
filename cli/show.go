package cli

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/operator"
)

// pageOptions are the options that select a page of records.
type pageOptions struct {
	Before uint64 `long:"before" value-name:"SEQUENCE" description:"Only versions below this one"`
	Limit  int    `long:"limit" default:"20" value-name:"N" description:"Largest number of records, at most 500"`
}

// show sends a request to the node and prints its result.
func show[T any](app *App, request func(*operator.Client) (T, error), text func(io.Writer, T)) error {
	client, err := app.Client()
	if err != nil {
		return err
	}
	result, err := request(client)
	if err != nil {
		return err
	}
	return app.Print(result, func(w io.Writer) { text(w, result) })
}

type versionsCommand struct {
	app *App
	pageOptions
}

// Execute prints accepted versions.
func (c *versionsCommand) Execute([]string) error {
	return show(c.app, func(client *operator.Client) ([]operator.VersionInfo, error) {
		return client.Versions(c.app.Context, mesh.Sequence(c.Before), c.Limit)
	}, printVersions)
}

func printVersions(w io.Writer, infos []operator.VersionInfo) {
	fmt.Fprintln(w, "VERSION\tDIGEST\tTIME\tAUTHOR\tKIND\tEDITS\tCHANGE\tCOMMENT")
	for _, v := range infos {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", v.Version.Sequence, v.Version.Digest.Short(),
			v.Time.Format(time.RFC3339), v.Author, v.Kind, v.Edits, v.Change, v.Comment)
	}
}

type auditCommand struct {
	app *App
	pageOptions
}

// Execute prints accepted and rejected changes.
func (c *auditCommand) Execute([]string) error {
	return show(c.app, func(client *operator.Client) (operator.Audit, error) {
		return client.Audit(c.app.Context, mesh.Sequence(c.Before), c.Limit)
	}, printAudit)
}

func printAudit(w io.Writer, audit operator.Audit) {
	for _, r := range audit.Accepted {
		fmt.Fprintf(w, "version %d: %s by %s at %s, change %s %s\n", r.Version.Sequence, r.Kind, r.Change.Author,
			r.Change.Time.Format(time.RFC3339), r.Change.ID, r.Change.Comment)
		printRestoration(w, r.Restored)
		printEdits(w, r.Change.Edits)
		printOmitted(w, r.OmittedEdits)
	}
	for _, r := range audit.Refused {
		fmt.Fprintf(w, "refused at version %d: by %s at %s, change %s: %s\n", r.Head.Sequence, r.Change.Author,
			r.Change.Time.Format(time.RFC3339), r.Change.ID, r.Reason)
		printOmitted(w, r.OmittedEdits)
	}
}

func printRestoration(w io.Writer, r *authority.Restoration) {
	if r != nil {
		fmt.Fprintf(w, "  restored over version %d by %s at %s %s\n", r.Over.Sequence, r.Author, r.Time.Format(time.RFC3339), r.Comment)
	}
}

func printOmitted(w io.Writer, omitted int) {
	if omitted > 0 {
		fmt.Fprintf(w, "  and %d more edits\n", omitted)
	}
}

type statusCommand struct{ app *App }

// Execute prints the state of the node, the store and the failure domains.
func (c *statusCommand) Execute([]string) error {
	return show(c.app, func(client *operator.Client) (operator.Status, error) {
		return client.Status(c.app.Context)
	}, printStatus)
}

func printStatus(w io.Writer, s operator.Status) {
	n := s.Node
	fmt.Fprintf(w, "node\t%s in %s, %s\n", n.Host, n.Domain, n.State)
	fmt.Fprintf(w, "version\t%d digest %s%s\n", n.Version.Sequence, n.Version.Digest.Short(), describeOrigin(n))
	if n.Lag != "" {
		fmt.Fprintf(w, "lag\t%s\n", n.Lag)
	}
	if n.Rejected != "" {
		fmt.Fprintf(w, "rejected\t%s\n", n.Rejected)
	}
	fmt.Fprintf(w, "mesh\t%d hosts, %d endpoints, %d links, %d calls in flight\n", n.Hosts, n.Endpoints, n.Links, n.CallsInFlight)
	switch {
	case s.StoreError != "":
		fmt.Fprintf(w, "store\tcannot be read: %s\n", s.StoreError)
	case n.StoreRolledBack:
		fmt.Fprintf(w, "store\tBEHIND the node at version %d; check its address, then run restore\n", s.Store.Sequence)
	default:
		fmt.Fprintf(w, "store\tversion %d digest %s\n", s.Store.Sequence, s.Store.Digest.Short())
	}
	for _, d := range s.Domains {
		fmt.Fprintf(w, "domain\t%s\n", describeDomain(d.Domain, d, true, d.Sequence, isComplete(d, d.Sequence)))
	}
}

// describeOrigin tells since when a node has had its version and where it came
// from.
func describeOrigin(n operator.NodeStatus) string {
	if n.Since.IsZero() {
		return ""
	}
	return fmt.Sprintf(", since %s, from %s", n.Since.Format(time.RFC3339), cmp.Or(string(n.From), "the store"))
}

type explainCommand struct {
	app        *App
	Positional struct {
		Call string `positional-arg-name:"CALL" description:"ID of the call"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the node's decisions about a call.
func (c *explainCommand) Execute([]string) error {
	return show(c.app, func(client *operator.Client) (operator.Explanation, error) {
		return client.Explain(c.app.Context, mesh.CallID(c.Positional.Call))
	}, printExplanation)
}

func printExplanation(w io.Writer, e operator.Explanation) {
	fmt.Fprintf(w, "call\t%s of root %s\n", e.Call, e.Root)
	fmt.Fprintf(w, "customer\t%s\n", e.Customer)
	fmt.Fprintf(w, "route\t%s, rank %s, decided by version %d\n", e.Route, e.Rank, e.Sequence)
	fmt.Fprintf(w, "outcome\t%s %s\n", e.Outcome, e.Reason)
	for _, step := range e.Steps {
		fmt.Fprintf(w, "%s\t%s: %s %s\n", step.Time.Format(time.RFC3339Nano), step.Component, step.Decision, step.Detail)
	}
}

type drainCommand struct{ app *App }

// Execute starts a graceful stop of the node.
func (c *drainCommand) Execute([]string) error {
	return show(c.app, func(client *operator.Client) (operator.Draining, error) {
		return client.Drain(c.app.Context)
	}, func(w io.Writer, d operator.Draining) {
		fmt.Fprintf(w, "%s is %s, %d calls in flight\n", d.Node.Host, d.Node.State, d.Node.CallsInFlight)
	})
}

func init() {
	Register(Command{
		Name: "versions", Short: "List accepted versions", Long: "Lists accepted versions, latest first.",
		New: func(a *App) flags.Commander { return &versionsCommand{app: a} },
	})
	Register(Command{
		Name: "audit", Short: "Show who changed what", Long: "Shows the last accepted and rejected changes with the entries before and after.",
		New: func(a *App) flags.Commander { return &auditCommand{app: a} },
	})
	Register(Command{
		Name: "status", Short: "Show the node, the store and the convergence", Long: "Shows the state of the node, the store and, per failure domain, how many hosts run the latest version and which lag.",
		New: func(a *App) flags.Commander { return &statusCommand{app: a} },
	})
	Register(Command{
		Name: "explain", Short: "Explain what happened to a call", Long: "Shows why the node routed, queued or rejected a call and which version of the lists applied.",
		New: func(a *App) flags.Commander { return &explainCommand{app: a} },
	})
	Register(Command{
		Name: "drain", Short: "Stop the node gracefully", Long: "Makes the node accept no new calls, complete the calls in flight and leave the mesh.",
		New: func(a *App) flags.Commander { return &drainCommand{app: a} },
	})
}
