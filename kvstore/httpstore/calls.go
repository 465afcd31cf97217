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
	answer, err := s.read(ctx, wire.PathList, url.Values{
		wire.ParamPrefix: {prefix},
		wire.ParamLimit:  {strconv.Itoa(limit)},
	}, maxListBytes)
	if err != nil {
		return nil, err
	}
	var keys []string
	if err := json.Unmarshal(answer.body, &keys); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "httpstore: list"), kvstore.ErrUnavailable)
	}
	return keys, nil
}

// AcquireLease implements kvstore.Store.
func (s *Store) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	answer, err := s.writeLease(ctx, wire.PathAcquire, kvstore.Lease{Name: name, Holder: holder, TTL: ttl})
	if err != nil {
		return kvstore.Lease{}, err
	}
	var lease wire.Lease
	if err := json.Unmarshal(answer.body, &lease); err != nil {
		return kvstore.Lease{}, errors.Mark(errors.Wrap(err, "httpstore: lease"), kvstore.ErrUnknown)
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

func (s *Store) writeLease(ctx context.Context, path string, lease kvstore.Lease) (answer, error) {
	body, err := json.Marshal(wire.Lease(lease))
	if err != nil {
		return answer{}, errors.Wrap(err, "httpstore: lease")
	}
	return s.write(ctx, path, nil, body)
}

// read makes a call that changes nothing. The transport may repeat it.
func (s *Store) read(ctx context.Context, path string, query url.Values, limit int64) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(path, query), nil)
	if err != nil {
		return answer{}, errors.Wrap(err, "httpstore: request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer{}, errors.Mark(err, kvstore.ErrUnavailable)
	}
	a, failure, broken := receive(response, limit)
	if failure != nil {
		return answer{}, failure
	}
	return a, errors.Mark(broken, kvstore.ErrUnavailable)
}

// onceBody hides that a body can be rewound and that it may be empty, since the
// transport replays requests whose body it can produce again.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// write makes a call that changes the store and sends it at most once.
func (s *Store) write(ctx context.Context, path string, query url.Values, body []byte) (answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(path, query), onceBody{bytes.NewReader(body)})
	if err != nil {
		return answer{}, errors.Wrap(err, "httpstore: request")
	}
	request.ContentLength = int64(len(body))
	request.GetBody = nil
	response, err := s.client.Do(request)
	if err != nil {
		return answer{}, markWrite(err, connected.Load())
	}
	a, failure, broken := receive(response, maxErrorAnswerBytes)
	if failure != nil {
		return answer{}, failure
	}
	return a, errors.Mark(broken, kvstore.ErrUnknown)
}

// markWrite classifies the error of a write that got no answer. Once a
// connection was handed to the request, some of it may have been sent.
func markWrite(err error, connected bool) error {
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
