package authority

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// A fixed seed gives every run the same cases; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1300"); err != nil {
		panic(err)
	}
}

// operation is one Propose or Rollback of a client, with its result.
type operation struct {
	proposal    Proposal
	rollbackTo  mesh.Sequence // zero: Propose
	headAtStart mesh.Sequence // the head when the call began
	headAtEnd   mesh.Sequence // the head when it returned
	accepted    Accepted
	err         error
	startTick   int
	endTick     int
}

type clientKey struct{}

// schedule runs clients one store call at a time, in an order and with faults
// that rapid draws, so that every run with the same seed is the same. A client
// announces each store call on storeCalls and blocks until it receives the
// call's fault on its resume channel.
type schedule struct {
	t          *rapid.T
	store      *fakeStore
	resume     [3]chan fault
	storeCalls chan int
	blocked    [3]bool
	entries    []string // the entries that the clients change
	running    [3]*operation
	completed  []*operation
	returned   chan int
	tick       int
	// sharedAuthority, when set, is used by all clients.
	sharedAuthority *Authority
	// clients is waited for, so that a failed run ends all calls before it
	// returns.
	clients sync.WaitGroup
}

func smallBounds(a *Authority) *Authority {
	a.bounds = bounds{recentChanges: 3, auditRecords: 10_000, sweepInterval: 2}
	return a
}

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{
		t: t, entries: []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "entries")],
		store: newFakeStore(), storeCalls: make(chan int, 4096), returned: make(chan int, 4096),
	}
	if rapid.Bool().Draw(t, "shared") {
		s.sharedAuthority = smallBounds(New(s.store, Options{Jitter: func() float64 { return 0.5 }}))
	}
	for i := range s.resume {
		s.resume[i] = make(chan fault)
	}
	s.store.fault = func(ctx context.Context, _, _ string) fault {
		client, ok := ctx.Value(clientKey{}).(int)
		if !ok {
			return none
		}
		s.storeCalls <- client
		return <-s.resume[client]
	}
	return s
}

// readHead reads the head and its lists without the scheduler and checks that
// the accepted version is complete.
func (s *schedule) readHead() (Head, lists.Lists) {
	a := smallBounds(New(s.store, Options{}))
	head, _, err := a.Head(context.Background())
	if err != nil {
		s.t.Fatalf("head: %v", err)
	}
	l, err := a.loadLists(context.Background(), head.Version, head.Chunks)
	if err != nil {
		s.t.Fatalf("the accepted version %d cannot be read: %v", head.Version.Sequence, err)
	}
	return head, l
}

// start begins a new change, or retries an earlier one with the same ID, which
// may still be in flight on another client.
func (s *schedule) start(client int) {
	head, l := s.readHead()
	op := &operation{headAtStart: head.Version.Sequence, startTick: s.tick}
	operations := append(slices.Clone(s.completed), s.inFlight()...)
	if len(operations) > 0 && rapid.IntRange(0, 3).Draw(s.t, "repeat") == 0 {
		earlier := operations[rapid.IntRange(0, len(operations)-1).Draw(s.t, "earlier")]
		op.proposal, op.rollbackTo = earlier.proposal, earlier.rollbackTo
	} else {
		name := rapid.SampledFrom(s.entries).Draw(s.t, "entry")
		after := plan(rapid.IntRange(1, 3).Draw(s.t, "rate"))
		id := mesh.ChangeID("c" + strconv.Itoa(len(operations)) + "-" + strconv.Itoa(s.tick))
		op.proposal = Proposal{ChangeID: id, Author: "ada", Edits: edit(name, l[planKey(name)], after)}
		if op.headAtStart > 0 && rapid.IntRange(0, 4).Draw(s.t, "rollback") == 0 {
			op.rollbackTo = mesh.Sequence(rapid.IntRange(1, int(op.headAtStart)).Draw(s.t, "to"))
		}
	}
	s.running[client] = op
	s.clients.Go(func() {
		s.execute(context.WithValue(context.Background(), clientKey{}, client), client, op)
		s.returned <- client
	})
}

func (s *schedule) execute(ctx context.Context, client int, op *operation) {
	a := s.sharedAuthority
	if a == nil {
		a = smallBounds(New(s.store, Options{Jitter: func() float64 { return float64(client+1) / 4 }}))
	}
	if op.rollbackTo == 0 {
		op.accepted, op.err = a.Propose(ctx, op.proposal)
		return
	}
	op.accepted, op.err = a.Rollback(ctx, RollbackRequest{ChangeID: op.proposal.ChangeID, Author: "ada", To: op.rollbackTo})
}

