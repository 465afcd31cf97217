package rollout

import (
	"math"
	"slices"
	"sync"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
	"geraniumnotch.example/geraniumnotch/slotqueue"
)

const (
	// slowFactor is the number of mean service times of the earlier versions from which an
	// answer is slow. About one answer in eighty of an endpoint takes so long, one in nine
	// of an endpoint that is half as fast as the others.
	slowFactor = 4
	// slowGivenUpFactor is the same for calls that were given up, which would have taken
	// longer. A second attempt usually has its answer after two mean service times.
	slowGivenUpFactor = 2
	// minBad is the number of bad answers below which no version is withdrawn. It is well
	// below the fifty after which a version must be withdrawn.
	minBad = 8
	// minExcess is the difference of the shares of bad answers from which callers are worse
	// off; endpoints of differing speed differ by less.
	minExcess = 0.1
	// severeExcess is the difference from which a version is withdrawn even if the others
	// have had no calls at the same time.
	severeExcess = 0.4
	// badDeviations and suspectDeviations are the differences in standard deviations from
	// which a version is bad and from which it needs more evidence. With some hundred
	// comparisons in a roll-out, four occur by chance in one of a hundred roll-outs.
	badDeviations     = 4
	suspectDeviations = 2.5
	// priorAnswers and priorBad are added to the answers of the earlier versions, so that a
	// few of them are no proof of perfect health, and a version that fails is withdrawn
	// without any.
	priorAnswers = 30
	priorBad     = 1
	// recentWindow is the span of the answers that show a fault that began late.
	recentWindow = 3 * time.Second
	// maxClasses bounds the classes that a report may hold: kinds, ranks and nesting.
	maxClasses = 64
)

// Answers counts answers. Failed and slow ones are bad.
type Answers struct {
	_     struct{} `cbor:",toarray"`
	Total uint64
	Bad   uint64
}

func (a Answers) plus(b Answers) Answers {
	return Answers{Total: a.Total + b.Total, Bad: a.Bad + b.Bad}
}

func (a Answers) minus(b Answers) Answers {
	return Answers{Total: a.Total - b.Total, Bad: a.Bad - b.Bad}
}

// ClassAnswers counts the answers to calls of a class.
type ClassAnswers struct {
	_      struct{} `cbor:",toarray"`
	Kind   routeplan.Kind
	Rank   uint8
	Nested bool
	Answers
}

// Outcome is the result of a call at an endpoint.
type Outcome uint8

// Outcomes that are counted.
const (
	Succeeded Outcome = iota + 1
	Failed
	// GivenUp means that the caller did not wait for the answer.
	GivenUp
)

// Tally counts the answers of the endpoint of this host. It is safe for concurrent use.
type Tally struct {
	mu      sync.Mutex
	order   Revision
	usual   map[slotqueue.Class]time.Duration
	classes map[slotqueue.Class]*Answers
	// all counts all answers, for metrics.
	all Answers
}

// NewTally returns a tally without answers.
func NewTally() *Tally { return &Tally{classes: map[slotqueue.Class]*Answers{}} }

// Begin starts to count for an order, if it does not yet. Usual are the usual service times
// of the earlier versions.
func (t *Tally) Begin(order Revision, usual map[slotqueue.Class]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usual = usual
	if t.order != order {
		t.order, t.classes = order, map[slotqueue.Class]*Answers{}
	}
}

// Observe counts the result of a call. The service time of an endpoint that has just
// started says nothing of its version.
func (t *Tally) Observe(class slotqueue.Class, outcome Outcome, took time.Duration, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := t.usual[class]
	factor := time.Duration(slowFactor)
	if outcome == GivenUp {
		factor = slowGivenUpFactor
	}
	slow := !cold && usual > 0 && took >= factor*usual
	if outcome == GivenUp && !slow {
		return
	}
	counts := t.classes[class]
	if counts == nil {
		if len(t.classes) >= maxClasses {
			return
		}
		counts = &Answers{}
		t.classes[class] = counts
	}
	counts.Total++
	t.all.Total++
	if slow || outcome == Failed {
		counts.Bad++
		t.all.Bad++
	}
}

// Read returns the counts for the order.
func (t *Tally) Read() (Revision, []ClassAnswers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	classes := make([]ClassAnswers, 0, len(t.classes))
	for class, counts := range t.classes {
		classes = append(classes, ClassAnswers{Kind: class.Kind, Rank: class.Rank, Nested: class.Nested, Answers: *counts})
	}
	return t.order, classes
}

// All returns the counts since the start of the process.
func (t *Tally) All() Answers {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all
}

// Verdict is what the answers say about the target version.
type Verdict struct {
	// Bad is set when its answers are worse, Suspect when they may be.
	Bad, Suspect bool
	// Severe is set when almost half of its answers more are bad.
	Severe bool
	// Answers are all answers of the version.
	Answers Answers
}

// Evidence collects the reports of the endpoints of a service during a roll-out.
type Evidence struct {
	target    string
	endpoints map[mesh.EndpointID]*endpointEvidence
}

type classCounts map[slotqueue.Class]Answers

