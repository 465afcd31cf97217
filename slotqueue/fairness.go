package slotqueue

import (
	"math"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// lessUrgentShare is the share of the starts of clients' calls that less urgent ranks
	// together keep while calls of workspaces wait there which can meet their latency
	// target. The requirements reserve a minimum share of 0.2 for other calls beside
	// urgent ones.
	lessUrgentShare = 0.2
	// maxRankCredit is the number of starts that a rank may be owed, and -minRankCredit
	// the number by which it may be ahead: a rank that had its share a moment ago lets
	// ten more urgent calls in a row pass, which is a fraction of a second at any
	// endpoint with ten slots.
	maxRankCredit = 1.0
	minRankCredit = -1.0
	// shareMemory is how long the use by a workspace without calls is remembered. The
	// virtual times of active workspaces catch up with it within one full queue, whose
	// calls wait for at most their latency target; the users' targets are up to 2.5 s.
	shareMemory = 5 * time.Second
	// servedHalfLife is the half-life of the counts of calls offered and started.
	servedHalfLife = 5 * time.Second
	// minServedOffers is the number of calls from which a served share is reported. With
	// fewer, one call changes it by more than a tenth.
	minServedOffers = 10
)

// shareKey identifies a share. A workspace's calls have one rank unless it states none.
type shareKey struct {
	workspace mesh.WorkspaceName
	rank      uint8
}

// share is what the calls of one workspace and rank use of the slots. Shares of a rank
// start calls in the order of their virtual times, as in start-time fair queueing: under
// shortage each that waits gets the same number of slots, and what one doesn't need goes
// to the others.
type share struct {
	key  shareKey
	rank *rankState
	// nextStart is the virtual time at which its next call starts, in mean service times.
	nextStart        float64
	running, waiting int
	// ready is the number of waiting calls that are not being prepared.
	ready  int
	usedAt boottime.Time
	// startIntervals are the times between starts while ready calls wait, of which the
	// current one began at waitsSince.
	startIntervals movingAverage
	waitsSince     boottime.Time
	served         servedCount
	// matching is used by countAhead.
	matching int
}

// rankState is the state of the shares of one rank.
type rankState struct {
	// virtualTime is the virtual time of the waiting call that starts next.
	virtualTime float64
	// credit is the number of starts that the rank is owed of lessUrgentShare.
	credit float64
	// earliest and eligible are used by recordStart.
	earliest float64
	eligible bool
}

// servedCount counts the calls offered and started in the recent past.
type servedCount struct {
	offered, started float64
	updatedAt        boottime.Time
}

func (c *servedCount) decay(now boottime.Time) {
	factor := math.Exp2(-float64(max(0, now-c.updatedAt)) / float64(servedHalfLife))
	c.offered, c.started, c.updatedAt = c.offered*factor, c.started*factor, max(now, c.updatedAt)
}

func (c *servedCount) fraction() float64 {
	if c.offered <= 0 {
		return 0
	}
	return min(1, c.started/c.offered)
}

// fairness divides the slots between workspaces. The number of shares is bounded by the
// workspaces of the route plan.
type fairness struct {
	shares map[shareKey]*share
	ranks  map[uint8]*rankState
	// workspaces is the number of shares that belong to a workspace. Without any, the
	// ranks and targets alone order the calls.
	workspaces int
	served     servedCount
	sweptAt    boottime.Time
}

func newFairness() fairness {
	return fairness{shares: map[shareKey]*share{}, ranks: map[uint8]*rankState{}}
}

func (f *fairness) rank(r uint8) *rankState {
	s := f.ranks[r]
	if s == nil {
		s = &rankState{}
		f.ranks[r] = s
	}
	return s
}

// offered returns the share of a call that is offered.
func (f *fairness) offered(c *Call, now boottime.Time) *share {
	if now-f.sweptAt >= shareMemory {
		f.sweep(now)
	}
	key := shareKey{c.Workspace, c.Rank}
	s := f.shares[key]
	if s == nil {
		s = &share{key: key, rank: f.rank(c.Rank)}
		f.shares[key] = s
		if key.workspace != "" {
			f.workspaces++
		}
	}
	s.usedAt = now
	s.served.decay(now)
	s.served.offered++
	f.served.decay(now)
	f.served.offered++
	return s
}

