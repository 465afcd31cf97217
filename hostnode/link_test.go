package hostnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// Guards against calls that are executed though their long response cannot leave one host
// or reach the other in time, and against refusals after the link is free.
func TestLongResponsesBeyondALink(t *testing.T) {
	const wide, narrow = 1000, 8 // The narrow link takes 0.33 s for a response, the target is 0.5 s.
	for name, mbps := range map[string]struct{ from, to float64 }{
		"of the endpoint's host": {narrow, wide},
		"of the caller's host":   {wide, narrow},
	} {
		inBubble(t, "a narrow link "+name, func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.ConfigWithRoutes(4, standin.Route{Path: "one", Service: "one"}, standin.Route{Path: "two", Service: "two", Download: true}))
			f.linkMbps = mbps.to
			a := f.addHost("host-a", "one")
			f.linkMbps = mbps.from
			b := f.addHost("host-b", "two")
			a.announce("one", "ready")
			b.announce("two", "ready")
			waitFor(func() bool { return a.node.ready() && len(a.node.directory.ByService("two")) == 1 })
			waitFor(func() bool { return a.node.hostLink.Enabled() && b.node.hostLink.Enabled() })
			var executed atomic.Int64
			b.setResponse(func(w http.ResponseWriter, r *http.Request) {
				executed.Add(1)
				time.Sleep(50 * time.Millisecond) // All calls are decided before a response arrives.
				writeLongBody(w, r)
			})
			status, _ := a.get("first", "/two/x") // Shows how long the responses are.
			So(status, ShouldEqual, http.StatusOK)
			var mu sync.Mutex
			statuses := map[int]int{}
			withoutRetryAfter := 0
			var wait sync.WaitGroup
			for i := range 5 {
				wait.Go(func() {
					response, err := f.client.Do(a.request(fmt.Sprint("x", i), "/two/x").WithContext(context.Background()))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, response.Body) // The status is checked.
					_ = response.Body.Close()
					mu.Lock()
					defer mu.Unlock()
					statuses[response.StatusCode]++
					if response.StatusCode != http.StatusOK && response.Header.Get("Retry-After") == "" {
						withoutRetryAfter++
					}
				})
			}
			wait.Wait()
			So(statuses, ShouldResemble, map[int]int{http.StatusOK: 1, http.StatusServiceUnavailable: 4})
			So(withoutRetryAfter, ShouldEqual, 0)
			So(executed.Load(), ShouldEqual, 2)
			So(a.node.hostLink.Stats().Refused+b.node.hostLink.Stats().Refused, ShouldEqual, 4)
			time.Sleep(time.Second)
			status, _ = a.get("last", "/two/x")
			So(status, ShouldEqual, http.StatusOK)
		})
	}
}
