package ingress

import (
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// calmTime is how long after the latest refusal of this host all calls are
	// taken for first attempts. Refused clients return within a second or two.
	calmTime = 3 * time.Second
	// unknownSpread is the part of the longest wait that stands for the shortest
	// wait of a first attempt until calm calls have shown it.
	unknownSpread = 0.75
)

// ages estimates how long ago a client first asked. Clients state only the time
// that they still wait. While nothing is refused, all calls are first attempts
// and show between which waits those lie; a call that waits less is taken for
// one that was refused before. It is safe for concurrent use.
type ages struct {
	mu      sync.Mutex
	refused boottime.Time
	waits   map[string]*waits
}

// waits are the shortest and longest wait of first attempts on a route.
type waits struct {
	least, most time.Duration
}

// Refused notes that a call was refused.
func (a *ages) Refused(now boottime.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = now
}

// Observe returns the age of a call that waits for the given time, 0 for a first
// attempt.
func (a *ages) Observe(r *routeplan.Route, wait time.Duration, now boottime.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waits == nil {
		a.waits = map[string]*waits{}
	}
	w := a.waits[r.Name]
	if w == nil {
		w = &waits{}
		a.waits[r.Name] = w
	}
	w.most = max(w.most, wait)
	if a.refused == 0 || now-a.refused > calmTime {
		if w.least == 0 || wait < w.least {
			w.least = wait
		}
		return 0
	}
	least := w.least
	if least == 0 {
		least = time.Duration(unknownSpread * float64(w.most))
	}
	if wait >= least {
		return 0
	}
	return (least+w.most)/2 - wait
}

// Keep forgets routes that the plan lacks.
func (a *ages) Keep(p *routeplan.Plan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := make(map[string]bool, len(p.Routes))
	for i := range p.Routes {
		names[p.Routes[i].Name] = true
	}
	for name := range a.waits {
		if !names[name] {
			delete(a.waits, name)
		}
	}
}
