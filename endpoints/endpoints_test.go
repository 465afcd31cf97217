package endpoints

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/membership"
)

const validBody = `{"service":"orders","address":"127.0.0.1:9001","slots":20,"connections":100,"coldStartMs":2000,"ttlMs":1000,"load":0.5}`

// fixture is a registry with a manual clock. It keeps the endpoints of the last call
// of OnChange and counts the calls.
type fixture struct {
	*Registry
	now        time.Time
	lastChange []membership.Endpoint
	changes    int
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Registry = New(Config{
		Now:      func() time.Time { return f.now },
		OnChange: func(all []membership.Endpoint) { f.lastChange, f.changes = all, f.changes+1 },
	})
	return f
}

func (f *fixture) request(method, path, body, remoteAddr string) int {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = remoteAddr
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, r)
	return w.Code
}

func (f *fixture) announce(body string) int {
	return f.request(http.MethodPut, "/v1/endpoints/e1", body, "127.0.0.1:5")
}

// Guards against endpoints that stay in the host's record after they expired or were
// withdrawn, and against a renewal that ends a drain (I7).
func TestLifeCycle(t *testing.T) {
	Convey("Given an announced endpoint", t, func() {
		f := newFixture()
		So(f.announce(validBody), ShouldEqual, http.StatusCreated)
		So(f.lastChange, ShouldHaveLength, 1)
		So(f.lastChange[0].State, ShouldEqual, membership.EndpointSlowStart)

		Convey("a renewal reports no change and extends the time to live", func() {
			f.now = f.now.Add(900 * time.Millisecond)
			So(f.announce(strings.Replace(validBody, "0.5", "0.9", 1)), ShouldEqual, http.StatusOK)
			f.now = f.now.Add(900 * time.Millisecond)
			f.Sweep()
			So(f.changes, ShouldEqual, 1)
			Convey("without a further renewal it is removed", func() {
				f.now = f.now.Add(200 * time.Millisecond)
				f.Sweep()
				So(f.lastChange, ShouldBeEmpty)
				_, known := f.Get("e1")
				So(known, ShouldBeFalse)
			})
		})
		Convey("it is ready after its cold start", func() {
			f.now = f.now.Add(999 * time.Millisecond)
			f.announce(validBody)
			f.now = f.now.Add(999 * time.Millisecond)
			f.announce(validBody)
			f.now = f.now.Add(2 * time.Millisecond)
			f.Sweep()
			So(f.lastChange[0].State, ShouldEqual, membership.EndpointReady)
		})
		Convey("it drains its gate and stays draining when it renews", func() {
			So(f.request(http.MethodPost, "/v1/endpoints/e1/drain", "", "[::1]:5"), ShouldEqual, http.StatusNoContent)
			So(f.announce(validBody), ShouldEqual, http.StatusOK)
			So(f.lastChange[0].State, ShouldEqual, membership.EndpointDraining)
			e, _ := f.Get("e1")
			<-e.Gate.Drained()
		})
		Convey("a restarted process gets a new gate", func() {
			before, _ := f.Get("e1")
			So(f.announce(strings.Replace(validBody, "9001", "9002", 1)), ShouldEqual, http.StatusCreated)
			after, _ := f.Get("e1")
			So(after.Gate, ShouldNotEqual, before.Gate)
			<-before.Gate.Drained()
		})
		Convey("it can be withdrawn once", func() {
			So(f.request(http.MethodDelete, "/v1/endpoints/e1", "", "127.0.0.1:5"), ShouldEqual, http.StatusNoContent)
			So(f.request(http.MethodDelete, "/v1/endpoints/e1", "", "127.0.0.1:5"), ShouldEqual, http.StatusNotFound)
			So(f.lastChange, ShouldBeEmpty)
		})
	})
}

