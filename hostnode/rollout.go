package hostnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/rollout"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
	"geraniumnotch.example/geraniumnotch/transport"
)

const (
	// rolloutTick is the interval at which roll-outs are looked at.
	rolloutTick = 100 * time.Millisecond
	// rolloutReportInterval is the interval of the reports of endpoints to the host that
	// decides: fifty bad answers are noticed well within the seconds that operators allow.
	rolloutReportInterval = 400 * time.Millisecond
	// rolloutRepeatInterval is the interval at which the deciding host repeats the states
	// while a service has several versions.
	rolloutRepeatInterval = time.Second
	// rolloutSilence is the time without a message of the deciding host after which the next
	// one decides, and rolloutRankDelay what each further host waits beyond that.
	rolloutSilence   = 2 * time.Second
	rolloutRankDelay = 100 * time.Millisecond
	// freshReadFraction is the part of the time for a new plan for which a read of the
	// orders is a recent one; the host that reads does so after half of it.
	freshReadFraction = 0.6
)

// rolloutKeeper brings the versions of services in: it reads the operator's orders, passes
// on what this host knows, and decides if no other host does. Package rollout holds the
// decisions.
type rolloutKeeper struct {
	clock        boottime.Clock
	store        *platform.Store
	logger       hclog.Logger
	bounds       rollout.Bounds
	table        *rollout.Table
	tally        *rollout.Tally
	directory    *peers.Directory
	registration *localendpoint.Registration
	// freshRead is the age up to which a read of the orders is a recent one.
	freshRead time.Duration

	mu sync.Mutex
	// orders are the revisions of the orders that were read last.
	orders map[mesh.ServiceName]platform.Revision
	// pending are orders whose status has not been read. They are of the read that began at
	// pendingRead.
	pending     map[mesh.ServiceName]rollout.State
	pendingRead boottime.Time
	// readBegan is when the latest read of the orders by this host began.
	readBegan boottime.Time
	startedAt boottime.Time
	// decider is the host that decides, as last heard at deciderAt; at readerAt one that
	// decides and reads the store was heard.
	decider             mesh.HostID
	deciderAt, readerAt boottime.Time
	evidence            map[mesh.ServiceName]*orderEvidence
	// applied holds the steps that the other hosts follow.
	applied map[mesh.HostID][]rollout.Applied
	// greeted are the reachable hosts that know the states of this one.
	greeted map[mesh.HostID]bool
	// statuses are the revisions of the statuses, as far as they are known.
	statuses map[mesh.ServiceName]platform.Revision
	// begun are the orders whose status says that they are being followed.
	begun map[mesh.ServiceName]rollout.Revision
	// calling is set while a call to the store is in progress.
	calling bool
	// storeFailedUntil is the end of the pause after a failed call.
	storeFailedUntil boottime.Time
	// saidAt, reportedAt and usualAt are when the states and the report were sent last, and
	// when the usual service times were computed.
	saidAt, reportedAt, usualAt boottime.Time
	// mixed is set when a service has several versions.
	mixed bool
}

// orderEvidence is the evidence on the target version of an order.
type orderEvidence struct {
	order rollout.Revision
	*rollout.Evidence
}

func newRolloutKeeper(n *Node, bounds rollout.Bounds, planDeadline time.Duration) *rolloutKeeper {
	k := &rolloutKeeper{
		clock: n.clock, store: n.store, logger: n.logger, bounds: bounds, startedAt: n.clock(), tally: rollout.NewTally(),
		registration: n.registration, freshRead: time.Duration(freshReadFraction * float64(planDeadline)),
		orders: map[mesh.ServiceName]platform.Revision{}, pending: map[mesh.ServiceName]rollout.State{},
		evidence: map[mesh.ServiceName]*orderEvidence{}, applied: map[mesh.HostID][]rollout.Applied{}, greeted: map[mesh.HostID]bool{},
		statuses: map[mesh.ServiceName]platform.Revision{}, begun: map[mesh.ServiceName]rollout.Revision{},
	}
	k.table = rollout.NewTable(bounds, n.clock, func() int { return k.directory.HostCount() }, rand.Float64)
	return k
}

