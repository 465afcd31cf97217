package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/plancheck"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

func init() {
	Register(Command{
		Name: "check", Short: "Check a configuration before it is sent",
		Long: "Checks the operator's configuration of the users' platform, or both lists, without a node: errors, entries that can never match, limits that contradict each other, and what differs from another version.\n\nExit statuses: 0 nothing found; 1 errors or findings; 2 wrong usage or an unreadable file.",
		New:  func(app *App) flags.Commander { return &checkCommand{app: app} },
	})
}

// checkCommand checks a configuration of the platform, or both lists.
type checkCommand struct {
	app               *App
	Plan              string `long:"plan" value-name:"FILE" description:"Configuration of the platform in JSON"`
	Against           string `long:"against" value-name:"FILE" description:"Version of --plan to compare with"`
	Plans             string `long:"plans" value-name:"FILE" description:"File of the plans list"`
	Allowances        string `long:"allowances" value-name:"FILE" description:"File of the allowances list"`
	AgainstPlans      string `long:"against-plans" value-name:"FILE" description:"Version of --plans to compare with"`
	AgainstAllowances string `long:"against-allowances" value-name:"FILE" description:"Version of --allowances to compare with"`
}

// checkResult is the result of a check.
type checkResult struct {
	// Error is the first error of a configuration that cannot be used.
	Error    string              `json:"error,omitempty"`
	Findings []plancheck.Finding `json:"findings,omitempty"`
	Changes  []plancheck.Change  `json:"changes,omitempty"`
}

// errFindings means that a check found something. The result says what.
var errFindings = errors.New("the configuration has errors or entries without effect")

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	var result checkResult
	var err error
	switch {
	case (c.Plan != "") == (c.Plans != "" && c.Allowances != ""):
		return errors.Mark(errors.New("name either --plan or both --plans and --allowances"), errUsage)
	case c.Plan != "":
		result, err = c.checkPlan()
	default:
		result, err = c.checkLists()
	}
	if err != nil {
		return err
	}
	if err := c.app.Print(result, result.print); err != nil {
		return err
	}
	if result.Error != "" || len(result.Findings) > 0 {
		return errFindings
	}
	return nil
}

func (r *checkResult) print(w io.Writer) {
	if r.Error != "" {
		fmt.Fprintf(w, "error\t%s\n", r.Error)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Kind, f.Entry, f.Text)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(w, "changed\t%s\n", change.Entry)
		if change.Before != "" {
			fmt.Fprintf(w, "  -\t%s\n", change.Before)
		}
		if change.After != "" {
			fmt.Fprintf(w, "  +\t%s\n", change.After)
		}
	}
}

func (c *checkCommand) checkPlan() (checkResult, error) {
	plan, err := readPlan(c.Plan)
	if errors.Is(err, errUsage) {
		return checkResult{}, err
	}
	if err != nil {
		return checkResult{Error: err.Error()}, nil
	}
	result := checkResult{Findings: plancheck.Check(plan)}
	if c.Against != "" {
		active, err := readPlan(c.Against)
		if err != nil {
			return checkResult{}, errors.Mark(errors.Wrap(err, c.Against), errUsage)
		}
		result.Changes = plancheck.Diff(active, plan)
	}
	return result, nil
}

func readPlan(path string) (*routeplan.Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return platform.DecodeConfig(text)
}

func (c *checkCommand) checkLists() (checkResult, error) {
	l, err := readLists(c.Plans, c.Allowances)
	if errors.Is(err, errUsage) {
		return checkResult{}, err
	}
	if err == nil {
		_, err = lists.Compile(l)
	}
	if err != nil {
		return checkResult{Error: err.Error()}, nil
	}
	if c.AgainstPlans == "" || c.AgainstAllowances == "" {
		return checkResult{}, nil
	}
	active, err := readLists(c.AgainstPlans, c.AgainstAllowances)
	if err != nil {
		return checkResult{}, errors.Mark(err, errUsage)
	}
	var result checkResult
	for _, edit := range lists.Diff(active, l) {
		change := plancheck.Change{Entry: fmt.Sprintf("%s [%s]", edit.Key.List, edit.Key)}
		if edit.Before != nil {
			change.Before = edit.Before.String()
		}
		if edit.After != nil {
			change.After = edit.After.String()
		}
		result.Changes = append(result.Changes, change)
	}
	return result, nil
}

func readLists(plans, allowances string) (lists.Lists, error) {
	texts, err := fileOptions{Plans: plans, Allowances: allowances}.read()
	if err != nil {
		return nil, err
	}
	return parseLists(texts)
}
