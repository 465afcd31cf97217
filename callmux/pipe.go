package callmux

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrBodyBroken means that the other host could not send the whole body.
var ErrBodyBroken = errors.New("callmux: body ended early")

// ErrLinkLost means that the link to the other host ended.
var ErrLinkLost = errors.New("callmux: link lost")

// pipe is the receiving end of a body. Frames are added without waiting; the
// sender keeps to the credit it was given.
type pipe struct {
	mu     sync.Mutex
	cond   *sync.Cond
	parts  [][]byte
	err    error
	credit func(bytes int)
	// owed is what was consumed and not yet given back as credit.
	owed int
}

func newPipe(credit func(bytes int)) *pipe {
	p := &pipe{credit: credit}
	p.cond = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) add(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil && len(data) > 0 {
		p.parts = append(p.parts, data)
		p.cond.Signal()
	}
}

// finish ends the pipe after the parts in it: io.EOF when the body is complete.
func (p *pipe) finish(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
		p.cond.Broadcast()
	}
}

// Read returns the next bytes. It waits for the other host.
func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	for len(p.parts) == 0 && p.err == nil {
		p.cond.Wait()
	}
	if len(p.parts) == 0 {
		defer p.mu.Unlock()
		return 0, p.err
	}
	n := copy(b, p.parts[0])
	if p.parts[0] = p.parts[0][n:]; len(p.parts[0]) == 0 {
		p.parts = p.parts[1:]
	}
	p.owed += n
	give := 0
	if p.owed >= windowBytes/4 && p.err == nil {
		give, p.owed = p.owed, 0
	}
	p.mu.Unlock()
	if give > 0 {
		p.credit(give)
	}
	return n, nil
}

// flow is the sending end's credit.
type flow struct {
	mu     sync.Mutex
	cond   *sync.Cond
	credit int
	closed bool
}

func newFlow(credit int) *flow {
	f := &flow{credit: credit}
	f.cond = sync.NewCond(&f.mu)
	return f
}

func (f *flow) add(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.credit += bytes
	f.cond.Signal()
}

func (f *flow) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.cond.Broadcast()
}

// take waits for credit and returns how much may be sent, at most limit. It
// returns 0 when the flow is closed.
func (f *flow) take(limit int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.credit == 0 && !f.closed {
		f.cond.Wait()
	}
	if f.closed {
		return 0
	}
	n := min(limit, f.credit)
	f.credit -= n
	return n
}

// copyBody sends a body in chunks until it ends or the flow is closed.
func copyBody(r io.Reader, f *flow, send func(data []byte, end, broken bool) error) {
	for {
		n := f.take(chunkBytes)
		if n == 0 {
			return
		}
		chunk := make([]byte, n)
		got, err := io.ReadFull(r, chunk)
		f.add(n - got) // Credit that was taken and not used.
		end := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if sendErr := send(chunk[:got], end, err != nil && !end); sendErr != nil || err != nil {
			return
		}
	}
}
