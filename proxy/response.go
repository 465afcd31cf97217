package proxy

import (
	"io"
	"net/http"
	"net/textproto"
	"sync"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/internal/fieldname"
)

// maxBufferedResponseBytes is the largest response body that is read completely before
// any of it is sent on. A failure while such a body is read is reported as an
// error, whereas a longer response can only be aborted.
const maxBufferedResponseBytes = 32 << 10

// Errors of relaying a response.
var (
	errUpstream   = errors.New("proxy: response body ended early")
	errDownstream = errors.New("proxy: receiver of the response closed the connection")
	errUnframed   = errors.New("proxy: response has neither a Content-Length nor chunks")
	errInterim    = errors.New("proxy: too many 1xx responses")
)

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, maxBufferedResponseBytes)
	return &b
}}

// response is an HTTP response whose body was read if it is short. The fields
// body and buffered are set only for such a response.
type response struct {
	resp     *http.Response
	buf      *[]byte
	body     []byte
	buffered bool
}

// readResponse reads the whole body of a short response. The caller must close
// the response.
func readResponse(resp *http.Response) (*response, error) {
	r := &response{resp: resp}
	if resp.Body == http.NoBody {
		r.buffered = true
		return r, nil
	}
	if isUnframed(resp) {
		r.close()
		return nil, errUnframed
	}
	r.buf = bufferPool.Get().(*[]byte)
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedResponseBytes {
		return r, nil
	}
	r.body, r.buffered = (*r.buf)[:resp.ContentLength], true
	if _, err := io.ReadFull(resp.Body, r.body); err != nil {
		r.close()
		return nil, errors.Mark(err, errUpstream)
	}
	return r, nil
}

// isUnframed reports whether only the end of the connection ends the body. A
// truncation of such a body cannot be detected.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func (r *response) close() {
	_ = r.resp.Body.Close()
	if r.buf != nil {
		bufferPool.Put(r.buf)
		r.buf, r.body = nil, nil
	}
}

// relay writes the response to w. An error is marked with errUpstream or
// errDownstream, and the caller must then abort the connection to the receiver.
func (r *response) relay(w http.ResponseWriter) error {
	h := w.Header()
	for name, values := range endToEndHeaders(r.resp.Header) {
		h[name] = values
	}
	if length, ok := r.resp.Header["Content-Length"]; ok {
		h["Content-Length"] = length
	}
	announced := r.announceTrailers(h)
	w.WriteHeader(r.resp.StatusCode)
	if err := r.copyBody(w); err != nil {
		return err
	}
	r.copyTrailers(h, announced)
	return nil
}

func (r *response) copyBody(w http.ResponseWriter) error {
	if len(r.body) > 0 {
		if _, err := w.Write(r.body); err != nil {
			return errors.Mark(err, errDownstream)
		}
	}
	if r.buffered {
		return nil
	}
	return r.stream(w)
}

// stream copies the body and flushes after every read, so that the receiver gets
// each part of a slow response as soon as it is produced.
func (r *response) stream(w http.ResponseWriter) error {
	flusher := http.NewResponseController(w)
	remaining := r.resp.ContentLength
	for {
		n, readErr := r.resp.Body.Read(*r.buf)
		if n > 0 {
			if _, err := w.Write((*r.buf)[:n]); err != nil {
				return errors.Mark(err, errDownstream)
			}
			remaining -= int64(n)
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return errors.Mark(readErr, errUpstream)
		}
		if remaining == 0 {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return errors.Mark(err, errDownstream)
		}
	}
}

func (r *response) announceTrailers(h http.Header) map[string]bool {
	if len(r.resp.Trailer) == 0 {
		return nil
	}
	announced := map[string]bool{}
	for name := range endToEndHeaders(r.resp.Trailer) {
		announced[name] = true
		h.Add("Trailer", name)
	}
	return announced
}

func (r *response) copyTrailers(h http.Header, announced map[string]bool) {
	if len(r.resp.Trailer) == 0 {
		return
	}
	for name, values := range endToEndHeaders(r.resp.Trailer) {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// interimForwarder forwards 1xx responses until the final response arrives.
type interimForwarder struct {
	mu     sync.Mutex
	w      http.ResponseWriter
	closed bool
	// bytes is the approximate length of the 1xx responses so far.
	bytes int
}

// interimStatusBytes and interimFieldBytes are the approximate lengths of a status line
// with the blank line after the head, and of a header field without its name and value.
const (
	interimStatusBytes = 32
	interimFieldBytes  = 4
)

// count adds a 1xx response and returns an error when all of them exceed the limit on a
// head. The transport has no limit if 1xx responses are forwarded.
func (i *interimForwarder) count(header textproto.MIMEHeader) error {
	i.bytes += interimStatusBytes
	for name, values := range header {
		for _, value := range values {
			i.bytes += len(name) + len(value) + interimFieldBytes
		}
	}
	if i.bytes > maxHeaderBytes {
		return errInterim
	}
	return nil
}

// forward writes a 1xx response. It is called on the transport's goroutine.
func (i *interimForwarder) forward(code int, header textproto.MIMEHeader) error {
	if err := i.count(header); err != nil {
		return err
	}
	if err := fieldname.Check(header); err != nil {
		return err
	}
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return nil
	}
	h := i.w.Header()
	copyHeaders(h, endToEndHeaders(http.Header(header)))
	i.w.WriteHeader(code)
	clear(h)
	return nil
}

// close keeps later calls of forward from using the writer.
func (i *interimForwarder) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}
