package ingress

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/call"
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// writeResponse writes the response of an endpoint.
func (x *exchange) writeResponse(a *call.Response) {
	defer a.Close()
	if !x.awaitTurn() {
		x.finishUnanswered()
		return
	}
	x.Status = a.Status
	x.reportNestedFailure()
	removeConnectionHeaders(a.Header)
	x.closeWhenDraining()
	w := x.acquireWriter()
	defer releaseWriter(w)
	chunked := a.Stream != nil && a.BodyBytes < 0
	x.writeHead(w, a.Status, a.Header, a.BodyBytes, chunked)
	err := x.writeBody(w, a, chunked)
	if err != nil {
		x.Reason = call.ReasonResponseTruncated
		x.fail()
	}
	x.finish()
}

func (x *exchange) writeBody(w *bufio.Writer, a *call.Response, chunked bool) error {
	if x.method != http.MethodHead {
		if _, err := w.Write(a.Body); err != nil {
			return err
		}
		if a.Stream != nil {
			if err := copyStream(w, a.Stream, chunked); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

func copyStream(w *bufio.Writer, r io.Reader, chunked bool) error {
	if !chunked {
		_, err := io.Copy(w, r)
		return err
	}
	buffer := make([]byte, 4<<10)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			_, _ = w.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n") // Flush returns the error.
			_, _ = w.Write(buffer[:n])
			_, _ = w.WriteString("\r\n")
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := w.WriteString("0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// writeFailure writes a response of the node itself.
func (x *exchange) writeFailure(status int, reason string, retryAfter time.Duration) {
	if !x.awaitTurn() {
		x.finishUnanswered()
		return
	}
	x.Status, x.Reason = status, reason
	x.reportNestedFailure()
	x.closeWhenDraining()
	h := http.Header{}
	x.c.server.config.Headers.SetRequestID(h, x.ID)
	if retryAfter > 0 {
		x.c.server.config.Headers.SetRetryAfter(h, retryAfter)
	}
	w := x.acquireWriter()
	defer releaseWriter(w)
	x.writeHead(w, status, h, 0, false)
	if err := w.Flush(); err != nil {
		x.fail()
	}
	x.finish()
}

func (x *exchange) acquireWriter() *bufio.Writer {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(x.c)
	return w
}

// Write writes to the client. It fails when the client reads nothing for writeTimeout.
func (c *connection) Write(b []byte) (int, error) {
	written := 0
	defer c.SetWriting(false)
	for written < len(b) {
		c.SetWriting(true)
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // The write returns the error.
		n, err := c.conn.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		c.held.Received(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReadFrom writes a long body in larger parts than the buffer of a bufio.Writer.
func (c *connection) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

func releaseWriter(w *bufio.Writer) {
	w.Reset(nil)
	writerPool.Put(w)
}

// writeHead writes the head of a response. Flush returns the errors.
func (x *exchange) writeHead(w *bufio.Writer, status int, h http.Header, bytes int64, chunked bool) {
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(status))
	_, _ = w.WriteString("\r\n")
	for name, values := range h {
		if name == "Content-Length" && !(x.method == http.MethodHead) {
			continue
		}
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(value)
			_, _ = w.WriteString("\r\n")
		}
	}
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified || x.method == http.MethodHead:
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(bytes, 10))
		_, _ = w.WriteString("\r\n")
	}
	if x.closeAfter {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
}
