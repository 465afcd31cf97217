package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
)

// Guards against a check of the clients that takes a late response, to a request that the
// client has given up, for bytes behind "Connection: close", and against one that misses
// such bytes.
func TestBytesBehindAnAnnouncedClose(t *testing.T) {
	for _, c := range []struct {
		name, head string
		delay      time.Duration
		failures   int
	}{
		{"a late response after a pause of the host", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", clientDeadline + 2*time.Second + 100*time.Millisecond, 0},
		{"a response with Connection: close and another one", "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nContent-Length: 0\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", 0, 2},
		{"a response with Connection: close alone", "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				client, server := net.Pipe()
				h := &host{name: "h", cluster: &cluster{}}
				k := &clientConn{host: h, conn: client, reader: bufio.NewReader(client), unchecked: true}
				var serving sync.WaitGroup
				serving.Go(func() {
					defer func() { _ = server.Close() }() // No response follows.
					request, err := http.ReadRequest(bufio.NewReader(server))
					if err != nil {
						return // The client has closed the connection.
					}
					serving.Go(func() { _, _ = io.Copy(io.Discard, server) }) // Ends with the connection.
					time.Sleep(c.delay)
					id := platform.Headers{}.ReadResponse(0, request.Header).RequestID
					_, _ = io.WriteString(server, strings.ReplaceAll(c.head, "ID", id)) // The client may have closed the connection.
				})
				k.send(h.newCall("one", "one", 0))
				k.receive()
				So(k.closing, ShouldBeTrue)
				k.awaitClose()
				k.close()
				serving.Wait()
				So(h.cluster.failures, ShouldHaveLength, c.failures)
			})
		})
	}
}
