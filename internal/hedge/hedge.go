// Package hedge repeats calls that get no response. It is made for calls that may be
// executed more than once, over connections that may have gone silent without a reset.
package hedge

import (
	"context"
	"time"
)

const (
	// Delay is the time without a response after which a call is made once more. A slow
	// store usually responds sooner.
	Delay = 300 * time.Millisecond
	// MaxRepeats limits how often a call is made once more; each delay is twice the one
	// before.
	MaxRepeats = 2
)

// Attempt makes a call. The parameter n is 0 for the first attempt, and responding is to
// be called when a response begins.
type Attempt[T any] func(ctx context.Context, n int, responding func()) (T, error)

// result is the result of the attempt n.
type result[T any] struct {
	value T
	n     int
	err   error
}

// Do makes the attempts of a call until one has an answer, and cancels the others. It
// returns the answer with the number of its attempt, or the error of the last attempt when
// all that were made have failed.
func Do[T any](ctx context.Context, attempt Attempt[T]) (answer T, n int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done, responses := make(chan result[T], 1+MaxRepeats), make(chan struct{}, 1+MaxRepeats)
	made, pending := 0, 0
	start := func() {
		n := made
		made, pending = made+1, pending+1
		go func() {
			value, err := attempt(ctx, n, func() { responses <- struct{}{} })
			done <- result[T]{value, n, err}
		}()
	}
	start()
	repeat := time.NewTimer(Delay)
	defer repeat.Stop()
	for {
		select {
		case <-responses:
			repeat.Stop() // A long answer is not requested twice.
		case <-repeat.C:
			start()
			if repeats := made - 1; repeats < MaxRepeats {
				repeat.Reset(Delay << repeats)
			}
		case r := <-done:
			pending--
			if r.err == nil || pending == 0 {
				return r.value, r.n, r.err
			}
		}
	}
}
