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

// withAuthority runs a test under a fake clock, so that the pauses between
// attempts take no time.
func withAuthority(t *testing.T, body func(store *fakeStore, a *Authority)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With an authority over an empty store", t, func() {
			store := newFakeStore()
			body(store, smallBounds(New(store, Options{})))
		})
	})
}

// faultOnce injects a fault into the first call of the given kind on a key
// prefix.
func faultOnce(op, prefix string, f fault) func(context.Context, string, string) fault {
	injected := false
	return func(_ context.Context, o, key string) fault {
		if injected || o != op || !strings.HasPrefix(key, prefix) {
			return none
		}
		injected = true
		return f
	}
}

func TestRaces(t *testing.T) {
	withAuthority(t, func(store *fakeStore, a *Authority) {
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		b := smallBounds(New(store, Options{}))
		// interleave has b's change accepted between a's read and a's swap of the
		// head.
		interleave := func(edits []lists.Edit) {
			interleaved := false
			store.fault = func(_ context.Context, op, key string) fault {
				if op == "cas" && key == keyHead && !interleaved {
					interleaved = true
					mustPropose(b, "other", edits)
				}
				return none
			}
		}
		Convey("changes of different entries are both accepted, the later one is rebased", func() {
			interleave(edit("b", nil, plan(2)))
			accepted := mustPropose(a, "c2", edit("a", plan(1), plan(3)))
			So(accepted.Version.Sequence, ShouldEqual, 3)
			So(accepted.Attempts, ShouldEqual, 2)
			l, _, err := b.ListsAt(context.Background(), 0)
			So(err, ShouldBeNil)
			So(l, ShouldResemble, lists.Lists{planKey("a"): plan(3), planKey("b"): plan(2)})
			keys, _ := store.List(context.Background(), "", 100)
			So(len(keys), ShouldEqual, 1+3+3) // head, bodies and records; the keys of the attempt that lost the race are deleted
		})
		Convey("of two changes of the same entry the later one is a conflict that shows both values", func() {
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

func TestLostResponses(t *testing.T) {
	withAuthority(t, func(store *fakeStore, a *Authority) {
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		for name, f := range map[string]fault{"before": lostBefore, "after": lostAfter} {
			Convey("a response lost "+name+" the write is resolved by the same call, at every key", func() {
				for i, key := range []string{keyHead, prefixVersion, prefixChange} {
					store.fault = faultOnce("cas", key, f)
					accepted := mustPropose(a, "x"+fmt.Sprint(i), edit("b"+fmt.Sprint(i), nil, plan(i+1)))
					So(accepted.Version.Sequence, ShouldEqual, i+2)
				}
			})
		}
		Convey("when the store becomes unavailable after the swap, a retry with the same ID finds the change, also after other changes", func() {
			down := false
			store.fault = func(_ context.Context, op, key string) fault {
				switch {
				case down:
					return unavailable
				case op == "cas" && key == keyHead:
					down = true
					return lostAfter
				}
				return none
			}
			_, err := propose(a, "c2", edit("a", plan(1), plan(2)))
			So(errors.Is(err, ErrOutcomeUnknown), ShouldBeTrue)
			store.fault = nil
			for i := range 3 * a.bounds.recentChanges {
				mustPropose(a, fmt.Sprint("o", i), edit("a", plan(2+i), plan(3+i)))
			}
			mustPropose(a, "back", edit("a", plan(2+3*a.bounds.recentChanges), plan(1)))
			accepted := mustPropose(a, "c2", edit("a", plan(1), plan(2)))
			So(accepted.Repeated, ShouldBeTrue)
			So(accepted.Version.Sequence, ShouldEqual, 2)
			_, err = propose(a, "c2", edit("a", plan(1), plan(9)))
			So(errors.Is(err, ErrChangeIDReused), ShouldBeTrue)
		})
		Convey("writes without a response are not assumed to be done", func() {
			for _, key := range []string{prefixVersion, prefixChange} {
				store.fault = func(_ context.Context, op, k string) fault {
					return map[bool]fault{true: lostBefore}[op == "cas" && strings.HasPrefix(k, key)]
				}
				_, err := propose(a, "c2", edit("a", plan(1), plan(2)))
				So(errors.Is(err, ErrStoreUnavailable), ShouldBeTrue)
			}
		})
		Convey("an unavailable store gives ErrStoreUnavailable and not an unknown outcome", func() {
			store.fault = func(context.Context, string, string) fault { return unavailable }
			_, err := propose(a, "c2", edit("a", plan(1), plan(2)))
			So(errors.Is(err, ErrStoreUnavailable), ShouldBeTrue)
			So(errors.Is(err, ErrOutcomeUnknown), ShouldBeFalse)
		})
	})
}

func TestRejections(t *testing.T) {
	withAuthority(t, func(store *fakeStore, a *Authority) {
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		expectRejected := func(id string, edits []lists.Edit, want error) {
			_, err := propose(a, id, edits)
			So(errors.Is(err, want), ShouldBeTrue)
			head, _, err := a.Head(context.Background())
			So(err, ShouldBeNil)
			So(head.Version.Sequence, ShouldEqual, 1)
		}
		Convey("invalid, too large, reused, empty and malformed changes do not change the head", func() {
			expectRejected("c2", edit("b", nil, lists.Fields{"burst": "x"}), lists.ErrInvalid)
			expectRejected("c1", edit("b", nil, plan(1)), ErrChangeIDReused)
			expectRejected("c3", nil, ErrNoChange)
			expectRejected("c3", edit("a", plan(1), plan(1)), ErrNoChange)
			expectRejected("c/3", edit("b", nil, plan(1)), ErrBadProposal)
			many := make([]lists.Edit, 0, lists.MaxEntries+1)
			for i := range cap(many) {
				many = append(many, edit(fmt.Sprint("p", i), nil, plan(1))...)
			}
			expectRejected("c4", many, lists.ErrInvalid)
		})
		Convey("an interrupted change can be retried, but its ID is rejected with other content", func() {
			store.fault = faultOnce("cas", keyHead, unavailable)
			_, err := propose(a, "c2", edit("b", nil, plan(1)))
			So(errors.Is(err, ErrStoreUnavailable), ShouldBeTrue)
			expectRejected("c2", edit("b", nil, plan(2)), ErrChangeIDReused)
			So(mustPropose(a, "c2", edit("b", nil, plan(1))).Repeated, ShouldBeFalse)
		})
		Convey("only the records of the last rejected changes are kept", func() {
			for i := range MaxRefusals + 5 {
				_, _ = propose(a, fmt.Sprint("r", i), edit("b", plan(1), nil))
			}
			refusals, err := a.Refusals(context.Background(), 1000)
			So(err, ShouldBeNil)
			So(len(refusals), ShouldEqual, MaxRefusals)
			So(refusals[0].Change.ID, ShouldEqual, mesh.ChangeID(fmt.Sprint("r", MaxRefusals+4)))
		})
	})
}

func TestRetentionAndRollback(t *testing.T) {
	withAuthority(t, func(store *fakeStore, a *Authority) {
		ctx := context.Background()
		mustPropose(a, "n0", edit("a", nil, plan(1)))
		last := 8 * a.bounds.recentChanges
		for i := 1; i < last; i++ {
			mustPropose(a, fmt.Sprint("n", i), edit("a", plan(i), plan(i+1)))
		}
		Convey("audit records stay within their bound", func() {
			a.bounds.auditRecords = 5
			mustPropose(a, "last", edit("a", plan(last), plan(1)))
			keys, _ := store.List(ctx, prefixChange, 1000)
			So(len(keys), ShouldEqual, 5)
		})
		Convey("bodies stay within their bound and the latest one loads", func() {
			keys, _ := store.List(ctx, prefixVersion, 1000)
			So(len(keys), ShouldEqual, a.bounds.recentChanges)
			head, _, _ := a.Head(ctx)
			v, err := smallBounds(New(store, Options{})).Load(ctx, head)
			So(err, ShouldBeNil)
			So(v.Change.Edits, ShouldResemble, edit("a", plan(last-1), plan(last)))
			history, err := a.History(ctx, 20, 5)
			So(err, ShouldBeNil)
			So(len(history), ShouldEqual, 5)
			So(history[0].Version.Sequence, ShouldEqual, 19)
		})
		Convey("a rollback makes a new version with the lists of a retained or rebuilt one and is idempotent", func() {
			for i, to := range []mesh.Sequence{mesh.Sequence(last - 1), 7} {
				request := RollbackRequest{ChangeID: mesh.ChangeID(fmt.Sprint("rb", i)), Author: "ada", To: to}
				accepted, err := a.Rollback(ctx, request)
				So(err, ShouldBeNil)
				So(accepted.Version.Sequence, ShouldEqual, last+i+1)
				l, _, err := a.ListsAt(ctx, 0)
				So(err, ShouldBeNil)
				So(l[planKey("a")], ShouldResemble, plan(int(to)))
				retried, err := a.Rollback(ctx, request)
				So(err, ShouldBeNil)
				So(retried.Repeated, ShouldBeTrue)
			}
		})
		Convey("a body that is proposed again while it is deleted as garbage is kept", func() {
			// The plan of the version that the next change removes from the recent ones.
			displaced := plan(last - a.bounds.recentChanges + 1)
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

func TestStoreRolledBack(t *testing.T) {
	withAuthority(t, func(store *fakeStore, a *Authority) {
		ctx := context.Background()
		mustPropose(a, "c1", edit("a", nil, plan(1)))
		entriesBefore := maps.Clone(store.entries)
		mustPropose(a, "c2", edit("a", plan(1), plan(2)))
		head, _, _ := a.Head(ctx)
		v, err := a.Load(ctx, head)
		So(err, ShouldBeNil)
		store.entries = entriesBefore
		node := New(store, Options{ActiveVersion: func() mesh.VersionID { return v.ID }})
		Convey("changes are rejected without a write until the version of the mesh is restored", func() {
			writes := store.calls["cas"]
			_, err := propose(node, "c3", edit("a", plan(1), plan(3)))
			So(errors.Is(err, ErrStoreRolledBack), ShouldBeTrue)
			So(store.calls["cas"], ShouldEqual, writes)
			store.fault = faultOnce("cas", keyHead, lostAfter)
			restored, err := node.Restore(ctx, v, "ada", "")
			So(err, ShouldBeNil)
			So(restored.Version, ShouldResemble, v.ID)
			So(mustPropose(node, "c2", v.Change.Edits).Repeated, ShouldBeTrue)
			So(mustPropose(node, "c3", edit("a", plan(2), plan(3))).Version.Sequence, ShouldEqual, 3)
			_, err = node.Restore(ctx, v, "ada", "")
			So(errors.Is(err, ErrStoreNotRolledBack), ShouldBeTrue)
			history, err := node.History(ctx, 0, 10)
			So(err, ShouldBeNil)
			So(len(history), ShouldEqual, 3)
			So(history[1].Restored.Over.Sequence, ShouldEqual, 1)
		})
	})
}

func TestLargeListsAndWatch(t *testing.T) {
	withAuthority(t, func(store *fakeStore, a *Authority) {
		ctx := context.Background()
		Convey("lists beyond 1 MB are stored in chunks and can be loaded by a watcher of the head", func() {
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
		Convey("the audit record distinguishes an entry without fields from a deletion", func() {
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

// FuzzStored guards against panics and against heads with contradicting fields
// when the store holds arbitrary bytes.
func FuzzStored(f *testing.F) {
	store := newFakeStore()
	_, _ = propose(New(store, Options{}), "c1", edit("a", nil, plan(1)))
	for _, e := range store.entries {
		f.Add(e.Value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		entry := kvstore.Entry{Key: "fuzz", Value: value}
		if head, err := decodeHead(entry); err == nil && (head.Chunks < 1 || len(head.Recent) == 0) {
			t.Fatalf("accepted a head with contradicting fields: %+v", head)
		}
		_, _ = decode[Record](entry, kvstore.MaxValueBytes)
		_, _ = decode[Summary](entry, maxSmallValueBytes)
	})
}
