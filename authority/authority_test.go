package authority

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func planKey(name string) lists.EntryKey {
	return lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindPlan, Name: name}
}

func plan(rate int) lists.Fields {
	return lists.Fields{"rate-per-second": fmt.Sprint(rate), "burst": "1", "concurrency": "1"}
}

func edit(name string, before, after lists.Fields) []lists.Edit {
	return []lists.Edit{{Key: planKey(name), Before: before, After: after}}
}

func propose(a *Authority, id string, edits []lists.Edit) (Accepted, error) {
	return a.Propose(context.Background(), Proposal{ChangeID: mesh.ChangeID(id), Author: "ada", Edits: edits})
}

func mustPropose(a *Authority, id string, edits []lists.Edit) Accepted {
	accepted, err := propose(a, id, edits)
	So(err, ShouldBeNil)
	return accepted
}

// inBubble runs a test under a fake clock, because retries pause.
func inBubble(t *testing.T, body func(store *fakeStore, a *Authority)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With an authority over an empty store", t, func() {
			store := newFake()
			body(store, smallBounds(New(store, Options{})))
		})
	})
}

// once applies a fault to the first call of the given kind on a key prefix.
func once(op, prefix string, f fault) func(context.Context, string, string) fault {
	done := false
	return func(_ context.Context, o, key string) fault {
		if done || o != op || !strings.HasPrefix(key, prefix) {
			return none
		}
		done = true
		return f
	}
}

func TestRaces(t *testing.T) {
	inBubble(t, func(store *fakeStore, a *Authority) {
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		b := smallBounds(New(store, Options{}))
		// interleave lets b's change land between a's reading and a's swap.
		interleave := func(edits []lists.Edit) {
			landed := false
			store.fault = func(_ context.Context, op, key string) fault {
				if op == "cas" && key == keyHead && !landed {
					landed = true
					mustPropose(b, "other", edits)
				}
				return none
			}
		}
		Convey("operators on different entries both succeed, the later one is rebased", func() {
			interleave(edit("b", nil, plan(2)))
			accepted := mustPropose(a, "c2", edit("a", plan(1), plan(3)))
			So(accepted.Version.Sequence, ShouldEqual, 3)
			So(accepted.Attempts, ShouldEqual, 2)
			l, _, err := b.ListsAt(context.Background(), 0)
			So(err, ShouldBeNil)
			So(l, ShouldResemble, lists.Lists{planKey("a"): plan(3), planKey("b"): plan(2)})
			keys, _ := store.List(context.Background(), "", 100)
			So(len(keys), ShouldEqual, 1+3+3) // head, bodies and records; the lost attempt is cleaned up
		})
		Convey("operators on the same entry: the later one gets a conflict with both values", func() {
			interleave(edit("a", plan(1), plan(2)))
			_, err := propose(a, "c2", edit("a", plan(1), plan(3)))
			var conflict *lists.ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Conflicts[0].Found, ShouldResemble, plan(2))
			So(conflict.Conflicts[0].Wanted, ShouldResemble, plan(3))
			refusals, err := a.Refusals(context.Background(), 10)
			So(err, ShouldBeNil)
			So(refusals[0].Change.ID, ShouldEqual, mesh.ChangeID("c2"))
		})
	})
}