type endpointEvidence struct {
	startedAtMs int64
	isTarget    bool
	reports     []timedCounts
}

type timedCounts struct {
	at     boottime.Time
	counts classCounts
}

// NewEvidence returns no evidence.
func NewEvidence(target string) *Evidence {
	return &Evidence{target: target, endpoints: map[mesh.EndpointID]*endpointEvidence{}}
}

// Add records the report of an endpoint. Counts that are lower than before are those of a
// process that has restarted.
func (e *Evidence) Add(r *EndpointReport, now boottime.Time) {
	counts := classCounts{}
	for _, c := range r.Classes[:min(len(r.Classes), maxClasses)] {
		if c.Bad <= c.Total {
			counts[slotqueue.Class{Kind: c.Kind, Rank: c.Rank, Nested: c.Nested}] = c.Answers
		}
	}
	known := e.endpoints[r.ID]
	if known == nil || known.startedAtMs != r.StartedAtMs || known.latest().exceeds(counts) {
		known = &endpointEvidence{startedAtMs: r.StartedAtMs, isTarget: r.Software == e.target}
		e.endpoints[r.ID] = known
	}
	known.reports = append(known.reports, timedCounts{now, counts})
	for len(known.reports) > 1 && known.reports[1].at <= now-recentWindow {
		known.reports = known.reports[1:]
	}
}

func (e *endpointEvidence) latest() classCounts {
	if len(e.reports) == 0 {
		return nil
	}
	return e.reports[len(e.reports)-1].counts
}

// exceeds reports whether a count is higher than the later one.
func (c classCounts) exceeds(later classCounts) bool {
	for class, counts := range c {
		if l := later[class]; l.Total < counts.Total || l.Bad < counts.Bad {
			return true
		}
	}
	return false
}

// recent returns the counts of the recent window.
func (e *endpointEvidence) recent(now boottime.Time) classCounts {
	base := timedCounts{}
	if first := e.reports[0]; first.at <= now-recentWindow {
		base = first
	}
	recent := classCounts{}
	for class, counts := range e.latest() {
		recent[class] = counts.minus(base.counts[class])
	}
	return recent
}

// Judge compares the answers of the target version, which has a number of endpoints, with
// those of the earlier ones: recently and, while their shares of the calls stay the same, over
// the roll-out; for all calls and for each class.
func (e *Evidence) Judge(now boottime.Time, targets int, shifting bool) Verdict {
	var v Verdict
	scopes := []func(*endpointEvidence) classCounts{func(s *endpointEvidence) classCounts { return s.recent(now) }}
	if !shifting {
		// The first one counts as the answers of the version.
		scopes = slices.Insert(scopes, 0, (*endpointEvidence).latest)
	}
	for _, scope := range scopes {
		groups := map[slotqueue.Class]*comparison{}
		all := &comparison{}
		for _, endpoint := range e.endpoints {
			var sum Answers
			for class, counts := range scope(endpoint) {
				if groups[class] == nil {
					groups[class] = &comparison{}
				}
				groups[class].add(endpoint.isTarget, counts)
				sum = sum.plus(counts)
			}
			all.add(endpoint.isTarget, sum)
		}
		if v.Answers.Total == 0 {
			v.Answers = all.sum()
		}
		groups[slotqueue.Class{}] = all // No call has this class.
		for _, g := range groups {
			v.Bad = v.Bad || g.isWorse(minExcess, targets > 1)
			v.Severe = v.Severe || g.isWorse(severeExcess, targets > 1)
			v.Suspect = v.Suspect || g.sum().exceed(g.others, minExcess, suspectDeviations)
		}
	}
	return v
}

// comparison holds the answers of the endpoints of the target version, and those of all
// others.
type comparison struct {
	target []Answers
	others Answers
}

func (c *comparison) add(isTarget bool, counts Answers) {
	if isTarget {
		c.target = append(c.target, counts)
		return
	}
	c.others = c.others.plus(counts)
}

func (c *comparison) sum() Answers {
	var sum Answers
	for _, a := range c.target {
		sum = sum.plus(a)
	}
	return sum
}

// isWorse reports whether the target version has more bad answers than the others, by a share
// and beyond chance. If it has several endpoints, the one with the most bad
// answers does not count: its machine may be at fault.
func (c *comparison) isWorse(by float64, several bool) bool {
	sum, worst := c.sum(), Answers{}
	for _, a := range c.target {
		if a.Bad > worst.Bad {
			worst = a
		}
	}
	if several {
		sum = sum.minus(worst)
	}
	return sum.exceed(c.others, by, badDeviations)
}

// exceed reports whether the share of bad answers is higher than the usual one by a share and
// a number of standard deviations.
func (a Answers) exceed(usual Answers, by, deviations float64) bool {
	if a.Bad < minBad {
		return false
	}
	n, m := float64(a.Total), float64(usual.Total)+priorAnswers
	bad, usualBad := float64(a.Bad), float64(usual.Bad)+priorBad
	excess := bad/n - usualBad/m
	pooled := (bad + usualBad) / (n + m)
	return excess >= by && excess >= deviations*math.Sqrt(pooled*(1-pooled)*(1/n+1/m))
}
