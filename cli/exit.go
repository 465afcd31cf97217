package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/operator"
)

// ExitStatus is the exit status of the program.
type ExitStatus int

// The exit statuses. They are part of the interface.
const (
	ExitOK          ExitStatus = 0
	ExitFailure     ExitStatus = 1
	ExitUsage       ExitStatus = 2
	ExitInvalid     ExitStatus = 3
	ExitConflict    ExitStatus = 4
	ExitUnavailable ExitStatus = 5
	ExitUnknown     ExitStatus = 6
	ExitTimeout     ExitStatus = 7
	ExitNotFound    ExitStatus = 8
)

const exitStatusHelp = `Operates a geraniumnotch mesh through one of its nodes.

Exit statuses: 0 done; 1 other failure; 2 wrong usage; 3 invalid lists;
4 conflict, nothing was written; 5 node or store unavailable, nothing was
written; 6 outcome unknown, retry with the same change ID; 7 accepted, but not
active everywhere within --timeout; 8 not found.`

// errTimeout means that a change was accepted and did not converge within
// --timeout.
var errTimeout = errors.New("the change was accepted, but it is not active on every host yet; see geraniumnotch status")

// errUsage marks errors in options and arguments.
var errUsage = errors.New("wrong usage")

var statusByProblem = map[operator.ProblemType]ExitStatus{
	operator.ProblemInvalid:            ExitInvalid,
	operator.ProblemTooLarge:           ExitInvalid,
	operator.ProblemConflict:           ExitConflict,
	operator.ProblemReused:             ExitConflict,
	operator.ProblemStoreRolledBack:    ExitConflict,
	operator.ProblemStoreNotRolledBack: ExitConflict,
	operator.ProblemNoChange:           ExitConflict,
	operator.ProblemUnavailable:        ExitUnavailable,
	operator.ProblemContention:         ExitUnavailable,
	operator.ProblemUnknown:            ExitUnknown,
	operator.ProblemNotFound:           ExitNotFound,
	operator.ProblemBadRequest:         ExitUsage,
}

// statusOf returns the exit status of an error.
func statusOf(err error) ExitStatus {
	if p := problemIn(err); p != nil {
		if status, known := statusByProblem[p.Type]; known {
			return status
		}
		return ExitFailure
	}
	var usage *flags.Error
	switch {
	case errors.As(err, &usage), errors.Is(err, errUsage), errors.Is(err, operator.ErrAddress):
		return ExitUsage
	case errors.Is(err, lists.ErrInvalid):
		return ExitInvalid
	case errors.Is(err, operator.ErrUnreachable):
		return ExitUnavailable
	case errors.Is(err, operator.ErrNoResponse):
		return ExitUnknown
	case errors.Is(err, errTimeout), errors.Is(err, context.DeadlineExceeded):
		return ExitTimeout
	}
	return ExitFailure
}

// problemIn returns the problem that the node reported, or nil if err has none.
func problemIn(err error) *operator.Problem {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p
	}
	return nil
}

// describe returns the error's text with a line for every conflict and problem.
func describe(err error) string {
	p := problemIn(err)
	if p == nil {
		return err.Error()
	}
	lines := []string{err.Error()}
	for _, c := range p.Conflicts {
		lines = append(lines,
			fmt.Sprintf("  %s [%s]", c.Key.List, c.Key), "    now:    "+c.Found.String(), "    wanted: "+c.Wanted.String())
	}
	for _, problem := range p.Problems {
		lines = append(lines, "  "+problem.String())
	}
	return strings.Join(lines, "\n")
}
