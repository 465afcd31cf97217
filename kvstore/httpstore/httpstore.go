// Package httpstore is the kvstore.Store adapter for the HTTP protocol of the
// stand-in server. It registers itself under the name "http".
//
// Every write is sent at most once: its body cannot be rewound, so the HTTP
// transport cannot replay it on another connection. A write whose connection
// broke after it was established ends with kvstore.ErrUnknown.
package httpstore

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/wire"
)

// AdapterName selects this adapter in kvstore.Open.
const AdapterName = "http"

// Limits of the connections and responses. maxSmallResponseBytes bounds the
// bodies of errors and of responses to writes.
const (
	dialTimeout           = 2 * time.Second
	idleTimeout           = 90 * time.Second
	maxIdleConnections    = 64
	keepAliveIdle         = 10 * time.Second
	keepAliveInterval     = 5 * time.Second
	keepAliveProbes       = 3
	maxHeaderBytes        = 16 << 10
	maxListBytes          = 16 << 20
	maxSmallResponseBytes = 4 << 10
)

// ErrAddress means that an address is not an IP address with a port.
var ErrAddress = errors.New("httpstore: address is not IP:PORT")

func init() {
	kvstore.RegisterAdapter(AdapterName, func(address string) (kvstore.Store, error) {
		return Open(address)
	})
}

// Store implements kvstore.Store over HTTP. It keeps no state besides idle
// connections.
type Store struct {
	base   string
	client http.Client
}

// Open returns a Store for the service at address, an IP address with a port.
// It makes no call.
func Open(address string) (*Store, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return nil, errors.Wrapf(ErrAddress, "%q", address)
	}
	s := &Store{base: "http://" + parsed.String()}
	s.client.Transport = newTransport()
	s.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return s, nil
}

// newTransport sets no proxy, so that environment variables cannot divert calls.
// TCP keep-alive probes end a watch whose server disappeared without closing the
// connection.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Close closes the idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// Get implements kvstore.Store.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	return s.readEntry(ctx, key, wire.PathKey, url.Values{wire.ParamKey: {key}})
}

// Watch implements kvstore.Store.
func (s *Store) Watch(ctx context.Context, key string, after kvstore.Revision) (kvstore.Entry, error) {
	return s.readEntry(ctx, key, wire.PathWatch, url.Values{
		wire.ParamKey:   {key},
		wire.ParamAfter: {formatRevision(after)},
	})
}

func (s *Store) readEntry(ctx context.Context, key, path string, query url.Values) (kvstore.Entry, error) {
	response, err := s.read(ctx, path, query, kvstore.MaxValueBytes)
	if err != nil {
		return kvstore.Entry{}, err
	}
	revision, err := response.revision()
	if err != nil {
		return kvstore.Entry{}, errors.Mark(err, kvstore.ErrUnavailable)
	}
	entry := kvstore.Entry{Key: key, Value: response.body, Revision: revision}
	if response.result == wire.ResultDeleted {
		entry.Value = nil
	}
	return entry, nil
}

// CompareAndSwap implements kvstore.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	if len(value) > kvstore.MaxValueBytes {
		return 0, kvstore.ErrTooLarge
	}
	path := wire.PathKey
	if value == nil {
		path = wire.PathDelete
	}
	response, err := s.write(ctx, path, url.Values{
		wire.ParamKey:      {key},
		wire.ParamExpected: {formatRevision(expected)},
	}, value)
	if err != nil {
		return 0, err
	}
	revision, err := response.revision()
	if err != nil {
		return 0, errors.Mark(err, kvstore.ErrUnknown)
	}
	return revision, nil
}

func formatRevision(r kvstore.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// storeResponse is a response of the service.
type storeResponse struct {
	header http.Header
	result string
	body   []byte
}

func (r storeResponse) revision() (kvstore.Revision, error) {
	n, err := strconv.ParseUint(r.header.Get(wire.HeaderRevision), 10, 64)
	return kvstore.Revision(n), errors.Wrap(err, "httpstore: response has no valid revision")
}

// readResponse reads a response. storeErr is an error that the service reported;
// connErr is anything else that went wrong, such as a broken connection or a
// response that is not the service's.
func readResponse(response *http.Response, limit int64) (parsed storeResponse, storeErr, connErr error) {
	defer response.Body.Close()
	parsed = storeResponse{header: response.Header, result: response.Header.Get(wire.HeaderResult)}
	if err := wire.ErrorOf(parsed.result); err != nil {
		// Draining the body lets the connection be reused.
		_, _ = io.CopyN(io.Discard, response.Body, maxSmallResponseBytes)
		return parsed, err, nil
	}
	if response.StatusCode != http.StatusOK || parsed.result == "" {
		return parsed, nil, errors.Newf("httpstore: unexpected status %d", response.StatusCode)
	}
	var err error
	parsed.body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(parsed.body)) > limit {
		err = errors.Newf("httpstore: response larger than %d bytes", limit)
	}
	return parsed, nil, errors.Wrap(err, "httpstore: read response")
}
