package hostnode

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// Guards against IDs in announcements that cannot be reported to other hosts.
func TestAnnouncementsWithMalformedIDs(t *testing.T) {
	inBubble(t, "an ID that is not UTF-8", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		a := f.addHost("host-a", "one")
		waitFor(a.node.registrar.listed.Load)
		heartbeat, body := standin.Heartbeat("i-%FF", a.address["endpoint"], "one", "d", "ready", 1)
		So(post(f.client, "http://"+a.address["announcements"]+heartbeat, body), ShouldEqual, 400)
		deregistration, body := standin.Deregistration("i-%FF", standin.EndpointStart)
		So(post(f.client, "http://"+a.address["announcements"]+deregistration, body), ShouldEqual, 400)
		So(a.node.registration.Current(), ShouldBeNil)
		So(a.node.registration.Departures(), ShouldBeEmpty)
	})
}
