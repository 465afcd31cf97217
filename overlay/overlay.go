// Package overlay computes which peers a node links to: its neighbours in a tree
// and a ring of its failure domain, and hosts of other domains. The links are a
// pure function of the member view, so nodes that agree on the members agree on
// the links without negotiation.
package overlay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// RingLinks is the number of successors in the ring that a host dials.
const RingLinks = 2

// CrossDomainRanks is the number of hosts of a domain that link to other domains:
// those of the lowest ranks.
const CrossDomainRanks = 3

// Links are the peers that a node links to.
type Links struct {
	// Rank is the node's position in its failure domain, or -1 if the node is not a
	// member.
	Rank int
	// Parent is the tree parent, empty at the root.
	Parent mesh.HostID
	// Children are the tree children in rank order.
	Children []mesh.HostID
	// Dial holds every peer to link to. The value is true if this node dials, and
	// false if the peer is expected to dial.
	Dial map[mesh.HostID]bool
	// Monitored are the peers that the node may suspect. They are all of the local
	// failure domain.
	Monitored map[mesh.HostID]bool
}

type rankedHost struct {
	host mesh.HostID
	hash uint64
}

// isMember reports whether the host of a record is part of the overlay.
func isMember(r *membership.Record) bool { return !r.State.DeadOrLeft() }

func compareRankedHosts(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
}

// rankedHosts returns the hosts of a failure domain in the order of their rank.
func rankedHosts(view *membership.View, domain mesh.FailureDomain) []rankedHost {
	var hosts []rankedHost
	for h, r := range view.Hosts {
		if r.Domain == domain && isMember(r) {
			hosts = append(hosts, rankedHost{h, xxhash.Sum64String(string(h))})
		}
	}
	slices.SortFunc(hosts, compareRankedHosts)
	return hosts
}

// lowestRankedInRemoteDomains returns the CrossDomainRanks hosts of lowest rank of each
// remote failure domain, in the order of their rank.
func lowestRankedInRemoteDomains(view *membership.View, localDomain mesh.FailureDomain) map[mesh.FailureDomain][]rankedHost {
	lowest := map[mesh.FailureDomain][]rankedHost{}
	for h, r := range view.Hosts {
		if r.Domain == localDomain || !isMember(r) {
			continue
		}
		host, hosts := rankedHost{h, xxhash.Sum64String(string(h))}, lowest[r.Domain]
		if len(hosts) == CrossDomainRanks && compareRankedHosts(host, hosts[CrossDomainRanks-1]) > 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(hosts, host, compareRankedHosts)
		hosts = slices.Insert(hosts, index, host)
		lowest[r.Domain] = hosts[:min(len(hosts), CrossDomainRanks)]
	}
	return lowest
}

// Ranking returns the IDs of the hosts of a failure domain in the order of their
// overlay rank.
func Ranking(view *membership.View, domain mesh.FailureDomain) []mesh.HostID {
	var hosts []mesh.HostID
	for _, r := range rankedHosts(view, domain) {
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

// parentIndex returns the position of the tree parent of hosts[i], for i > 0: of
// the hosts of lower rank, the one with the highest pairHash.
func parentIndex(hosts []rankedHost, i int) int {
	best, bestHash := 0, uint64(0)
	for j := range i {
		if h := pairHash(hosts[i].hash, hosts[j].hash); j == 0 || h > bestHash {
			best, bestHash = j, h
		}
	}
	return best
}

// Compute returns the links of a node. A node that is not in the view, is dead or
// has left has none.
func Compute(view *membership.View, self mesh.HostID) Links {
	links := Links{Rank: -1, Dial: map[mesh.HostID]bool{}, Monitored: map[mesh.HostID]bool{}}
	own, known := view.Hosts[self]
	if !known || !isMember(own) {
		return links
	}
	hosts := rankedHosts(view, own.Domain)
	links.Rank = slices.IndexFunc(hosts, func(r rankedHost) bool { return r.host == self })
	links.addTreeLinks(hosts)
	links.addRingLinks(hosts)
	if links.Rank < CrossDomainRanks {
		links.addCrossDomainLinks(lowestRankedInRemoteDomains(view, own.Domain), self)
	}
	return links
}

// addLink adds a link. If one of several reasons for a link makes this node dial,
// it dials.
func (l *Links) addLink(h mesh.HostID, dial bool) { l.Dial[h] = l.Dial[h] || dial }

func (l *Links) addMonitored(h mesh.HostID, dial bool) {
	l.addLink(h, dial)
	l.Monitored[h] = true
}

func (l *Links) addTreeLinks(hosts []rankedHost) {
	if l.Rank > 0 {
		l.Parent = hosts[parentIndex(hosts, l.Rank)].host
		l.addMonitored(l.Parent, true)
	}
	for i := l.Rank + 1; i < len(hosts); i++ {
		if parentIndex(hosts, i) == l.Rank {
			l.Children = append(l.Children, hosts[i].host)
			l.addMonitored(hosts[i].host, false)
		}
	}
}

func (l *Links) addRingLinks(hosts []rankedHost) {
	n := len(hosts)
	for d := 1; d <= RingLinks && d < n; d++ {
		l.addMonitored(hosts[(l.Rank+d)%n].host, true)
		l.addMonitored(hosts[(l.Rank-d+n)%n].host, false)
	}
}

func (l *Links) addCrossDomainLinks(candidates map[mesh.FailureDomain][]rankedHost, self mesh.HostID) {
	for _, hosts := range candidates {
		if len(hosts) <= l.Rank {
			continue
		}
		peer := hosts[l.Rank].host
		l.addLink(peer, self < peer)
	}
}
