package proxy

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Guards against a log of decisions that keeps the heads of thousands of requests.
func TestDecisionsKeepNoLongText(t *testing.T) {
	Convey("a request with a path of 50,000 bytes", t, func() {
		m := newTestMesh(t, http.HandlerFunc(echo))
		r := m.get("/lookup/" + strings.Repeat("p", 50_000))
		So(r.status, ShouldEqual, http.StatusOK)
		found := m.explain.Find(mesh.CallID(r.header.Get(mesh.HeaderCall)))
		So(found, ShouldHaveLength, 1)
		So(found[0].Path, ShouldHaveLength, maxDecisionText)
		So(found[0].Path, ShouldStartWith, "/lookup/ppp")
	})
}