// run looks at the roll-outs until ctx ends.
func (k *rolloutKeeper) run(ctx context.Context) {
	for sleep(ctx, rolloutTick) {
		k.tick(ctx)
	}
}

// orderKeys returns the keys of the orders for the services of a plan, with the revisions
// that are known.
func (k *rolloutKeeper) orderKeys(p *routeplan.Plan) []platform.Known {
	if k == nil || p == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known := make([]platform.Known, 0, len(p.Services))
	for i := range p.Services {
		name := p.Services[i].Name
		known = append(known, platform.Known{Key: platform.RolloutOrderKey(name), Revision: k.orders[name]})
	}
	return known
}

// recordRead records a read of the orders that began at a time. The items have values only
// if one has changed.
func (k *rolloutKeeper) recordRead(items []platform.Item, changed bool, began boottime.Time) {
	if k == nil || len(items) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if changed {
		for _, item := range items {
			k.recordOrder(item, began)
		}
	}
	k.readBegan = began
	if len(k.pending) > 0 {
		k.pendingRead = began
		return
	}
	k.table.RecordRead(began)
}

// recordOrder records an order as the store has it. The caller holds the lock.
func (k *rolloutKeeper) recordOrder(item platform.Item, began boottime.Time) {
	service := platform.RolloutService(item.Key)
	if k.orders[service] == item.Revision {
		return
	}
	k.orders[service] = item.Revision
	if item.Revision.Number == 0 {
		return // A decision that was taken stays in effect.
	}
	order, err := platform.DecodeRolloutOrder(service, item.Value)
	if err != nil {
		eventRolloutMalformed.Log(k.logger, "service", service, "error", err)
		return
	}
	revision := rollout.Revision{Epoch: item.Revision.Epoch, Number: item.Revision.Number}
	if known := k.table.State(service); known != nil && !known.Order.Before(revision) {
		return
	}
	k.pending[service] = rollout.State{
		Service: service, Order: revision, Target: order.Target, Duration: order.Duration, Started: began, Phase: rollout.Verifying, SteppedAt: began,
	}
}

// tick observes the versions, decides if no other host does, and tells the other hosts.
func (k *rolloutKeeper) tick(ctx context.Context) {
	endpoints := k.endpoints()
	reachable := k.directory.Reachable()
	rank := k.directory.HostsAhead()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	_, k.mixed = k.table.Observe(versionsOf(endpoints))
	k.resolvePending(ctx)
	states := k.table.States()
	k.countAnswers(endpoints, states, now)
	k.greet(reachable, states)
	running := slices.ContainsFunc(states, func(s rollout.State) bool { return !s.IsFinal() })
	if !k.decides(now, rank, running) {
		k.reportToDecider(states, now, false)
		return
	}
	role := rollout.DecidesAlone
	if k.hasRead(now) {
		role = rollout.Decides
	}
	k.addReport(k.report(states), now)
	changed := false
	for _, s := range states {
		changed = k.advance(ctx, s, endpoints, reachable, now) || changed
	}
	if changed || (running || k.mixed) && now-k.saidAt >= rolloutRepeatInterval {
		k.saidAt = now
		k.tellAll(reachable, role)
	}
}

// hasRead reports whether this host has read the orders just now. The caller holds the lock.
func (k *rolloutKeeper) hasRead(now boottime.Time) bool {
	return k.readBegan != 0 && now-k.readBegan < k.freshRead
}

// endpoints returns the endpoints of all reachable hosts and of this one.
func (k *rolloutKeeper) endpoints() []*peers.EndpointStatus {
	endpoints := k.directory.Endpoints()
	if e := k.registration.Current(); e != nil && !e.Draining {
		load := e.Queue.Load()
		endpoints = append(endpoints, &peers.EndpointStatus{
			ID: e.ID, Service: e.Service, Slots: e.Slots, Running: load.Running, StartedAtMs: e.StartedAtMs, Software: e.Software,
			Classes: classStatuses(e.Queue.ClassServiceTimes(k.clock())),
		})
	}
	return endpoints
}