func TestLostAnswers(t *testing.T) {
	inBubble(t, func(store *fakeStore, a *Authority) {
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		for name, f := range map[string]fault{"before": lostBefore, "after": lostAfter} {
			Convey("a lost answer "+name+" the write is resolved, at every key", func() {
				for i, key := range []string{keyHead, prefixVersion, prefixChange} {
					store.fault = once("cas", key, f)
					accepted := mustPropose(a, "x"+fmt.Sprint(i), edit("b"+fmt.Sprint(i), nil, plan(i+1)))
					So(accepted.Version.Sequence, ShouldEqual, i+2)
				}
			})
		}
		Convey("when the store goes dark after the swap, the caller repeats with the same ID, also after other changes", func() {
			dark := false
			store.fault = func(_ context.Context, op, key string) fault {
				switch {
				case dark:
					return unavailable
				case op == "cas" && key == keyHead:
					dark = true
					return lostAfter
				}
				return none
			}
			_, err := propose(a, "c2", edit("a", plan(1), plan(2)))
			So(errors.Is(err, ErrOutcomeUnknown), ShouldBeTrue)
			store.fault = nil
			for i := range 3 * a.bounds.recent {
				mustPropose(a, fmt.Sprint("o", i), edit("a", plan(2+i), plan(3+i)))
			}
			mustPropose(a, "back", edit("a", plan(2+3*a.bounds.recent), plan(1)))
			accepted := mustPropose(a, "c2", edit("a", plan(1), plan(2)))
			So(accepted.Repeated, ShouldBeTrue)
			So(accepted.Version.Sequence, ShouldEqual, 2)
			_, err = propose(a, "c2", edit("a", plan(1), plan(9)))
			So(errors.Is(err, ErrChangeReused), ShouldBeTrue)
		})
		Convey("writes that never get an answer are not taken for done", func() {
			for _, key := range []string{prefixVersion, prefixChange} {
				store.fault = func(_ context.Context, op, k string) fault {
					return map[bool]fault{true: lostBefore}[op == "cas" && strings.HasPrefix(k, key)]
				}
				_, err := propose(a, "c2", edit("a", plan(1), plan(2)))
				So(errors.Is(err, ErrStoreUnavailable), ShouldBeTrue)
			}
		})
		Convey("a dark store accepts nothing and says so", func() {
			store.fault = func(context.Context, string, string) fault { return unavailable }
			_, err := propose(a, "c2", edit("a", plan(1), plan(2)))
			So(errors.Is(err, ErrStoreUnavailable), ShouldBeTrue)
			So(errors.Is(err, ErrOutcomeUnknown), ShouldBeFalse)
		})
	})
}

func TestRefusals(t *testing.T) {
	inBubble(t, func(store *fakeStore, a *Authority) {
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		refused := func(id string, edits []lists.Edit, want error) {
			_, err := propose(a, id, edits)
			So(errors.Is(err, want), ShouldBeTrue)
			head, _, err := a.Head(context.Background())
			So(err, ShouldBeNil)
			So(head.Version.Sequence, ShouldEqual, 1)
		}
		Convey("invalid, too large, reused, empty and malformed changes leave the head alone", func() {
			refused("c2", edit("b", nil, lists.Fields{"burst": "x"}), lists.ErrInvalid)
			refused("c1", edit("b", nil, plan(1)), ErrChangeReused)
			refused("c3", nil, ErrNoChange)
			refused("c3", edit("a", plan(1), plan(1)), ErrNoChange)
			refused("c/3", edit("b", nil, plan(1)), ErrBadProposal)
			many := make([]lists.Edit, 0, lists.MaxEntries+1)
			for i := range cap(many) {
				many = append(many, edit(fmt.Sprint("p", i), nil, plan(1))...)
			}
			refused("c4", many, lists.ErrInvalid)
		})
		Convey("an interrupted change can be repeated, but its ID takes no other content", func() {
			store.fault = once("cas", keyHead, unavailable)
			_, err := propose(a, "c2", edit("b", nil, plan(1)))
			So(errors.Is(err, ErrStoreUnavailable), ShouldBeTrue)
			refused("c2", edit("b", nil, plan(2)), ErrChangeReused)
			So(mustPropose(a, "c2", edit("b", nil, plan(1))).Repeated, ShouldBeFalse)
		})
		Convey("the ring of refusals keeps the last ones", func() {
			for i := range RefusedRecords + 5 {
				_, _ = propose(a, fmt.Sprint("r", i), edit("b", plan(1), nil))
			}
			refusals, err := a.Refusals(context.Background(), 1000)
			So(err, ShouldBeNil)
			So(len(refusals), ShouldEqual, RefusedRecords)
			So(refusals[0].Change.ID, ShouldEqual, mesh.ChangeID(fmt.Sprint("r", RefusedRecords+4)))
		})
	})
}

