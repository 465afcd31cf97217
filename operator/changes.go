package operator

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/mesh"
)

type changeInput struct {
	ID mesh.ChangeID `path:"id" maxLength:"64"`
}

func (s *server) registerChanges(api huma.API) {
	register(s, api, post("propose-change", "/v1/changes", "Change entries of the lists"), s.propose)
	register(s, api, get("get-change", "/v1/changes/{id}", "The version that an accepted change made"), s.lookupChange)
	register(s, api, post("rollback", "/v1/rollback", "Make a new version with the lists of an older one"), s.rollback)
	register(s, api, post("restore", "/v1/restore", "Write this node's version back to a store that is behind"), s.restore)
}

func (s *server) propose(ctx context.Context, input *bodyInput[ChangeRequest]) (authority.Accepted, error) {
	return s.authority.Propose(ctx, authority.Proposal{
		ChangeID: input.Body.ChangeID, Author: input.Body.Author, Comment: input.Body.Comment, Edits: input.Body.Edits,
	})
}

func (s *server) lookupChange(ctx context.Context, input *changeInput) (authority.Accepted, error) {
	return s.authority.Lookup(ctx, input.ID)
}

func (s *server) rollback(ctx context.Context, input *bodyInput[RollbackRequest]) (authority.Accepted, error) {
	return s.authority.Rollback(ctx, authority.RollbackRequest{
		ChangeID: input.Body.ChangeID, Author: input.Body.Author, Comment: input.Body.Comment, To: input.Body.To,
	})
}

func (s *server) restore(ctx context.Context, input *bodyInput[RestoreRequest]) (authority.Accepted, error) {
	version := s.node.Version()
	if version == nil {
		return authority.Accepted{}, errors.Wrap(authority.ErrVersionNotFound, "this node has no active version yet")
	}
	eventRestore.Log(s.logger, "author", input.Body.Author, "sequence", version.ID.Sequence)
	return s.authority.Restore(ctx, version, input.Body.Author, input.Body.Comment)
}
