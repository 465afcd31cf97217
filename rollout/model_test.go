package rollout

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	modelShare = 0.1
	// modelSlack is small, so that credit which is given twice exceeds it.
	modelSlack = 3
)

// modelStore is the store as the deciding hosts see it.
type modelStore struct {
	order, status Revision
	phase         Phase
	revision      uint64
	// finals are the different final phases that the order has had.
	finals []Phase
	// isForeign is set when a status of another order was written.
	isForeign bool
}

// write writes a status if the order and the status have the expected revisions.
func (s *modelStore) write(order, status Revision, phase Phase) bool {
	if order != s.order || status != s.status {
		return false
	}
	s.isForeign = s.isForeign || order != s.order
	s.revision++
	s.status, s.phase = Revision{Epoch: 1, Number: s.revision}, phase
	if phase >= Completed && !slices.Contains(s.finals, phase) {
		s.finals = append(s.finals, phase)
	}
	return true
}

type modelHost struct {
	table *Table
	// status is the revision of the status that the host knows.
	status Revision
	cut    bool
}

// model is a mesh of hosts that stop, lose each other and the store, and decide at the same
// time on one service, with random verdicts.
type model struct {
	now   boottime.Time
	store modelStore
	// badOdds is one in how many verdicts is bad.
	badOdds int
	hosts   []*modelHost
	// late are writes that the store has not executed yet, messages ones that are on their way.
	late     []func()
	messages []modelMessage
	// sent and exposed count the calls of all hosts, also of those that have stopped, while
	// the version is verified.
	sent, exposed int
}

type modelMessage struct {
	to *modelHost
	Message
}

func newModel(t *rapid.T) *model {
	m := &model{now: time.Minute, badOdds: rapid.SampledFrom([]int{5, 20, 1000}).Draw(t, "odds")}
	for range rapid.IntRange(2, 4).Draw(t, "hosts") {
		m.hosts = append(m.hosts, m.newHost())
	}
	m.order()
	return m
}

func (m *model) newHost() *modelHost {
	h := &modelHost{table: NewTable(Bounds{Share: modelShare, Slack: modelSlack}, func() boottime.Time { return m.now }, func() int { return len(m.hosts) }, func() float64 { return 0.99 })}
	h.table.Observe([]SeenVersion{{"s", "v1", 1}})
	return h
}

// order writes an order, which the first host reads.
func (m *model) order() {
	m.now += time.Second
	m.store.revision++
	m.store.order, m.store.finals, m.store.phase = Revision{Epoch: 1, Number: m.store.revision}, nil, 0
	m.sent, m.exposed = 0, 0
	s := State{Service: "s", Order: m.store.order, Target: "v2", Duration: 8 * time.Second, Started: m.now, Phase: Verifying, SteppedAt: m.now, Old: []string{"v1"}}
	m.hosts[0].table.Merge(s)
	m.tell(m.hosts[0])
}

func (m *model) host(t *rapid.T) *modelHost { return rapid.SampledFrom(m.hosts).Draw(t, "host") }

// tell sends what a host knows to the others that it can reach.
func (m *model) tell(from *modelHost) {
	message := Message{}
	for _, s := range from.table.States() {
		message.States = append(message.States, s.Export(m.now))
	}
	for _, to := range m.hosts {
		if to != from && !from.cut && !to.cut {
			m.messages = append(m.messages, modelMessage{to, message})
		}
	}
}

// decide has a host take the next step with any verdict. It may write what follows, with an
// answer or without one, now or late.
func (m *model) decide(t *rapid.T) {
	h := m.host(t)
	s := h.table.State("s")
	if s == nil {
		return
	}
	in := Input{
		Now: m.now, Bounds: Bounds{Share: modelShare}, Targets: []TargetEndpoint{{"e1", 4}, {"e2", 4}}, OldVersions: []string{"v1"},
		Verdict: Verdict{Bad: rapid.IntRange(1, m.badOdds).Draw(t, "bad") == 1, Answers: Answers{Total: 1000}},
		Applied: rapid.IntRange(0, 3).Draw(t, "applied") > 0, StoreAnswers: rapid.IntRange(0, 3).Draw(t, "store") > 0,
	}
	next, complete := Advance(*s, in)
	h.table.Merge(next)
	phase := next.Phase
	switch {
	case complete:
		phase = Completed
	case next.IsFinal() && next.Stored || !in.StoreAnswers:
		m.tell(h)
		return
	}
	order, status, isLost := s.Order, h.status, rapid.Bool().Draw(t, "lost")
	write := func() {
		if m.store.write(order, status, phase) && !isLost {
			h.status = m.store.status
			if phase >= Completed {
				h.table.Merge(RecordStored(*h.table.State("s"), phase, m.now))
			}
			m.tell(h)
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		isLost = true
		m.late = append(m.late, write)
		return
	}
	write()
	m.tell(h)
}

// read has a host read the status.
func (m *model) read(t *rapid.T) {
	h := m.host(t)
	h.status = m.store.status
	s := h.table.State("s")
	if s == nil || s.Order != m.store.order || m.store.phase < Completed {
		return
	}
	h.table.Merge(RecordStored(*s, m.store.phase, m.now))
	m.tell(h)
}

func (m *model) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	message := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	if !message.to.cut && slices.Contains(m.hosts, message.to) {
		message.to.table.RecordMessage(&message.Message)
	}
}

