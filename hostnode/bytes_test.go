package hostnode

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// getRaw sends a request with a head that http.Client would not send.
func (h *fixtureHost) getRaw(id, path, header string) (int, http.Header) {
	conn, err := h.fixture.network.Dialer("127.0.0.3:1")(context.Background(), "tcp", h.address["calls"])
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	request := h.request(id, "/")
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n%s", path, header)
	for name := range request.Header {
		head += fmt.Sprintf("%s: %s\r\n", name, request.Header.Get(name))
	}
	if _, err := conn.Write([]byte(head + "\r\n")); err != nil {
		return 0, nil
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

// Guards against bytes that are not UTF-8, in the path, the ID or a header of a request or in a
// header of a response, that close the link between two hosts with all calls on it.
func TestBytesThatAreNotUTF8AcrossTwoHosts(t *testing.T) {
	const latin = "Jos\xe9"
	for name, c := range map[string]struct{ id, path, header, responseHeader string }{
		"in a header of the request":  {"odd", "/one/x", "Driver-Name: " + latin + "\r\n", ""},
		"in the path":                 {"odd", "/one/" + latin, "", ""},
		"in the ID":                   {latin, "/one/x", "", ""},
		"in a header of the response": {"odd", "/one/x", "", latin},
	} {
		inBubble(t, name, func(t *testing.T) {
			f := newBubbleFixture(t)
			defer f.close()
			f.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
			a, b := f.addHost("host-a", "one"), f.addHost("host-b", "two")
			a.serviceTime = 300 * time.Millisecond
			var mu sync.Mutex
			var received []string
			respond := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				received = append(received, r.Header.Get("Driver-Name")+r.URL.Path)
				mu.Unlock()
				if c.responseHeader != "" {
					w.Header().Set("Cook-Name", c.responseHeader)
				}
				_, _ = w.Write([]byte("x")) // The client checks the status.
			})
			a.setResponse(respond)
			a.announce("one", "ready")
			waitFor(func() bool { return f.allHave(4) && len(b.node.directory.ByService("one")) == 1 && b.node.ready() })
			link := b.node.directory.Manager().Link("host-a")
			statuses := make(chan int, 3)
			for i := range cap(statuses) {
				go func() {
					status, _ := b.get(fmt.Sprint("other ", i), "/one/x")
					statuses <- status
				}()
			}
			time.Sleep(100 * time.Millisecond)
			status, header := b.getRaw(c.id, c.path, c.header)
			So(status, ShouldEqual, 200)
			So(header.Get("Cook-Name"), ShouldEqual, c.responseHeader)
			for range cap(statuses) {
				So(<-statuses, ShouldEqual, 200)
			}
			So(b.node.directory.Manager().Link("host-a") == link, ShouldBeTrue)
			if c.header != "" {
				So(received, ShouldContain, latin+"/one/x")
			}
		})
	}
}
