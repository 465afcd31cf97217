package rollout

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Fractions of the duration of an order.
const (
	// concentrateUntil is the part in which the fewest endpoints of the version get all calls
	// that may go to it: a version that fails under load shows it there. Then all of them get
	// some.
	concentrateUntil = 0.4
	// verifyUntil is when the calls move to a version that has shown no fault. The rest is
	// for the move and for a store that does not answer for some seconds.
	verifyUntil = 0.5
	// verifySuspectUntil is the same for a version with too few answers, or that may be worse.
	verifySuspectUntil = 0.6
	// completeUntil is when the status is written even if hosts have not confirmed that
	// they follow.
	completeUntil = 0.9
)

const (
	// shareMargin is the part of the permitted share that is used. Some calls are counted
	// as sent and never arrive.
	shareMargin = 0.9
	// trialOccupancy is the part of the slots of the trial endpoints that calls are expected
	// to fill: near the limit from which the usual endpoints slow down.
	trialOccupancy = 0.8
	// enoughAnswers is the number of answers without a fault that shows a version that fails
	// for a tenth of the calls with a probability of 0.998.
	enoughAnswers = 60
	// shiftInterval is the least time between two steps of the move. The endpoints report
	// their answers meanwhile.
	shiftInterval = 700 * time.Millisecond
	// rotateInterval is the least time between two choices of trial endpoints: the second
	// ones show within it whether a fault is that of the version.
	rotateInterval = time.Second
	// maxDrainWait bounds how long calls in flight at the earlier versions are awaited
	// before these are ended.
	maxDrainWait = 1500 * time.Millisecond
)

// shiftShares are the shares of the steps in which the calls move. At controlShare the calls
// of the earlier versions still show which faults all versions have.
var shiftShares = []float64{0.25, 0.5, controlShare, 1}

const (
	controlShare = 0.9
	// controlInterval is the time at that share: the answers of 0.7 s are reported within it.
	controlInterval = 1400 * time.Millisecond
)

// Bounds are the operator's bounds for roll-outs.
type Bounds struct {
	// Share is the share of the calls that a version may get before it is known to be good.
	Share float64
	// Slack is the number of calls beyond that share which the operator accepts.
	Slack float64
}

// TargetEndpoint is an endpoint of the target version.
type TargetEndpoint struct {
	ID    mesh.EndpointID
	Slots int
}

// Input is what the deciding host knows of a service.
type Input struct {
	Now     boottime.Time
	Bounds  Bounds
	Verdict Verdict
	Targets []TargetEndpoint
	// OldVersions are the other versions of the service that have endpoints.
	OldVersions []string
	// Running is the number of calls at all endpoints of the service, and OldRunning that
	// at those of other versions.
	Running, OldRunning int
	// Applied is set when every reachable host follows the current step.
	Applied bool
	// StoreAnswers is set when this host has read the store just now.
	StoreAnswers bool
}

// Advance returns the next state of a roll-out, and whether the store may now get the
// status that completes it. Only the acknowledged write of that status does complete it.
func Advance(s State, in Input) (next State, complete bool) {
	next = s
	if s.IsFinal() {
		return s, false
	}
	// Without calls at the earlier versions nothing shows which faults all versions have.
	if in.Verdict.Severe || in.Verdict.Bad && s.Share < 1 {
		return Withdraw(s, in.Now), false
	}
	if s.Phase == Verifying {
		return next.verify(in), false
	}
	return next.shift(in)
}

// RecordStored returns the state after the store has acknowledged the status of a phase.
func RecordStored(s State, phase Phase, now boottime.Time) State {
	if s.Phase != phase {
		s = s.step(now, phase, 0, nil)
	}
	s.Stored = phase == Completed || phase == RolledBack
	return s
}

// Withdraw returns the state in which no call may go to the target version.
func Withdraw(s State, now boottime.Time) State { return s.step(now, RolledBack, 0, nil) }

// CarryOver returns the state of an order of which nothing is in the store. If the store was
// restored from a copy since a decision on the same order, the decision stays.
func CarryOver(known, ordered State) State {
	restored := known.Order.Number == ordered.Order.Number && known.Order.Epoch < ordered.Order.Epoch && known.Target == ordered.Target
	if !restored {
		return ordered
	}
	known.Order, known.Duration = ordered.Order, ordered.Duration
	known.Stored = known.Phase == Completed // The earlier versions have ended.
	return known
}