// restart replaces a host by a new process, which hears another host first.
func (m *model) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "restarted")
	other := m.hosts[(i+1)%len(m.hosts)]
	m.hosts[i] = m.newHost()
	message := Message{}
	for _, s := range other.table.States() {
		message.States = append(message.States, s.Export(m.now))
	}
	m.hosts[i].table.RecordMessage(&message)
}

// call makes calls at a host. It checks that a withdrawn version gets none.
func (m *model) call(t *rapid.T) {
	h := m.host(t)
	h.table.Observe([]SeenVersion{{"s", "v1", 1}, {"s", "v2", 2}})
	for range rapid.IntRange(1, 100).Draw(t, "calls") {
		c := h.table.Choose("s")
		s := h.table.State("s")
		allowed := slices.ContainsFunc([]mesh.EndpointID{"e1", "e2"}, func(id mesh.EndpointID) bool { return c.Allows("v2", id, First) })
		if s != nil && s.Phase == RolledBack && allowed {
			t.Fatalf("a call may go to a withdrawn version")
		}
		if s != nil && s.Phase == Completed && c.Allows("v1", "old", First) {
			t.Fatalf("a call may go to a version that has ended")
		}
		if !allowed && s != nil && s.Phase != Completed && !c.Allows("v1", "old", First) && !c.Allows("v1", "old", AfterRejection) {
			t.Fatalf("a call may go nowhere")
		}
		c.Done(true, false)
		if s != nil && s.Order == m.store.order && s.Phase == Verifying {
			m.sent++
			if allowed {
				m.exposed++
			}
		}
	}
}

func (m *model) check(t *rapid.T) {
	if len(m.store.finals) > 1 || m.store.isForeign {
		t.Fatalf("the store has had the final phases %v", m.store.finals)
	}
	if limit := modelShare*float64(m.sent) + modelSlack; float64(m.exposed) > limit {
		t.Fatalf("%d of %d calls went to a version that is being verified", m.exposed, m.sent)
	}
	for _, h := range m.hosts {
		s := h.table.State("s")
		if s == nil || s.Order != m.store.order {
			continue
		}
		if s.Stored && (len(m.store.finals) == 0 || s.Phase != m.store.finals[0]) {
			t.Fatalf("a host takes %v for stored, the store has had %v", s.Phase, m.store.finals)
		}
	}
}

// withdrawn returns the orders whose version the hosts know to be withdrawn.
func (m *model) withdrawn() map[*modelHost]Revision {
	orders := map[*modelHost]Revision{}
	for _, h := range m.hosts {
		if s := h.table.State("s"); s != nil && s.Phase == RolledBack {
			orders[h] = s.Order
		}
	}
	return orders
}

// Guards against calls beyond the share of a version that is verified, however many hosts
// start again meanwhile.
func TestShareOfAVersionThatIsVerified(t *testing.T) {
	Convey("calls of hosts that start again", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(t)
			m.now += time.Second
			s := *m.hosts[0].table.State("s")
			s.Share, s.Step = modelShare, 1
			m.hosts[0].table.Merge(s)
			m.tell(m.hosts[0])
			for _, message := range m.messages {
				message.to.table.RecordMessage(&message.Message)
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "starts") {
					m.restart(t)
				}
				m.call(t)
				m.check(t)
			}
		})
		So(t.Failed(), ShouldBeFalse)
	})
}

// Guards against two final decisions on an order, a decision that is reversed, calls beyond
// the share of a version that is verified, and calls to a version that was withdrawn, with
// several deciding hosts, restarts, lost and late messages and writes.
func TestDecisionsOfSeveralHosts(t *testing.T) {
	Convey("any sequence of steps", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(t)
			steps := map[string]func(*rapid.T){
				"decide": m.decide, "read": m.read, "deliver": m.deliver, "call": m.call, "restart": m.restart,
				"cut":  func(t *rapid.T) { h := m.host(t); h.cut = !h.cut },
				"wait": func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
				"late": func(*rapid.T) {
					for _, write := range m.late {
						write()
					}
					m.late = nil
				},
				"order": func(t *rapid.T) {
					if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
						m.order()
					}
				},
			}
			names := []string{"decide", "decide", "decide", "wait", "deliver", "deliver", "deliver", "call", "call", "wait", "read", "late", "cut", "restart", "order"}
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				withdrawn := m.withdrawn()
				steps[rapid.SampledFrom(names).Draw(t, "step")](t)
				m.check(t)
				for h, order := range withdrawn {
					s := h.table.State("s")
					if slices.Contains(m.hosts, h) && s.Order == order && s.Phase != RolledBack && !(s.Phase == Completed && s.Stored) {
						t.Fatalf("a withdrawal became %v", s.Phase)
					}
				}
			}
		})
		So(t.Failed(), ShouldBeFalse)
	})
}