func versionsOf(endpoints []*peers.EndpointStatus) []rollout.SeenVersion {
	seen := map[rollout.SeenVersion]int64{}
	for _, e := range endpoints {
		v := rollout.SeenVersion{Service: e.Service, Software: e.Software}
		if first, known := seen[v]; e.Software != "" && (!known || e.StartedAtMs < first) {
			seen[v] = e.StartedAtMs
		}
	}
	return lo.MapToSlice(seen, func(v rollout.SeenVersion, startedAtMs int64) rollout.SeenVersion {
		v.StartedAtMs = startedAtMs
		return v
	})
}

// decides reports whether this host decides: the first one that can read the store, or else
// the first one. A host that has just started has not heard of all others. The caller holds
// the lock.
func (k *rolloutKeeper) decides(now boottime.Time, rank int, running bool) bool {
	silence := rolloutSilence + time.Duration(rank)*rolloutRankDelay
	switch {
	case now-k.startedAt < silence:
		return false
	case k.hasRead(now):
		return rank == 0 || now-k.readerAt >= silence
	}
	return running && now-k.deciderAt >= silence
}

// countAnswers has the answers of the local endpoint counted while its service is rolled
// out. The caller holds the lock.
func (k *rolloutKeeper) countAnswers(endpoints []*peers.EndpointStatus, states []rollout.State, now boottime.Time) {
	e := k.registration.Current()
	if e == nil || now-k.usualAt < rolloutReportInterval && k.usualAt != 0 {
		return
	}
	for i := range states {
		if s := &states[i]; s.Service == e.Service && !s.IsFinal() {
			k.usualAt = now
			k.tally.Begin(s.Order, usualServiceTimes(endpoints, s))
		}
	}
}

// usualServiceTimes returns the median service times of the earlier versions by class.
func usualServiceTimes(endpoints []*peers.EndpointStatus, s *rollout.State) map[slotqueue.Class]time.Duration {
	times := map[slotqueue.Class][]time.Duration{}
	for _, e := range endpoints {
		if e.Service != s.Service || e.Software == s.Target {
			continue
		}
		for _, c := range e.Classes {
			class := slotqueue.Class{Kind: c.Kind, Rank: c.Rank, Nested: c.Nested}
			times[class] = append(times[class], c.ServiceTime)
		}
	}
	return lo.MapValues(times, func(all []time.Duration, _ slotqueue.Class) time.Duration {
		slices.Sort(all)
		return all[len(all)/2]
	})
}

// observe counts a call at the local endpoint.
func (k *rolloutKeeper) observe(e *localendpoint.Endpoint, class slotqueue.Class, r localendpoint.Result, took time.Duration) {
	outcomes := map[localendpoint.Result]rollout.Outcome{
		localendpoint.Succeeded: rollout.Succeeded, localendpoint.Failed: rollout.Failed, localendpoint.GivenUp: rollout.GivenUp,
	}
	k.tally.Observe(class, outcomes[r], took, e.ColdUntil > k.clock())
}

// greet sends the states to the hosts that have not got them. The caller holds the lock.
func (k *rolloutKeeper) greet(reachable []mesh.HostID, states []rollout.State) {
	greeted := map[mesh.HostID]bool{}
	for _, host := range reachable {
		greeted[host] = k.greeted[host] || len(states) == 0 || k.send(host, k.message(rollout.Follows)) == nil
	}
	k.greeted = greeted
	if len(states) == 0 {
		// Each host is told once there is something to tell.
		k.greeted = map[mesh.HostID]bool{}
	}
	for host := range k.applied {
		if _, isReachable := greeted[host]; !isReachable {
			delete(k.applied, host)
		}
	}
}

// message returns what this host knows. The caller holds the lock.
func (k *rolloutKeeper) message(role rollout.Role) rollout.Message {
	now := k.clock()
	m := rollout.Message{ReadAge: k.table.ReadAge(), Role: role}
	for _, s := range k.table.States() {
		m.States = append(m.States, s.Export(now))
	}
	return m
}

