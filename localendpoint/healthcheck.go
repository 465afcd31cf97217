package localendpoint

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// healthCheckTimeout limits a health check. An endpoint without a free slot may answer late;
// the check is made again with its next announcement.
const healthCheckTimeout = time.Second

// errUnhealthy means that the endpoint is not healthy or leaves, or does not state its ID.
var errUnhealthy = errors.New("localendpoint: endpoint does not state that it is healthy")

// CheckHealth requests the health path of the endpoint at the configured address. It returns
// the ID of the endpoint if that is healthy and does not leave.
func (g *Gate) CheckHealth(ctx context.Context, path string) (mesh.EndpointID, error) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	address := g.registration.Address()
	conn, err := newPool(address, 0, g.clock, g.registration.Dial).get(ctx, false)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(healthCheckTimeout)) // The next read returns the error.
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+address+"\r\nConnection: close\r\n\r\n"); err != nil {
		return "", err
	}
	response, err := conn.readResponse(&http.Request{Method: http.MethodGet})
	if err != nil {
		return "", err
	}
	info := g.headers.ReadResponse(response.StatusCode, response.Header)
	if response.StatusCode != http.StatusOK || info.EndpointID == "" || info.Leaving {
		return "", errors.Wrapf(errUnhealthy, "status %d", response.StatusCode)
	}
	return info.EndpointID, nil
}
