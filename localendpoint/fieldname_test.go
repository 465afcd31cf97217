package localendpoint_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// malformedFields are lines of a head or a trailer whose field name is no token. The parser
// of net/http takes those with a blank.
var malformedFields = []string{
	"Content-Length : 2", "Content-Length : 900", "Transfer-Encoding : chunked", "X-A b: c", "X-A : c", "X-A\t: c", "X\x01A: c", "X\x7fA: c", "X(A): c", ": c", "X-A",
}

// unusualField has a name of all kinds of characters that a token may have (RFC 9110,
// section 5.6.2).
const unusualField = "!#$%&'*+-.^_`|~0aZ"

// runAgainst makes a call to an endpoint that answers the first call with the text, in which
// %s is the ID of the call, and then a second one. It returns the results and the number of
// connections.
func runAgainst(text string) (first, second call.Result, connections int64) {
	var calls atomic.Int64
	e := newStubEndpoint(func(conn net.Conn, r *http.Request) bool {
		id := r.Header.Get("Id")
		if calls.Add(1) > 1 {
			return writeResponse(conn, id, "", "next")
		}
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "%s", id))
		return err == nil
	})
	defer e.close()
	g, _ := newGate(e)
	run := func() call.Result {
		c := newCall(routeplan.AtMostOnce)
		c.Header.Set("Id", c.ID)
		return g.Run(context.Background(), c)
	}
	first = run()
	if first.Response != nil && first.Response.Stream != nil {
		_, err := io.Copy(io.Discard, first.Response.Stream)
		So(first.Response.Stream.Close(), ShouldBeNil)
		if err != nil {
			first.Outcome = call.Broken
		}
	}
	return first, run(), e.connections.Load()
}

// Guards against a response that is passed on with a field whose name is no token, or with a
// body that is not the endpoint's because such a field was to frame it, and against a further
// call on its connection.
func TestMalformedFieldNames(t *testing.T) {
	const chunk, end = "2\r\nok\r\n", "0\r\n"
	longChunk := fmt.Sprintf("%x\r\n%s\r\n", 100_000, strings.Repeat("x", 100_000))
	for _, field := range malformedFields {
		for _, status := range []string{"200 OK", "404 Not Found", "503 Service Unavailable", "503 Service Unavailable\r\nNot-Run: 1"} {
			head := "HTTP/1.1 " + status + "\r\nId: %s\r\n"
			for name, text := range map[string]string{
				"in the head":                      head + field + "\r\nContent-Length: 2\r\n\r\nok",
				"in the head, before the ID":       "HTTP/1.1 " + status + "\r\n" + field + "\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
				"in the head of an empty response": head + "Content-Length: 0\r\n" + field + "\r\n\r\n",
				"in an interim head":               "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
				"in the trailer":                   head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + end + field + "\r\n\r\n",
				"in the trailer of a long body":    head + "Transfer-Encoding: chunked\r\n\r\n" + longChunk + end + field + "\r\n\r\n",
				"in the trailer of another response": "HTTP/1.1 " + status + "\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + end + field + "\r\n\r\n" +
					head + "Content-Length: 2\r\n\r\nok",
			} {
				Convey(fmt.Sprintf("%q %s, status %q", field, name, status), t, func() {
					first, second, connections := runAgainst(text)
					hasOwnHead := name == "in the trailer" || name == "in the trailer of a long body"
					if hasOwnHead && strings.Contains(status, "Not-Run") {
						// The head has stated that the call was not executed.
						So(first.Outcome, ShouldEqual, call.Rejected)
					} else {
						So(first.Outcome, ShouldEqual, call.Broken)
						So(first.Sent, ShouldBeTrue)
					}
					So(second.Outcome, ShouldEqual, call.Answered)
					So(string(second.Response.Body), ShouldEqual, "next")
					So(connections, ShouldEqual, 2)
				})
			}
		}
	}
}

// Guards against a response that is refused for an unusual name of a field.
func TestUnusualFieldNames(t *testing.T) {
	for name, text := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nId: %s\r\n" + unusualField + ": v\r\nContent-Length: 2\r\n\r\nok",
		"trailer": "HTTP/1.1 200 OK\r\nId: %s\r\n" + unusualField + ": v\r\nTrailer: " + unusualField + ", X-B\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + unusualField + ": v\r\n\r\n",
		"folded":  "HTTP/1.1 200 OK\r\nId: %s\r\n" + unusualField + ":\r\n v\r\nContent-Length: 2\r\n\r\nok",
	} {
		Convey(name, t, func() {
			first, second, connections := runAgainst(text)
			So(first.Outcome, ShouldEqual, call.Answered)
			So(string(first.Response.Body), ShouldEqual, "ok")
			values := 0
			for field, v := range first.Response.Header {
				if strings.EqualFold(field, unusualField) {
					So(v, ShouldResemble, []string{"v"})
					values++
				}
			}
			So(values, ShouldEqual, 1)
			So(second.Outcome, ShouldEqual, call.Answered)
			So(connections, ShouldEqual, 1)
		})
	}
}
