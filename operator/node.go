package operator

import (
	"context"

	"github.com/danielgtaylor/huma/v2"

	"geraniumnotch.example/geraniumnotch/mesh"
)

type explainInput struct {
	Call mesh.CallID `path:"call" maxLength:"128"`
}

// Draining is the response to POST /v1/drain.
type Draining struct {
	Node NodeStatus `json:"node"`
}

func (s *server) registerNode(api huma.API) {
	register(s, api, get("get-status", "/v1/status", "State of this node, the store and the failure domains"), s.status)
	register(s, api, get("explain", "/v1/explain/{call}", "Why a call was routed, queued or refused"), s.explain)
	register(s, api, post("drain", "/v1/drain", "Stop this node gracefully"), s.drain)
}

// status responds also while the store is unavailable; the error is in
// StoreError then.
func (s *server) status(ctx context.Context, _ *struct{}) (Status, error) {
	status := Status{Node: s.node.Status()}
	head, _, err := s.authority.Head(ctx)
	if err == nil {
		status.Store = head.Version
		status.Domains, err = s.authority.Summaries(ctx)
	}
	if err != nil {
		status.StoreError = err.Error()
	}
	return status, nil
}

func (s *server) explain(_ context.Context, input *explainInput) (Explanation, error) {
	return s.node.Explain(input.Call)
}

func (s *server) drain(context.Context, *struct{}) (Draining, error) {
	eventDrain.Log(s.logger)
	err := s.node.Drain()
	return Draining{Node: s.node.Status()}, err
}
