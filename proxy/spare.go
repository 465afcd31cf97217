package proxy

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"geraniumnotch.example/geraniumnotch/endpoints"
)

const (
	// warmSpares is the number of spare connections to an endpoint that are opened
	// in advance, so that a call does not wait for a connect.
	warmSpares = 2
	// spareLifetime is how long a spare connection is kept. Servers close
	// connections on which no request arrives.
	spareLifetime = 5 * time.Second
	// warmInterval is the time between checks of the spare connections.
	warmInterval = 250 * time.Millisecond
)

// spare is an open connection that has not been used yet.
type spare struct {
	conn   net.Conn
	opened time.Time
}

// spares holds the spare connections to one address.
type spares struct {
	mu    sync.Mutex
	conns []spare
}

// pop removes and returns a spare connection that the server has not closed, or
// returns nil.
func (s *spares) pop() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 {
		last := s.conns[len(s.conns)-1]
		s.conns = s.conns[:len(s.conns)-1]
		if isUsable(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

// closeExpired closes the connections opened before oldest and returns how many
// remain.
func (s *spares) closeExpired(oldest time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.conns[:0]
	for _, c := range s.conns {
		if c.opened.Before(oldest) {
			_ = c.conn.Close()
			continue
		}
		kept = append(kept, c)
	}
	s.conns = kept
	return len(kept)
}

func (s *spares) push(c spare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// isUsable reports whether the connection is open and has nothing to read. A
// request written to a connection that the server has closed would have an unknown
// outcome. The check does not block.
func isUsable(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// warm opens connections to the address until there are n spare ones.
func (p *pools) warm(ctx context.Context, address string, n int) {
	s := &p.get(address).spares
	for open := s.closeExpired(p.now().Add(-spareLifetime)); open < n; open++ {
		conn, err := p.dial(ctx, "tcp", address)
		if err != nil {
			return
		}
		s.push(spare{conn: conn, opened: p.now()})
	}
}

// Run keeps spare connections to the endpoints of the host open and closes the
// connection pools that are no longer used, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		g.WarmOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// WarmOnce opens the missing spare connections and closes unused pools.
func (g *Gate) WarmOnce(ctx context.Context) {
	for _, e := range g.cfg.Endpoints.All() {
		if !e.Draining() {
			g.pools.warm(ctx, e.Announcement().Address, sparesFor(e.Announcement()))
		}
	}
	g.pools.prune()
}

// sparesFor returns the number of spare connections to an endpoint. Together with
// one connection for each slot they stay within its connection limit.
func sparesFor(a *endpoints.Announcement) int {
	return min(warmSpares, a.MaxConns()-a.UsableSlots())
}
