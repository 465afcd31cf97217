package hostnode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// control sends a request of the endpoint to the host beside it.
func (h *fixtureHost) control(path, body string) int {
	w := httptest.NewRecorder()
	h.node.announcementServer().Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code
}

func (h *fixtureHost) heartbeat(state string, sequence int) int {
	return h.control(standin.Heartbeat("i-"+h.name, h.address["endpoint"], "one", "d", state, sequence))
}

// restart ends the host's process without a drain and starts it again.
func (h *fixtureHost) restart() {
	h.node.cancel()
	h.node.closeListeners()
	<-h.node.linksClosed
	h.node.store.CloseIdleConnections()
	h.start()
}

// Guards against calls to a leaving endpoint that a late announcement registers at a
// host process which started after the previous one acknowledged that it leaves.
func TestRestartedHostAndLateAnnouncements(t *testing.T) {
	inBubble(t, "a host that starts again while its endpoint runs", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(1, "one"))
		a := f.addHost("host-a", "one")
		accepts := func() bool { e := a.node.registration.Current(); return e != nil && !e.Draining }
		settle := func() {
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		So(a.heartbeat("ready", 1), ShouldEqual, http.StatusOK)
		settle()
		So(accepts(), ShouldBeTrue)

		// An endpoint that goes on running gets calls again.
		a.restart()
		So(a.heartbeat("ready", 2), ShouldEqual, http.StatusOK)
		settle()
		So(accepts(), ShouldBeTrue)

		// An endpoint that was acknowledged as leaving does not.
		a.leaves.Store(true)
		So(a.control("/instances/i-host-a/deregister", ""), ShouldEqual, http.StatusOK)
		So(accepts(), ShouldBeFalse)
		a.restart()
		So(a.heartbeat("ready", 3), ShouldEqual, http.StatusOK)
		So(accepts(), ShouldBeFalse)
		settle()
		So(accepts(), ShouldBeFalse)

		// Nor does it when the store is not available, so that there is no plan yet.
		f.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		a.restart()
		So(a.heartbeat("ready", 4), ShouldEqual, http.StatusOK)
		settle()
		So(accepts(), ShouldBeFalse)
	})
}
