package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against bodies of any length, announced or just sent, and against an endpoint that
// takes a part of one for the whole.
func TestBodiesOverTheLimit(t *testing.T) {
	Convey("Given an entry that accepts 1,000 bytes", t, func() {
		const limit = 1000
		var whole atomic.Int32
		m := newTestMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				whole.Add(1)
			}
			echo(w, r)
		}))
		m.entry.cfg.MaxBodyBytes = limit
		Convey("an announced body is refused", func() {
			r := m.post("/once", strings.Repeat("x", limit+1))
			So(r.status, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(r.outcomeAndReason(), ShouldEqual, "not_executed malformed")
			So(whole.Load(), ShouldEqual, 0)
		})
		Convey("one without a length is cut, and its caller is told", func() {
			r := m.do(m.request(http.MethodPost, "/long", io.MultiReader(strings.NewReader(strings.Repeat("x", 100*limit)))))
			So(r.status, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(whole.Load(), ShouldEqual, 0)
		})
		Convey("bodies of the longest length are served", func() {
			So(m.post("/once", strings.Repeat("x", limit)).status, ShouldEqual, http.StatusOK)
			r := m.do(m.request(http.MethodPost, "/long", io.MultiReader(strings.NewReader(strings.Repeat("x", limit)))))
			So(r.status, ShouldEqual, http.StatusOK)
			So(whole.Load(), ShouldEqual, 2)
		})
	})
}
