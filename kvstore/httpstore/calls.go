package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/wire"
)

// List implements kvstore.Store.
func (s *Store) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	response, err := s.read(ctx, wire.PathList, url.Values{
		wire.ParamPrefix: {prefix},
		wire.ParamLimit:  {strconv.Itoa(limit)},
	}, maxListBytes)
	if err != nil {
		return nil, err
	}
	var keys []string
	if err := json.Unmarshal(response.body, &keys); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "httpstore: decode list"), kvstore.ErrUnavailable)
	}
	return keys, nil
}

// AcquireLease implements kvstore.Store.
func (s *Store) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	response, err := s.writeLease(ctx, wire.PathAcquire, kvstore.Lease{Name: name, Holder: holder, TTL: ttl})
	if err != nil {
		return kvstore.Lease{}, err
	}
	var lease wire.Lease
	if err := json.Unmarshal(response.body, &lease); err != nil {
		return kvstore.Lease{}, errors.Mark(errors.Wrap(err, "httpstore: decode lease"), kvstore.ErrUnknown)
	}
	return kvstore.Lease(lease), nil
}

// RenewLease implements kvstore.Store.
func (s *Store) RenewLease(ctx context.Context, lease kvstore.Lease) error {
	_, err := s.writeLease(ctx, wire.PathRenew, lease)
	return err
}

// ReleaseLease implements kvstore.Store.
func (s *Store) ReleaseLease(ctx context.Context, lease kvstore.Lease) error {
	_, err := s.writeLease(ctx, wire.PathRelease, lease)
	return err
}

func (s *Store) writeLease(ctx context.Context, path string, lease kvstore.Lease) (storeResponse, error) {
	body, err := json.Marshal(wire.Lease(lease))
	if err != nil {
		return storeResponse{}, errors.Wrap(err, "httpstore: encode lease")
	}
	return s.write(ctx, path, nil, body)
}

// read makes a call that changes nothing. The HTTP transport may retry it.
func (s *Store) read(ctx context.Context, path string, query url.Values, limit int64) (storeResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(path, query), nil)
	if err != nil {
		return storeResponse{}, errors.Wrap(err, "httpstore: request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return storeResponse{}, errors.Mark(err, kvstore.ErrUnavailable)
	}
	parsed, storeErr, connErr := readResponse(response, limit)
	if storeErr != nil {
		return storeResponse{}, storeErr
	}
	return parsed, errors.Mark(connErr, kvstore.ErrUnavailable)
}

// unreplayableBody hides that a body can be rewound and that it may be empty,
// because the HTTP transport replays requests whose body it can produce again.
type unreplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (unreplayableBody) Close() error { return nil }

// write makes a call that changes the store and sends it at most once.
func (s *Store) write(ctx context.Context, path string, query url.Values, body []byte) (storeResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(path, query), unreplayableBody{bytes.NewReader(body)})
	if err != nil {
		return storeResponse{}, errors.Wrap(err, "httpstore: request")
	}
	request.ContentLength = int64(len(body))
	request.GetBody = nil
	response, err := s.client.Do(request)
	if err != nil {
		return storeResponse{}, markWriteError(err, connected.Load())
	}
	parsed, storeErr, connErr := readResponse(response, maxSmallResponseBytes)
	if storeErr != nil {
		return storeResponse{}, storeErr
	}
	return parsed, errors.Mark(connErr, kvstore.ErrUnknown)
}

// markWriteError classifies the error of a write that got no response. Once a
// connection was assigned to the request, a part of it may have been sent.
func markWriteError(err error, connected bool) error {
	if connected {
		return errors.Mark(err, kvstore.ErrUnknown)
	}
	return errors.Mark(err, kvstore.ErrUnavailable)
}

func (s *Store) url(path string, query url.Values) string {
	if len(query) == 0 {
		return s.base + path
	}
	return s.base + path + "?" + query.Encode()
}
