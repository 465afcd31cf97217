package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/quota"
)

const ms = time.Millisecond

var testBound = quota.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// modelStep is the resolution of the model's clock.
const modelStep = 5 * ms

// model runs the states of some hosts with a bag of messages. Hosts notice lost links as
// late as peers.Directory does, each at its own time.
type model struct {
	t       rapid.TB
	random  *rand.Rand
	now     boottime.Time
	hosts   []*modelHost
	links   map[[2]int]*modelLink
	events  map[boottime.Time][]func()
	limits  map[mesh.WorkspaceName]quota.Limit
	pending map[modelCall]pendingCall
	// refundDelay is the longest time between an admission and its refund.
	refundDelay time.Duration
	executed    map[mesh.WorkspaceName][]boottime.Time
	rejected    map[mesh.WorkspaceName]int
}

type modelHost struct {
	index   int
	state   *quota.State
	starts  int64
	limits  map[mesh.WorkspaceName]quota.Limit
	frozen  bool
	delayed []func()
}

// modelLink is the link of a pair of hosts. Up is the view of each end.
type modelLink struct {
	cut bool
	up  [2]bool
	// silentUntil is when an end takes a link that went silent as lost for the other one.
	silentUntil [2]boottime.Time
	epoch       int
	slow        boottime.Time
	held        []func()
}

type modelCall struct {
	host   int
	starts int64
	call   uint64
}

type pendingCall struct {
	workspace mesh.WorkspaceName
	refunded  bool
}

func hostName(i int) mesh.HostID { return mesh.HostID(fmt.Sprint("host-", i)) }

func newModel(t rapid.TB, hosts int, limits map[mesh.WorkspaceName]quota.Limit, seed uint64) *model {
	m := &model{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, limits: limits, links: map[[2]int]*modelLink{}, events: map[boottime.Time][]func(){},
		pending: map[modelCall]pendingCall{}, executed: map[mesh.WorkspaceName][]boottime.Time{}, rejected: map[mesh.WorkspaceName]int{}, refundDelay: 500 * ms,
	}
	for i := range hosts {
		m.hosts = append(m.hosts, &modelHost{index: i, limits: limits})
		for j := range i {
			m.links[[2]int{j, i}] = &modelLink{}
		}
	}
	for i := range hosts {
		m.start(i)
	}
	return m
}

func (m *model) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)+1))
}

// after schedules an event.
func (m *model) after(d time.Duration, f func()) {
	at := m.now + max(d, modelStep)
	at += (modelStep - at%modelStep) % modelStep
	m.events[at] = append(m.events[at], f)
}

// on runs f at a host, after its wake-up if it is frozen.
func (m *model) on(h *modelHost, f func()) {
	starts := h.starts
	run := func() {
		if h.state != nil && h.starts == starts {
			f()
			m.deliver(h)
		}
	}
	if h.frozen {
		h.delayed = append(h.delayed, run)
		return
	}
	run()
}

// link returns the link of two hosts and the ends of a and b.
func (m *model) link(a, b int) (l *modelLink, endA, endB int) {
	if a < b {
		return m.links[[2]int{a, b}], 0, 1
	}
	return m.links[[2]int{b, a}], 1, 0
}

func (m *model) start(i int) {
	h := m.hosts[i]
	h.starts++
	h.frozen, h.delayed = false, nil
	h.state = quota.New(hostName(i), testBound, int64(m.now)+h.starts, m.random, m.now)
	h.state.SetPlan(h.limits, m.now)
	for j := range m.hosts {
		if j != i && m.hosts[j].state != nil {
			m.connect(i, j)
		}
	}
	m.poll(h, h.starts)
}

func (m *model) poll(h *modelHost, starts int64) {
	if h.starts != starts || h.state == nil {
		return
	}
	if !h.frozen {
		hosts := quota.Hosts{Listed: true}
		for j := range m.hosts {
			if j == h.index {
				continue
			}
			hosts.Known = append(hosts.Known, hostName(j))
			if l, end, _ := m.link(h.index, j); l.up[end] {
				hosts.Reached = append(hosts.Reached, hostName(j))
			} else if m.now < l.silentUntil[end] {
				hosts.Silent = append(hosts.Silent, hostName(j))
			}
		}
		h.state.SetHosts(hosts, m.now)
		h.state.Tick(m.now)
		m.deliver(h)
	}
	m.after(quota.TickInterval, func() { m.poll(h, starts) })
}

