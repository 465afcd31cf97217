package node

import (
	"testing"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/operator"
	"geraniumnotch.example/geraniumnotch/settings"
)

// Guards against connections of callers that take all descriptors of a process, and against a
// limit that callers meet where there are enough.
func TestMaxConnections(t *testing.T) {
	limits := settings.Limits{Connections: 1024}
	Convey("a process with few descriptors keeps a part for its own connections", t, func() {
		connections := maxConnections(limits, 512)
		So(connections, ShouldHaveLength, 5)
		So(lo.Sum(lo.Values(connections)), ShouldBeLessThan, 400)
		So(connections[serverEntry], ShouldEqual, 128)
	})
	Convey("the settings limit those of callers only", t, func() {
		connections := maxConnections(limits, 1<<20)
		So(connections[serverEntry], ShouldEqual, 1024)
		So(connections[serverCall], ShouldEqual, maxCallConnections)
		So(connections[serverPeer], ShouldEqual, maxOtherConnections)
		So(maxConnections(settings.Limits{Connections: 2000}, 1<<20)[serverEntry], ShouldEqual, 2000)
	})
}

// Guards against a proposal of the longest length that is refused in calm.
func TestLongestProposalFits(t *testing.T) {
	Convey("the account of operators has room for it", t, func() {
		account := heldmemory.NewAccount(operatorMemoryBytes, boottime.Now)
		So(account.NewHolder(nil).TryGrow(heldmemory.HeadBytes(operator.MaxBodyBytes+(64<<10), 100)), ShouldBeTrue)
	})
}