// introduction returns what this host knows, for a host that may have restarted, nil if there
// is no roll-out.
func (k *rolloutKeeper) introduction() *rollout.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m := k.message(rollout.Follows); len(m.States) > 0 {
		return &m
	}
	return nil
}

func (k *rolloutKeeper) send(host mesh.HostID, m rollout.Message) error {
	return k.directory.Send(host, transport.KindRolloutState, m)
}

// tellAll sends the states to all reachable hosts. One that does not get them gets the next
// ones. The caller holds the lock.
func (k *rolloutKeeper) tellAll(reachable []mesh.HostID, role rollout.Role) {
	m := k.message(role)
	for _, host := range reachable {
		k.greeted[host] = k.send(host, m) == nil
	}
}

// report returns what the deciding host needs to know of this one. The caller holds the
// lock.
func (k *rolloutKeeper) report(states []rollout.State) *rollout.Report {
	r := &rollout.Report{}
	e := k.registration.Current()
	for _, s := range states {
		r.Applied = append(r.Applied, rollout.Applied{Service: s.Service, Order: s.Order, Phase: s.Phase, Step: s.Step})
		if e != nil && e.Service == s.Service && !s.IsFinal() {
			order, classes := k.tally.Read()
			if order == s.Order {
				r.Endpoint = &rollout.EndpointReport{
					ID: e.ID, StartedAtMs: e.StartedAtMs, Service: e.Service, Software: e.Software, Order: order, Classes: classes,
				}
			}
		}
	}
	return r
}

// reportToDecider sends a report to the host that decides, when one is due. The caller holds
// the lock.
func (k *rolloutKeeper) reportToDecider(states []rollout.State, now boottime.Time, isAsked bool) {
	if k.decider == "" || now-k.deciderAt > rolloutSilence {
		return
	}
	r := k.report(states)
	if !isAsked && (r.Endpoint == nil || now-k.reportedAt < rolloutReportInterval) {
		return
	}
	if len(r.Applied) > 0 && k.send(k.decider, rollout.Message{Report: r}) == nil {
		k.reportedAt = now
	}
}

// handle applies a message of another host.
func (k *rolloutKeeper) handle(from mesh.HostID, m transport.Message) error {
	var message rollout.Message
	if err := m.Decode(&message); err != nil {
		return err
	}
	k.record(&message, from)
	return nil
}

// record applies what another host knows.
func (k *rolloutKeeper) record(message *rollout.Message, from mesh.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	for _, s := range k.table.RecordMessage(message) {
		k.logState(s, string(from))
	}
	if message.Role != rollout.Follows {
		k.decider, k.deciderAt = from, now
		if message.Role == rollout.Decides {
			k.readerAt = now
		}
		k.reportToDecider(k.table.States(), now, true)
	}
	if message.Report != nil {
		k.applied[from] = message.Report.Applied
		k.addReport(message.Report, now)
	}
}

// addReport adds the evidence of a report, and a withdrawal that this host does not know.
// The caller holds the lock.
func (k *rolloutKeeper) addReport(r *rollout.Report, now boottime.Time) {
	for _, a := range r.Applied {
		s := k.table.State(a.Service)
		if s != nil && s.Order == a.Order && a.Phase == rollout.RolledBack && !s.IsFinal() {
			k.merge(rollout.Withdraw(*s, now), "report")
		}
	}
	e := r.Endpoint
	if e == nil {
		return
	}
	if s := k.table.State(e.Service); s != nil && s.Order == e.Order {
		k.evidenceOn(s).Add(e, now)
	}
}

func (k *rolloutKeeper) evidenceOn(s *rollout.State) *orderEvidence {
	known := k.evidence[s.Service]
	if known == nil || known.order != s.Order {
		known = &orderEvidence{order: s.Order, Evidence: rollout.NewEvidence(s.Target)}
		k.evidence[s.Service] = known
	}
	return known
}

