package localendpoint_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// Guards against a body of which the next attempt misses a part, because the previous
// attempt still reads it.
func TestNextAttemptReadsTheWholeBody(t *testing.T) {
	Convey("an endpoint responds while it reads a long body", t, func() {
		e := newStubEndpoint(func(c net.Conn, r *http.Request) bool {
			_, err := io.CopyN(io.Discard, r.Body, 1<<20)
			return err == nil && writeResponse(c, r.Header.Get("Id"), "", "early") && drain(r.Body)
		})
		defer e.close()
		g, _ := newGate(e)
		body := make([]byte, 0, 8<<20)
		for i := 0; len(body) < 8<<20; i++ {
			body = strconv.AppendInt(body, int64(i), 10)
		}
		for range 5 {
			c := newCall(routeplan.Idempotent)
			c.Method = "POST"
			c.Header.Set("Id", c.ID)
			c.Body, c.BodyBytes = call.BytesBody(body), int64(len(body))
			So(g.Run(context.Background(), c).Outcome, ShouldEqual, call.Answered)
			next, rewound := c.Body.Rewind()
			So(rewound, ShouldBeTrue)
			c.Body = next
			got, err := io.ReadAll(next)
			So(err, ShouldBeNil)
			So(bytes.Equal(got, body), ShouldBeTrue)
		}
	})
}

func drain(r io.Reader) bool {
	_, err := io.Copy(io.Discard, r)
	return err == nil
}
