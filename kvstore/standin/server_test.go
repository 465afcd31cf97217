package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore/memory"
)

// TestAdmin guards against faults that cannot be set over HTTP, against a
// rejected patch that is applied in part, and against counters that differ from
// the store's.
func TestAdmin(t *testing.T) {
	Convey("Given a stand-in server", t, func() {
		store := memory.New()
		server := httptest.NewServer(New(store, nil))
		defer server.Close()
		send := func(method, path, body string) (int, string) {
			request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
			So(err, ShouldBeNil)
			response, err := server.Client().Do(request)
			So(err, ShouldBeNil)
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			return response.StatusCode, string(text)
		}

		status, _ := send("PATCH", PathFaults, `{"latencyNs": 1000, "writesPerSecond": 5}`)
		So(status, ShouldEqual, 200)
		_, _ = send("PATCH", PathFaults, `{"writesPerSecond": 0}`)
		So(store.Faults(), ShouldResemble, memory.Faults{Latency: time.Microsecond})
		status, _ = send("PATCH", PathFaults, `{"latencyNs": "x", "unavailable": true}`)
		So(status, ShouldEqual, 400)
		_, text := send("GET", PathFaults, "")
		So(text, ShouldContainSubstring, `"unavailable":false`)

		status, _ = send("POST", "/v1/key?key=k&expected=0", "1")
		So(status, ShouldEqual, 200)
		status, _ = send("POST", PathRewind, `{"count": 1}`)
		So(status, ShouldEqual, 200)
		status, _ = send("GET", "/v1/key?key=k", "")
		So(status, ShouldEqual, 404)
		_, text = send("GET", PathCounters, "")
		So(text, ShouldContainSubstring, `"compare_and_swap":1,"get":1`)
	})
}
