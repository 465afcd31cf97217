package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/events"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/transport"
)

var (
	eventRejecting  = events.Define(2560, hclog.Info, "calls rejected beyond the quota of a workspace", "None if the workspace asks for more than its quota; raise the quota in the route plan if that is too low.")
	eventUnanswered = events.Define(2561, hclog.Warn, "owner of a quota did not answer in time", "Calls were rejected meanwhile; event 2401 names the hosts that are unreachable.")
	eventPartial    = events.Define(2562, hclog.Warn, "quotas are filled in part", "Other hosts are unreachable or have lost links; their parts of the quotas are not available to the workspaces that this host owns.")
	eventWhole      = events.Define(2563, hclog.Info, "quotas are filled in whole", "None.")
	eventEmptied    = events.Define(2564, hclog.Warn, "quotas emptied after a suspension", "None; other hosts may have granted them meanwhile. See event 2505.")
)

// logInterval is the shortest time between two lines about the same workspace, or about
// owners that do not answer.
const logInterval = 5 * time.Second

// Config configures a Service.
type Config struct {
	Self   mesh.HostID
	Bound  Bound
	Clock  boottime.Clock
	Logger hclog.Logger
	// Number rises with each start of the host.
	Number int64
	// Hosts returns the other hosts of the mesh.
	Hosts func() Hosts
	// Send sends a message to a host without waiting.
	Send func(to mesh.HostID, kind transport.Kind, body any) error
}

// Service decides about the calls of workspaces. It connects a State with the other
// hosts, and is safe for concurrent use.
type Service struct {
	config Config

	mu    sync.Mutex
	state *State
	// active is set while a workspace of the plan has a quota.
	active  bool
	waiting map[uint64]chan Decision
	lines   map[mesh.WorkspaceName]*rejectionLine
	// unansweredAt is when the last line about an owner was written, unanswered the calls
	// up to then, emptied the suspensions.
	unansweredAt        boottime.Time
	unanswered, emptied int64
	// partial is set after a line about quotas that are filled in part; wholeAt is when
	// they were last filled in whole.
	partial bool
	wholeAt boottime.Time
}

// rejectionLine counts the rejections of a workspace since its last line.
type rejectionLine struct {
	rejected int64
	loggedAt boottime.Time
}

// NewService returns a service without a plan, which admits nothing.
func NewService(config Config) *Service {
	random := rand.New(rand.NewPCG(uint64(config.Number), rand.Uint64()))
	return &Service{
		config: config, state: New(config.Self, config.Bound, config.Number, random, config.Clock()),
		waiting: map[uint64]chan Decision{}, lines: map[mesh.WorkspaceName]*rejectionLine{},
	}
}

// SetPlan applies the quotas of a plan.
func (s *Service) SetPlan(p *routeplan.Plan) {
	limits := map[mesh.WorkspaceName]Limit{}
	for i := range p.Workspaces {
		if w := &p.Workspaces[i]; w.HasQuota() {
			limits[w.Name] = Limit{CallsPerSecond: w.CallsPerSecond, Burst: w.Burst}
		}
	}
	s.mu.Lock()
	s.active = len(limits) > 0
	for w := range s.lines {
		if _, ok := limits[w]; !ok {
			delete(s.lines, w)
		}
	}
	s.state.SetPlan(limits, s.config.Clock())
	s.finish()
}

// Run calls the state at each TickInterval until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	active := s.active
	s.mu.Unlock()
	if !active {
		return
	}
	hosts := s.config.Hosts()
	now := s.config.Clock()
	s.mu.Lock()
	s.state.SetHosts(hosts, now)
	s.state.Tick(now)
	s.logState(now)
	s.finish()
}

// logState logs what has changed. The caller holds the lock.
func (s *Service) logState(now boottime.Time) {
	if n := s.state.Counters.NoAnswer; n > s.unanswered && (s.unansweredAt == 0 || now-s.unansweredAt >= logInterval) {
		eventUnanswered.Log(s.config.Logger, "calls", n-s.unanswered)
		s.unanswered, s.unansweredAt = n, now
	}
	if n := s.state.Counters.Emptied; n > s.emptied {
		eventEmptied.Log(s.config.Logger, "workspaces", s.state.Owned())
		s.emptied = n
	}
	part := s.state.SmallestPart()
	switch {
	case part == 1 && s.partial:
		s.partial = false
		eventWhole.Log(s.config.Logger, "workspaces", s.state.Owned())
	case part == 1:
		s.wholeAt = now
	case !s.partial && now-s.wholeAt >= logInterval: // Restarts of hosts take less.
		s.partial = true
		eventPartial.Log(s.config.Logger, "workspaces", s.state.Owned(), "part", part)
	}
}

