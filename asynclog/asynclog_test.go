package asynclog_test

import (
	"bytes"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/asynclog"
)

// blockingWriter is a writer whose Write blocks until release is closed.
type blockingWriter struct {
	entered, release chan struct{}
	bytes.Buffer
}

func (s *blockingWriter) Write(b []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	return s.Buffer.Write(b)
}

// TestWriteNeverWaits guards against log calls that block while the output blocks,
// and against dropped lines that are not counted.
func TestWriteNeverWaits(t *testing.T) {
	Convey("while the output blocks, writes return and each line is written or counted as dropped", t, func() {
		out := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
		w := asynclog.New(out)
		write := func() {
			n, err := w.Write([]byte("line\n"))
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 5)
		}
		write()
		<-out.entered
		for range 2000 {
			write()
		}
		dropped := w.Dropped()
		So(dropped, ShouldBeGreaterThan, 0)
		close(out.release)
		w.Close()
		So(bytes.Count(out.Bytes(), []byte("line\n")), ShouldEqual, 2001-dropped)
	})
}

// TestLongLines guards against a queue that takes many times the memory of usual lines while
// the output blocks, and against one that stays full after that.
func TestLongLines(t *testing.T) {
	Convey("while the output blocks, lines of 16 KB are dropped beyond 1 MiB", t, func() {
		out := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
		w := asynclog.New(out)
		line := append(bytes.Repeat([]byte("x"), 16<<10-1), '\n')
		for range 400 {
			_, err := w.Write(line)
			So(err, ShouldBeNil)
		}
		So(w.Dropped(), ShouldEqual, 400-64)
		close(out.release)
		w.Close()
		So(out.Len(), ShouldEqual, 1<<20)
	})
}

// TestWriteAfterClose guards against a panic at the end of a process when one of
// its parts logs after the writer was closed.
func TestWriteAfterClose(t *testing.T) {
	Convey("writes during Close do not panic, and lines after it are dropped and counted", t, func() {
		var out bytes.Buffer
		w := asynclog.New(&out)
		var writers sync.WaitGroup
		for range 4 {
			writers.Add(1)
			go func() {
				defer writers.Done()
				for range 1000 {
					_, _ = w.Write([]byte("line\n")) // Write does not fail.
				}
			}()
		}
		w.Close()
		writers.Wait()
		before := w.Dropped()
		n, err := w.Write([]byte("late\n"))
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 5)
		So(w.Dropped(), ShouldEqual, before+1)
		So(out.String(), ShouldNotContainSubstring, "late")
	})
}