func (s *schedule) inFlight() []*operation {
	return slices.DeleteFunc(slices.Clone(s.running[:]), func(o *operation) bool { return o == nil })
}

// run lets the clients take steps until all of them have ended. A client takes
// several steps in a row, because rare races need few switches between clients
// at the right places.
func (s *schedule) run(steps int) {
	for ; steps > 0 || len(s.inFlight()) > 0; steps-- {
		s.tick++
		s.updateClients()
		choices := lo.Filter([]int{0, 1, 2}, func(c, _ int) bool {
			return s.blocked[c] || s.running[c] == nil && steps > 0
		})
		if len(choices) == 0 {
			time.Sleep(10 * time.Millisecond) // The clients back off; this is fake time.
			continue
		}
		client := rapid.SampledFrom(choices).Draw(s.t, "client")
		if s.running[client] == nil {
			s.start(client)
		}
		for range rapid.IntRange(1, 12).Draw(s.t, "burst") {
			s.step(client, steps > 0)
		}
	}
}

// step lets a client make its next store call, if it is blocked on one. It may
// inject a fault and apply a delayed write.
func (s *schedule) step(client int, injectFaults bool) {
	s.updateClients()
	if !s.blocked[client] {
		return
	}
	s.blocked[client] = false
	f := none
	if injectFaults && rapid.IntRange(0, 19).Draw(s.t, "faulty") == 0 {
		f = rapid.SampledFrom([]fault{unavailable, lostBefore, lostAfter, delayed}).Draw(s.t, "fault")
	}
	s.resume[client] <- f
	synctest.Wait()
	s.readHead()
	if len(s.store.delayedWrites) > 0 && rapid.IntRange(0, 9).Draw(s.t, "deliver") == 0 {
		s.store.applyDelayedWrite()
	}
}

// updateClients records which clients are blocked on a store call and which have
// returned.
func (s *schedule) updateClients() {
	synctest.Wait()
	for {
		select {
		case client := <-s.storeCalls:
			s.blocked[client] = true
		case client := <-s.returned:
			op := s.running[client]
			head, _ := s.readHead()
			op.headAtEnd, op.endTick = head.Version.Sequence, s.tick
			s.completed, s.running[client] = append(s.completed, op), nil
		default:
			return
		}
	}
}

// checkResults compares the results of the calls with the chain of accepted
// versions and their lists, which recordVersions kept.
func (s *schedule) checkResults(chain map[mesh.Sequence]RecentChange, states map[mesh.Sequence]lists.Lists) {
	acceptedAs := map[mesh.ChangeID]mesh.Sequence{}
	for sequence, recent := range chain {
		if _, duplicate := acceptedAs[recent.Change]; duplicate {
			s.t.Fatalf("change %s was applied twice", recent.Change)
		}
		acceptedAs[recent.Change] = sequence
	}
	s.checkRecords(chain, states)
	for _, op := range s.completed {
		sequence, applied := acceptedAs[op.proposal.ChangeID]
		switch {
		case op.err == nil && (!applied || op.accepted.Version != chain[sequence].Version):
			s.t.Fatalf("accepted change %s is lost", op.proposal.ChangeID)
		case op.err == nil && sequence > op.headAtEnd:
			s.t.Fatalf("change %s was reported before it was accepted", op.proposal.ChangeID)
		case op.err == nil:
		case errors.Is(op.err, ErrOutcomeUnknown):
		case errors.Is(op.err, ErrStoreUnavailable) && s.hadUnknownOutcome(op):
		case applied && sequence > op.headAtStart && sequence <= op.headAtEnd && !s.hasOverlappingCall(op):
			s.t.Fatalf("change %s was applied, but reported as %v", op.proposal.ChangeID, op.err)
		case errors.Is(op.err, ErrVersionNotFound) && op.rollbackTo == 0:
			s.t.Fatalf("change %s: %v", op.proposal.ChangeID, op.err)
		case errors.Is(op.err, lists.ErrConflict) && !isConflictJustified(op, states):
			s.t.Fatalf("change %s has a conflict, but its entry did not change", op.proposal.ChangeID)
		}
	}
}

