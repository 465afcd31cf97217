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

// operation is one Propose or Rollback of a client, with what it saw.
type operation struct {
	proposal    Proposal
	rollbackTo  mesh.Sequence // zero: Propose
	started     mesh.Sequence // the head when the call began
	ended       mesh.Sequence // the head when it returned
	accepted    Accepted
	err         error
	beganAtTick int
	endedAtTick int
}

type clientKey struct{}

// schedule runs clients one store call at a time, in an order and with faults
// that rapid draws, so that every run with the same seed is the same.
type schedule struct {
	t       *rapid.T
	store   *fakeStore
	parked  [3]chan fault
	asking  chan int
	waiting [3]bool
	entries []string // the entries that the clients change
	busy    [3]*operation
	done    []*operation
	ended   chan int
	tick    int
	// shared, when set, is the authority of all clients.
	shared *Authority
	// clients lets a failed run end all calls before it returns.
	clients sync.WaitGroup
}

func smallBounds(a *Authority) *Authority {
	a.bounds = bounds{recent: 3, audit: 10_000, sweep: 2}
	return a
}

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{
		t: t, entries: []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "entries")],
		store: newFake(), asking: make(chan int, 4096), ended: make(chan int, 4096),
	}
	if rapid.Bool().Draw(t, "shared") {
		s.shared = smallBounds(New(s.store, Options{Jitter: func() float64 { return 0.5 }}))
	}
	for i := range s.parked {
		s.parked[i] = make(chan fault)
	}
	s.store.fault = func(ctx context.Context, _, _ string) fault {
		client, ok := ctx.Value(clientKey{}).(int)
		if !ok {
			return none
		}
		s.asking <- client
		return <-s.parked[client]
	}
	return s
}

// head reads the head and its lists past the scheduler and checks that the
// accepted version is complete.
func (s *schedule) head() (Head, lists.Lists) {
	a := smallBounds(New(s.store, Options{}))
	head, _, err := a.Head(context.Background())
	if err != nil {
		s.t.Fatalf("head: %v", err)
	}
	l, err := a.listsOf(context.Background(), head.Version, head.Chunks)
	if err != nil {
		s.t.Fatalf("the accepted version %d cannot be read: %v", head.Version.Sequence, err)
	}
	return head, l
}

// start begins a new change, or repeats an earlier one with the same ID, which
// may still be in flight on another client.
func (s *schedule) start(client int) {
	head, l := s.head()
	op := &operation{started: head.Version.Sequence, beganAtTick: s.tick}
	known := append(slices.Clone(s.done), s.inFlight()...)
	if len(known) > 0 && rapid.IntRange(0, 3).Draw(s.t, "repeat") == 0 {
		earlier := known[rapid.IntRange(0, len(known)-1).Draw(s.t, "earlier")]
		op.proposal, op.rollbackTo = earlier.proposal, earlier.rollbackTo
	} else {
		name := rapid.SampledFrom(s.entries).Draw(s.t, "entry")
		after := plan(rapid.IntRange(1, 3).Draw(s.t, "rate"))
		id := mesh.ChangeID("c" + strconv.Itoa(len(known)) + "-" + strconv.Itoa(s.tick))
		op.proposal = Proposal{ChangeID: id, Author: "ada", Edits: edit(name, l[planKey(name)], after)}
		if op.started > 0 && rapid.IntRange(0, 4).Draw(s.t, "rollback") == 0 {
			op.rollbackTo = mesh.Sequence(rapid.IntRange(1, int(op.started)).Draw(s.t, "to"))
		}
	}
	s.busy[client] = op
	s.clients.Go(func() {
		s.call(context.WithValue(context.Background(), clientKey{}, client), client, op)
		s.ended <- client
	})
}

func (s *schedule) call(ctx context.Context, client int, op *operation) {
	a := s.shared
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
	return slices.DeleteFunc(slices.Clone(s.busy[:]), func(o *operation) bool { return o == nil })
}

// run lets the clients take steps until all of them have ended. A client takes
// several steps in a row, because rare races need few switches at the right
// places.
func (s *schedule) run(steps int) {
	for ; steps > 0 || len(s.inFlight()) > 0; steps-- {
		s.tick++
		s.drain()
		choices := lo.Filter([]int{0, 1, 2}, func(c, _ int) bool {
			return s.waiting[c] || s.busy[c] == nil && steps > 0
		})
		if len(choices) == 0 {
			time.Sleep(10 * time.Millisecond) // The clients back off; this is fake time.
			continue
		}
		client := rapid.SampledFrom(choices).Draw(s.t, "client")
		if s.busy[client] == nil {
			s.start(client)
		}
		for range rapid.IntRange(1, 12).Draw(s.t, "burst") {
			s.step(client, steps > 0)
		}
	}
}

// step lets a client make its next store call, if it waits for one.
func (s *schedule) step(client int, faulty bool) {
	s.drain()
	if !s.waiting[client] {
		return
	}
	s.waiting[client] = false
	f := none
	if faulty && rapid.IntRange(0, 19).Draw(s.t, "faulty") == 0 {
		f = rapid.SampledFrom([]fault{unavailable, lostBefore, lostAfter, delayed}).Draw(s.t, "fault")
	}
	s.parked[client] <- f
	synctest.Wait()
	s.head()
	if len(s.store.late) > 0 && rapid.IntRange(0, 9).Draw(s.t, "deliver") == 0 {
		s.store.deliver()
	}
}

