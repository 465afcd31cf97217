package node

import (
	"golang.org/x/sys/unix"

	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/operator"
	"geraniumnotch.example/geraniumnotch/settings"
)

// Names of the servers of a node.
const (
	serverEntry     = "entry"
	serverCall      = "call"
	serverOperator  = "operator"
	serverPeer      = "peer"
	serverEndpoints = "endpoints"
)

// descriptorFractions are the fractions of the descriptors of the process for the connections
// of each server. The rest is for connections to gates, endpoints, peers and the store.
var descriptorFractions = map[string]float64{
	serverEntry: 0.25, serverCall: 0.25, serverPeer: 0.1, serverOperator: 0.04, serverEndpoints: 0.04,
}

const (
	// maxCallConnections is the largest number of connections of other nodes for calls: 20
	// from each of 200.
	maxCallConnections = 4096
	// maxOtherConnections is the largest number of connections of a server that neither
	// callers nor calls use.
	maxOtherConnections = 1024
)

// maxConnections returns the number of connections that each server may have.
func maxConnections(limits settings.Limits, descriptors uint64) map[string]int {
	connections := map[string]int{}
	for name, fraction := range descriptorFractions {
		most := maxOtherConnections
		switch name {
		case serverEntry:
			most = limits.Connections
		case serverCall:
			most = maxCallConnections
		}
		connections[name] = int(min(float64(most), fraction*float64(descriptors)))
	}
	return connections
}

// operatorMemoryBytes is what the requests of operators may hold: the longest one takes twice
// its length while it is read, and long ones may take three quarters of an account.
const operatorMemoryBytes = 3 * operator.MaxBodyBytes

// memoryOf returns the account of a server. Operators have one of their own, so that callers
// cannot keep them out, and a long proposal needs no memory of callers.
func (p *components) memoryOf(server string) *heldmemory.Account {
	if server == serverOperator {
		return p.operatorMemory
	}
	return p.clientMemory
}

// descriptors returns the number of files that the process may open.
func descriptors() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return limit.Cur
}

// defaultDescriptors applies where the system does not tell: the usual limit of a login
// session.
const defaultDescriptors = 1024
