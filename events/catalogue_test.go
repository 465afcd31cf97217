package events_test

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/events"

	_ "geraniumnotch.example/geraniumnotch/hostnode"
	_ "geraniumnotch.example/geraniumnotch/node"
)

// TestCataloguePageMatchesTheEvents guards against an event that operators cannot
// look up in docs/events.md.
func TestCataloguePageMatchesTheEvents(t *testing.T) {
	Convey("docs/events.md lists every event of a node; make docs writes it", t, func() {
		page, err := os.ReadFile("../docs/events.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, events.Catalogue())
	})
	Convey("every event has a message and an action", t, func() {
		for _, e := range events.All() {
			So(e.Message, ShouldNotBeEmpty)
			So(e.Action, ShouldNotBeEmpty)
		}
	})
}
