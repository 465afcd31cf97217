package call

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// wholeBodyBytes is the length up to which a response is read as a whole where the
// budget allows it.
const wholeBodyBytes = 1 << 20

// Buffers bounds the memory of long responses that the node holds as a whole. A
// response that is held can be replaced when it breaks off, and a slow client does not
// delay its sender. Beyond the bound, responses are streamed through small windows. It
// is safe for concurrent use.
type Buffers struct {
	limit int64
	used  atomic.Int64
}

// NewBuffers returns buffers of the given size in bytes.
func NewBuffers(limit int64) *Buffers { return &Buffers{limit: limit} }

// Used returns the number of bytes in use.
func (b *Buffers) Used() int64 { return b.used.Load() }

func (b *Buffers) reserve(bytes int64) bool {
	for {
		used := b.used.Load()
		if used+bytes > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// ReadWhole reads the rest of a streamed response into memory if its length is known and
// fits. It returns the error of a body that breaks off or does not end before ctx; the
// response must not be used then. Close of the response releases the memory.
func (b *Buffers) ReadWhole(ctx context.Context, a *Response) error {
	if a.Stream == nil || a.BodyBytes < 0 || a.BodyBytes > wholeBodyBytes || !b.reserve(a.BodyBytes) {
		return nil
	}
	stream := a.Stream
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() }) // The read returns an error.
	body := make([]byte, a.BodyBytes)
	_, err := io.ReadFull(stream, body)
	if err == nil {
		err = readEnd(stream)
	}
	stop()
	_ = stream.Close() // The whole body was read, or is not used.
	if err != nil {
		b.used.Add(-a.BodyBytes)
		return err
	}
	a.Body, a.Stream = body, nil
	a.release = func() { b.used.Add(-a.BodyBytes) }
	return nil
}

// unknownStepBytes is the memory that a response of unknown length takes at a time.
const unknownStepBytes = 64 << 10

// ReadUnknown reads a streamed response of unknown length into memory while the buffers have
// room, up to the length of those that are held as a whole. The rest of a longer one stays in
// the stream. It returns the error of a body that breaks off or does not end before ctx; the
// response must not be used then. Close of the response releases the memory.
func (b *Buffers) ReadUnknown(ctx context.Context, a *Response) error {
	if a.Stream == nil || a.BodyBytes >= 0 {
		return nil
	}
	stream := a.Stream
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() }) // The read returns an error.
	defer stop()
	var body []byte
	reserved := int64(0)
	a.release = func() { b.used.Add(-reserved) }
	for {
		if len(body) == cap(body) {
			if len(body) >= wholeBodyBytes || !b.reserve(unknownStepBytes) {
				a.Stream = &prefixedStream{Reader: io.MultiReader(bytes.NewReader(body), stream), Closer: stream}
				return nil
			}
			reserved += unknownStepBytes
			body = append(make([]byte, 0, len(body)+unknownStepBytes), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			_ = stream.Close() // The whole body was read.
			a.Body, a.Stream, a.BodyBytes = body, nil, int64(len(body))
			return nil
		}
		if err != nil {
			a.Close()
			return err
		}
	}
}

// prefixedStream is a stream of which the beginning has been read.
type prefixedStream struct {
	io.Reader
	io.Closer
}

// readEnd reads the end of a body after its last byte, which the stream needs to see that
// it is complete.
func readEnd(r io.Reader) error {
	n, err := r.Read(make([]byte, 1))
	if n == 0 && errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}
