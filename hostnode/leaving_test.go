package hostnode

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// Guards against calls to an endpoint that has stated in a response that it leaves.
func TestEndpointGetsNoCallsAfterAResponseThatItLeaves(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		inBubble(t, fmt.Sprint("its node restarts and hears a late announcement: ", restarts), func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
			a, b := f.addHost("host-a", "one"), f.addHost("host-b", "two")
			a.announce("one", "ready")
			isLinked := func() bool { return f.allHave(4) && len(b.node.directory.ByService("one")) == 1 }
			waitFor(isLinked)
			waitFor(b.node.ready)
			status, _ := b.get("first", "/one/")
			So(status, ShouldEqual, 200)
			a.isLeaving.Store(true)
			status, _ = b.get("last", "/one/")
			So(status, ShouldEqual, 200)
			if restarts {
				a.kill()
				a.start()
				time.Sleep(2 * time.Second)
				a.announce("one", "ready")
				waitFor(func() bool { return f.allHave(4) && b.node.directory.HostCount() == 2 })
			}
			for i := range 40 {
				time.Sleep(100 * time.Millisecond)
				status, _ := b.get(fmt.Sprint("later ", i), "/one/")
				So(status, ShouldEqual, 503)
			}
			So(a.executions, ShouldHaveLength, 2)
		})
	}
}