func TestRetentionAndRollback(t *testing.T) {
	inBubble(t, func(store *fakeStore, a *Authority) {
		ctx := context.Background()
		mustPropose(a, "n0", edit("a", nil, plan(1)))
		last := 8 * a.bounds.recent
		for i := 1; i < last; i++ {
			mustPropose(a, fmt.Sprint("n", i), edit("a", plan(i), plan(i+1)))
		}
		Convey("audit records stay within their bound", func() {
			a.bounds.audit = 5
			mustPropose(a, "last", edit("a", plan(last), plan(1)))
			keys, _ := store.List(ctx, prefixChange, 1000)
			So(len(keys), ShouldEqual, 5)
		})
		Convey("bodies stay within the bound and every retained one loads", func() {
			keys, _ := store.List(ctx, prefixVersion, 1000)
			So(len(keys), ShouldEqual, a.bounds.recent)
			head, _, _ := a.Head(ctx)
			v, err := smallBounds(New(store, Options{})).Load(ctx, head)
			So(err, ShouldBeNil)
			So(v.Change.Edits, ShouldResemble, edit("a", plan(last-1), plan(last)))
			history, err := a.History(ctx, 20, 5)
			So(err, ShouldBeNil)
			So(len(history), ShouldEqual, 5)
			So(history[0].Version.Sequence, ShouldEqual, 19)
		})
		Convey("a rollback takes the lists of a retained or rebuilt version as a new one and is idempotent", func() {
			for i, to := range []mesh.Sequence{mesh.Sequence(last - 1), 7} {
				request := RollbackRequest{ChangeID: mesh.ChangeID(fmt.Sprint("rb", i)), Author: "ada", To: to}
				accepted, err := a.Rollback(ctx, request)
				So(err, ShouldBeNil)
				So(accepted.Version.Sequence, ShouldEqual, last+i+1)
				l, _, err := a.ListsAt(ctx, 0)
				So(err, ShouldBeNil)
				So(l[planKey("a")], ShouldResemble, plan(int(to)))
				again, err := a.Rollback(ctx, request)
				So(err, ShouldBeNil)
				So(again.Repeated, ShouldBeTrue)
			}
		})
		Convey("a body that is proposed again while it is collected survives", func() {
			// The version that the next change displaces has plan(last-a.bounds.recent+1).
			displaced := plan(last - a.bounds.recent + 1)
			raced := false
			store.fault = func(_ context.Context, op, key string) fault {
				if op == "cas" && strings.HasPrefix(key, prefixVersion) && !raced {
					if head, _, _ := smallBounds(New(store, Options{})).Head(ctx); head.Version.Sequence > mesh.Sequence(last) {
						raced = true
						mustPropose(smallBounds(New(store, Options{})), "again", edit("a", plan(999), displaced))
					}
				}
				return none
			}
			mustPropose(a, "displace", edit("a", plan(last), plan(999)))
			So(raced, ShouldBeTrue)
			head, _, _ := a.Head(ctx)
			_, err := smallBounds(New(store, Options{})).Load(ctx, head)
			So(err, ShouldBeNil)
		})
	})
}

