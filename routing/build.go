package routing

import (
	"cmp"
	"slices"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/membership"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Build returns the snapshot of a version and a member view. The snapshot refers to
// both, so they must not be changed afterwards. Only endpoints that accept new
// calls, and whose service the version configures, become targets. With a nil
// version the snapshot has no configuration and matches no route.
func Build(version *lists.Version, view *membership.View) *Snapshot {
	s := &Snapshot{View: view, Targets: map[mesh.ServiceName][]*Target{}}
	if version == nil || version.Config == nil {
		return s
	}
	s.Version, s.Config = version.ID, version.Config
	if view == nil {
		return s
	}
	for _, record := range view.Hosts {
		s.addHost(record)
	}
	for _, targets := range s.Targets {
		slices.SortFunc(targets, compareTargets)
	}
	return s
}

func (s *Snapshot) addHost(record *membership.Record) {
	if !acceptsCalls(record) {
		return
	}
	for _, endpoint := range record.Endpoints {
		if endpoint.State == membership.EndpointDraining || endpoint.Slots == 0 {
			continue
		}
		if _, configured := s.Config.Services[endpoint.Service]; !configured {
			continue
		}
		s.Targets[endpoint.Service] = append(s.Targets[endpoint.Service], &Target{
			Host:        record.Host,
			Domain:      record.Domain,
			CallAddress: record.CallAddress,
			Endpoint:    endpoint,
		})
	}
}

// acceptsCalls reports whether the host may receive new calls. A suspect host still
// may, because the suspicion is often wrong and a failed call can be retried at
// another host.
func acceptsCalls(record *membership.Record) bool {
	alive := record.State == membership.StateAlive || record.State == membership.StateSuspect
	return alive && record.CallAddress != ""
}

func compareTargets(a, b *Target) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
}

// Customer returns the customer whose bearer token has the given SHA-256.
func (s *Snapshot) Customer(tokenSHA256 [32]byte) (*lists.Customer, bool) {
	if s == nil || s.Config == nil {
		return nil, false
	}
	customer, ok := s.Config.ByToken[tokenSHA256]
	return customer, ok
}

// Match returns the customer's route for the path, or nil. A route whose service
// this snapshot does not configure is never returned.
func (s *Snapshot) Match(customer *lists.Customer, path string) *lists.Route {
	if s == nil || s.Config == nil {
		return nil
	}
	route := s.Config.Match(customer, path)
	if route == nil || route.Service == nil || s.Config.Services[route.Service.Name] == nil {
		return nil
	}
	return route
}
