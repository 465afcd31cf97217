package routeplan

import (
	"slices"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
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
	// Workspaces is nil if the version has no workspaces. Hosts exchange it apart from the
	// other fields, since earlier programs do not know it.
	Workspaces *WorkspaceDelta `cbor:"-"`
	// MayLackWorkspaces is set by the receiver for deltas of programs that do not know
	// workspaces: they omit those of the version.
	MayLackWorkspaces bool `cbor:"-"`
}

// WorkspaceDelta is the part of a delta about workspaces.
type WorkspaceDelta struct {
	_ struct{} `cbor:",toarray"`
	// Put holds the workspaces that are new or differ.
	Put []Workspace
	// Drop holds the names of the workspaces that the version removes.
	Drop []mesh.WorkspaceName
	// Public holds the names of all public routes of the version.
	Public []string
}

// Diff returns the delta from old to p, the whole plan when old is nil.
func (p *Plan) Diff(old *Plan) Delta {
	d := Delta{Version: p.Version, Services: p.Services, Limits: p.Limits, Workspaces: p.diffWorkspaces(old)}
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

// diffWorkspaces returns the difference of the workspaces to those of old, which may be
// nil, or nil if the plan has none.
func (p *Plan) diffWorkspaces(old *Plan) *WorkspaceDelta {
	if !p.RequiresKeys() {
		return nil
	}
	d := &WorkspaceDelta{}
	for i := range p.Routes {
		if p.Routes[i].Public {
			d.Public = append(d.Public, p.Routes[i].Name)
		}
	}
	if old == nil {
		d.Put = p.Workspaces
		return d
	}
	previous := make(map[mesh.WorkspaceName]*Workspace, len(old.Workspaces))
	for i := range old.Workspaces {
		previous[old.Workspaces[i].Name] = &old.Workspaces[i]
	}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		if before := previous[w.Name]; before == nil || !before.equal(w) {
			d.Put = append(d.Put, *w)
		}
		delete(previous, w.Name)
	}
	for name := range previous {
		d.Drop = append(d.Drop, name)
	}
	return d
}

func (w *Workspace) equal(o *Workspace) bool {
	return w.Name == o.Name && w.HasRank == o.HasRank && w.Rank == o.Rank && w.CallsPerSecond == o.CallsPerSecond && w.Burst == o.Burst &&
		slices.Equal(w.Keys, o.Keys)
}

// equal compares what Put holds; which routes are public is stated for all of them.
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
	d.Workspaces.apply(p, base, d.Base != 0)
	return p, p.Compile()
}

// apply sets the workspaces of the new version p and which of its routes are public. A nil
// delta leaves none.
func (d *WorkspaceDelta) apply(p, base *Plan, hasBase bool) {
	public := map[string]bool{}
	if d != nil {
		for _, name := range d.Public {
			public[name] = true
		}
	}
	for i := range p.Routes {
		p.Routes[i].Public = public[p.Routes[i].Name]
	}
	if d == nil {
		return
	}
	if hasBase {
		replaced := make(map[mesh.WorkspaceName]bool, len(d.Put)+len(d.Drop))
		for i := range d.Put {
			replaced[d.Put[i].Name] = true
		}
		for _, name := range d.Drop {
			replaced[name] = true
		}
		for i := range base.Workspaces {
			if !replaced[base.Workspaces[i].Name] {
				p.Workspaces = append(p.Workspaces, base.Workspaces[i])
			}
		}
	}
	p.Workspaces = append(p.Workspaces, d.Put...)
}
