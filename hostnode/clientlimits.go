package hostnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/connlimit"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/ingress"
)

const (
	// bodyMemoryFraction is the fraction of the memory that request bodies may hold. The
	// collector may need as much again, and the rest is for calls, links and the kernel.
	bodyMemoryFraction = 0.2
	// connectionMemoryFraction is the fraction of the memory that connections of clients
	// may take, at connectionBytes each: goroutines, buffers and half of a head.
	connectionMemoryFraction = 0.25
	connectionBytes          = 32 << 10
	// connectionDescriptorFraction is the fraction of the descriptors for connections of
	// clients. The rest is for links, endpoints, the store and readiness.
	connectionDescriptorFraction = 0.5
	// peerDescriptorFraction is the fraction for links that other hosts open: one from each
	// in meshes of up to 800 hosts at the 4,100 descriptors of the smallest machines.
	peerDescriptorFraction = 0.2
	// controlDescriptorFraction is the fraction for each of readiness, announcements and
	// metrics, which few programs call.
	controlDescriptorFraction = 0.03
	// maxControlHeadBytes limits the head of a request of the platform, of the endpoint or of
	// another host; a valid one has about 200 bytes.
	maxControlHeadBytes = 16 << 10
	// clientLimitsInterval is the shortest time between two log lines about clients that
	// meet the limits.
	clientLimitsInterval = 5 * time.Second
)

// bodyMemory returns the bytes that request bodies may hold.
func (s *Settings) bodyMemory() int64 {
	return int64(bodyMemoryFraction * float64(s.MemoryMB<<20))
}

// maxConnections returns the number of connections of clients that may be open.
func (s *Settings) maxConnections() int {
	return min(int(connectionDescriptorFraction*float64(s.Descriptors)), int(connectionMemoryFraction*float64(s.MemoryMB<<20))/connectionBytes)
}

// limitControl limits the connections of a server that clients are not meant to call. It
// returns the listener for the server.
func (n *Node) limitControl(server *http.Server, l net.Listener, descriptorFraction float64) net.Listener {
	server.MaxHeaderBytes, server.IdleTimeout = maxControlHeadBytes, controlReadTimeout
	limiter := connlimit.New(connlimit.Config{
		Connections: int(descriptorFraction * float64(n.settings.Load().Descriptors)), Memory: n.bodyMemory, HoldsBodies: true, Clock: n.clock,
	})
	limiter.Apply(server)
	return limiter.Listener(l)
}

// watchClientLimits logs when clients have met the limits on what they hold.
func (n *Node) watchClientLimits(ctx context.Context, memory func() heldmemory.Usage, connections func() ingress.ConnectionUsage) {
	last, lastConnections := memory(), connections()
	for sleep(ctx, clientLimitsInterval) {
		m, c := memory(), connections()
		if m.GaveWay != last.GaveWay || m.Refused != last.Refused || c.Evicted != lastConnections.Evicted || c.Refused != lastConnections.Refused {
			eventClientLimits.Log(n.logger, "bodies_gave_way", m.GaveWay-last.GaveWay, "bodies_refused", m.Refused-last.Refused, "body_bytes", m.Used, "body_bytes_limit", m.Limit,
				"connections_evicted", c.Evicted-lastConnections.Evicted, "connections_refused", c.Refused-lastConnections.Refused, "connections", c.Open, "connections_limit", c.Limit)
		}
		last, lastConnections = m, c
	}
}
