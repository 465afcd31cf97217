package node

import (
	"testing"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"

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
		So(connections[serverCall], ShouldEqual, maxOtherConnections)
		So(maxConnections(settings.Limits{Connections: 2000}, 1<<20)[serverEntry], ShouldEqual, 2000)
	})
}
