package operator

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/lists"
)

// ProblemType identifies a kind of error response.
type ProblemType string

// The types of error responses.
const (
	ProblemInvalid            ProblemType = "invalid_lists"
	ProblemConflict           ProblemType = "conflict"
	ProblemReused             ProblemType = "change_id_reused"
	ProblemNoChange           ProblemType = "no_change"
	ProblemTooLarge           ProblemType = "too_large"
	ProblemBadRequest         ProblemType = "bad_request"
	ProblemNotFound           ProblemType = "not_found"
	ProblemStoreRolledBack    ProblemType = "store_behind"
	ProblemStoreNotRolledBack ProblemType = "store_not_behind"
	ProblemUnavailable        ProblemType = "store_unavailable"
	ProblemContention         ProblemType = "contention"
	ProblemUnknown            ProblemType = "unknown_outcome"
	ProblemCorrupt            ProblemType = "store_corrupt"
	ProblemInternal           ProblemType = "internal"
)

// Problem is an error response in the form of RFC 9457, with the extension
// members problems and conflicts.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	// Detail says what happened and what to do.
	Detail string `json:"detail"`
	// Problems lists every problem of invalid lists.
	Problems []lists.Problem `json:"problems,omitempty"`
	// Conflicts shows both values of every entry that was changed by others.
	Conflicts []lists.Conflict `json:"conflicts,omitempty"`
}

// Error returns the detail.
func (p *Problem) Error() string { return p.Detail }

// GetStatus returns the HTTP status.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type of RFC 9457.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// problemRule is the problem that an error is reported as.
type problemRule struct {
	err    error
	kind   ProblemType
	status int
	detail string
}

// problemRules are ordered: the first rule whose error matches is used. An empty
// detail stands for the text of the error.
var problemRules = []problemRule{
	{
		authority.ErrOutcomeUnknown, ProblemUnknown, http.StatusGatewayTimeout,
		"The store's answer was lost: the change may have been accepted or not. Repeat it with the same change ID to find out; it is not applied twice.",
	},
	{authority.ErrStoreRolledBack, ProblemStoreRolledBack, http.StatusConflict, "The store holds an older version than this node. Nothing was written. Check the store's address; if it is right, run restore and repeat the change."},
	{authority.ErrStoreNotRolledBack, ProblemStoreNotRolledBack, http.StatusConflict, ""},
	{authority.ErrChangeIDReused, ProblemReused, http.StatusConflict, "This change ID was used for a change with other content. Nothing was written. Use a new change ID."},
	{lists.ErrConflict, ProblemConflict, http.StatusConflict, ""},
	{lists.ErrInvalid, ProblemInvalid, http.StatusUnprocessableEntity, ""},
	{lists.ErrTooLarge, ProblemTooLarge, http.StatusRequestEntityTooLarge, ""},
	{authority.ErrBadProposal, ProblemBadRequest, http.StatusBadRequest, ""},
	{authority.ErrNoChange, ProblemNoChange, http.StatusConflict, "The lists already have this content. Nothing was written."},
	{authority.ErrContention, ProblemContention, http.StatusServiceUnavailable, "Other changes were accepted first in every attempt. Nothing was written. Repeat the change."},
	{authority.ErrStoreUnavailable, ProblemUnavailable, http.StatusServiceUnavailable, "The store is unavailable: nothing was written. Repeat the request later. If an earlier request with the same change ID had an unknown outcome, that is still open; keep the change ID."},
	{authority.ErrVersionNotFound, ProblemNotFound, http.StatusNotFound, ""},
	{authority.ErrChangeNotFound, ProblemNotFound, http.StatusNotFound, ""},
	{ErrCallNotFound, ProblemNotFound, http.StatusNotFound, "This node does not know the call. Ask the node that the caller used; a node keeps the last calls only."},
	{authority.ErrCorrupt, ProblemCorrupt, http.StatusInternalServerError, ""},
}

// problemOf translates an error of packages authority and lists or of the node.
// An error without a rule is ProblemInternal.
func problemOf(err error) *Problem {
	p := &Problem{Type: ProblemInternal, Status: http.StatusInternalServerError, Detail: err.Error()}
	for _, rule := range problemRules {
		if errors.Is(err, rule.err) {
			p.Type, p.Status = rule.kind, rule.status
			if rule.detail != "" {
				p.Detail = rule.detail
			}
			break
		}
	}
	p.Title = http.StatusText(p.Status)
	var invalid *lists.ProblemsError
	if errors.As(err, &invalid) {
		p.Problems = invalid.Problems
	}
	var conflict *lists.ConflictError
	if errors.As(err, &conflict) {
		p.Conflicts = conflict.Conflicts
	}
	return p
}