// connect opens a link soon unless it is cut or open.
func (m *model) connect(a, b int) {
	l, _, _ := m.link(a, b)
	m.after(m.uniform(20*ms, 500*ms), func() {
		if l.cut || l.up[0] && l.up[1] || m.hosts[a].state == nil || m.hosts[b].state == nil || m.hosts[a].frozen || m.hosts[b].frozen {
			return
		}
		l.epoch++
		l.held = nil
		l.up[0], l.up[1] = true, true
	})
}

// lose has one end notice that the link is lost. The hosts dial each other again.
func (m *model) lose(observer, other int, after time.Duration) {
	l, end, _ := m.link(observer, other)
	epoch := l.epoch
	m.after(after, func() {
		if l.epoch != epoch {
			return
		}
		l.up[end] = false
		if after > 800*ms {
			l.silentUntil[end] = m.now + time.Second
		}
		if !l.cut {
			m.connect(observer, other)
		}
	})
}

// silence is the time after which a host closes a link that went silent.
func (m *model) silence() time.Duration { return m.uniform(1000*ms, 1700*ms) }

// deliver does what a state wants done.
func (m *model) deliver(h *modelHost) {
	out := h.state.TakeOutput()
	for _, d := range out.Decisions {
		m.decide(h, d)
	}
	for _, x := range out.Messages {
		var to int
		if _, err := fmt.Sscanf(string(x.To), "host-%d", &to); err != nil {
			m.t.Fatal(err)
		}
		m.send(h, m.hosts[to], x)
	}
}

func (m *model) send(from, to *modelHost, x quota.Message) {
	l, endFrom, _ := m.link(from.index, to.index)
	if !l.up[endFrom] {
		from.state.Unsent(x.To)
		return
	}
	epoch := l.epoch
	receive := func() {
		m.on(to, func() {
			if l.epoch != epoch {
				return
			}
			if x.Demand != nil {
				to.state.HandleDemand(hostName(from.index), x.Demand, m.now)
				return
			}
			to.state.HandleGrant(hostName(from.index), x.Grant, m.now)
		})
	}
	delay := m.uniform(ms, 5*ms)
	if m.now < l.slow {
		delay = m.uniform(ms, 400*ms)
	}
	m.after(delay, func() {
		if l.cut {
			l.held = append(l.held, receive) // Sent again after the cut if the link stays open.
			return
		}
		if l.epoch == epoch {
			receive()
		}
	})
}

func (m *model) call(i int, w mesh.WorkspaceName, refunded bool) {
	h := m.hosts[i]
	if h.state == nil || h.frozen {
		return
	}
	d, decided := h.state.Acquire(w, m.now)
	m.pending[modelCall{i, h.starts, d.Call}] = pendingCall{w, refunded}
	if decided {
		m.decide(h, d)
	}
	m.deliver(h)
}

func (m *model) decide(h *modelHost, d quota.Decision) {
	key := modelCall{h.index, h.starts, d.Call}
	c := m.pending[key]
	delete(m.pending, key)
	switch {
	case !d.Admitted:
		m.rejected[c.workspace]++
	case c.refunded:
		m.after(m.uniform(ms, m.refundDelay), func() { m.on(h, func() { h.state.Refund(c.workspace, m.now) }) })
	default:
		m.executed[c.workspace] = append(m.executed[c.workspace], m.now)
	}
}

// run advances the clock.
func (m *model) run(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += modelStep
		due := m.events[m.now]
		delete(m.events, m.now)
		for _, f := range due {
			f()
		}
	}
}

func (m *model) kill(i int, powerLoss bool) {
	m.hosts[i].state = nil
	for j := range m.hosts {
		if j == i {
			continue
		}
		l, end, _ := m.link(i, j)
		l.up[end] = false
		after := m.uniform(ms, 50*ms)
		if powerLoss {
			after = m.silence()
		}
		m.lose(j, i, after)
	}
}

