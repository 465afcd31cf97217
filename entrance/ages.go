package entrance

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// agesWindow is how long the longest wait of a group of routes is remembered.
const agesWindow = 10 * time.Second

// ages derives how long ago a client first asked. Clients state only the time
// that they still wait; the longest wait among calls of the same route is taken
// for that of a first attempt. It is safe for concurrent use.
type ages struct {
	mu   sync.Mutex
	most map[string]longest
}

type longest struct {
	wait, previous time.Duration
	since          boottime.Time
}

// minAge is the least difference that counts as an earlier attempt.
const minAge = 20 * time.Millisecond

// Observe returns the age of a call that waits for the given time.
func (a *ages) Observe(r *routeplan.Route, wait time.Duration, now boottime.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.most == nil {
		a.most = map[string]longest{}
	}
	m := a.most[r.Name]
	if now-m.since > agesWindow {
		m = longest{previous: m.wait, since: now}
	}
	m.wait = max(m.wait, wait)
	a.most[r.Name] = m
	if age := max(m.wait, m.previous) - wait; age >= minAge {
		return age
	}
	return 0
}

// Keep forgets routes that the plan lacks.
func (a *ages) Keep(p *routeplan.Plan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := make(map[string]bool, len(p.Routes))
	for i := range p.Routes {
		names[p.Routes[i].Name] = true
	}
	for name := range a.most {
		if !names[name] {
			delete(a.most, name)
		}
	}
}
