package routeplan

import "sync"

// Splitter distributes the calls of a route over its parts by smooth weighted round
// robin. At any time each part has had its share of the calls to within one call,
// which a random choice would only approximate. It is safe for concurrent use.
type Splitter struct {
	mu sync.Mutex
	// credits holds the current weight of each part, by the name of the route.
	credits map[string][]float64
	parts   map[string][]WeightedService
}

// Choose returns the part of the route that the next call goes to.
func (s *Splitter) Choose(r *Route) WeightedService {
	if len(r.Split) == 1 {
		return r.Split[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil {
		s.credits, s.parts = map[string][]float64{}, map[string][]WeightedService{}
	}
	credits := s.credits[r.Name]
	if !sameParts(s.parts[r.Name], r.Split) {
		credits = make([]float64, len(r.Split))
		s.credits[r.Name], s.parts[r.Name] = credits, r.Split
	}
	total, best := 0.0, 0
	for i, part := range r.Split {
		credits[i] += part.Weight
		total += part.Weight
		if credits[i] > credits[best] || r.Split[best].Weight == 0 {
			best = i
		}
	}
	credits[best] -= total
	return r.Split[best]
}

func sameParts(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Retain removes the state of routes that are not in the plan.
func (s *Splitter) Retain(p *Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.credits) == 0 {
		return
	}
	names := map[string]bool{}
	for i := range p.Routes {
		names[p.Routes[i].Name] = true
	}
	for name := range s.credits {
		if !names[name] {
			delete(s.credits, name)
			delete(s.parts, name)
		}
	}
}
