// Package asynclog writes log lines without holding up the writer. Lines wait in
// a bounded queue; when it is full they are dropped and counted.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the number of lines that may wait: two seconds of lines at the
// rate that the node keeps to.
const queueLines = 512

// Writer passes lines on to another writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// New returns a writer that passes lines on to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never waits and never fails. After Close lines are
// dropped and counted: parts of a program that ends may still log.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the queue full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.closing:
			if len(w.lines) == 0 {
				return
			}
			w.pass(<-w.lines)
		}
	}
}

// pass writes a line and those that wait behind it.
func (w *Writer) pass(line []byte) {
	batch := append([]byte(nil), line...)
	for more := true; more; {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
		default:
			more = false
		}
	}
	if _, err := w.out.Write(batch); err != nil {
		w.dropped.Add(1)
	}
}

// Close writes the lines that wait.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.done
}