func (m *model) cut(a, b int) {
	l, _, _ := m.link(a, b)
	if l.cut {
		return
	}
	l.cut = true
	m.lose(a, b, m.silence())
	m.lose(b, a, m.silence())
}

func (m *model) heal(a, b int) {
	l, _, _ := m.link(a, b)
	if !l.cut {
		return
	}
	l.cut = false
	held := l.held
	l.held = nil
	for _, receive := range held {
		m.after(m.uniform(ms, 300*ms), receive)
	}
	if l.up[0] != l.up[1] || !l.up[0] {
		m.connect(a, b)
	}
}

func (m *model) freeze(i int, d time.Duration) {
	h := m.hosts[i]
	if h.state == nil || h.frozen {
		return
	}
	h.frozen = true
	starts := h.starts
	for j := range m.hosts {
		if after := m.silence(); j != i && after < d {
			m.lose(j, i, after)
		}
	}
	m.after(d, func() {
		if h.starts != starts || h.state == nil {
			return
		}
		h.frozen = false
		for _, f := range h.delayed {
			f()
		}
		h.delayed = nil
		for j := range m.hosts {
			if j == i {
				continue
			}
			if l, end, other := m.link(i, j); l.up[end] && !l.up[other] {
				m.lose(i, j, m.uniform(ms, 250*ms))
			}
			m.connect(i, j)
		}
	})
}

// fault brings about one fault and ends it after a while.
func (m *model) fault(kind string, victims []int, d time.Duration) {
	isVictim := func(i int) bool { return slices.Contains(victims, i) }
	pairs := func(f func(a, b int)) {
		for b := range m.hosts {
			for a := range b {
				if isVictim(a) != isVictim(b) {
					f(a, b)
				}
			}
		}
	}
	switch kind {
	case "kill", "power":
		for _, i := range victims {
			if m.hosts[i].state == nil {
				continue
			}
			m.kill(i, kind == "power")
			m.after(d, func() { m.start(i) })
		}
	case "cut":
		pairs(m.cut)
		m.after(d, func() { pairs(m.heal) })
	case "pair":
		a := victims[0]
		b := (a + 1 + m.random.IntN(len(m.hosts)-1)) % len(m.hosts)
		m.cut(a, b)
		m.after(d, func() { m.heal(a, b) })
	case "slow":
		for _, l := range m.links {
			l.slow = m.now + d
		}
	case "freeze":
		for _, i := range victims {
			m.freeze(i, d)
		}
	}
}

// checkWindows fails if a window holds more executed calls than the quota allows.
func (m *model) checkWindows(w mesh.WorkspaceName, limit quota.Limit, from boottime.Time) {
	allowed := int((limit.CallsPerSecond*testBound.Window.Seconds()+limit.Burst)*(1+testBound.Overage) + testBound.Slack)
	times := m.executed[w]
	first := 0
	for i, at := range times {
		for times[first] <= at-testBound.Window || times[first] < from {
			first++
			if first > i {
				break
			}
		}
		if n := i - first + 1; n > allowed {
			m.t.Fatalf("%s: %d calls in the window up to %v, allowed are %d", w, n, at-time.Hour, allowed)
		}
	}
}

// phase is a time in which some hosts get calls at a multiple of the rate.
type phase struct {
	hosts []int
	load  float64
	lasts time.Duration
}

// phases returns what the callers of a workspace do by turns: at random, all at once
// after the quota has filled up, or at one host after the other and then at all.
func (m *model) phases(pattern string) func() phase {
	n := 0
	all := m.random.Perm(len(m.hosts))
	return func() phase {
		n++
		switch pattern {
		case "pulse":
			return phase{all, float64(n%2) * 7, m.uniform(2*time.Second, 5*time.Second)}
		case "rotate":
			if n%40 > 30 {
				return phase{all, 7, 200 * ms}
			}
			return phase{all[n/2%len(all) : n/2%len(all)+1], float64(n%2) * 7, m.uniform(20*ms, 120*ms) * time.Duration(1+3*(1-n%2))}
		case "flood":
			return phase{all, 7, time.Minute}
		default:
			load := []float64{0, 0.6, 1, 2, 7}[m.random.IntN(5)]
			return phase{m.random.Perm(len(m.hosts))[:1+m.random.IntN(len(m.hosts))], load, m.uniform(300*ms, 4*time.Second)}
		}
	}
}

