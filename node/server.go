package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/connlimit"
	"geraniumnotch.example/geraniumnotch/proxy"
)

// server runs an HTTP server on one of the node's listeners.
type server struct {
	components *components
	name       string
	listener   net.Listener
	http       *http.Server
	// unused holds the connections on which no byte has been received yet.
	unused sync.Map
}

func newServer(p *components, name string, listener net.Listener, handler http.Handler) *server {
	s := &server{components: p, name: name, http: proxy.NewServer(handler, p.logger.Named(name))}
	s.http.ConnState = s.trackUnused
	config := connlimit.Config{Connections: p.connections[name], Memory: p.memoryOf(name)}
	if name == serverEntry || name == serverCall {
		config.RequestBytes = proxy.CallBytes
	} else {
		config.HoldsBodies = true
	}
	limiter := connlimit.New(config)
	limiter.Apply(s.http)
	if p.limiters != nil {
		p.limiters[name] = limiter
	}
	s.listener = limiter.Listener(listener)
	return s
}

func (s *server) trackUnused(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		s.unused.Store(conn, struct{}{})
		return
	}
	s.unused.Delete(conn)
}

// closeUnused closes the connections on which no byte has been received yet.
func (s *server) closeUnused() {
	s.unused.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close()
		return true
	})
}

func (s *server) start() {
	go func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			eventServerFailed.Log(s.components.logger, "server", s.name, "address", s.listener.Addr(), "error", err)
		}
	}()
}

// stop waits for requests in flight until ctx ends, at most for shutdownGrace, and
// then closes their connections. Callers open connections before they need them.
// http.Server waits 5 s for such an unused connection, longer than shutdownGrace,
// so connections that are still unused after half of shutdownGrace are closed.
func (s *server) stop(ctx context.Context) error {
	if ctx.Err() != nil {
		return s.http.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	defer time.AfterFunc(shutdownGrace/2, s.closeUnused).Stop()
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "node: stop %s server", s.name), s.http.Close())
	}
	return nil
}
