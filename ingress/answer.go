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

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// answer writes an endpoint's answer.
func (x *exchange) answer(a *call.Answer) {
	defer a.Close()
	<-x.before
	if x.c.finished.Load() && !x.closing {
		x.finish()
		return
	}
	x.Status = a.Status
	x.noteFailure()
	removeConnectionHeaders(a.Header)
	x.closing = x.closing || x.c.server.draining.Load()
	w := x.writer()
	defer releaseWriter(w)
	chunked := a.Stream != nil && a.Bytes < 0
	x.head(w, a.Status, a.Header, a.Bytes, chunked)
	err := x.body(w, a, chunked)
	if err != nil {
		x.Reason = call.ReasonTruncated
		x.closing = true
		// The client must not take the part for the whole.
		_ = x.c.net.Close()
	}
	x.finish()
}

func (x *exchange) body(w *bufio.Writer, a *call.Answer, chunked bool) error {
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

// fail answers with a status of the node's own.
func (x *exchange) fail(status int, reason string, retryAfter time.Duration) {
	<-x.before
	if x.c.finished.Load() && !x.closing {
		x.finish()
		return
	}
	x.Status, x.Reason = status, reason
	x.noteFailure()
	x.closing = x.closing || x.c.server.draining.Load()
	h := http.Header{}
	x.c.server.config.Headers.SetRequestID(h, x.ID)
	if retryAfter > 0 {
		x.c.server.config.Headers.SetRetryAfter(h, retryAfter)
	}
	w := x.writer()
	defer releaseWriter(w)
	x.head(w, status, h, 0, false)
	if err := w.Flush(); err != nil {
		x.closing = true
	}
	x.finish()
}

func (x *exchange) writer() *bufio.Writer {
	w := writers.Get().(*bufio.Writer)
	w.Reset(x.c.net)
	_ = x.c.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // An error shows in the next write.
	return w
}

func releaseWriter(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// head writes the head of an answer. Errors show in Flush.
func (x *exchange) head(w *bufio.Writer, status int, h http.Header, bytes int64, chunked bool) {
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
	if x.closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
}