// workload makes the calls of a workspace.
func (m *model) workload(w mesh.WorkspaceName, d time.Duration, pattern string, refundPercent int) {
	next := m.phases(pattern)
	var current phase
	end, phaseEnd := m.now+d, m.now
	var step func()
	step = func() {
		if m.now >= end {
			return
		}
		if m.now >= phaseEnd {
			current = next()
			phaseEnd = m.now + current.lasts
		}
		calls := current.load * m.limits[w].CallsPerSecond * modelStep.Seconds()
		for n := int(calls + m.random.Float64()); n > 0; n-- {
			m.call(current.hosts[m.random.IntN(len(current.hosts))], w, m.random.IntN(100) < refundPercent)
		}
		m.after(modelStep, step)
	}
	step()
}

// fixSeed gives the same result on every run; -rapid.seed selects others.
func fixSeed() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
}

// Guards against more executed calls than the quota allows in a window, over all hosts,
// while hosts are killed, cut off, frozen and restarted, messages are late, and limits
// are lowered.
func TestWindowBoundUnderFaults(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(t *rapid.T) {
		large := rapid.SampledFrom([]float64{100, 650}).Draw(t, "rate")
		before := map[mesh.WorkspaceName]quota.Limit{
			"large": {CallsPerSecond: large, Burst: rapid.SampledFrom([]float64{0, large / 2, large, 3 * large}).Draw(t, "burst")},
			"small": {CallsPerSecond: 4, Burst: 4},
		}
		hosts := rapid.IntRange(2, 9).Draw(t, "hosts")
		m := newModel(t, hosts, before, rapid.Uint64().Draw(t, "seed"))
		m.run(time.Duration(rapid.IntRange(0, 4).Draw(t, "calm")) * time.Second)
		const duration = 16 * time.Second
		refunds := rapid.SampledFrom([]int{0, 30, 90}).Draw(t, "refunds")
		patterns := rapid.SampledFrom([]string{"random", "pulse", "rotate"})
		m.workload("large", duration, patterns.Draw(t, "pattern"), refunds)
		m.workload("small", duration, patterns.Draw(t, "pattern of small"), refunds)
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			kind := rapid.SampledFrom([]string{"kill", "power", "cut", "pair", "slow", "freeze"}).Draw(t, "kind")
			n := rapid.SampledFrom([]int{1, 1, hosts / 3, hosts}).Draw(t, "victims")
			at := time.Duration(rapid.IntRange(0, 11000).Draw(t, "at")) * ms
			d := time.Duration(rapid.SampledFrom([]int{30, 500, 1000, 2000, 4000, 9000}).Draw(t, "for")) * ms
			ofOwner := rapid.Bool().Draw(t, "owner")
			m.after(at, func() {
				victims := m.random.Perm(hosts)[:max(n, 1)]
				if h := m.hosts[m.random.IntN(hosts)]; ofOwner && h.state != nil {
					for i := range hosts {
						if hostName(i) == h.state.Owner("large") {
							victims[0] = i
						}
					}
				}
				m.fault(kind, victims, d)
			})
		}
		lowered := boottime.Time(0)
		after := before
		if rapid.Bool().Draw(t, "lowered") {
			after = map[mesh.WorkspaceName]quota.Limit{"large": {CallsPerSecond: large / 4, Burst: large / 4}, "small": {CallsPerSecond: 2, Burst: 1}}
			lowered = m.now + 3*time.Second
			for _, h := range m.hosts {
				m.after(m.uniform(0, 3*time.Second), func() {
					h.limits = after
					m.on(h, func() { h.state.SetPlan(after, m.now) })
				})
			}
		}
		m.run(duration)
		for w := range before {
			m.checkWindows(w, before[w], 0)
			if lowered != 0 {
				m.checkWindows(w, after[w], lowered+4*time.Second+testBound.Window)
			}
		}
	})
}
