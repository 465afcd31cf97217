package claims

import (
	"sync/atomic"
	"time"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// opKind is a kind of change to an entry.
type opKind uint8

// The kinds of operations. Values are part of the protocol between nodes.
const (
	opClaim opKind = iota + 1
	opRelease
	opComplete
)

const (
	opPending int32 = iota
	opResolved
	opCancelled
)

// operation is a change to an entry on its way to the store.
type operation struct {
	kind   opKind
	ticket Ticket
	status uint16
	// expires is when the worker stops trying to write the operation.
	expires time.Time
	// originator means that this node drew the nonce. Only that node releases a claim
	// that nobody waits for any more: after a timeout at one owner the requester may
	// have written the claim by another path with the same nonce.
	originator bool
	// written means that the store may hold the claim. Only the worker uses it.
	written bool
	// finish receives the result. It must not block.
	finish func(opResult)
	state  atomic.Int32
}

// resolve delivers the result and reports true, unless the operation was cancelled
// or resolved before.
func (o *operation) resolve(result opResult) bool {
	if !o.state.CompareAndSwap(opPending, opResolved) {
		return false
	}
	o.finish(result)
	return true
}

// cancel cancels the operation and reports true, unless it was resolved before.
func (o *operation) cancel() bool { return o.state.CompareAndSwap(opPending, opCancelled) }

func (o *operation) isCancelled() bool { return o.state.Load() == opCancelled }

// needsRelease reports whether the operation, if it is dropped, may leave a claim in
// the store that nobody uses.
func (o *operation) needsRelease() bool { return o.kind == opClaim && o.originator && o.written }

// decide returns the entry that is to replace e, whether that is a change, and the
// result of the operation once the store holds the entry.
func (o *operation) decide(e entry, found bool) (next entry, change bool, result opResult) {
	switch o.kind {
	case opClaim:
		return o.decideClaim(e, found)
	case opRelease:
		return o.decideRelease(e, found)
	default:
		return o.decideComplete(e, found)
	}
}

func (o *operation) entry(state State) entry {
	return entry{key: o.ticket.Key, body: o.ticket.Body, nonce: o.ticket.Nonce, state: state}
}

func (o *operation) decideClaim(e entry, found bool) (entry, bool, opResult) {
	hasSameNonce := found && e.nonce == o.ticket.Nonce
	switch {
	case !found:
		return o.entry(StateClaimed), true, opResult{}
	case e.body != o.ticket.Body:
		return e, false, opResult{reason: mesh.ReasonKeyConflict, final: true}
	case e.state == StateDone:
		return e, false, opResult{reason: mesh.ReasonAlreadyExecuted, status: e.status, final: true}
	case hasSameNonce && e.state == StateClaimed:
		return e, false, opResult{}
	case hasSameNonce:
		// The requester released this nonce, so this is a late duplicate.
		return e, false, opResult{reason: mesh.ReasonCancelled, final: true}
	case e.state == StateReleased:
		return o.entry(StateClaimed), true, opResult{}
	default:
		return e, false, opResult{reason: mesh.ReasonInProgress}
	}
}

// decideRelease adds a released entry when there is none, so that a write of the
// claim that is still in flight, or a duplicate of the request message, cannot claim
// the key later.
func (o *operation) decideRelease(e entry, found bool) (entry, bool, opResult) {
	if !found {
		return o.entry(StateReleased), true, opResult{}
	}
	if e.nonce != o.ticket.Nonce || e.state != StateClaimed {
		return e, false, opResult{}
	}
	e.state = StateReleased
	return e, true, opResult{}
}

// decideComplete adds a completed entry when there is none, because the store has
// lost the claim then.
func (o *operation) decideComplete(e entry, found bool) (entry, bool, opResult) {
	done := o.entry(StateDone)
	done.status = o.status
	if !found {
		return done, true, opResult{}
	}
	if e.nonce != o.ticket.Nonce || e.state != StateClaimed {
		return e, false, opResult{}
	}
	return done, true, opResult{}
}
