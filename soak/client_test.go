package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

const (
	// connectTimeout is how long clients wait for a new connection.
	connectTimeout = time.Second
	// maxWindow is the largest number of requests in flight on a connection.
	maxWindow = 8
	// closeTimeout is how long a client that received "Connection: close" waits for the
	// end of the connection.
	closeTimeout = time.Second
)

var (
	errBehindClose   = errors.New("sent behind a response with Connection: close")
	errUnknownAnswer = errors.New("the response has the ID of another request")
)

// clientConn is a client's connection to a host. It is not an http.Client, because that
// sends idempotent requests again without notice when a connection ends.
type clientConn struct {
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	// outstanding are the requests without a response, oldest first.
	outstanding []*callRecord
	// writeErr is the error of the last request, if it could not be written.
	writeErr error
	// closing is set when no further request may be sent.
	closing bool
	// closeAnnounced is set when a response had "Connection: close".
	closeAnnounced bool
	// unchecked is set if the calls are not recorded.
	unchecked bool
}

func (h *host) dial() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", h.addresses["calls"], connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{host: h, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (k *clientConn) close() {
	_ = k.conn.Close() // It may be closed already.
}

// send sends a request behind those that have no response yet.
func (k *clientConn) send(call *callRecord) {
	call.sentAt = time.Now()
	call.ahead = len(k.outstanding)
	method := http.MethodGet
	if call.atMostOnce {
		method = http.MethodPost
	}
	header := http.Header{}
	standin.SetClientHeaders(header, call.id, clientDeadline)
	if call.key != "" {
		standin.SetKey(header, call.key)
	}
	if call.note != "" {
		header.Set(workspaceNote, call.note)
	}
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s /%s/%s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n", method, call.path, call.rest, call.bodyBytes)
	_ = header.Write(&text) // A strings.Builder returns no errors.
	_, _ = text.WriteString("\r\n")
	_, _ = text.WriteString(strings.Repeat("x", call.bodyBytes))
	k.outstanding = append(k.outstanding, call)
	_ = k.conn.SetDeadline(time.Now().Add(clientDeadline + 2*time.Second)) // Write returns the error.
	if _, k.writeErr = io.WriteString(k.conn, text.String()); k.writeErr != nil {
		k.closing = true // Responses may still be read.
		return
	}
	call.written = time.Now()
}

// receive receives the response to the oldest request. If there is none, all
// outstanding requests are ended.
func (k *clientConn) receive() {
	call := k.outstanding[0]
	_ = k.conn.SetReadDeadline(call.sentAt.Add(clientDeadline + 2*time.Second)) // The next read returns the error.
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.abandon(err)
		return
	}
	body, err := io.ReadAll(response.Body)
	if id := (platform.Headers{}).ReadResponse(response.StatusCode, response.Header).RequestID; err == nil && id != call.id {
		k.host.cluster.fail("%s at %s got the response of %q", call, k.host.name, id)
		err = errUnknownAnswer
	}
	if err != nil {
		k.abandon(err)
		return
	}
	call.status, call.body = response.StatusCode, string(body)
	k.finish(call, nil)
	k.outstanding = k.outstanding[1:]
	if len(k.outstanding) == 0 && k.reader.Buffered() > 0 {
		k.host.cluster.fail("%s sent %d bytes behind the response to %s, to which no request belongs", k.host.name, k.reader.Buffered(), call)
	}
	if response.Close {
		k.closing, k.closeAnnounced = true, true
		k.abandon(errBehindClose)
	}
}

// awaitClose waits until the host closes the connection, if it has announced that. No bytes
// may follow a response with "Connection: close". After a request that the client has given
// up, its response may.
func (k *clientConn) awaitClose() {
	if !k.closeAnnounced {
		return
	}
	_ = k.conn.SetReadDeadline(time.Now().Add(closeTimeout)) // The next read returns the error.
	if n, _ := io.Copy(io.Discard, k.reader); n > 0 {
		k.host.cluster.fail("%s sent %d bytes behind a response with Connection: close", k.host.name, n)
	}
}

// abandon ends all outstanding requests without a response.
func (k *clientConn) abandon(err error) {
	k.closing = true
	for _, call := range k.outstanding {
		k.finish(call, errors.Join(err, k.writeErr))
	}
	k.outstanding = nil
}

func (k *clientConn) finish(call *callRecord, err error) {
	call.err, call.latency = err, time.Since(call.sentAt)
	if !k.unchecked {
		k.host.cluster.addCall(*call)
	}
}

// pipeline calls the host on kept connections until stopped is closed. It sends several
// requests before the first response and goes on until the host closes the connection
// or announces that. Requests are sent in bursts or one after each response.
func (h *host) pipeline(random *rand.Rand, stopped <-chan struct{}) {
	for !isClosed(stopped) {
		k, err := h.dial()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		window, bursts, waitsForClose := 2+random.IntN(maxWindow-1), random.IntN(2) == 0, random.IntN(2) == 0
		for !k.closing && !isClosed(stopped) {
			for len(k.outstanding) < window && !k.closing {
				k.send(h.newPipelinedCall(random))
			}
			k.receive()
			for bursts && len(k.outstanding) > 0 {
				k.receive()
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		for len(k.outstanding) > 0 {
			k.receive()
		}
		if k.closing && waitsForClose {
			k.awaitClose()
		}
		k.close()
	}
}

// newPipelinedCall returns an idempotent call. One in eight is served slowly, one in
// four has a long response.
func (h *host) newPipelinedCall(random *rand.Rand) *callRecord {
	service := services[random.IntN(len(services))]
	serviceTime, bytes := 10+random.IntN(60), 0
	if random.IntN(8) == 0 {
		serviceTime = 300 + random.IntN(1200)
	}
	if random.IntN(4) == 0 {
		bytes = 10_000 + random.IntN(50_000)
	}
	call := h.newCall(service, service, 0)
	call.rest = fmt.Sprintf("%d/%d", serviceTime, bytes)
	call.wantBody += strings.Repeat(".", bytes)
	return call
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
