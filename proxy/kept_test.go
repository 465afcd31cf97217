package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/claims"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// press answers each run with its number, once it is let go.
type press struct {
	mu      sync.Mutex
	runs    int
	entered chan struct{}
	let     chan struct{}
	size    int
}

func (p *press) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	p.mu.Lock()
	p.runs++
	run := p.runs
	p.mu.Unlock()
	p.entered <- struct{}{}
	<-p.let
	w.Header().Set(mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
	w.Header().Set("X-Run", fmt.Sprint(run))
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, fmt.Sprintf("run %d", run)+strings.Repeat(".", p.size))
}

func (m *testMesh) keyed(ctx context.Context, key, body string) reply {
	r := m.request(http.MethodPost, "/keyed", strings.NewReader(body)).WithContext(ctx)
	r.Header.Set(mesh.HeaderKey, key)
	r.Header.Set(mesh.HeaderIssuedAt, "1000")
	return m.do(r)
}

// Guards against a second run of a repeated call, a repeat without its own whole
// answer, an answer replayed for another body, and a repeat that is called not
// executed while the first call may run (I4, I5, I6).
func TestRepeatsAtOneNode(t *testing.T) {
	Convey("Given a keyed call that runs", t, func() {
		p := &press{entered: make(chan struct{}, 8), let: make(chan struct{})}
		m := newTestMesh(t, p)
		claimer, err := claims.New(claims.Config{
			Store: memory.New(), MinBatchInterval: time.Millisecond, Now: func() time.Time { return time.Unix(1000, 0) },
		})
		So(err, ShouldBeNil)
		m.entry.cfg.Claims = ClaimsFrom(claimer)
		ctx, first := t.Context(), make(chan reply, 1)
		start := func() {
			go func() { first <- m.keyed(ctx, "k", "order") }()
			<-p.entered
		}

		Convey("repeats during and after it get its answer", func() {
			start()
			replies := make(chan reply, 4)
			for range 3 {
				go func() { replies <- m.keyed(ctx, "k", "order") }()
			}
			close(p.let)
			original := <-first
			So(original.header.Get(mesh.HeaderReplayed), ShouldBeEmpty)
			replies <- m.keyed(ctx, "k", "order")
			calls := map[string]bool{original.header.Get(mesh.HeaderCall): true}
			for range 4 {
				r := <-replies
				So(r.status, ShouldEqual, http.StatusCreated)
				So(r.body, ShouldEqual, original.body)
				So(r.outcome(), ShouldEqual, "executed")
				So(r.header.Get("X-Run"), ShouldEqual, "1")
				So(r.header.Get(mesh.HeaderReplayed), ShouldEqual, "1")
				calls[r.header.Get(mesh.HeaderCall)] = true
			}
			So(calls, ShouldHaveLength, 5)
			So(p.runs, ShouldEqual, 1)
		})
		Convey("another body is a conflict, before and after", func() {
			start()
			So(m.keyed(ctx, "k", "other").status, ShouldEqual, http.StatusUnprocessableEntity)
			close(p.let)
			<-first
			So(m.keyed(ctx, "k", "other").status, ShouldEqual, http.StatusUnprocessableEntity)
			So(p.runs, ShouldEqual, 1)
		})
		Convey("an answer that is too large or was evicted is already_executed", func() {
			close(p.let)
			p.size = keptAnswerBytes
			So((<-startAnd(start, first)).status, ShouldEqual, http.StatusCreated)
			So(m.keyed(ctx, "k", "order").outcome(), ShouldEqual, "executed already_executed")
			p.size = 0
			So(m.keyed(ctx, "k2", "order").status, ShouldEqual, http.StatusCreated)
			So(m.keyed(ctx, "k2", "order").header.Get(mesh.HeaderReplayed), ShouldEqual, "1")
			m.entry.kept.now = func() time.Time { return time.Now().Add(keptFor) }
			So(m.keyed(ctx, "k2", "order").outcome(), ShouldEqual, "executed already_executed")
			So(p.runs, ShouldEqual, 2)
		})
		Reset(func() { So(claimer.Close(t.Context()), ShouldBeNil) })
	})
}

func startAnd(start func(), first chan reply) chan reply {
	start()
	return first
}

// Guards against a repeat that takes the place of a call which may have run, one
// that does not after a call that did not run, a wait past the deadline, and a nested call
// that waits for the call which waits for it.
func TestWaitForFirstSend(t *testing.T) {
	cases := []struct {
		outcome mesh.Outcome
		answer  *keptAnswer
		first   bool
	}{
		{mesh.OutcomeNotExecuted, nil, true},
		{mesh.OutcomeUnknown, nil, false},
		{mesh.OutcomeExecuted, nil, false},
		{mesh.OutcomeExecuted, &keptAnswer{status: 201}, false},
	}
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("A repeat waits for a call that ends as %s, answer kept %v", test.outcome, test.answer != nil), t, func() {
				k, key := newKeptAnswers(time.Now), claims.Request{Key: "k"}
				send, _ := k.begin(key, "root", 1)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				c := &call{entry: &Entry{kept: k}, ctx: ctx}
				var refused *refusal
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					refused = c.awaitFirst(key)
				}()
				time.Sleep(59 * time.Second)
				select {
				case <-ended:
					So("the repeat did not wait", ShouldBeEmpty)
				default:
				}
				k.end(send, test.outcome, test.answer)
				<-ended
				So(refused, ShouldBeNil)
				So(c.replay, ShouldEqual, test.answer)
				So(c.send != nil, ShouldEqual, test.first)

				other := claims.Request{Key: "other"}
				_, first := k.begin(other, "root", 1)
				So(first, ShouldBeTrue)
				So((&call{entry: c.entry, ctx: ctx, root: "root", depth: 2}).awaitFirst(other), ShouldBeNil)
				So(ctx.Err(), ShouldBeNil)
				late := (&call{entry: &Entry{kept: k}, ctx: ctx}).awaitFirst(other)
				So(late.outcome, ShouldEqual, mesh.OutcomeUnknown)
				So(late.reason, ShouldEqual, mesh.ReasonInProgress)
				So(ctx.Err(), ShouldNotBeNil)
			})
		})
	}
}

// Guards against kept answers without a bound of size and age.
func TestKeptAnswers(t *testing.T) {
	Convey("Given more answers than are kept", t, func() {
		now := time.Unix(1000, 0)
		k := newKeptAnswers(func() time.Time { return now })
		key := func(i int) claims.Request { return claims.Request{Key: fmt.Sprint(i)} }
		answer := &keptAnswer{status: 200, body: make([]byte, keptAnswerBytes-keptOverhead)}
		most := keptBytes / keptAnswerBytes
		for i := range 2 * most {
			send, _ := k.begin(key(i), "", 0)
			k.end(send, mesh.OutcomeExecuted, answer)
			k.end(send, mesh.OutcomeUnknown, nil)
		}
		So(k.bytes, ShouldEqual, keptBytes)
		So(k.sends, ShouldHaveLength, most)
		now = now.Add(keptFor)
		_, first := k.begin(key(2*most-1), "", 0)
		So(first, ShouldBeTrue)
		So(k.bytes, ShouldEqual, 0)
		So(k.sends, ShouldHaveLength, 1)
	})
}
