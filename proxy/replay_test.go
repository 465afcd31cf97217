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

// blockingEndpoint blocks each execution until it is released, and responds with
// the number of the execution.
type blockingEndpoint struct {
	mu         sync.Mutex
	executions int
	entered    chan struct{}
	release    chan struct{}
	padding    int
}

func (e *blockingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.executions++
	execution := e.executions
	e.mu.Unlock()
	e.entered <- struct{}{}
	<-e.release
	w.Header().Set(mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
	w.Header().Set("X-Run", fmt.Sprint(execution))
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, fmt.Sprintf("run %d", execution)+strings.Repeat(".", e.padding))
}

func (m *testMesh) callKeyed(ctx context.Context, key, body string) reply {
	r := m.request(http.MethodPost, "/keyed", strings.NewReader(body)).WithContext(ctx)
	r.Header.Set(mesh.HeaderIdempotencyKey, key)
	r.Header.Set(mesh.HeaderIssuedAt, "1000")
	return m.do(r)
}

// Guards against a second execution of a keyed call, a duplicate that does not get
// the complete response, a response replayed for another body, and a duplicate that
// is reported as not executed while the original may run (I4, I5, I6).
func TestDuplicatesAtOneNode(t *testing.T) {
	Convey("Given a keyed call that runs", t, func() {
		endpoint := &blockingEndpoint{entered: make(chan struct{}, 8), release: make(chan struct{})}
		m := newTestMesh(t, endpoint)
		claimer, err := claims.New(claims.Config{
			Store: memory.New(), MinBatchInterval: time.Millisecond, Now: func() time.Time { return time.Unix(1000, 0) },
		})
		So(err, ShouldBeNil)
		m.entry.cfg.Claims = ClaimsFrom(claimer)
		ctx, firstReply := t.Context(), make(chan reply, 1)
		start := func() {
			go func() { firstReply <- m.callKeyed(ctx, "k", "order") }()
			<-endpoint.entered
		}

		Convey("duplicates during and after it get its response", func() {
			start()
			replies := make(chan reply, 4)
			for range 3 {
				go func() { replies <- m.callKeyed(ctx, "k", "order") }()
			}
			close(endpoint.release)
			original := <-firstReply
			So(original.header.Get(mesh.HeaderReplayed), ShouldBeEmpty)
			replies <- m.callKeyed(ctx, "k", "order")
			calls := map[string]bool{original.header.Get(mesh.HeaderCall): true}
			for range 4 {
				r := <-replies
				So(r.status, ShouldEqual, http.StatusCreated)
				So(r.body, ShouldEqual, original.body)
				So(r.outcomeAndReason(), ShouldEqual, "executed")
				So(r.header.Get("X-Run"), ShouldEqual, "1")
				So(r.header.Get(mesh.HeaderReplayed), ShouldEqual, "1")
				calls[r.header.Get(mesh.HeaderCall)] = true
			}
			So(calls, ShouldHaveLength, 5)
			So(endpoint.executions, ShouldEqual, 1)
		})
		Convey("another body is a conflict, before and after", func() {
			start()
			So(m.callKeyed(ctx, "k", "other").status, ShouldEqual, http.StatusUnprocessableEntity)
			close(endpoint.release)
			<-firstReply
			So(m.callKeyed(ctx, "k", "other").status, ShouldEqual, http.StatusUnprocessableEntity)
			So(endpoint.executions, ShouldEqual, 1)
		})
		Convey("a duplicate is already_executed if the response is too large or was evicted", func() {
			close(endpoint.release)
			endpoint.padding = maxStoredResponseBytes
			So((<-startAndReturn(start, firstReply)).status, ShouldEqual, http.StatusCreated)
			So(m.callKeyed(ctx, "k", "order").outcomeAndReason(), ShouldEqual, "executed already_executed")
			endpoint.padding = 0
			So(m.callKeyed(ctx, "k2", "order").status, ShouldEqual, http.StatusCreated)
			So(m.callKeyed(ctx, "k2", "order").header.Get(mesh.HeaderReplayed), ShouldEqual, "1")
			m.entry.replays.now = func() time.Time { return time.Now().Add(replayLifetime) }
			So(m.callKeyed(ctx, "k2", "order").outcomeAndReason(), ShouldEqual, "executed already_executed")
			So(endpoint.executions, ShouldEqual, 2)
		})
		Reset(func() { So(claimer.Close(t.Context()), ShouldBeNil) })
	})
}

