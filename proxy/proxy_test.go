package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// echo responds with a description of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(mesh.HeaderCall, r.Header.Get(mesh.HeaderCall))
	_, _ = fmt.Fprintf(w, "%s %s %q customer=%s depth=%s length=%d", r.Method, r.URL.RequestURI(), body,
		r.Header.Get(mesh.HeaderCustomer), r.Header.Get(mesh.HeaderDepth), r.ContentLength)
}

// Guards against a call path that loses or alters a call between caller and
// endpoint.
func TestCallEndToEnd(t *testing.T) {
	Convey("Given a mesh of two hosts", t, func() {
		m := newTestMesh(t, http.HandlerFunc(echo), http.HandlerFunc(echo))
		Convey("a call arrives and its response is returned", func() {
			r := m.get("/lookup/7?a=b%20c")
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusOK)
			So(r.body, ShouldEqual, `GET /lookup/7?a=b%20c "" customer=acme depth=0 length=0`)
			So(r.outcomeAndReason(), ShouldEqual, "executed")
			So(r.header.Get(mesh.HeaderSequence), ShouldEqual, "7")
			So(m.post("/once", "x").body, ShouldEqual, `POST /once "x" customer=acme depth=0 length=1`)
			So(m.post("/once", "").body, ShouldEqual, `POST /once "" customer=acme depth=0 length=0`)
		})
		Convey("calls without a route, token or running parent are rejected as not executed", func() {
			So(m.get("/nowhere").outcomeAndReason(), ShouldEqual, "not_executed no_route")
			So(m.get("/lookup/../admin").outcomeAndReason(), ShouldEqual, "not_executed no_route")
			anonymous := m.request(http.MethodGet, "/lookup", nil)
			anonymous.Header.Del("Authorization")
			So(m.do(anonymous).outcomeAndReason(), ShouldEqual, "not_executed unauthenticated")
			forged := m.request(http.MethodGet, "/lookup", nil)
			forged.Header.Set(mesh.HeaderParent, "0123")
			So(m.do(forged).outcomeAndReason(), ShouldEqual, "not_executed unauthenticated")
		})
		Convey("explain finds the call with its attempt", func() {
			r := m.get("/lookup")
			found := m.explain.Find(mesh.CallID(r.header.Get(mesh.HeaderCall)))
			So(found, ShouldHaveLength, 1)
			So(found[0].Attempts, ShouldHaveLength, 1)
			So(found[0].Admission, ShouldEqual, "admitted")
			So(found[0].Customer, ShouldEqual, mesh.CustomerID("acme"))
		})
	})
}
