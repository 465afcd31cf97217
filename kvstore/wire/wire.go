// Package wire holds the names that the HTTP adapter and the stand-in server
// share: paths, parameters, headers, error codes and bodies.
package wire

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/kvstore"
)

// Paths of the protocol. Writes use POST with a body, reads use GET.
const (
	PathKey     = "/v1/key"
	PathDelete  = "/v1/delete"
	PathWatch   = "/v1/watch"
	PathList    = "/v1/list"
	PathAcquire = "/v1/lease/acquire"
	PathRenew   = "/v1/lease/renew"
	PathRelease = "/v1/lease/release"
)

// Query parameters.
const (
	ParamKey      = "key"
	ParamExpected = "expected"
	ParamAfter    = "after"
	ParamPrefix   = "prefix"
	ParamLimit    = "limit"
)

// Response headers. Every response of the service carries one of them, so that
// a response of another server at the same address is recognised.
const (
	HeaderRevision = "Store-Revision"
	HeaderResult   = "Store-Result"
)

// Values of HeaderResult for a call that succeeded; ResultDeleted marks an entry
// without a value. A failed call has the code of its error there.
const (
	ResultOK      = "ok"
	ResultDeleted = "deleted"
)

// Lease is the JSON form of kvstore.Lease.
type Lease struct {
	Name   string        `json:"name"`
	Holder string        `json:"holder"`
	Token  uint64        `json:"token"`
	TTL    time.Duration `json:"ttlNs"`
}

// errorCode maps an error of a Store to its code and HTTP status.
type errorCode struct {
	code   string
	err    error
	status int
}

// errorCodes has no entry for ErrUnknown: a server that does not know whether a
// write took effect must not respond.
var errorCodes = []errorCode{
	{"not_found", kvstore.ErrNotFound, http.StatusNotFound},
	{"conflict", kvstore.ErrConflict, http.StatusConflict},
	{"unavailable", kvstore.ErrUnavailable, http.StatusServiceUnavailable},
	{"too_large", kvstore.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{"lease_held", kvstore.ErrLeaseHeld, http.StatusConflict},
	{"lease_lost", kvstore.ErrLeaseLost, http.StatusGone},
	{"rate_limited", kvstore.ErrRateLimited, http.StatusTooManyRequests},
}

// CodeOf returns the code and HTTP status of a Store's error. It reports false
// for an error that must not be sent as a response.
func CodeOf(err error) (code string, status int, ok bool) {
	if errors.Is(err, kvstore.ErrUnknown) {
		return "", 0, false
	}
	for _, e := range errorCodes {
		if errors.Is(err, e.err) {
			return e.code, e.status, true
		}
	}
	return "", 0, false
}

// ErrorOf returns the error with the code, or nil for an unknown code.
func ErrorOf(code string) error {
	for _, e := range errorCodes {
		if e.code == code {
			return e.err
		}
	}
	return nil
}
