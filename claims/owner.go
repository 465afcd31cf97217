package claims

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Owners determines the preferred owner of each shard by rendezvous hashing: the
// live host of all failure domains with the highest hash of shard and host, and, as
// a fallback when that host is unreachable, the live host of the local domain with
// the highest hash. A host that joins takes over only the shards for which its hash
// is the highest. Ownership is advisory, because hosts with different views see
// different owners. It depends on the current view alone: if it also depended on
// earlier views, hosts could still see different owners after their views agree.
type Owners struct {
	domain mesh.FailureDomain
	cached atomic.Pointer[ownerTable]
}

// ownerTable holds the owners in one view.
type ownerTable struct {
	view          *membership.View
	global, local bestHosts
}

// bestHosts holds, for each shard, the host with the highest hash so far.
type bestHosts struct {
	hosts   [ShardCount]mesh.HostID
	weights [ShardCount]uint64
}

// NewOwners returns the Owners for a host of domain.
func NewOwners(domain mesh.FailureDomain) *Owners { return &Owners{domain: domain} }

// Owner returns the owner of a shard in view, or "" if there is no live host.
func (o *Owners) Owner(view *membership.View, shard ShardID) mesh.HostID {
	return o.table(view).global.hosts[shard]
}

// LocalOwner returns the owner of a shard among the hosts of the local domain, or ""
// if there is no live host in it.
func (o *Owners) LocalOwner(view *membership.View, shard ShardID) mesh.HostID {
	return o.table(view).local.hosts[shard]
}

func (o *Owners) table(view *membership.View) *ownerTable {
	table := o.cached.Load()
	if table == nil || table.view != view {
		table = o.compute(view)
		o.cached.Store(table)
	}
	return table
}

func (o *Owners) compute(view *membership.View) *ownerTable {
	table := &ownerTable{view: view}
	if view == nil {
		return table
	}
	for id, record := range view.Hosts {
		if record.State != membership.StateAlive {
			continue
		}
		hash := xxhash.Sum64String(string(id))
		for shard := range ShardID(ShardCount) {
			weight := membership.RendezvousWeight(uint64(shard), hash)
			table.global.consider(shard, id, weight)
			if record.Domain == o.domain {
				table.local.consider(shard, id, weight)
			}
		}
	}
	return table
}

// consider makes host the owner of the shard if its weight is the highest so far. The
// host ID decides between equal weights.
func (c *bestHosts) consider(shard ShardID, host mesh.HostID, weight uint64) {
	current := c.hosts[shard]
	if current == "" || weight > c.weights[shard] || weight == c.weights[shard] && host > current {
		c.hosts[shard], c.weights[shard] = host, weight
	}
}
