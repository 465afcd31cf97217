package lists

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxProblems is the number of problems that one ProblemsError holds. Malicious
// input of several megabytes would otherwise produce millions of them.
const MaxProblems = 1000

// maxShownProblems is the number of problems that the text of an error contains.
const maxShownProblems = 20

// ErrInvalid marks every error that reports invalid lists.
var ErrInvalid = errors.New("lists: invalid")

// Problem is one error in the lists, with what was expected.
type Problem struct {
	List ListName `json:"list"`
	// Entry is the section's text, for example "customer acme". It is empty for
	// a problem outside of any section.
	Entry string `json:"entry,omitempty"`
	// Key is the field; it is empty for a problem of the entry as a whole.
	Key string `json:"key,omitempty"`
	// Line counts from 1. It is 0 when the lists did not come from text.
	Line        int    `json:"line,omitempty"`
	Value       string `json:"value,omitempty"`
	Expectation string `json:"expectation"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(string(p.List))
	if p.Line > 0 {
		fmt.Fprintf(&b, " line %d", p.Line)
	}
	if p.Entry != "" {
		fmt.Fprintf(&b, " [%s]", p.Entry)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %q", p.Value)
	}
	return b.String() + ": want " + p.Expectation
}

// ProblemsError reports all problems of a pair of lists, in the order of the
// lists and lines.
type ProblemsError struct {
	Problems []Problem
	// Omitted is the number of further problems beyond MaxProblems.
	Omitted int
}

// Error returns the first problems, one per line.
func (e *ProblemsError) Error() string {
	total := len(e.Problems) + e.Omitted
	lines := []string{fmt.Sprintf("lists: %d problem(s)", total)}
	for _, p := range e.Problems[:min(len(e.Problems), maxShownProblems)] {
		lines = append(lines, p.String())
	}
	if total > maxShownProblems {
		lines = append(lines, fmt.Sprintf("and %d more", total-maxShownProblems))
	}
	return strings.Join(lines, "\n")
}

// Is reports that the error is an ErrInvalid.
func (e *ProblemsError) Is(target error) bool { return target == ErrInvalid }

// problems collects problems up to MaxProblems.
type problems struct {
	found   []Problem
	omitted int
}

func (p *problems) add(problem Problem) {
	if len(p.found) >= MaxProblems {
		p.omitted++
		return
	}
	problem.Value = truncate(problem.Value)
	problem.Entry = truncate(problem.Entry)
	problem.Key = truncate(problem.Key)
	p.found = append(p.found, problem)
}

// err returns nil when no problem was found.
func (p *problems) err() error {
	if len(p.found) == 0 {
		return nil
	}
	order := map[ListName]int{ListPlans: 0, ListAllowances: 1}
	sort.SliceStable(p.found, func(i, j int) bool {
		a, b := p.found[i], p.found[j]
		if a.List != b.List {
			return order[a.List] < order[b.List]
		}
		return a.Line < b.Line
	})
	return &ProblemsError{Problems: p.found, Omitted: p.omitted}
}

// truncate limits the length of the input that a problem quotes, and replaces
// bytes that are not valid UTF-8.
func truncate(s string) string {
	const limit = 100
	if len(s) <= limit {
		return strings.ToValidUTF8(s, "?")
	}
	return strings.ToValidUTF8(s[:limit], "?") + "..."
}
