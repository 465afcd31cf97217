package localendpoint_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

// Guards against a request with two lengths, which some endpoints reject.
func TestRequestsHaveOneLength(t *testing.T) {
	Convey("a client states a length, and the endpoint gets it once", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		heads := make(chan string, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			var read bytes.Buffer
			r := bufio.NewReader(&recordingReader{c, &read})
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			heads <- read.String()
			_ = writeResponse(c, request.Header.Get("Id"), "", "ok")
		}()
		g, _ := newGateAt(l.Addr().String())
		c := newCall(routeplan.AtMostOnce)
		c.Header.Set("Id", c.ID)
		c.Header.Set("Content-Length", "3")
		c.BodyBytes, c.Body = 3, call.BytesBody([]byte("abc"))
		So(g.Run(context.Background(), c).Outcome, ShouldEqual, call.Answered)
		So(strings.Count(<-heads, "Content-Length: 3\r\n"), ShouldEqual, 1)
	})
}

// recordingReader keeps what it reads.
type recordingReader struct {
	net.Conn
	read *bytes.Buffer
}

func (r *recordingReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.read.Write(p[:n])
	return n, err
}
