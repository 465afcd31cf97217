package ingress

import (
	"net"
	"time"

	"geraniumnotch.example/geraniumnotch/connlimit"
)

// overflowFraction is the fraction of the limit by which connections that are being closed
// may exceed it. Clients have lingerTimeout to read the last response.
const overflowFraction = 0.25

// makeRoom closes a connection for a new one where the limit is reached: the one that has
// been idle for longest, or else the one whose client has done nothing for longest, after
// heldmemory.StallTime. It reports false if the new one must be closed. The caller holds
// the lock.
//
// It is made for many clients that open connections and stop within a request.
func (s *Server) makeRoom() bool {
	limit := s.config.MaxConnections
	if limit <= 0 || len(s.conns) < limit {
		return true
	}
	victim, found := connlimit.Victim(s.conns, s.config.Clock())
	if found {
		victim.evict()
		s.evictions.Add(1)
	}
	if !found || len(s.conns) >= limit+int(overflowFraction*float64(limit)) {
		s.refusedConnections.Add(1)
		return false
	}
	return true
}

// evict has the connection closed. What waits for its client ends with an error.
func (c *connection) evict() {
	kind, _ := c.State()
	c.SetEvicted(true)
	if kind == connlimit.Request {
		if !c.closeIfIdle() {
			c.SetEvicted(false) // A request has arrived meanwhile.
		}
		return
	}
	_ = c.conn.SetDeadline(time.Now()) // The read or write in progress returns the error.
}

// refuseConnection closes a connection that is beyond the limit, without a response.
func refuseConnection(c net.Conn) { _ = c.Close() }

// ConnectionUsage is the state of the limit on connections, for metrics.
type ConnectionUsage struct {
	Open, Limit int
	// Evicted and Refused count the connections that were closed for others, and those
	// that were closed at once.
	Evicted, Refused int64
}

// ConnectionUsage returns the state of the limit on connections.
func (s *Server) ConnectionUsage() ConnectionUsage {
	return ConnectionUsage{Open: s.Connections(), Limit: s.config.MaxConnections, Evicted: s.evictions.Load(), Refused: s.refusedConnections.Load()}
}
