package routeplan

import "sync"

// Splitter distributes the calls of split routes over their parts. Each part
// gets its share within one call at any moment, which a random choice would only
// approach. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	owed   map[string][]float64
	weight map[string][]Part
}

// Choose returns the part of the route that the next call goes to.
func (s *Splitter) Choose(r *Route) Part {
	if len(r.Parts) == 1 {
		return r.Parts[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owed == nil {
		s.owed, s.weight = map[string][]float64{}, map[string][]Part{}
	}
	owed := s.owed[r.Name]
	if !sameParts(s.weight[r.Name], r.Parts) {
		owed = make([]float64, len(r.Parts))
		s.owed[r.Name], s.weight[r.Name] = owed, r.Parts
	}
	total, best := 0.0, 0
	for i, part := range r.Parts {
		owed[i] += part.Weight
		total += part.Weight
		if owed[i] > owed[best] || r.Parts[best].Weight == 0 {
			best = i
		}
	}
	owed[best] -= total
	return r.Parts[best]
}

func sameParts(a, b []Part) bool {
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

// Keep forgets the state of routes that the plan lacks.
func (s *Splitter) Keep(p *Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.owed) == 0 {
		return
	}
	names := map[string]bool{}
	for i := range p.Routes {
		names[p.Routes[i].Name] = true
	}
	for name := range s.owed {
		if !names[name] {
			delete(s.owed, name)
			delete(s.weight, name)
		}
	}
}
