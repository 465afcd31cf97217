// Package asynclog writes log lines without blocking the code that logs. Lines
// wait in a bounded queue; when it is full, further lines are dropped and counted.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that may wait: two seconds of lines at the
// node's limit on log lines.
const maxQueuedLines = 512

// maxQueuedBytes is the length of those lines together. A usual line has 300 bytes, but the ID
// of a request is as long as its client makes it.
const maxQueuedBytes = 1 << 20

// Writer queues lines and writes them to another writer in the background. It is
// safe for concurrent use.
type Writer struct {
	out   io.Writer
	queue chan []byte
	// queued is the length of the lines in the queue.
	queued    atomic.Int64
	dropped   atomic.Int64
	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
}

// New returns a Writer that writes to out. Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails. After Close it drops and
// counts the line, because parts of a program that is stopping may still log.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	if w.queued.Add(int64(len(line))) > maxQueuedBytes {
		w.queued.Add(-int64(len(line)))
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.queued.Add(-int64(len(line)))
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full
// or the writer closed, plus one for each failed write to the output.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeBatch(line)
		case <-w.closing:
			if len(w.queue) == 0 {
				return
			}
			w.writeBatch(<-w.queue)
		}
	}
}

// writeBatch writes a line and the lines queued behind it in one write.
func (w *Writer) writeBatch(line []byte) {
	batch := append([]byte(nil), line...)
	for more := true; more; {
		select {
		case next := <-w.queue:
			batch = append(batch, next...)
		default:
			more = false
		}
	}
	if _, err := w.out.Write(batch); err != nil {
		w.dropped.Add(1)
	}
	w.queued.Add(-int64(len(batch)))
}

// Close writes the queued lines and ends the writer.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
}
