package quota

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/mesh"
)

const (
	// askAhead is the time for which a host asks for tokens beyond the calls that wait. It
	// is some round trips between failure domains, so that a steady demand costs a few
	// messages in each life of a token.
	askAhead = 50 * time.Millisecond
	// demandTime is the time constant of the estimated demand.
	demandTime = 500 * time.Millisecond
	// minHold and maxHold bound the time for which a host does not ask an owner whose
	// bucket is empty. 64 hosts then send it 1,280 demands a second at most for one
	// workspace, and the bucket holds the tokens of that time.
	minHold, maxHold = 5 * time.Millisecond, 50 * time.Millisecond
)

// hand holds the tokens of a workspace at a host, and the calls that wait for some.
type hand struct {
	lots    []lot
	waiting []waiter
	// asked is the demand that has no answer yet; its number is 0 when there is none.
	asked  demand
	number uint32
	// refunds and rejected are told to the owner with the next demand.
	refunds, rejected uint32
	refundedAt        boottime.Time
	// perSecond is the estimated demand.
	perSecond float64
	calledAt  boottime.Time
	// emptyUntil is the time before which the owner is not asked again, roomAt the time at
	// which it expects room.
	emptyUntil, roomAt boottime.Time
}

// lot is a number of tokens that expire together.
type lot struct {
	calls   uint32
	expires boottime.Time
}

// waiter is a call that waits for a token.
type waiter struct {
	call  uint64
	until boottime.Time
}

// demand is an Ask that was sent.
type demand struct {
	to     mesh.HostID
	number uint32
	sentAt boottime.Time
	// calls are the waiting calls that it asks for, and those ahead.
	calls uint32
}

// observe counts a call for the estimated demand.
func (h *hand) observe(now boottime.Time) {
	h.perSecond = h.demandAt(now) + 1/demandTime.Seconds()
	h.calledAt = now
}

func (h *hand) demandAt(now boottime.Time) float64 {
	return h.perSecond * math.Exp(-(now-h.calledAt).Seconds()/demandTime.Seconds())
}

// take takes a token that has not expired.
func (h *hand) take(now boottime.Time) bool {
	h.lots = slices.DeleteFunc(h.lots, func(l lot) bool { return l.calls == 0 || now >= l.expires })
	if len(h.lots) == 0 {
		return false
	}
	h.lots[0].calls--
	return true
}

// ask returns the demand for the waiting calls and those that are expected soon.
func (h *hand) ask(w mesh.WorkspaceName, to mesh.HostID, now boottime.Time) Ask {
	h.number = max(h.number+1, 1)
	calls := uint32(len(h.waiting))
	if calls > 0 {
		calls += toCalls(h.demandAt(now) * askAhead.Seconds())
	}
	a := Ask{Workspace: w, Number: h.number, Calls: min(calls, maxCalls), Refunds: min(h.refunds, maxCalls), Rejected: min(h.rejected, maxCalls)}
	h.refunds, h.rejected = 0, 0
	h.asked = demand{to: to, number: a.Number, sentAt: now, calls: a.Calls}
	return a
}

// receive adds the tokens of a grant. They expire a token's life after they were asked
// for, so that the time of the messages counts. It returns the waiting calls that are
// admitted and those that are rejected.
func (h *hand) receive(g GrantEntry, life time.Duration, now boottime.Time) (admitted, rejected []waiter) {
	calls := min(g.Calls, h.asked.calls)
	h.lots = append(h.lots, lot{calls: calls, expires: h.asked.sentAt + life})
	short := calls < h.asked.calls
	h.asked = demand{}
	for len(h.waiting) > 0 && h.take(now) {
		admitted, h.waiting = append(admitted, h.waiting[0]), h.waiting[1:]
	}
	if !short {
		return admitted, nil
	}
	retry := time.Duration(min(g.RetryMs, uint32(maxBacklog.Milliseconds()))) * time.Millisecond
	h.roomAt = now + retry
	h.emptyUntil = now + lo.Clamp(retry, minHold, maxHold)
	rejected, h.waiting = h.waiting, nil
	return admitted, rejected
}