// merge applies a state and reports whether it changed something. The caller holds the lock.
func (k *rolloutKeeper) merge(s rollout.State, source string) bool {
	merged, changed := k.table.Merge(s)
	if changed {
		k.logState(merged, source)
	}
	return changed
}

// logState logs a state that has changed.
func (k *rolloutKeeper) logState(s rollout.State, source string) {
	event := eventRolloutChanged
	if s.Phase == rollout.RolledBack {
		event = eventRolloutWithdrawn
	}
	event.Log(k.logger, "service", s.Service, "target", s.Target, "phase", s.Phase.String(), "step", s.Step, "share", s.Share,
		"trial", len(s.Trial), "stored", s.Stored, "elapsed_ms", (k.clock() - s.Started).Milliseconds(), "source", source)
}

// advance takes the next decision on a roll-out and reports whether the state changed. The
// caller holds the lock.
func (k *rolloutKeeper) advance(ctx context.Context, s rollout.State, endpoints []*peers.EndpointStatus, reachable []mesh.HostID, now boottime.Time) bool {
	in := k.input(&s, endpoints, reachable, now)
	if k.calling && s.Share >= 1 {
		return false // The store may be completing it.
	}
	next, complete := rollout.Advance(s, in)
	changed := k.merge(next, "decision")
	if next.IsFinal() {
		delete(k.evidence, s.Service)
	}
	if changed && next.Phase == rollout.RolledBack {
		eventRolloutVerdict.Log(k.logger, "service", s.Service, "target", s.Target, "answers", in.Verdict.Answers.Total, "bad", in.Verdict.Answers.Bad)
	}
	switch {
	case complete:
		k.write(ctx, next, rollout.Completed)
	case next.Phase == rollout.RolledBack && !next.Stored:
		k.write(ctx, next, rollout.RolledBack)
	case !next.IsFinal() && k.begun[s.Service] != s.Order && in.StoreAnswers:
		k.write(ctx, next, next.Phase)
	}
	return changed
}

func (k *rolloutKeeper) input(s *rollout.State, endpoints []*peers.EndpointStatus, reachable []mesh.HostID, now boottime.Time) rollout.Input {
	in := rollout.Input{Now: now, Bounds: k.bounds, Applied: true, StoreAnswers: k.hasRead(now)}
	for _, e := range endpoints {
		if e.Service != s.Service {
			continue
		}
		in.Running += e.Running
		if e.Software == s.Target {
			in.Targets = append(in.Targets, rollout.TargetEndpoint{ID: e.ID, Slots: e.Slots})
			continue
		}
		in.OldRunning += e.Running + e.Waiting
		if e.Software != "" && !slices.Contains(in.OldVersions, e.Software) {
			in.OldVersions = append(in.OldVersions, e.Software)
		}
	}
	if !s.IsFinal() {
		in.Verdict = k.evidenceOn(s).Judge(now, len(in.Targets), s.Phase == rollout.Shifting)
	}
	for _, host := range reachable {
		in.Applied = in.Applied && slices.ContainsFunc(k.applied[host], func(a rollout.Applied) bool {
			return a.Service == s.Service && a.Order == s.Order && a.Phase == s.Phase && a.Step == s.Step
		})
	}
	return in
}

// rolloutRetryDelay is the pause after a failed call to the store.
const rolloutRetryDelay = 300 * time.Millisecond

// call makes a call to the store in the background, one at a time. The result is applied
// under the lock. The caller holds the lock.
func (k *rolloutKeeper) call(ctx context.Context, do func(ctx context.Context) (apply func(now boottime.Time), err error)) {
	if k.calling || k.clock() < k.storeFailedUntil {
		return
	}
	k.calling = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
		apply, err := do(ctx)
		k.mu.Lock()
		defer k.mu.Unlock()
		now := k.clock()
		k.calling = false
		if err != nil {
			k.storeFailedUntil = now + rolloutRetryDelay
		}
		if apply != nil {
			apply(now)
		}
	}()
}

