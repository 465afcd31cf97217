package routeplan

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrBaseVersion means that a delta has another base version than the plan that it
// is applied to.
var ErrBaseVersion = errors.New("routeplan: delta has another base version")

// Delta is the difference between two versions, or a whole plan when Base is 0.
// Hosts send plans to each other as deltas, because a version changes only a few of
// some hundred routes.
type Delta struct {
	_        struct{} `cbor:",toarray"`
	Base     uint64
	Version  uint64
	Services []Service
	Limits   Limits
	// Put holds the routes that are new or differ.
	Put []Route
	// Drop holds the names of the routes that the version removes.
	Drop []string
}

// Diff returns the delta from old to p, the whole plan when old is nil.
func (p *Plan) Diff(old *Plan) Delta {
	d := Delta{Version: p.Version, Services: p.Services, Limits: p.Limits}
	if old == nil {
		d.Put = p.Routes
		return d
	}
	d.Base = old.Version
	oldRoutes := make(map[string]*Route, len(old.Routes))
	for i := range old.Routes {
		oldRoutes[old.Routes[i].Name] = &old.Routes[i]
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		if previous := oldRoutes[r.Name]; previous == nil || !previous.equal(r) {
			d.Put = append(d.Put, *r)
		}
		delete(oldRoutes, r.Name)
	}
	for name := range oldRoutes {
		d.Drop = append(d.Drop, name)
	}
	return d
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind && r.Timeout == o.Timeout &&
		r.LatencyTarget == o.LatencyTarget && r.Rank == o.Rank && r.MaxAttempts == o.MaxAttempts && slices.Equal(r.Split, o.Split)
}

// Apply applies the delta to base and returns the compiled new version. Base is not
// used when the delta holds a whole plan. The error is ErrBaseVersion when the delta
// has another base version.
func (d Delta) Apply(base *Plan) (*Plan, error) {
	p := &Plan{Version: d.Version, Services: d.Services, Limits: d.Limits}
	if d.Base != 0 {
		if base == nil || base.Version != d.Base {
			return nil, errors.Wrapf(ErrBaseVersion, "base %d", d.Base)
		}
		replaced := make(map[string]bool, len(d.Put)+len(d.Drop))
		for i := range d.Put {
			replaced[d.Put[i].Name] = true
		}
		for _, name := range d.Drop {
			replaced[name] = true
		}
		p.Routes = make([]Route, 0, len(base.Routes)+len(d.Put))
		for i := range base.Routes {
			if !replaced[base.Routes[i].Name] {
				p.Routes = append(p.Routes, base.Routes[i])
			}
		}
	}
	p.Routes = append(p.Routes, d.Put...)
	return p, p.Compile()
}
