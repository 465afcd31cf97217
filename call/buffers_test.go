package call_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/call"
)

// body is a streamed body that ends with err, or blocks until Close where err is nil.
type body struct {
	io.Reader
	err    error
	once   sync.Once
	closed chan struct{}
}

func newBody(text string, err error) *body {
	return &body{Reader: strings.NewReader(text), err: err, closed: make(chan struct{})}
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.err == nil {
		<-b.closed
		return n, errors.New("closed")
	}
	return n, b.err
}

func (b *body) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

func (b *body) isClosed() bool {
	select {
	case <-b.closed:
		return true
	default:
		return false
	}
}

// Guards against incomplete responses that count as complete, and against memory that
// grows with the number of long responses or is not returned.
func TestLongResponsesAreReadWithinABound(t *testing.T) {
	ctx := context.Background()
	response := func(b *body, bytes int64) *call.Response {
		return &call.Response{Status: 200, BodyBytes: bytes, Stream: b}
	}
	Convey("a response that fits is read as a whole", t, func() {
		b := call.NewBuffers(10)
		r := response(newBody("12345678", io.EOF), 8)
		So(b.ReadWhole(ctx, r), ShouldBeNil)
		So(string(r.Body), ShouldEqual, "12345678")
		So(r.Stream, ShouldBeNil)
		So(b.Used(), ShouldEqual, 8)
		Convey("and the next one is streamed until the memory is free", func() {
			next := response(newBody("abc", io.EOF), 3)
			So(b.ReadWhole(ctx, next), ShouldBeNil)
			So(next.Stream, ShouldNotBeNil)
			So(b.Used(), ShouldEqual, 8)
			r.Close()
			r.Close()
			So(b.Used(), ShouldEqual, 0)
			So(b.ReadWhole(ctx, next), ShouldBeNil)
			So(string(next.Body), ShouldEqual, "abc")
		})
	})
	Convey("a response of unknown length, or of more than the bound of one, is streamed", t, func() {
		b := call.NewBuffers(1 << 30)
		for _, length := range []int64{-1, 64 << 20} {
			r := response(newBody("x", io.EOF), length)
			So(b.ReadWhole(ctx, r), ShouldBeNil)
			So(r.Stream, ShouldNotBeNil)
		}
		So(b.Used(), ShouldEqual, 0)
	})
	for name, c := range map[string]struct {
		text string
		err  error
	}{
		"ends early":                 {"1234", io.EOF},
		"breaks off":                 {"1234", io.ErrUnexpectedEOF},
		"breaks off at its end":      {"12345678", io.ErrUnexpectedEOF},
		"is longer than it says":     {"123456789", io.EOF},
		"has an end of another sort": {"12345678", errors.New("reset")},
	} {
		Convey("a response that "+name+" is an error and takes no memory", t, func() {
			b, stream := call.NewBuffers(100), newBody(c.text, c.err)
			So(b.ReadWhole(ctx, response(stream, 8)), ShouldNotBeNil)
			So(stream.isClosed(), ShouldBeTrue)
			So(b.Used(), ShouldEqual, 0)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("a response that does not end is given up with the call", t, func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			b := call.NewBuffers(100)
			began := time.Now()
			So(b.ReadWhole(ctx, response(newBody("1234", nil), 8)), ShouldNotBeNil)
			So(time.Since(began), ShouldEqual, time.Second)
			So(b.Used(), ShouldEqual, 0)
		})
	})
	Convey("memory stays below the bound with many responses at a time", t, func() {
		const limit, length, responses = 1 << 20, 100 << 10, 200
		b := call.NewBuffers(limit)
		var wait sync.WaitGroup
		over := make(chan int64, responses)
		for range responses {
			wait.Go(func() {
				r := response(newBody(string(bytes.Repeat([]byte("x"), length)), io.EOF), length)
				if err := b.ReadWhole(ctx, r); err == nil && r.Stream == nil {
					over <- b.Used()
					r.Close()
				}
			})
		}
		wait.Wait()
		close(over)
		for used := range over {
			So(used, ShouldBeLessThanOrEqualTo, limit)
		}
		So(b.Used(), ShouldEqual, 0)
	})
}

// Guards against a response of unknown length that loses bytes, counts as complete though it
// broke off, or takes more than its bound.
func TestResponsesOfUnknownLength(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		length, limit int
		whole         bool
	}{
		"an empty one":          {0, 1 << 20, true},
		"one that fits":         {100_000, 1 << 20, true},
		"one over the buffers":  {200_000, 128 << 10, false},
		"one over the bound":    {1<<20 + 1, 4 << 20, false},
		"one without any room":  {100_000, 1000, false},
		"one of the bound less": {1<<20 - 1, 4 << 20, true},
	} {
		Convey(name, t, func() {
			b, content := call.NewBuffers(int64(c.limit)), bytes.Repeat([]byte("0123456789"), c.length/10+1)[:c.length]
			r := &call.Response{Status: 200, BodyBytes: -1, Stream: newBody(string(content), io.EOF)}
			So(b.ReadUnknown(ctx, r), ShouldBeNil)
			So(r.Stream == nil, ShouldEqual, c.whole)
			So(b.Used(), ShouldBeLessThanOrEqualTo, c.limit)
			got := r.Body
			if r.Stream != nil {
				var err error
				got, err = io.ReadAll(r.Stream)
				So(err, ShouldBeNil)
				So(r.BodyBytes, ShouldEqual, -1)
			} else {
				So(r.BodyBytes, ShouldEqual, c.length)
			}
			So(bytes.Equal(got, content), ShouldBeTrue)
			r.Close()
			So(b.Used(), ShouldEqual, 0)
		})
	}
	Convey("one that breaks off is an error and takes no memory", t, func() {
		b, stream := call.NewBuffers(1<<20), newBody("1234", io.ErrUnexpectedEOF)
		So(b.ReadUnknown(ctx, &call.Response{Status: 200, BodyBytes: -1, Stream: stream}), ShouldNotBeNil)
		So(stream.isClosed(), ShouldBeTrue)
		So(b.Used(), ShouldEqual, 0)
	})
}
