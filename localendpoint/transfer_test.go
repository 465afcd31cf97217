package localendpoint_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/hostlink"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// stubTransfer refuses or admits a response, and holds what it was asked.
type stubTransfer struct {
	fits     bool
	asked    int
	expected int64
}

func (s *stubTransfer) Reserve(expected int64, _ time.Duration) (time.Duration, bool) {
	s.asked++
	s.expected = expected
	return 250 * time.Millisecond, s.fits
}

// Guards against calls that are executed though their response cannot leave in time, and
// against short responses that are refused for a full link.
func TestResponsesThatCannotLeaveAreNotBegun(t *testing.T) {
	e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
		return writeResponse(c, r.Header.Get("Id"), "", strings.Repeat("x", 100))
	})
	defer e.close()
	run := func(kind routeplan.Kind, bytes int64, transfer call.Transfer) call.Result {
		g, _ := newGate(e)
		c := newCall(kind)
		c.Header.Set("Id", c.ID)
		c.ResponseBytes, c.Transfer = bytes, transfer
		return g.Run(context.Background(), c)
	}
	Convey("a full link", t, func() {
		full, before := &stubTransfer{}, e.requests.Load()
		r := run(routeplan.Download, 90_000, full)
		So(r.Outcome, ShouldEqual, call.Rejected)
		So(r.Reason, ShouldEqual, call.ReasonLinkFull)
		So(r.RetryAfter, ShouldEqual, 250*time.Millisecond)
		So(r.Sent, ShouldBeFalse)
		So(full.expected, ShouldEqual, 90_000)
		So(run(routeplan.Download, 0, full).Outcome, ShouldEqual, call.Rejected)
		So(run(routeplan.Idempotent, hostlink.LongBytes+1, full).Outcome, ShouldEqual, call.Rejected)
		So(e.requests.Load(), ShouldEqual, before)
	})
	Convey("a full link and calls that need no room there", t, func() {
		full := &stubTransfer{}
		So(run(routeplan.Idempotent, 0, full).Outcome, ShouldEqual, call.Answered)
		So(run(routeplan.Download, 1000, full).Outcome, ShouldEqual, call.Answered)
		So(run(routeplan.Download, 90_000, nil).Outcome, ShouldEqual, call.Answered)
		So(full.asked, ShouldEqual, 0)
	})
	Convey("a link with room", t, func() {
		So(run(routeplan.Download, 90_000, &stubTransfer{fits: true}).Outcome, ShouldEqual, call.Answered)
	})
}