// resolvePending reads the status of one of the orders that are new to this host. The caller
// holds the lock.
func (k *rolloutKeeper) resolvePending(ctx context.Context) {
	for service, s := range k.pending {
		k.call(ctx, func(ctx context.Context) (func(boottime.Time), error) {
			item, _, err := k.store.ReadIfChanged(ctx, platform.RolloutStatusKey(service), platform.Revision{})
			if err != nil {
				return nil, err
			}
			return func(now boottime.Time) {
				if current, still := k.pending[service]; still && current.Order == s.Order {
					delete(k.pending, service)
					k.adopt(s, item, now)
				}
				if len(k.pending) == 0 {
					k.table.RecordRead(k.pendingRead)
				}
			}, nil
		})
		return
	}
}

// adopt merges the state of an order with its status in the store. The caller holds the
// lock.
func (k *rolloutKeeper) adopt(s rollout.State, status platform.Item, now boottime.Time) {
	k.statuses[s.Service] = status.Revision
	written, err := platform.DecodeRolloutStatus(status.Value)
	isOfOrder := status.Revision.Number != 0 && status.Revision.Epoch == s.Order.Epoch && status.Revision.Number > s.Order.Number && err == nil && written.Target == s.Target
	switch {
	case isOfOrder && written.State == platform.RolloutCompleted:
		s = rollout.RecordStored(s, rollout.Completed, now)
	case isOfOrder && written.State == platform.RolloutRolledBack:
		s = rollout.RecordStored(s, rollout.RolledBack, now)
	case isOfOrder:
		k.begun[s.Service] = s.Order
	default:
		if known := k.table.State(s.Service); known != nil {
			s = rollout.CarryOver(*known, s)
		}
	}
	if k.merge(s, "store") {
		clear(k.greeted) // The others are told with the next tick.
	}
}

var rolloutStates = map[rollout.Phase]string{
	rollout.Verifying: platform.RolloutRunning, rollout.Shifting: platform.RolloutRunning,
	rollout.Completed: platform.RolloutCompleted, rollout.RolledBack: platform.RolloutRolledBack,
}

// write writes the status of a phase, if neither the order nor the status has changed
// meanwhile. The caller holds the lock.
func (k *rolloutKeeper) write(ctx context.Context, s rollout.State, phase rollout.Phase) {
	known := k.statuses[s.Service]
	k.call(ctx, func(ctx context.Context) (func(boottime.Time), error) {
		value, err := platform.EncodeRolloutStatus(platform.RolloutStatus{State: rolloutStates[phase], Target: s.Target})
		if err != nil {
			return nil, err
		}
		expected := []platform.Known{
			{Key: platform.RolloutOrderKey(s.Service), Revision: platform.Revision{Epoch: s.Order.Epoch, Number: s.Order.Number}},
			{Key: platform.RolloutStatusKey(s.Service), Revision: known},
		}
		written, err := k.store.PutIf(ctx, expected, platform.Entry{Key: platform.RolloutStatusKey(s.Service), Value: value})
		if err == nil {
			return func(now boottime.Time) { k.recordWritten(s, phase, written, now) }, nil
		}
		// The write may have been executed, or that of another host.
		item, _, readErr := k.store.ReadIfChanged(ctx, platform.RolloutStatusKey(s.Service), platform.Revision{})
		return func(now boottime.Time) {
			eventRolloutNotWritten.Log(k.logger, "service", s.Service, "state", rolloutStates[phase], "reason", platform.Reason(err), "error", err)
			if current := k.table.State(s.Service); readErr == nil && current != nil && current.Order == s.Order {
				k.adopt(*current, item, now)
			}
		}, err
	})
}

// recordWritten records that the store has a status. The caller holds the lock.
func (k *rolloutKeeper) recordWritten(s rollout.State, phase rollout.Phase, written platform.Revision, now boottime.Time) {
	k.statuses[s.Service], k.begun[s.Service] = written, s.Order
	if phase != rollout.Completed && phase != rollout.RolledBack {
		return
	}
	if current := k.table.State(s.Service); current != nil && current.Order == s.Order {
		s = *current
	}
	if k.merge(rollout.RecordStored(s, phase, now), "store") {
		clear(k.greeted)
	}
}
