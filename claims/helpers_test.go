package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// inBubble runs a test in a bubble of testing/synctest, in which waiting takes no real
// time.
func inBubble(t *testing.T, name string, test func()) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, test) })
}

// hookStore calls the function before ahead of each read and write of a key.
type hookStore struct {
	kvstore.Store
	before func(kind kvstore.CallKind, key string)
}

func (h *hookStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	h.before(kvstore.CallGet, key)
	return h.Store.Get(ctx, key)
}

func (h *hookStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected kvstore.Revision) (kvstore.Revision, error) {
	h.before(kvstore.CallCompareAndSwap, key)
	return h.Store.CompareAndSwap(ctx, key, value, expected)
}

const testInterval = 20 * time.Millisecond

func newClaimer(store kvstore.Store, change func(*Config)) *Claimer {
	config := Config{Store: store, MinBatchInterval: testInterval}
	if change != nil {
		change(&config)
	}
	c, err := New(config)
	So(err, ShouldBeNil)
	Reset(func() { So(c.Close(context.Background()), ShouldBeNil) })
	return c
}

func newMemoryStore() *memory.Store {
	return memory.New(memory.WithFaults(memory.Faults{Latency: 4 * time.Millisecond}))
}

func newRequest(key string, body byte, issued time.Time) Request {
	return Request{Customer: "c", Key: key, IssuedAt: issued, BodyHash: [32]byte{body}}
}

func tryClaim(c *Claimer, request Request) (*Claim, error) {
	return c.Claim(context.Background(), request)
}

func shouldBeRejected(actual any, expected ...any) string {
	var rejection *Rejection
	if err, _ := actual.(error); !errors.As(err, &rejection) {
		return ShouldEqual(actual, expected[0])
	}
	return ShouldEqual(rejection.Reason, expected[0].(mesh.Reason))
}