// drain notes which clients wait for a store call and which have ended.
func (s *schedule) drain() {
	synctest.Wait()
	for {
		select {
		case client := <-s.asking:
			s.waiting[client] = true
		case client := <-s.ended:
			op := s.busy[client]
			head, _ := s.head()
			op.ended, op.endedAtTick = head.Version.Sequence, s.tick
			s.done, s.busy[client] = append(s.done, op), nil
		default:
			return
		}
	}
}

// check compares what the calls reported with the chain of accepted versions
// and their lists, which the store recorded at each write of the head.
func (s *schedule) check(chain map[mesh.Sequence]Recent, states map[mesh.Sequence]lists.Lists) {
	at := map[mesh.ChangeID]mesh.Sequence{}
	for sequence, recent := range chain {
		if _, twice := at[recent.Change]; twice {
			s.t.Fatalf("change %s was applied twice", recent.Change)
		}
		at[recent.Change] = sequence
	}
	s.checkRecords(chain, states)
	for _, op := range s.done {
		sequence, applied := at[op.proposal.ChangeID]
		switch {
		case op.err == nil && (!applied || op.accepted.Version != chain[sequence].Version):
			s.t.Fatalf("accepted change %s is lost", op.proposal.ChangeID)
		case op.err == nil && sequence > op.ended:
			s.t.Fatalf("change %s was reported before it was accepted", op.proposal.ChangeID)
		case op.err == nil:
		case errors.Is(op.err, ErrOutcomeUnknown):
		case errors.Is(op.err, ErrStoreUnavailable) && s.openBefore(op):
		case applied && sequence > op.started && sequence <= op.ended && !s.triedByOther(op):
			s.t.Fatalf("change %s was applied, but reported as %v", op.proposal.ChangeID, op.err)
		case errors.Is(op.err, ErrVersionNotFound) && op.rollbackTo == 0:
			s.t.Fatalf("change %s: %v", op.proposal.ChangeID, op.err)
		case errors.Is(op.err, lists.ErrConflict) && !conflictJustified(op, states):
			s.t.Fatalf("change %s conflicts with nothing", op.proposal.ChangeID)
		}
	}
}

// checkRecords compares the audit records with the versions and their lists, and
// the records of proposals with what was proposed.
func (s *schedule) checkRecords(chain map[mesh.Sequence]Recent, states map[mesh.Sequence]lists.Lists) {
	for sequence, recent := range chain {
		record, _, err := New(s.store, Options{}).readRecord(context.Background(), sequence, recent.Change)
		if err != nil || record.Version != recent.Version || record.Previous != chain[sequence-1].Version {
			s.t.Fatalf("the audit record of version %d belongs to another version: %v", sequence, err)
		}
		expected, err := lists.Apply(states[sequence-1], record.Change.Edits)
		if err != nil || !maps.EqualFunc(expected, states[sequence], maps.Equal) {
			s.t.Fatalf("version %d is not the version before it with its edits: %v", sequence, err)
		}
		op, _ := lo.Find(s.done, func(o *operation) bool { return o.proposal.ChangeID == recent.Change })
		if op.rollbackTo == 0 && !reflect.DeepEqual(record.Change.Edits, op.proposal.Edits) {
			s.t.Fatalf("version %d has other edits than change %s", sequence, recent.Change)
		}
	}
}

// openBefore reports whether an earlier call with the same change ID ended with
// an unknown outcome. Its delayed swap can take effect during op, and op cannot
// know that when the store answers none of its calls.
func (s *schedule) openBefore(op *operation) bool {
	return slices.ContainsFunc(s.done, func(o *operation) bool {
		return o.proposal.ChangeID == op.proposal.ChangeID && o.endedAtTick <= op.beganAtTick &&
			errors.Is(o.err, ErrOutcomeUnknown)
	})
}

// triedByOther reports whether another call with the same change ID overlapped
// op and may have been the one that was accepted.
func (s *schedule) triedByOther(op *operation) bool {
	return slices.ContainsFunc(s.done, func(o *operation) bool {
		return o != op && o.proposal.ChangeID == op.proposal.ChangeID && o.endedAtTick >= op.beganAtTick
	})
}

func conflictJustified(op *operation, states map[mesh.Sequence]lists.Lists) bool {
	if op.rollbackTo > 0 {
		return op.started != op.ended
	}
	e := op.proposal.Edits[0]
	for sequence := op.started; sequence <= op.ended; sequence++ {
		if !maps.Equal(states[sequence][e.Key], e.Before) {
			return true
		}
	}
	return false
}

// record keeps the accepted versions and their lists at each write of the head.
func (s *schedule) record(chain map[mesh.Sequence]Recent, states map[mesh.Sequence]lists.Lists) {
	s.store.written = func(key string, value []byte) {
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
// reported wrongly, and against bodies that are collected while a version needs
// them, under drawn interleavings of store calls, lost answers and refusals.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			s := newSchedule(rt)
			defer func() {
				failure = recover()
				lo.ForEach(s.parked[:], func(c chan fault, _ int) { close(c) })
				s.clients.Wait()
			}()
			chain, states := map[mesh.Sequence]Recent{}, map[mesh.Sequence]lists.Lists{0: {}}
			s.record(chain, states)
			s.run(rapid.IntRange(20, 150).Draw(rt, "steps"))
			s.check(chain, states)
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