// Guards against an endpoint that gets calls again because an announcement that it sent
// before it left arrives late.
func TestLateAnnouncements(t *testing.T) {
	withInstance := func(instance string) string {
		return strings.Replace(validBody, `"load"`, `"instance":"`+instance+`","load"`, 1)
	}
	withdraw := func(f *fixture) {
		So(f.request(http.MethodDelete, "/v1/endpoints/e1", "", "127.0.0.1:5"), ShouldEqual, http.StatusNoContent)
	}
	isRegistered := func(f *fixture) bool { _, known := f.Get("e1"); return known }
	Convey("Given an endpoint that states its instance", t, func() {
		f := newFixture()
		So(f.announce(withInstance("i1")), ShouldEqual, http.StatusCreated)
		Convey("it has withdrawn: it does not come back, however late its announcement is", func() {
			withdraw(f)
			for range 20 {
				So(f.announce(withInstance("i1")), ShouldEqual, http.StatusConflict)
				f.now = f.now.Add(time.Second)
			}
			So(isRegistered(f), ShouldBeFalse)
			Convey("another instance at its address is registered at once, and stays", func() {
				So(f.announce(withInstance("i2")), ShouldEqual, http.StatusCreated)
				So(f.announce(withInstance("i1")), ShouldEqual, http.StatusConflict)
				e, _ := f.Get("e1")
				So(e.Announcement().Instance, ShouldEqual, "i2")
			})
		})
		Convey("it was replaced: it does not replace its successor", func() {
			So(f.announce(withInstance("i2")), ShouldEqual, http.StatusCreated)
			So(f.announce(withInstance("i1")), ShouldEqual, http.StatusConflict)
			So(f.announce(withInstance("i2")), ShouldEqual, http.StatusOK)
		})
		Convey("it has drained and expired: it does not come back", func() {
			So(f.request(http.MethodPost, "/v1/endpoints/e1/drain", "", "127.0.0.1:5"), ShouldEqual, http.StatusNoContent)
			f.now = f.now.Add(2 * time.Second)
			f.Sweep()
			So(f.announce(withInstance("i1")), ShouldEqual, http.StatusConflict)
		})
		Convey("it has expired without leaving: it comes back", func() {
			f.now = f.now.Add(2 * time.Second)
			f.Sweep()
			So(isRegistered(f), ShouldBeFalse)
			So(f.announce(withInstance("i1")), ShouldEqual, http.StatusCreated)
		})
		Convey("many processes withdraw: a bounded number is kept, the latest", func() {
			withdraw(f)
			for i := range 1000 {
				So(f.announce(withInstance(fmt.Sprint("n", i))), ShouldEqual, http.StatusCreated)
				withdraw(f)
			}
			So(f.announce(withInstance("n999")), ShouldEqual, http.StatusConflict)
			So(len(f.withdrawals), ShouldBeLessThan, 100)
		})
	})
	Convey("Given an endpoint that states no instance and has withdrawn", t, func() {
		f := newFixture()
		So(f.announce(validBody), ShouldEqual, http.StatusCreated)
		withdraw(f)
		Convey("its announcements are rejected while one from before is valid", func() {
			f.now = f.now.Add(900 * time.Millisecond)
			So(f.announce(validBody), ShouldEqual, http.StatusConflict)
			So(isRegistered(f), ShouldBeFalse)
			Convey("a successor at its address is registered after that", func() {
				f.now = f.now.Add(100 * time.Millisecond)
				So(f.announce(validBody), ShouldEqual, http.StatusCreated)
			})
		})
		Convey("an endpoint at another address is registered at once", func() {
			So(f.announce(strings.Replace(validBody, "9001", "9002", 1)), ShouldEqual, http.StatusCreated)
		})
	})
}

// Guards against announcements from other hosts and against invalid ones.
func TestRejectedAnnouncements(t *testing.T) {
	Convey("Invalid announcements and those from other hosts are rejected", t, func() {
		f := newFixture()
		So(f.request(http.MethodPut, "/v1/endpoints/e1", validBody, "10.0.0.9:5"), ShouldEqual, http.StatusForbidden)
		for old, invalid := range map[string]string{
			"127.0.0.1:9001": "10.0.0.1:9001", `"slots":20`: `"slots":0`, `"service":"orders"`: `"service":"a b"`,
			`"load":0.5`: `"load":-1`, `"ttlMs":1000`: `"ttlMs":1`, `"coldStartMs"`: `"coldstart"`,
		} {
			So(f.announce(strings.Replace(validBody, old, invalid, 1)), ShouldEqual, http.StatusBadRequest)
		}
		So(f.changes, ShouldEqual, 0)
	})
}

// FuzzParseAnnouncement guards against input that crashes the decoder, and against
// announcements that pass validation with values out of range.
func FuzzParseAnnouncement(f *testing.F) {
	f.Add(validBody)
	f.Add(`{"service":"a","address":"[::1]:1","slots":4096}`)
	f.Add(`{"slots":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		a, err := parseAnnouncement(strings.NewReader(body))
		if err == nil && (a.UsableSlots() < 1 || a.UsableSlots() > MaxConnections || a.ttl() < minTTL) {
			t.Errorf("accepted %+v", a)
		}
	})
}
