package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/authority"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Errors of the client. An error response of the node is returned as a *Problem.
var (
	// ErrUnreachable means that the request got no connection, so that the node
	// did not receive it.
	ErrUnreachable = errors.New("operator: node unreachable, nothing was sent")
	// ErrNoResponse means that the connection broke after the request was sent. A
	// change may have been accepted.
	ErrNoResponse = errors.New("operator: the connection to the node broke before its response")
	ErrAddress    = errors.New("operator: an address is an IP address and a port, for example 192.0.2.7:7070")
)

// maxResponseBytes limits how much of a response body the client reads.
const maxResponseBytes = 4 * MaxBodyBytes

// Client calls the API of one node. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the node at an IP address and port. A host name
// is ErrAddress.
func NewClient(address string) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "operator: address %q", address), ErrAddress)
	}
	// Environment variables must not send operators' requests to a proxy. Each
	// request has a connection of its own, so that a failed dial proves that
	// nothing was sent.
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}, nil
}

// Lists returns both lists of a version, zero for the latest.
func (c *Client) Lists(ctx context.Context, sequence mesh.Sequence) (ListsText, error) {
	return send[ListsText](ctx, c, http.MethodGet, fmt.Sprintf("/v1/lists?sequence=%d", sequence), nil)
}

// Validate checks both lists.
func (c *Client) Validate(ctx context.Context, texts ListsText) (Validation, error) {
	return send[Validation](ctx, c, http.MethodPost, "/v1/validate", texts)
}

// Propose changes entries of the lists.
func (c *Client) Propose(ctx context.Context, r ChangeRequest) (authority.Accepted, error) {
	return send[authority.Accepted](ctx, c, http.MethodPost, "/v1/changes", r)
}

// Change returns the version that an accepted change made.
func (c *Client) Change(ctx context.Context, id mesh.ChangeID) (authority.Accepted, error) {
	return send[authority.Accepted](ctx, c, http.MethodGet, "/v1/changes/"+url.PathEscape(string(id)), nil)
}

// Rollback makes a new version with the lists of an older one.
func (c *Client) Rollback(ctx context.Context, r RollbackRequest) (authority.Accepted, error) {
	return send[authority.Accepted](ctx, c, http.MethodPost, "/v1/rollback", r)
}

// Restore writes the node's version back to a store that has rolled back.
func (c *Client) Restore(ctx context.Context, r RestoreRequest) (authority.Accepted, error) {
	return send[authority.Accepted](ctx, c, http.MethodPost, "/v1/restore", r)
}

// Versions returns at most limit accepted versions below before, zero for the
// latest.
func (c *Client) Versions(ctx context.Context, before mesh.Sequence, limit int) ([]VersionInfo, error) {
	return send[[]VersionInfo](ctx, c, http.MethodGet, fmt.Sprintf("/v1/versions?before=%d&limit=%d", before, limit), nil)
}

// Audit returns the records of accepted changes below before, zero for the
// latest, and of rejected changes, at most limit of each.
func (c *Client) Audit(ctx context.Context, before mesh.Sequence, limit int) (Audit, error) {
	return send[Audit](ctx, c, http.MethodGet, fmt.Sprintf("/v1/audit?before=%d&limit=%d", before, limit), nil)
}

// Status returns the state of the node, the store and the failure domains.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return send[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Explain returns the node's decisions about a call.
func (c *Client) Explain(ctx context.Context, id mesh.CallID) (Explanation, error) {
	return send[Explanation](ctx, c, http.MethodGet, "/v1/explain/"+url.PathEscape(string(id)), nil)
}

// Drain starts a graceful stop of the node.
func (c *Client) Drain(ctx context.Context) (Draining, error) {
	return send[Draining](ctx, c, http.MethodPost, "/v1/drain", nil)
}

// send sends a request and decodes the response.
func send[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	request, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return result, err
	}
	connected := false
	request = request.WithContext(traceConnection(request.Context(), &connected))
	response, err := c.http.Do(request)
	if err != nil {
		sentinel := transportError(connected)
		return result, errors.Mark(errors.Wrap(err, sentinel.Error()), sentinel)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, errors.Mark(errors.Wrap(err, "operator: read the response"), ErrNoResponse)
	}
	if response.StatusCode != http.StatusOK {
		return result, decodeProblem(response, data)
	}
	return result, errors.Wrap(json.Unmarshal(data, &result), "operator: decode the response")
}

func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, target, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "operator: encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err == nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, err
}

// transportError returns the error for a failed request, depending on whether it
// had a connection.
func transportError(connected bool) error {
	if connected {
		return ErrNoResponse
	}
	return ErrUnreachable
}

// decodeProblem returns the node's error response as a *Problem.
func decodeProblem(response *http.Response, data []byte) error {
	p := &Problem{}
	if err := json.Unmarshal(data, p); err != nil || p.Detail == "" {
		p.Detail = fmt.Sprintf("the node answered %s: %.200s", response.Status, data)
	}
	p.Status = response.StatusCode
	if p.Type == "" {
		p.Type = ProblemInternal
		if p.Status < http.StatusInternalServerError {
			p.Type = ProblemBadRequest
		}
	}
	return p
}
