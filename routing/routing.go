// Package routing builds the immutable snapshot that a call uses from its arrival
// to its end: the version of the lists, the limits and the endpoint table. A new
// snapshot replaces the active one by an atomic pointer swap.
package routing

import (
	"sync/atomic"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Target is an endpoint that may receive calls, with the host that serves it.
type Target struct {
	Host        mesh.HostID
	Domain      mesh.FailureDomain
	CallAddress string
	Endpoint    membership.Endpoint
}

// Key identifies a target across snapshots.
type Key struct {
	Host     mesh.HostID
	Endpoint mesh.EndpointID
}

// Key returns the identity of the target.
func (t *Target) Key() Key { return Key{Host: t.Host, Endpoint: t.Endpoint.ID} }

// Snapshot is the state by which a node routes calls. It is immutable.
type Snapshot struct {
	Version mesh.VersionID
	Config  *lists.Config
	// Targets holds the endpoints of each service that accept new calls, sorted by
	// host and endpoint ID.
	Targets map[mesh.ServiceName][]*Target
	View    *membership.View
}

// Current holds the active snapshot. Readers never block.
type Current struct{ p atomic.Pointer[Snapshot] }

// Load returns the active snapshot, or nil before the first one is stored.
func (c *Current) Load() *Snapshot { return c.p.Load() }

// Store activates s for calls that start from now on.
func (c *Current) Store(s *Snapshot) { c.p.Store(s) }