// checkRecords compares the audit records with the versions and their lists, and
// the records of proposals with what was proposed.
func (s *schedule) checkRecords(chain map[mesh.Sequence]RecentChange, states map[mesh.Sequence]lists.Lists) {
	for sequence, recent := range chain {
		record, _, err := New(s.store, Options{}).readRecord(context.Background(), sequence, recent.Change)
		if err != nil || record.Version != recent.Version || record.Previous != chain[sequence-1].Version {
			s.t.Fatalf("the audit record of version %d belongs to another version: %v", sequence, err)
		}
		expected, err := lists.Apply(states[sequence-1], record.Change.Edits)
		if err != nil || !maps.EqualFunc(expected, states[sequence], maps.Equal) {
			s.t.Fatalf("the edits of version %d applied to the version before it do not give its lists: %v", sequence, err)
		}
		op, _ := lo.Find(s.completed, func(o *operation) bool { return o.proposal.ChangeID == recent.Change })
		if op.rollbackTo == 0 && !reflect.DeepEqual(record.Change.Edits, op.proposal.Edits) {
			s.t.Fatalf("version %d has other edits than change %s", sequence, recent.Change)
		}
	}
}

// hadUnknownOutcome reports whether an earlier call with the same change ID
// ended with an unknown outcome. Its delayed swap can take effect during op, and
// op cannot detect that when the store is unavailable for all of its calls.
func (s *schedule) hadUnknownOutcome(op *operation) bool {
	return slices.ContainsFunc(s.completed, func(o *operation) bool {
		return o.proposal.ChangeID == op.proposal.ChangeID && o.endTick <= op.startTick &&
			errors.Is(o.err, ErrOutcomeUnknown)
	})
}

// hasOverlappingCall reports whether another call with the same change ID
// overlapped op and may have been the one that was accepted.
func (s *schedule) hasOverlappingCall(op *operation) bool {
	return slices.ContainsFunc(s.completed, func(o *operation) bool {
		return o != op && o.proposal.ChangeID == op.proposal.ChangeID && o.endTick >= op.startTick
	})
}

// isConflictJustified reports whether the entry that op edits had another value
// than op expected at some time during op. For a rollback it is enough that
// another change was accepted during op.
func isConflictJustified(op *operation, states map[mesh.Sequence]lists.Lists) bool {
	if op.rollbackTo > 0 {
		return op.headAtStart != op.headAtEnd
	}
	e := op.proposal.Edits[0]
	for sequence := op.headAtStart; sequence <= op.headAtEnd; sequence++ {
		if !maps.Equal(states[sequence][e.Key], e.Before) {
			return true
		}
	}
	return false
}

// recordVersions stores the accepted version and its lists at each write of the
// head.
func (s *schedule) recordVersions(chain map[mesh.Sequence]RecentChange, states map[mesh.Sequence]lists.Lists) {
	s.store.onWrite = func(key string, value []byte) {
		if key != keyHead {
			return
		}
		head, err := decodeHead(kvstore.Entry{Key: key, Value: value})
		last := lo.LastOrEmpty(head.Recent)
		if err != nil || last.Version.Sequence != mesh.Sequence(len(chain)+1) {
			panic(fmt.Sprintf("version %d does not follow %d: %v", last.Version.Sequence, len(chain), err))
		}
		chain[last.Version.Sequence] = last
		states[last.Version.Sequence], err = lists.Decode(s.store.entries[chunkKey(last.Version.Digest, 0)].Value)
		if err != nil {
			panic(err)
		}
	}
}

// TestSchedules guards against accepted changes that are lost, applied twice or
// reported wrongly, and against bodies that are deleted while a version needs
// them, under random interleavings of store calls, lost responses and failures.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			s := newSchedule(rt)
			defer func() {
				failure = recover()
				lo.ForEach(s.resume[:], func(c chan fault, _ int) { close(c) })
				s.clients.Wait()
			}()
			chain, states := map[mesh.Sequence]RecentChange{}, map[mesh.Sequence]lists.Lists{0: {}}
			s.recordVersions(chain, states)
			s.run(rapid.IntRange(20, 150).Draw(rt, "steps"))
			s.checkResults(chain, states)
		})
		// rapid compares stack traces, so the end of its data must not look like a
		// failure of the test.
		if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
			panic(failure)
		}
		if failure != nil {
			panic(failure)
		}
	})
}
