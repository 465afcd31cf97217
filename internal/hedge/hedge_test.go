package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/internal/hedge"
)

var errFailed = errors.New("failed")

// behaviour is what an attempt does: a response begins after a time, and the answer or an
// error follows after another one. A negative time means never.
type behaviour struct {
	responds, ends time.Duration
	err            error
}

const never = time.Duration(-1)

// Guards against calls that are repeated without need, too often, or not at all.
func TestCallsAreRepeatedWhenNoResponseBegins(t *testing.T) {
	const ms = time.Millisecond
	silent := behaviour{never, never, nil}
	for _, c := range []struct {
		name     string
		attempts []behaviour
		answered int
		made     int
		took     time.Duration
		err      error
	}{
		{"an answer in time", []behaviour{{10 * ms, 10 * ms, nil}}, 0, 1, 10 * ms, nil},
		{"a long answer", []behaviour{{250 * ms, 900 * ms, nil}}, 0, 1, 900 * ms, nil},
		{"an error at once", []behaviour{{never, 10 * ms, errFailed}}, 0, 1, 10 * ms, errFailed},
		{"no response to the first", []behaviour{silent, {5 * ms, 5 * ms, nil}}, 1, 2, 305 * ms, nil},
		{"no response to the first two", []behaviour{silent, silent, {5 * ms, 5 * ms, nil}}, 2, 3, 905 * ms, nil},
		{"the first is late but sooner", []behaviour{{400 * ms, 400 * ms, nil}, silent}, 0, 2, 400 * ms, nil},
		{"the second fails", []behaviour{{700 * ms, 700 * ms, nil}, {never, 5 * ms, errFailed}}, 0, 2, 700 * ms, nil},
		{"no response at all", []behaviour{silent, silent, silent}, 2, 3, 3 * time.Second, context.DeadlineExceeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				began, made := time.Now(), new(atomic.Int64)
				wait := func(ctx context.Context, d time.Duration) error {
					if d == never {
						<-ctx.Done()
						return ctx.Err()
					}
					select {
					case <-time.After(d):
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				}
				answer, n, err := hedge.Do(ctx, func(ctx context.Context, n int, responding func()) (int, error) {
					made.Add(1)
					b := c.attempts[n]
					if b.responds != never {
						if err := wait(ctx, b.responds); err != nil {
							return 0, err
						}
						responding()
					}
					if err := wait(ctx, b.ends-max(0, b.responds)); err != nil {
						return 0, err
					}
					return n, b.err
				})
				So(errors.Is(err, c.err), ShouldBeTrue)
				if err == nil {
					So(n, ShouldEqual, c.answered)
					So(answer, ShouldEqual, c.answered)
				}
				So(made.Load(), ShouldEqual, c.made)
				So(time.Since(began), ShouldEqual, c.took)
			})
		})
	}
}