func (s State) step(now boottime.Time, phase Phase, share float64, trial []mesh.EndpointID) State {
	s.Phase, s.Share, s.Trial = phase, share, trial
	s.Step++
	s.SteppedAt = now
	return s
}

// progress returns the elapsed part of the order's duration.
func (s *State) progress(now boottime.Time) float64 {
	return float64(now-s.Started) / float64(s.Duration)
}

func (s State) verify(in Input) State {
	if len(in.Targets) == 0 {
		return s
	}
	for _, v := range in.OldVersions {
		if !slices.Contains(s.Old, v) {
			s.Old = append(slices.Clone(s.Old), v)
		}
	}
	progress := s.progress(in.Now)
	doubtful := in.Verdict.Suspect || in.Verdict.Answers.Total < enoughAnswers
	if in.StoreAnswers && (progress >= verifySuspectUntil || progress >= verifyUntil && !doubtful) {
		return s.shiftTo(shiftShares[0], in)
	}
	share := in.Bounds.Share * shareMargin
	trial := s.Trial
	switch count := trialSize(share, in); {
	case progress >= concentrateUntil:
		trial = nil
	case !allKnown(trial, in.Targets) || len(trial) < count:
		trial = chooseTrial(in.Targets, count, 0)
	case in.Verdict.Suspect && in.Now-s.SteppedAt >= rotateInterval:
		// Others show whether the version or its endpoints are at fault.
		trial = chooseTrial(in.Targets, len(trial), int(s.Step)*len(trial))
	}
	if share != s.Share || !slices.Equal(trial, s.Trial) {
		return s.step(in.Now, Verifying, share, trial)
	}
	return s
}

// trialSize returns the number of endpoints that a share of the calls keeps busy.
func trialSize(share float64, in Input) int {
	slots := 0
	for _, t := range in.Targets {
		slots += t.Slots
	}
	perEndpoint := max(1, trialOccupancy*float64(slots)/float64(len(in.Targets)))
	busy := int(math.Floor(share * float64(in.Running) / perEndpoint))
	return min(len(in.Targets), max(1, busy))
}

func allKnown(trial []mesh.EndpointID, targets []TargetEndpoint) bool {
	for _, id := range trial {
		if !slices.ContainsFunc(targets, func(t TargetEndpoint) bool { return t.ID == id }) {
			return false
		}
	}
	return len(trial) > 0
}

// chooseTrial chooses endpoints in the order of a hash, so that any host chooses the same,
// beginning after some of them.
func chooseTrial(targets []TargetEndpoint, count, after int) []mesh.EndpointID {
	hash := func(id mesh.EndpointID) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id)) // It returns no error.
		return h.Sum64()
	}
	ids := make([]mesh.EndpointID, 0, len(targets))
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	slices.SortFunc(ids, func(a, b mesh.EndpointID) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	after %= len(ids)
	ids = slices.Concat(ids[after:], ids[:after])
	return ids[:min(count, len(ids))]
}

// shiftTo moves a share of the calls to the same share of the endpoints, which get as many
// calls as they will have to take in the end.
func (s State) shiftTo(share float64, in Input) State {
	var trial []mesh.EndpointID
	if share < 1 {
		trial = chooseTrial(in.Targets, int(math.Ceil(share*float64(len(in.Targets)))), 0)
	}
	return s.step(in.Now, Shifting, share, trial)
}

func (s State) shift(in Input) (State, bool) {
	since := in.Now - s.SteppedAt
	if len(in.Targets) == 0 {
		// The earlier versions are still needed.
		if s.Share > 0 && since >= shiftInterval {
			return s.step(in.Now, Shifting, 0, nil), false
		}
		return s, false
	}
	late := s.progress(in.Now) >= completeUntil
	interval := shiftInterval
	if s.Share == controlShare {
		interval = controlInterval
	}
	if !late && (since < interval || !in.Applied) {
		return s, false
	}
	if s.Share < 1 {
		i := slices.IndexFunc(shiftShares, func(share float64) bool { return share > s.Share })
		return s.shiftTo(shiftShares[i], in), false
	}
	drained := in.OldRunning == 0 || since >= maxDrainWait
	return s, in.StoreAnswers && (drained || late)
}
