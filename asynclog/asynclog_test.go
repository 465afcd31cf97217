package asynclog_test

import (
	"bytes"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/asynclog"
)

// stuck is a writer that does not return until it is released.
type stuck struct {
	entered, release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	return s.Buffer.Write(b)
}

// Guards against a call that waits for standard output, and against dropped
// lines that nobody counts.
func TestWriteNeverWaits(t *testing.T) {
	Convey("standard output does not take anything", t, func() {
		out := &stuck{entered: make(chan struct{}, 1), release: make(chan struct{})}
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

// Guards against a process that dies at its end, when one part logs after the
// writer was closed.
func TestWriteAfterClose(t *testing.T) {
	Convey("parts that log while the writer is closed", t, func() {
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
