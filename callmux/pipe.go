package callmux

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrBodyIncomplete means that a body is incomplete: the other host could not send
// all of it, or the call ended before.
var ErrBodyIncomplete = errors.New("callmux: body incomplete")

// ErrLinkLost means that the link to the other host closed.
var ErrLinkLost = errors.New("callmux: link lost")

// pipe is the receiving end of a body. Adding a chunk never blocks; the credit given
// to the sender bounds the buffered bytes.
type pipe struct {
	mu         sync.Mutex
	cond       *sync.Cond
	chunks     [][]byte
	err        error
	sendCredit func(bytes int)
	// uncredited is the number of bytes read and not yet returned as credit.
	uncredited int
}

func newPipe(sendCredit func(bytes int)) *pipe {
	p := &pipe{sendCredit: sendCredit}
	p.cond = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) add(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil && len(data) > 0 {
		p.chunks = append(p.chunks, data)
		p.cond.Signal()
	}
}

// closeWithError ends the body after the buffered chunks, with io.EOF if it is
// complete.
func (p *pipe) closeWithError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
		p.cond.Broadcast()
	}
}

// Read returns the next bytes. It blocks until the other host has sent some.
func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	for len(p.chunks) == 0 && p.err == nil {
		p.cond.Wait()
	}
	if len(p.chunks) == 0 {
		defer p.mu.Unlock()
		return 0, p.err
	}
	n := copy(b, p.chunks[0])
	if p.chunks[0] = p.chunks[0][n:]; len(p.chunks[0]) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.uncredited += n
	credit := 0
	if p.uncredited >= windowBytes/4 && p.err == nil {
		credit, p.uncredited = p.uncredited, 0
	}
	p.mu.Unlock()
	if credit > 0 {
		p.sendCredit(credit)
	}
	return n, nil
}

// sendWindow is the credit of the sending end of a body.
type sendWindow struct {
	mu     sync.Mutex
	cond   *sync.Cond
	credit int
	closed bool
}

func newSendWindow(credit int) *sendWindow {
	w := &sendWindow{credit: credit}
	w.cond = sync.NewCond(&w.mu)
	return w
}

func (w *sendWindow) add(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.credit += bytes
	w.cond.Signal()
}

func (w *sendWindow) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.cond.Broadcast()
}

// reserve waits for credit and takes up to limit bytes of it. It returns the number of
// bytes that may be sent, 0 when the window is closed.
func (w *sendWindow) reserve(limit int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.credit == 0 && !w.closed {
		w.cond.Wait()
	}
	if w.closed {
		return 0
	}
	n := min(limit, w.credit)
	w.credit -= n
	return n
}

// copyBody sends a body in chunks of up to limit bytes until it ends or the window is
// closed.
func copyBody(r io.Reader, window *sendWindow, limit int, send func(data []byte, end, broken bool) error) {
	for {
		n := window.reserve(limit)
		if n == 0 {
			return
		}
		chunk := make([]byte, n)
		got, err := readChunk(r, chunk)
		window.add(n - got) // Returns the unused credit.
		end := errors.Is(err, io.EOF)
		if sendErr := send(chunk[:got], end, err != nil && !end); sendErr != nil || err != nil {
			return
		}
	}
}

// readChunk fills the chunk. Unlike io.ReadFull, it returns io.EOF after a part of it, so
// that io.ErrUnexpectedEOF always is the error of a body that was truncated.
func readChunk(r io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		got, err := r.Read(chunk[n:])
		n += got
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
