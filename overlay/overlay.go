// Package overlay computes which peers a node links to. The link set is a pure
// function of the member view, so nodes that agree on the members agree on the
// links without negotiation.
package overlay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// RingLinks is the number of following hosts that a host links to.
const RingLinks = 2

// CrossRanks is the number of hosts of a domain that link to other domains.
const CrossRanks = 3

// Links are the peers of a node. The node dials those in Dial; peers dial the
// node in the other cases. Hosts in Monitored are of the node's own failure
// domain.
type Links struct {
	// Rank is the node's position in its failure domain.
	Rank int
	// Parent is the tree parent, empty at the root.
	Parent mesh.HostID
	// Children are the tree children in rank order.
	Children []mesh.HostID
	// Dial maps each wanted peer to whether this node is the one to dial.
	Dial map[mesh.HostID]bool
	// Monitored are the peers that the node may suspect.
	Monitored map[mesh.HostID]bool
}

type ranked struct {
	host mesh.HostID
	hash uint64
}

// member reports whether a record takes part in the overlay.
func member(r *membership.Record) bool { return !r.State.DeadOrLeft() }

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
}

// ranking returns the hosts of a failure domain in the order of their rank.
func ranking(view *membership.View, domain mesh.FailureDomain) []ranked {
	var hosts []ranked
	for h, r := range view.Hosts {
		if r.Domain == domain && member(r) {
			hosts = append(hosts, ranked{h, xxhash.Sum64String(string(h))})
		}
	}
	slices.SortFunc(hosts, compareRanked)
	return hosts
}

// leaders returns the first hosts of each other failure domain in the order of
// their rank.
func leaders(view *membership.View, own mesh.FailureDomain) map[mesh.FailureDomain][]ranked {
	first := map[mesh.FailureDomain][]ranked{}
	for h, r := range view.Hosts {
		if r.Domain == own || !member(r) {
			continue
		}
		host, found := ranked{h, xxhash.Sum64String(string(h))}, first[r.Domain]
		if len(found) == CrossRanks && compareRanked(host, found[CrossRanks-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(found, host, compareRanked)
		found = slices.Insert(found, at, host)
		first[r.Domain] = found[:min(len(found), CrossRanks)]
	}
	return first
}

// Ranking returns the hosts of a failure domain in the order of their overlay
// rank.
func Ranking(view *membership.View, domain mesh.FailureDomain) []mesh.HostID {
	var hosts []mesh.HostID
	for _, r := range ranking(view, domain) {
		hosts = append(hosts, r.host)
	}
	return hosts
}

// pairHash mixes the hashes of a child and a candidate parent. The multiplier
// is that of the SplitMix64 finaliser.
func pairHash(child, parent uint64) uint64 {
	x := child ^ (parent<<31 | parent>>33)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// parentIndex returns the position of the tree parent of hosts[i], for i > 0.
func parentIndex(hosts []ranked, i int) int {
	best, bestHash := 0, uint64(0)
	for j := range i {
		if h := pairHash(hosts[i].hash, hosts[j].hash); j == 0 || h > bestHash {
			best, bestHash = j, h
		}
	}
	return best
}

// Compute returns the links of a node. A node that is not in the view, or gone,
// has none.
func Compute(view *membership.View, self mesh.HostID) Links {
	links := Links{Rank: -1, Dial: map[mesh.HostID]bool{}, Monitored: map[mesh.HostID]bool{}}
	own, known := view.Hosts[self]
	if !known || !member(own) {
		return links
	}
	hosts := ranking(view, own.Domain)
	links.Rank = slices.IndexFunc(hosts, func(r ranked) bool { return r.host == self })
	links.tree(hosts)
	links.ring(hosts)
	if links.Rank < CrossRanks {
		links.cross(leaders(view, own.Domain), self)
	}
	return links
}

// want adds a link; a link that this node dials for one reason stays dialed.
func (l *Links) want(h mesh.HostID, dial bool) { l.Dial[h] = l.Dial[h] || dial }

func (l *Links) monitor(h mesh.HostID, dial bool) {
	l.want(h, dial)
	l.Monitored[h] = true
}

func (l *Links) tree(hosts []ranked) {
	if l.Rank > 0 {
		l.Parent = hosts[parentIndex(hosts, l.Rank)].host
		l.monitor(l.Parent, true)
	}
	for i := l.Rank + 1; i < len(hosts); i++ {
		if parentIndex(hosts, i) == l.Rank {
			l.Children = append(l.Children, hosts[i].host)
			l.monitor(hosts[i].host, false)
		}
	}
}

func (l *Links) ring(hosts []ranked) {
	n := len(hosts)
	for d := 1; d <= RingLinks && d < n; d++ {
		l.monitor(hosts[(l.Rank+d)%n].host, true)
		l.monitor(hosts[(l.Rank-d+n)%n].host, false)
	}
}

func (l *Links) cross(leaders map[mesh.FailureDomain][]ranked, self mesh.HostID) {
	for _, hosts := range leaders {
		if len(hosts) <= l.Rank {
			continue
		}
		peer := hosts[l.Rank].host
		l.want(peer, self < peer)
	}
}
