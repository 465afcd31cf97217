package localendpoint_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// refusal returns a response that states that the call was not executed.
func refusal(id, extra string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\n%sContent-Length: 4\r\n\r\nfull", id, extra)
}

// Guards against an earlier refusal, written once more, that rejects a call in execution.
func TestRepeatedRefusalDoesNotRejectALaterCall(t *testing.T) {
	for _, c := range []struct {
		name string
		// first answers the refused call, and later comes before the response to the next
		// one.
		first, later func(refused string) string
		// ends is set when the connection ends instead of that response.
		ends bool
		want call.AttemptOutcome
	}{
		{"together with the refusal", func(id string) string { return refusal(id, "") + refusal(id, "") }, func(string) string { return "" }, false, call.Answered},
		{"during the next call", func(id string) string { return refusal(id, "") }, func(id string) string { return refusal(id, "") }, false, call.Answered},
		{"as the last response of the connection", func(id string) string { return refusal(id, "") }, func(id string) string { return refusal(id, "Connection: close\r\n") }, true, call.Broken},
		{"without an ID", func(id string) string { return refusal(id, "") }, func(string) string { return refusal("", "") }, false, call.Answered},
		{"without the end of its head", func(id string) string { return refusal(id, "") }, func(id string) string { return refusal(id, "")[:60] }, true, call.Broken},
	} {
		Convey(c.name, t, func() {
			refused, executions := "", 0
			e := newStubEndpoint(func(conn net.Conn, r *http.Request) bool {
				id := r.Header.Get("Id")
				if refused == "" {
					refused = id
					_, err := io.WriteString(conn, c.first(id))
					return err == nil
				}
				executions++
				if _, err := io.WriteString(conn, c.later(refused)); err != nil || c.ends {
					return false
				}
				return writeResponse(conn, id, "", "done")
			})
			defer e.close()
			g, _ := newGate(e)
			run := func() call.Result {
				c := newCall(routeplan.AtMostOnce)
				c.Header.Set("Id", c.ID)
				return g.Run(context.Background(), c)
			}
			So(run().Outcome, ShouldEqual, call.Rejected)
			So(run().Outcome, ShouldEqual, c.want)
			So(executions, ShouldEqual, 1)
		})
	}
}

// Guards against a response that ends in the middle of its head and looks complete.
func TestResponseThatEndsInItsHeadIsBroken(t *testing.T) {
	for _, length := range []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		for _, kind := range []routeplan.Kind{routeplan.Idempotent, routeplan.AtMostOnce} {
			Convey(fmt.Sprintf("%q, %v", length, kind), t, func() {
				c := newCall(kind)
				c.Header.Set("Id", c.ID)
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%s\r\n", c.ID, length)
				for end := range len(head) {
					e := newStubEndpoint(func(conn net.Conn, _ *http.Request) bool {
						_, _ = conn.Write([]byte(head[:end]))
						return false
					})
					g, _ := newGate(e)
					r := g.Run(context.Background(), c)
					e.close()
					So(r.Response, ShouldBeNil)
					So(r.Outcome, ShouldEqual, call.Broken)
				}
			})
		}
	}
}