// sweep forgets the shares that have not been used for a while.
func (f *fairness) sweep(now boottime.Time) {
	f.sweptAt = now
	for key, s := range f.shares {
		if s.running == 0 && s.waiting == 0 && now-s.usedAt >= shareMemory {
			delete(f.shares, key)
			if key.workspace != "" {
				f.workspaces--
			}
		}
	}
}

// virtualStart returns the virtual time at which the next call of the share starts.
func (s *share) virtualStart() float64 { return max(s.nextStart, s.rank.virtualTime) }

// waitForSlot records that a call of the share which is ready begins to wait for a slot.
// AheadOfOwn is the number of ready calls of the share that start before it.
func (s *share) waitForSlot(aheadOfOwn int, now boottime.Time) {
	if s.ready == 0 {
		s.startIntervals = movingAverage{}
	}
	if aheadOfOwn == 0 {
		s.waitsSince = now
	}
	s.ready++
}

// leaveQueue records that a call of the share does not wait any more.
func (t *Ticket) leaveQueue() {
	t.share.waiting--
	if !t.preparing {
		t.share.ready--
	}
}

// delay estimates the time until a call with the given number of ready calls of its share
// ahead of it starts, by the rate at which the share gets slots. Calls of others that arrive
// later also go before it.
func (s *share) delay(aheadOfOwn int, now boottime.Time) time.Duration {
	if aheadOfOwn == 0 {
		return 0
	}
	interval := max(s.startIntervals.valueAt(now), now-s.waitsSince)
	return time.Duration(aheadOfOwn) * interval
}

// recordStart charges a start to the share of the call, and advances the virtual time of
// its rank and the credits of less urgent ranks. Waited is set when the call has waited.
func (q *Queue) recordStart(t *Ticket, waited bool, now boottime.Time) {
	f, s := &q.fair, t.share
	s.running++
	s.usedAt = now
	s.served.decay(now)
	s.served.started++
	f.served.decay(now)
	f.served.started++
	if f.workspaces == 0 {
		return
	}
	if waited {
		s.startIntervals.add(now-s.waitsSince, now)
		s.waitsSince = now
	}
	own := s.rank
	start := s.virtualStart()
	s.nextStart = start + q.cost(t.call.Class, now)

	for _, r := range f.ranks {
		r.earliest, r.eligible = math.Inf(1), false
	}
	for _, other := range q.waiting {
		r := other.share.rank
		r.earliest = min(r.earliest, other.share.virtualStart())
		r.eligible = r.eligible || q.isReserved(other, now)
	}
	if math.IsInf(own.earliest, 1) {
		own.earliest = start
	}
	own.virtualTime = max(own.virtualTime, own.earliest)
	if t.call.Class.Nested {
		return
	}
	own.credit = max(minRankCredit, own.credit-(1-lessUrgentShare))
	lessUrgent := 0
	for rank, r := range f.ranks {
		if rank > t.call.Rank && r.eligible {
			lessUrgent++
		}
	}
	for rank, r := range f.ranks {
		if rank > t.call.Rank && r.eligible {
			r.credit = min(maxRankCredit, r.credit+lessUrgentShare/float64(lessUrgent))
		}
	}
}

// cost returns the expected use of a slot by a call, in mean service times.
func (q *Queue) cost(c Class, now boottime.Time) float64 {
	class, overall := q.classMean(c, now), q.overallMean.valueAt(now)
	if class <= 0 || overall <= 0 {
		return 1
	}
	return float64(class) / float64(overall)
}

// isReserved reports whether a waiting call may use the share of less urgent ranks.
func (q *Queue) isReserved(t *Ticket, now boottime.Time) bool {
	return !t.preparing && !t.call.Class.Nested && t.call.Workspace != "" && !q.isLate(t, now)
}

// reservedStart returns the index of the waiting call that starts in place of the one at
// index first, because its rank is owed a start, or first.
func (q *Queue) reservedStart(first int, now boottime.Time) int {
	if first < 0 || q.fair.workspaces == 0 || q.waiting[first].call.Class.Nested {
		return first
	}
	best, credit := first, maxRankCredit
	urgent := q.waiting[first].call.Rank
	for i, t := range q.waiting {
		if t.call.Rank <= urgent || !q.isReserved(t, now) {
			continue
		}
		owed := t.share.rank.credit
		// Credits are sums of fractions.
		if owed < maxRankCredit-1e-9 || best != first && (owed < credit || !q.goesBefore(t, q.waiting[best], now)) {
			continue
		}
		best, credit = i, owed
	}
	return best
}

