package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/heldmemory"
)

// errDetached is returned to a transport that reads a body after its attempt
// was cancelled.
var errDetached = errors.New("proxy: attempt was cancelled before its body was read")

// requestBody is the body of a call. All attempts of the call share it.
type requestBody struct {
	// length is as in http.Request: -1 means unknown.
	length   int64
	buffered []byte
	stream   io.ReadCloser
	// trailer is filled in by the HTTP server once it has read the whole stream.
	trailer http.Header
	// held is the memory of buffered, nil where nothing is buffered.
	held *heldmemory.Holder
}

// release returns the memory of the body.
func (b *requestBody) release() {
	if b != nil && b.held != nil {
		b.held.Close()
	}
}

// readHeld reads a body of up to most bytes into memory of the account. A body without
// progress gives way to others by a read timeout.
func readHeld(w http.ResponseWriter, r *http.Request, account *heldmemory.Account, most int64) ([]byte, *heldmemory.Holder, error) {
	held := account.NewHolder(func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
	reader := heldmemory.Reader{Holder: held, Source: r.Body}
	content, err := reader.ReadUpTo(r.Context(), r.ContentLength, most)
	if err != nil {
		held.Close()
		return nil, nil, errors.Wrap(err, "proxy: read request body")
	}
	return content, held, nil
}

// newRequestBody returns the body of r. A body with a Content-Length of at most
// limit is read into memory, so that it can be sent more than once; any other is
// streamed.
func newRequestBody(w http.ResponseWriter, r *http.Request, account *heldmemory.Account, limit int64) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength, trailer: r.Trailer}
	if r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength < 0 || r.ContentLength > limit {
		b.stream = r.Body
		return b, nil
	}
	var err error
	b.buffered, b.held, err = readHeld(w, r, account, limit)
	return b, err
}

// bufferRequestBody reads the whole body of r into memory. It returns errTooLarge
// if the body is longer than limit.
func bufferRequestBody(w http.ResponseWriter, r *http.Request, account *heldmemory.Account, limit int64) (*requestBody, error) {
	if r.ContentLength >= 0 && r.ContentLength <= limit {
		return newRequestBody(w, r, account, limit)
	}
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	content, held, err := readHeld(w, r, account, limit+1)
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		held.Close()
		return nil, errTooLarge
	}
	return &requestBody{length: int64(len(content)), buffered: content, held: held}, nil
}

// errTooLarge is returned for a body above the limit.
var errTooLarge = errors.New("proxy: request body too large")

// limitedBody returns errTooLarge for what follows after the longest body.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read returns the next bytes.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errTooLarge
	}
	return n, err
}

// identityEncoding is shared by all requests and never modified.
var identityEncoding = []string{"identity"}

// attach sets the body of the request of one attempt. The body of the request is
// neither nil nor rewindable, so that http.Transport never sends the request a
// second time by itself (design, section 1.8). A body of length zero is sent
// without Content-Length and without Transfer-Encoding, which a server reads as an
// empty body.
func (b *requestBody) attach(out *http.Request) *detachableBody {
	out.ContentLength = b.length
	if b.stream == nil {
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
		if b.length == 0 {
			out.TransferEncoding = identityEncoding
		}
		return nil
	}
	body := &detachableBody{stream: b.stream}
	out.Body, out.Trailer = body, b.trailer
	return body
}

// States of a detachableBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyDetached
)

// detachableBody lets one attempt read the caller's body until it is detached.
type detachableBody struct {
	stream io.ReadCloser
	state  atomic.Int32
	failed atomic.Bool
	// tooLong is set if the body is longer than the limit.
	tooLong atomic.Bool
}

// Read reads from the caller's body.
func (b *detachableBody) Read(p []byte) (int, error) {
	if b.state.Load() != bodyRead && !b.state.CompareAndSwap(bodyUnread, bodyRead) {
		return 0, errDetached
	}
	n, err := b.stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.tooLong.Store(errors.Is(err, errTooLarge))
		b.failed.Store(true)
	}
	return n, err
}

// Close does not close the caller's body: the HTTP server closes it.
func (b *detachableBody) Close() error { return nil }

// detach keeps the attempt from reading the body and reports whether the body is
// still unread, so that another attempt can send it.
func (b *detachableBody) detach() bool {
	return b == nil || b.state.CompareAndSwap(bodyUnread, bodyDetached)
}

// endedEarly reports whether the caller's body ended early.
func (b *detachableBody) endedEarly() bool { return b != nil && b.failed.Load() }
