// Package wire holds the names that the HTTP adapter and the stand-in server
// share: paths, parameters, headers, error codes and bodies. It has no state.
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

// Headers of answers. Every answer of the service carries one of them, so that
// an answer of another server at the same address is recognised.
const (
	HeaderRevision = "Store-Revision"
	HeaderResult   = "Store-Result"
)

// ResultOK is the HeaderResult of a call that succeeded. A failed call has the
// code of its error there.
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

// failure pairs an error of a Store with its code and status.
type failure struct {
	code   string
	err    error
	status int
}

// ErrUnknown has no code: a server that does not know must not answer.
var failures = []failure{
	{"not_found", kvstore.ErrNotFound, http.StatusNotFound},
	{"conflict", kvstore.ErrConflict, http.StatusConflict},
	{"unavailable", kvstore.ErrUnavailable, http.StatusServiceUnavailable},
	{"too_large", kvstore.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{"lease_held", kvstore.ErrLeaseHeld, http.StatusConflict},
	{"lease_lost", kvstore.ErrLeaseLost, http.StatusGone},
	{"rate_limited", kvstore.ErrRateLimited, http.StatusTooManyRequests},
}

// CodeOf returns the code and status of a Store's error. It reports false for
// errors that must not be answered.
func CodeOf(err error) (code string, status int, ok bool) {
	if errors.Is(err, kvstore.ErrUnknown) {
		return "", 0, false
	}
	for _, f := range failures {
		if errors.Is(err, f.err) {
			return f.code, f.status, true
		}
	}
	return "", 0, false
}

// ErrorOf returns the error with the code, or nil for an unknown code.
func ErrorOf(code string) error {
	for _, f := range failures {
		if f.code == code {
			return f.err
		}
	}
	return nil
}
