package heldmemory

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// firstBytes is the size of the buffer that a body of unknown length begins with.
const firstBytes = 4 << 10

// ErrNoMemory means that there is no memory for the rest of a body.
var ErrNoMemory = errors.New("heldmemory: no memory for the body")

// Reader reads a body from a client, whose memory the holder accounts for. The body can
// give way to others while it waits for bytes.
type Reader struct {
	Holder *Holder
	Source io.Reader
}

// Read returns the next bytes.
func (r *Reader) Read(p []byte) (int, error) {
	r.Holder.Receiving(true)
	defer r.Holder.Receiving(false)
	n, err := r.Source.Read(p)
	r.Holder.Received(n)
	return n, err
}

// ReadUpTo reads a body until its end, or until most bytes have been read. It holds memory
// for what has arrived, not for what the client announces. length is -1 when it is unknown.
func (r *Reader) ReadUpTo(ctx context.Context, length, most int64) ([]byte, error) {
	if length >= 0 {
		most = min(most, length)
	}
	body := []byte(nil)
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			larger := min(most, max(firstBytes, 2*int64(cap(body))))
			if !r.Holder.Grow(ctx, larger) {
				return nil, ErrNoMemory
			}
			grown := make([]byte, len(body), larger)
			copy(grown, body)
			r.Holder.Shrink(int64(cap(body)))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && (length < 0 || int64(len(body)) == length) {
			return body, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
