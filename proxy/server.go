package proxy

import (
	"log"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// readHeaderTimeout bounds the time to read the header of a request. The server
	// has no such timeout for bodies, because uploads may take minutes; the deadline
	// of the route bounds them.
	readHeaderTimeout = 10 * time.Second
	// serverIdleTimeout is longer than idleConnTimeout, so that the client closes
	// idle connections first.
	serverIdleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request or response.
	maxHeaderBytes = 64 << 10
)

// NewServer returns an HTTP server for an Entry or a Gate.
func NewServer(handler http.Handler, logger hclog.Logger) *http.Server {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.ErrorLog = log.New(discardWriter{}, "", 0)
	if logger != nil {
		s.ErrorLog = logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	}
	return s
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
