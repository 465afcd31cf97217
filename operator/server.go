package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// apiVersion is the version of the API in its OpenAPI document.
	apiVersion = "1.0.0"
	// MaxBodyBytes limits a request with whole lists or many edits.
	MaxBodyBytes = 2 * lists.MaxTextBytes
	// bodyReadTimeout limits the time for reading such a request.
	bodyReadTimeout = 30 * time.Second
	// maxPageRecords is the largest number of records in one response.
	maxPageRecords = 500
)

// server holds the dependencies of the handlers.
type server struct {
	authority *authority.Authority
	node      Node
	logger    hclog.Logger
}

// NewHandler returns the operators' API. Its OpenAPI document is served as
// /openapi.json and /openapi.yaml. The API does not authenticate callers; the
// address that serves it must be reachable for operators only.
func NewHandler(versions *authority.Authority, node Node, logger hclog.Logger) http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("geraniumnotch operator API", apiVersion)
	// The documentation page is off, because it loads scripts from other hosts;
	// responses need no links to schemas.
	config.DocsPath, config.SchemasPath, config.CreateHooks = "", "", nil
	api := humago.New(mux, config)
	s := &server{authority: versions, node: node, logger: logger}
	s.registerLists(api)
	s.registerChanges(api)
	s.registerNode(api)
	return mux
}

// register adds an operation whose handler takes an input I and returns the
// response body O.
func register[I, O any](s *server, api huma.API, op huma.Operation, handle func(context.Context, *I) (O, error)) {
	op.Errors = append(op.Errors, http.StatusServiceUnavailable)
	huma.Register(api, op, func(ctx context.Context, input *I) (*bodyOutput[O], error) {
		body, err := handle(ctx, input)
		if err != nil {
			return nil, s.toProblem(op, err)
		}
		return &bodyOutput[O]{Body: body}, nil
	})
}

// bodyOutput is the form in which huma expects a response with a body.
type bodyOutput[O any] struct{ Body O }

// bodyInput is the form in which huma expects a request with nothing but a body.
type bodyInput[B any] struct{ Body B }

// toProblem translates an error to a problem and logs it when its status is 500
// or higher.
func (s *server) toProblem(op huma.Operation, err error) error {
	p := problemOf(err)
	if p.Status >= http.StatusInternalServerError {
		eventFailed.Log(s.logger, "operation", op.OperationID, "type", string(p.Type), "error", err)
	}
	return p
}

func get(id, path, summary string) huma.Operation {
	return huma.Operation{OperationID: id, Method: http.MethodGet, Path: path, Summary: summary}
}

func post(id, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID: id, Method: http.MethodPost, Path: path, Summary: summary, DefaultStatus: http.StatusOK,
		MaxBodyBytes: MaxBodyBytes, BodyReadTimeout: bodyReadTimeout,
		Errors: []int{http.StatusConflict, http.StatusUnprocessableEntity, http.StatusGatewayTimeout},
	}
}

// pageInput selects a page of records by the query parameters.
type pageInput struct {
	Before mesh.Sequence `query:"before" doc:"Only versions below this sequence"`
	Limit  int           `query:"limit" default:"20" minimum:"1" maximum:"500" doc:"Largest number of records"`
}
