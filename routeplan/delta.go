package routeplan

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrBase means that a delta belongs to another version than the plan it is
// applied to.
var ErrBase = errors.New("routeplan: delta of another version")

// Delta is the difference between two versions, or a whole plan when Base is 0.
// Hosts pass plans on as deltas: a version changes a few of some hundred routes.
type Delta struct {
	_        struct{} `cbor:",toarray"`
	Base     uint64
	Version  uint64
	Services []Service
	Limits   Limits
	// Put holds the routes that are new or differ.
	Put []Route
	// Drop names the routes of the base that the version lacks.
	Drop []string
}

// Diff returns what leads from old to p. Old may be nil.
func (p *Plan) Diff(old *Plan) Delta {
	d := Delta{Version: p.Version, Services: p.Services, Limits: p.Limits}
	if old == nil {
		d.Put = p.Routes
		return d
	}
	d.Base = old.Version
	before := make(map[string]*Route, len(old.Routes))
	for i := range old.Routes {
		before[old.Routes[i].Name] = &old.Routes[i]
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		if b := before[r.Name]; b == nil || !b.equal(r) {
			d.Put = append(d.Put, *r)
		}
		delete(before, r.Name)
	}
	for name := range before {
		d.Drop = append(d.Drop, name)
	}
	return d
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind && r.Timeout == o.Timeout &&
		r.Target == o.Target && r.Rank == o.Rank && r.MaxAttempts == o.MaxAttempts && slices.Equal(r.Parts, o.Parts)
}

// Apply returns the version that the delta makes of base, compiled. Base is not
// used when the delta holds a whole plan. ErrBase means that another base is
// needed.
func (d Delta) Apply(base *Plan) (*Plan, error) {
	p := &Plan{Version: d.Version, Services: d.Services, Limits: d.Limits}
	if d.Base != 0 {
		if base == nil || base.Version != d.Base {
			return nil, errors.Wrapf(ErrBase, "base %d", d.Base)
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