// Acquire takes a token for a call of a workspace. It reports false and the time after
// which there is room if the call is rejected.
func (s *Service) Acquire(ctx context.Context, w *routeplan.Workspace) (retryAfter time.Duration, admitted bool) {
	s.mu.Lock()
	d, decided := s.state.Acquire(w.Name, s.config.Clock())
	if !decided {
		ch := make(chan Decision, 1)
		s.waiting[d.Call] = ch
		s.finish()
		select {
		case d = <-ch:
		case <-ctx.Done():
			return s.cancel(w.Name, d.Call, ch)
		}
	} else {
		s.finish()
	}
	if !d.Admitted {
		s.recordRejection(w)
	}
	return d.RetryAfter, d.Admitted
}

// cancel ends the wait of a call whose client has left.
func (s *Service) cancel(w mesh.WorkspaceName, call uint64, ch chan Decision) (retryAfter time.Duration, admitted bool) {
	s.mu.Lock()
	s.state.Cancel(w, call)
	delete(s.waiting, call)
	s.mu.Unlock()
	select {
	case d := <-ch:
		return d.RetryAfter, d.Admitted
	default:
		return noOwnerRetry, false
	}
}

// recordRejection counts a rejection for the line of its workspace.
func (s *Service) recordRejection(w *routeplan.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.lines[w.Name]
	if line == nil {
		if !s.state.HasQuota(w.Name) {
			return
		}
		line = &rejectionLine{loggedAt: -logInterval}
		s.lines[w.Name] = line
	}
	line.rejected++
	if now := s.config.Clock(); now-line.loggedAt >= logInterval {
		eventRejecting.Log(s.config.Logger, "workspace", w.Name, "calls", line.rejected, "calls_per_s", w.CallsPerSecond, "burst", w.Burst, "owner", s.state.Owner(w.Name))
		*line = rejectionLine{loggedAt: now}
	}
}

// Refund returns the token of a call that no endpoint received.
func (s *Service) Refund(w *routeplan.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Refund(w.Name, s.config.Clock())
}

// Handlers returns the handlers of the messages of other hosts.
func (s *Service) Handlers() map[transport.Kind]func(from mesh.HostID, m transport.Message) error {
	return map[transport.Kind]func(mesh.HostID, transport.Message) error{
		transport.KindWorkspaceDemand: s.handleDemand, transport.KindWorkspaceGrant: s.handleGrant,
	}
}

func (s *Service) handleDemand(from mesh.HostID, m transport.Message) error {
	var d Demand
	if err := m.Decode(&d); err != nil {
		return err
	}
	if err := d.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	s.state.HandleDemand(from, &d, s.config.Clock())
	s.finish()
	return nil
}

func (s *Service) handleGrant(from mesh.HostID, m transport.Message) error {
	var g Grant
	if err := m.Decode(&g); err != nil {
		return err
	}
	if err := g.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	s.state.HandleGrant(from, &g, s.config.Clock())
	s.finish()
	return nil
}

// finish delivers decisions, releases the lock and sends messages.
func (s *Service) finish() {
	out := s.state.TakeOutput()
	for _, d := range out.Decisions {
		if ch := s.waiting[d.Call]; ch != nil {
			ch <- d // It has room for the only decision.
			delete(s.waiting, d.Call)
		}
	}
	s.mu.Unlock()
	for _, m := range out.Messages {
		s.send(m)
	}
}

// send sends a message. A demand that is lost is sent again, as is a view.
func (s *Service) send(m Message) {
	if m.Grant != nil {
		_ = s.config.Send(m.To, transport.KindWorkspaceGrant, m.Grant) // Its tokens expire; the host asks again.
		return
	}
	if err := s.config.Send(m.To, transport.KindWorkspaceDemand, m.Demand); err != nil && m.Demand.View != nil {
		s.mu.Lock()
		s.state.Unsent(m.To)
		s.mu.Unlock()
	}
}

// Stats is what the metrics show.
type Stats struct {
	Counters
	Owned int
	// SmallestPart is the smallest part of an owned quota that is filled, 1 without any.
	SmallestPart float64
}

// Stats returns the current figures.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Counters: s.state.Counters, Owned: s.state.Owned(), SmallestPart: s.state.SmallestPart()}
}