// countAhead returns the number of waiting calls that are expected to start before a call
// that arrives, how many of these are of its own share and ready, and the number of late
// ones.
func (q *Queue) countAhead(t *Ticket, now boottime.Time) (ahead, ofOwn, late int) {
	before, sameRank, own := 0, 0, 0
	for _, other := range q.waiting {
		other.share.matching = 0
	}
	isLate := q.isLate(t, now)
	for _, other := range q.waiting {
		otherLate := q.isLate(other, now)
		if otherLate {
			late++
		}
		same := other.call.Class.Nested == t.call.Class.Nested && otherLate == isLate && other.call.Rank == t.call.Rank
		switch {
		case same && other.share != t.share:
			other.share.matching++
		case q.goesBefore(other, t, now):
			if !same {
				before++
				continue
			}
			own++
			if !other.preparing {
				ofOwn++
			}
		}
	}
	start := t.share.virtualStart() + float64(own)*q.cost(t.call.Class, now)
	for _, other := range q.waiting {
		if n := other.share.matching; n > 0 {
			other.share.matching = 0
			// The calls of a share start one mean service time after the other.
			sameRank += min(n, int(max(0, start-other.share.virtualStart()+1)))
		}
	}
	sameRank += own
	ahead = before + sameRank
	if t.call.Workspace != "" && !t.call.Class.Nested && !isLate {
		ahead = min(ahead, q.reservedAhead(t, sameRank, now))
	}
	return ahead, ofOwn, late
}

// reservedAhead returns the number of waiting calls that start before a call with the
// given number of calls of its rank ahead of it, if its rank gets only what it keeps of
// the starts.
func (q *Queue) reservedAhead(t *Ticket, sameRank int, now boottime.Time) int {
	ranks, nested, urgent := 1, 0, false
	for _, r := range q.fair.ranks {
		r.eligible = false
	}
	for _, other := range q.waiting {
		if other.call.Class.Nested {
			nested++
			continue
		}
		if other.call.Rank < t.call.Rank && !q.isLate(other, now) {
			urgent = true
		}
		if other.call.Rank != t.call.Rank && q.isReserved(other, now) {
			if r := other.share.rank; !r.eligible {
				r.eligible = true
				ranks++
			}
		}
	}
	if !urgent {
		return math.MaxInt
	}
	owed := float64(sameRank+1) - t.share.rank.credit
	return sameRank + nested + max(0, int(math.Ceil(owed*float64(ranks)/lessUrgentShare)))
}

// rejectOvertaken rejects the calls of workspaces that have missed their latency target
// while others went before them, beyond maxLateFraction. These would wait in vain until
// their deadline; now their clients can still retry.
func (q *Queue) rejectOvertaken(now boottime.Time) {
	if q.fair.workspaces == 0 {
		return
	}
	for {
		late, last := 0, -1
		for i, t := range q.waiting {
			if t.call.Class.Nested || t.call.Workspace == "" || t.preparing || !q.isLate(t, now) {
				continue
			}
			late++
			if last < 0 || q.goesBefore(q.waiting[last], t, now) {
				last = i
			}
		}
		if float64(late) <= maxLateFraction*float64(q.slots) {
			return
		}
		t := q.waiting[last]
		rejection := q.rejectFull(t, 0, now)
		q.removeWaiting(last)
		t.retryAfter = rejection.RetryAfter
		q.reject(t, rejection.Reason)
	}
}

// ServedShares returns the fraction of the recent calls that were started, and that of
// the workspace with the lowest one relative to it, 1 if no workspace has enough calls.
func (q *Queue) ServedShares(now boottime.Time) (all, least float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fair.served.decay(now)
	all, least = q.fair.served.fraction(), 1
	if all == 0 {
		return 1, 1
	}
	for key, s := range q.fair.shares {
		s.served.decay(now)
		if key.workspace != "" && s.served.offered >= minServedOffers {
			least = min(least, s.served.fraction()/all)
		}
	}
	return all, least
}