func TestStoreBehind(t *testing.T) {
	inBubble(t, func(store *fakeStore, a *Authority) {
		ctx := context.Background()
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		old := maps.Clone(store.entries)
		mustPropose(a, "c2", edit("a", plan(1), plan(2)))
		head, _, _ := a.Head(ctx)
		v, err := a.Load(ctx, head)
		So(err, ShouldBeNil)
		store.entries = old
		node := New(store, Options{Held: func() mesh.VersionID { return v.ID }})
		Convey("changes are refused without a write until the fleet's version is restored", func() {
			writes := store.calls["cas"]
			_, err := propose(node, "c3", edit("a", plan(1), plan(3)))
			So(errors.Is(err, ErrStoreBehind), ShouldBeTrue)
			So(store.calls["cas"], ShouldEqual, writes)
			store.fault = once("cas", keyHead, lostAfter)
			restored, err := node.Restore(ctx, v, "ada", "")
			So(err, ShouldBeNil)
			So(restored.Version, ShouldResemble, v.ID)
			So(mustPropose(node, "c2", v.Change.Edits).Repeated, ShouldBeTrue)
			So(mustPropose(node, "c3", edit("a", plan(2), plan(3))).Version.Sequence, ShouldEqual, 3)
			_, err = node.Restore(ctx, v, "ada", "")
			So(errors.Is(err, ErrNotBehind), ShouldBeTrue)
			history, err := node.History(ctx, 0, 10)
			So(err, ShouldBeNil)
			So(len(history), ShouldEqual, 3)
			So(history[1].Restored.Over.Sequence, ShouldEqual, 1)
		})
	})
}

func TestLargeListsAndWatch(t *testing.T) {
	inBubble(t, func(store *fakeStore, a *Authority) {
		ctx := context.Background()
		Convey("lists beyond 1 MB are stored in chunks and watched heads load them", func() {
			many := make([]lists.Edit, 0, 20000)
			for i := range cap(many) {
				many = append(many, edit(fmt.Sprint("plan-with-a-long-name-", i), nil, plan(1))...)
			}
			go func() {
				time.Sleep(time.Second)
				_, _ = propose(smallBounds(New(store, Options{})), "big", many)
			}()
			head, revision, err := a.WatchHead(ctx, 0)
			So(err, ShouldBeNil)
			So(revision, ShouldBeGreaterThan, 0)
			So(head.Chunks, ShouldBeGreaterThan, 1)
			v, err := a.Load(ctx, head)
			So(err, ShouldBeNil)
			So(len(v.Lists), ShouldEqual, len(many))
			history, err := a.History(ctx, 0, 1)
			So(err, ShouldBeNil)
			So(history[0].OmittedEdits, ShouldBeGreaterThan, 0)
			synctest.Wait()
		})
		Convey("the audit record keeps an entry without fields apart from a deletion", func() {
			service := lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindService, Name: "s"}
			edits := []lists.Edit{{Key: service, After: lists.Fields{}}}
			mustPropose(a, "s", edits)
			history, err := a.History(ctx, 0, 1)
			So(err, ShouldBeNil)
			So(history[0].Change.Edits, ShouldResemble, edits)
			accepted, err := a.Lookup(ctx, "s")
			So(err, ShouldBeNil)
			So(accepted.Version, ShouldResemble, history[0].Version)
			_, err = a.Lookup(ctx, "t")
			So(errors.Is(err, ErrChangeNotFound), ShouldBeTrue)
		})
		Convey("a summary never replaces one of a later version", func() {
			So(a.WriteSummary(ctx, Summary{Domain: "d1", Sequence: 2, Hosts: 3, AtSequence: 3}), ShouldBeNil)
			err := a.WriteSummary(ctx, Summary{Domain: "d1", Sequence: 1})
			So(errors.Is(err, ErrStaleSummary), ShouldBeTrue)
			summaries, err := a.Summaries(ctx)
			So(err, ShouldBeNil)
			So(summaries, ShouldResemble, []Summary{{Domain: "d1", Sequence: 2, Hosts: 3, AtSequence: 3}})
		})
	})
}

// FuzzStored guards against panics and self-contradicting heads when the store
// holds garbage.
func FuzzStored(f *testing.F) {
	store := newFake()
	_, _ = propose(New(store, Options{}), "c1", edit("a", nil, plan(1)))
	for _, e := range store.entries {
		f.Add(e.Value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		entry := kvstore.Entry{Key: "fuzz", Value: value}
		if head, err := decodeHead(entry); err == nil && (head.Chunks < 1 || len(head.Recent) == 0) {
			t.Fatalf("accepted a head that contradicts itself: %+v", head)
		}
		_, _ = decode[Record](entry, kvstore.MaxValueBytes)
		_, _ = decode[Summary](entry, maxSmallValue)
	})
}