func startAndReturn(start func(), first chan reply) chan reply {
	start()
	return first
}

// Guards against a duplicate that is executed although the original call may have been,
// a duplicate that is not executed although the original was not, a wait beyond the
// deadline, and a deadlock between a call and its nested call with the same key.
func TestWaitForOriginalCall(t *testing.T) {
	cases := []struct {
		outcome  mesh.Outcome
		response *storedResponse
		started  bool
	}{
		{mesh.OutcomeNotExecuted, nil, true},
		{mesh.OutcomeUnknown, nil, false},
		{mesh.OutcomeExecuted, nil, false},
		{mesh.OutcomeExecuted, &storedResponse{status: 201}, false},
	}
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("A duplicate waits for a call that ends as %s, response stored %v", test.outcome, test.response != nil), t, func() {
				cache, key := newReplayCache(time.Now), claims.Request{Key: "k"}
				original, _ := cache.getOrStart(key, "root", 1)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				c := &call{entry: &Entry{replays: cache}, ctx: ctx}
				var failure *callFailure
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					failure = c.awaitOriginal(key)
				}()
				time.Sleep(59 * time.Second)
				select {
				case <-ended:
					So("the duplicate did not wait", ShouldBeEmpty)
				default:
				}
				cache.finish(original, test.outcome, test.response)
				<-ended
				So(failure, ShouldBeNil)
				So(c.replay, ShouldEqual, test.response)
				So(c.original != nil, ShouldEqual, test.started)

				other := claims.Request{Key: "other"}
				_, started := cache.getOrStart(other, "root", 1)
				So(started, ShouldBeTrue)
				So((&call{entry: c.entry, ctx: ctx, root: "root", depth: 2}).awaitOriginal(other), ShouldBeNil)
				So(ctx.Err(), ShouldBeNil)
				duplicate := (&call{entry: &Entry{replays: cache}, ctx: ctx}).awaitOriginal(other)
				So(duplicate.outcome, ShouldEqual, mesh.OutcomeUnknown)
				So(duplicate.reason, ShouldEqual, mesh.ReasonInProgress)
				So(ctx.Err(), ShouldNotBeNil)
			})
		})
	}
}

// Guards against stored responses without a limit on total size and age.
func TestReplayCache(t *testing.T) {
	Convey("Given more responses than the cache may store", t, func() {
		now := time.Unix(1000, 0)
		cache := newReplayCache(func() time.Time { return now })
		key := func(i int) claims.Request { return claims.Request{Key: fmt.Sprint(i)} }
		response := &storedResponse{status: 200, body: make([]byte, maxStoredResponseBytes-storedResponseOverhead)}
		maxStored := maxReplayCacheBytes / maxStoredResponseBytes
		for i := range 2 * maxStored {
			original, _ := cache.getOrStart(key(i), "", 0)
			cache.finish(original, mesh.OutcomeExecuted, response)
			cache.finish(original, mesh.OutcomeUnknown, nil)
		}
		So(cache.bytes, ShouldEqual, maxReplayCacheBytes)
		So(cache.calls, ShouldHaveLength, maxStored)
		now = now.Add(replayLifetime)
		_, started := cache.getOrStart(key(2*maxStored-1), "", 0)
		So(started, ShouldBeTrue)
		So(cache.bytes, ShouldEqual, 0)
		So(cache.calls, ShouldHaveLength, 1)
	})
}
