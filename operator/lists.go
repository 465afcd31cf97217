package operator

import (
	"context"
	"fmt"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

type listsInput struct {
	Sequence mesh.Sequence `query:"sequence" doc:"Version, the latest when absent"`
}

func (s *server) registerLists(api huma.API) {
	register(s, api, get("get-lists", "/v1/lists", "Both lists of a version"), s.lists)
	register(s, api, post("validate", "/v1/validate", "Check both lists without changing anything"), s.validate)
	register(s, api, get("get-versions", "/v1/versions", "Accepted versions, latest first"), s.versions)
	register(s, api, get("get-audit", "/v1/audit", "Accepted and refused changes, latest first"), s.audit)
}

func (s *server) lists(ctx context.Context, input *listsInput) (ListsText, error) {
	l, version, err := s.authority.ListsAt(ctx, input.Sequence)
	if err != nil {
		return ListsText{}, err
	}
	plans, allowances := lists.Format(l)
	header := VersionHeader(version)
	return ListsText{Version: version, Plans: header + string(plans), Allowances: header + string(allowances)}, nil
}

func (s *server) validate(_ context.Context, input *bodyInput[ListsText]) (Validation, error) {
	l, err := lists.Parse([]byte(input.Body.Plans), []byte(input.Body.Allowances))
	if err != nil {
		return Validation{}, err
	}
	body, err := lists.Encode(l)
	return Validation{Entries: len(l), Digest: mesh.DigestOf(body)}, err
}

func (s *server) versions(ctx context.Context, input *pageInput) ([]VersionInfo, error) {
	records, err := s.authority.History(ctx, input.Before, min(input.Limit, maxPageRecords))
	return lo.Map(records, func(r authority.Record, _ int) VersionInfo {
		return VersionInfo{
			Version: r.Version, Kind: r.Kind, Change: r.Change.ID, Author: r.Change.Author, Time: r.Change.Time,
			Comment: r.Change.Comment, RollbackTo: r.RollbackTo, Edits: len(r.Change.Edits) + r.OmittedEdits,
		}
	}), err
}

func (s *server) audit(ctx context.Context, input *pageInput) (Audit, error) {
	limit := min(input.Limit, maxPageRecords)
	accepted, err := s.authority.History(ctx, input.Before, limit)
	if err != nil {
		return Audit{}, err
	}
	rejected, err := s.authority.Refusals(ctx, limit)
	return Audit{Accepted: accepted, Refused: rejected}, err
}

// headerFormat is the part of a list's first line that ParseVersionHeader reads.
// The line is a comment in the text of the list.
const headerFormat = "# geraniumnotch version %d"

// VersionHeader returns the first line of a list's text, which names its version.
func VersionHeader(version mesh.VersionID) string {
	return fmt.Sprintf(headerFormat+" digest %s\n", version.Sequence, version.Digest.Short())
}

// ParseVersionHeader returns the sequence that the first line of a list's text
// names, or false when it names none.
func ParseVersionHeader(text []byte) (mesh.Sequence, bool) {
	var sequence mesh.Sequence
	_, err := fmt.Sscanf(string(text[:min(len(text), len(headerFormat)+20)]), headerFormat, &sequence)
	return sequence, err == nil
}
