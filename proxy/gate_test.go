package proxy

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/endpoints"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// Guards against accepting calls that do not come from a node or that name an
// unknown endpoint, and against a rejection without an outcome.
func TestGateRejections(t *testing.T) {
	Convey("Given a gate without endpoints", t, func() {
		g := NewGate(GateConfig{
			Endpoints: endpoints.New(endpoints.Config{}),
			IsTrusted: func(a netip.Addr) bool { return a == netip.MustParseAddr("10.0.0.1") },
		})
		send := func(peer string, change map[string]string) string {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.RemoteAddr = peer
			for name, value := range callHeadersFor("e") {
				r.Header.Set(name, value)
			}
			for name, value := range change {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			return reply{header: w.Header()}.outcomeAndReason()
		}
		So(send("10.0.0.2:5", nil), ShouldEqual, "not_executed unauthenticated")
		So(send("[::ffff:10.0.0.1]:5", nil), ShouldEqual, "not_executed no_endpoint")
		So(send("10.0.0.1:5", map[string]string{mesh.HeaderDepth: "8"}), ShouldEqual, "not_executed too_deep")
		So(send("10.0.0.1:5", map[string]string{mesh.HeaderRank: "first"}), ShouldEqual, "not_executed malformed")
		g.Drain()
		So(send("10.0.0.1:5", nil), ShouldEqual, "not_executed draining")
	})
}

// FuzzParseIncoming guards against call headers that are accepted with numbers out
// of range.
func FuzzParseIncoming(f *testing.F) {
	f.Add("c", "urgent", "0", "5000")
	f.Add("", "bulk", "-1", "99999999999999999999")
	f.Fuzz(func(t *testing.T, call, rank, depth, deadline string) {
		h := http.Header{}
		for name, value := range map[string]string{
			mesh.HeaderCall: call, mesh.HeaderRoot: call, mesh.HeaderEndpoint: call,
			mesh.HeaderRank: rank, mesh.HeaderDepth: depth, mesh.HeaderDeadlineMs: deadline,
		} {
			h.Set(name, value)
		}
		now := time.Unix(1000, 0)
		in, err := parseIncoming(h, now)
		if err == nil && (in.call == "" || in.rank >= mesh.RankCount || in.depth < 0 || in.deadline.Before(now)) {
			t.Errorf("accepted %+v", in)
		}
	})
}
