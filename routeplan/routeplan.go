// Package routeplan holds the operator's configuration as immutable values: the
// routes with their services, weights, time limits and ranks, and the limits for
// clients. A plan is decoded and validated as a whole and replaced as a whole.
package routeplan

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Errors of Compile.
var (
	ErrNoVersion = errors.New("routeplan: version is zero")
	ErrRoute     = errors.New("routeplan: malformed route")
	ErrLimit     = errors.New("routeplan: limit out of range")
	ErrNoService = errors.New("routeplan: route to a service that is not in the plan")
	ErrDuplicate = errors.New("routeplan: two routes with the same host and prefix")
	ErrWeights   = errors.New("routeplan: traffic split with a negative weight or without a positive one")
)

// Kind says how often a call may be executed.
type Kind uint8

// The kinds of calls. Only Idempotent and Download calls may be executed more than
// once.
const (
	Idempotent Kind = iota + 1
	AtMostOnce
	Upload
	// Download calls are idempotent and have long responses.
	Download
)

// IsIdempotent reports whether calls of the kind may be executed more than once.
func (k Kind) IsIdempotent() bool { return k == Idempotent || k == Download }

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at_most_once"
	case Upload:
		return "upload"
	case Download:
		return "download"
	}
	return "unknown"
}

// WeightedService is one service of a route with its share of the calls.
type WeightedService struct {
	_       struct{} `cbor:",toarray"`
	Service mesh.ServiceName
	// Weight is relative to the other parts of the route.
	Weight float64
}

// Route says to which services calls with a host name and a path prefix go.
type Route struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value.
	LatencyTarget time.Duration
	// Rank is the priority; 0 is the most urgent.
	Rank uint8
	// MaxAttempts is the number of endpoints that one call may be sent to.
	MaxAttempts int
	Split       []WeightedService
	// Public is set when calls on the route need no key. Hosts exchange it apart from the
	// other fields, see Delta.
	Public bool `cbor:"-"`
}

// HasKind reports whether a route is of the kind.
func (p *Plan) HasKind(k Kind) bool {
	return slices.ContainsFunc(p.Routes, func(r Route) bool { return r.Kind == k })
}

// Service describes a service of the plan.
type Service struct {
	_              struct{} `cbor:",toarray"`
	Name           mesh.ServiceName
	HealthPath     string
	MaxConnections int
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	_             struct{} `cbor:",toarray"`
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is one version of the configuration. It must not be modified after
// Compile.
type Plan struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces is empty when calls need no keys.
	Workspaces []Workspace

	longestTimeout time.Duration

	byKey    map[Fingerprint]*Workspace
	byHost   map[string]map[string]*Route
	services map[mesh.ServiceName]*Service
}

// Compile validates the plan and builds its index. The plan is unusable when an
// error is returned.
func (p *Plan) Compile() error {
	if p.Version == 0 {
		return ErrNoVersion
	}
	if p.Limits.HeaderBytes <= 0 || p.Limits.BodyBytes <= 0 || p.Limits.HeaderTimeout <= 0 || p.Limits.IdleTimeout <= 0 {
		return errors.Wrapf(ErrLimit, "%+v", p.Limits)
	}
	p.services = make(map[mesh.ServiceName]*Service, len(p.Services))
	for i := range p.Services {
		p.services[p.Services[i].Name] = &p.Services[i]
	}
	if err := p.indexWorkspaces(); err != nil {
		return err
	}
	p.byHost = map[string]map[string]*Route{}
	for i := range p.Routes {
		if err := p.addRoute(&p.Routes[i]); err != nil {
			return err
		}
	}
	return nil
}

// addRoute validates a route and adds it to the index.
func (p *Plan) addRoute(r *Route) error {
	switch {
	case r.Host == "" || len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return errors.Wrapf(ErrRoute, "%s: host %q, prefix %q", r.Name, r.Host, r.Prefix)
	case r.Kind < Idempotent || r.Kind > Download:
		return errors.Wrapf(ErrRoute, "%s: unknown kind", r.Name)
	case r.Timeout <= 0 || r.LatencyTarget <= 0 || r.MaxAttempts < 1 || len(r.Split) == 0:
		return errors.Wrapf(ErrRoute, "%s: timeout %s, target %s, attempts %d, parts %d", r.Name, r.Timeout, r.LatencyTarget, r.MaxAttempts, len(r.Split))
	}
	total := 0.0
	for _, part := range r.Split {
		if p.services[part.Service] == nil {
			return errors.Wrapf(ErrNoService, "%s to %q", r.Name, part.Service)
		}
		if part.Weight < 0 {
			return errors.Wrapf(ErrWeights, "%s", r.Name)
		}
		total += part.Weight
	}
	if total <= 0 {
		return errors.Wrapf(ErrWeights, "%s", r.Name)
	}
	prefixes := p.byHost[r.Host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		p.byHost[r.Host] = prefixes
	}
	if prefixes[r.Prefix] != nil {
		return errors.Wrapf(ErrDuplicate, "%s %s", r.Host, r.Prefix)
	}
	prefixes[r.Prefix] = r
	p.longestTimeout = max(p.longestTimeout, r.Timeout)
	return nil
}

// LongestTimeout returns the longest timeout of a route.
func (p *Plan) LongestTimeout() time.Duration { return p.longestTimeout }

// Match returns the route of the host with the longest prefix of the path, or nil.
// A query is not part of the path.
func (p *Plan) Match(host, path string) *Route {
	prefixes := p.byHost[host]
	if prefixes == nil {
		return nil
	}
	for i := len(path); i > 0; i-- {
		if path[i-1] == '/' {
			if r := prefixes[path[:i]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (p *Plan) Service(name mesh.ServiceName) *Service { return p.services[name] }

// ActivePlan holds the active plan. The zero value holds none. Reads take no lock.
type ActivePlan struct {
	plan atomic.Pointer[Plan]
	mu   sync.Mutex
}

// Load returns the active plan, or nil.
func (c *ActivePlan) Load() *Plan { return c.plan.Load() }

// Activate activates a compiled plan and reports true, unless the active plan has
// the same or a higher version.
func (c *ActivePlan) Activate(p *Plan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.plan.Load(); old != nil && old.Version >= p.Version {
		return false
	}
	c.plan.Store(p)
	return true
}
