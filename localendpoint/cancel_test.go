package localendpoint_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// Guards against a cancelled call that closes its connection after another call has
// taken it from the pool.
func TestCancelledCallDoesNotEndTheNextOne(t *testing.T) {
	Convey("the callers of half of the calls leave when the endpoint responds", t, func() {
		var cancels sync.Map
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			open := writeResponse(c, r.Header.Get("Id"), "", "ok")
			if cancel, found := cancels.LoadAndDelete(r.Header.Get("Id")); found {
				cancel.(context.CancelFunc)()
			}
			return open
		})
		defer e.close()
		g, _ := newGate(e)
		const calls = 3000
		run := func(kind routeplan.Kind) []call.Result {
			results := make([]call.Result, 0, calls)
			for range calls {
				ctx, cancel := context.WithCancel(context.Background())
				c := newCall(kind)
				c.Header.Set("Id", c.ID)
				if c.Idempotent() {
					cancels.Store(c.ID, cancel)
				}
				results = append(results, g.Run(ctx, c))
				cancel()
			}
			return results
		}
		go run(routeplan.Idempotent)
		broken := 0
		for _, r := range run(routeplan.AtMostOnce) {
			if r.Outcome != call.Answered {
				broken++
			}
		}
		So(broken, ShouldEqual, 0)
	})
}
