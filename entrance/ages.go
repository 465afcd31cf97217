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
// that they still wait; the longest wait among calls of the same kind and rank
// is taken for that of a first attempt. It is safe for concurrent use.
type ages struct {
	mu   sync.Mutex
	most map[ageGroup]longest
}

type ageGroup struct {
	kind   routeplan.Kind
	rank   uint8
	target time.Duration
}

type longest struct {
	wait, previous time.Duration
	since          boottime.Time
}

// minAge is the least difference that counts as an earlier attempt.
const minAge = 20 * time.Millisecond

// Observe returns the age of a call that waits for the given time.
func (a *ages) Observe(r *routeplan.Route, wait time.Duration, now boottime.Time) time.Duration {
	group := ageGroup{r.Kind, r.Rank, r.Target}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.most == nil {
		a.most = map[ageGroup]longest{}
	}
	m := a.most[group]
	if now-m.since > agesWindow {
		m = longest{previous: m.wait, since: now}
	}
	m.wait = max(m.wait, wait)
	a.most[group] = m
	if age := max(m.wait, m.previous) - wait; age >= minAge {
		return age
	}
	return 0
}
