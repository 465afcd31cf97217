package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// TestShutdown guards against queued frames that are lost when a host stops, and against
// a host that does not stop because a peer does not read.
func TestShutdown(t *testing.T) {
	ctx := context.Background()
	withPair(t, "All frames in the queue of a slow link arrive", nil, func(n *faultnet.Network, a, b *testManager) {
		_, err := a.Dial(ctx, addressB)
		So(err, ShouldBeNil)
		synctest.Wait()
		n.Delay(addressA, addressB, 10*time.Millisecond)
		const frames = 20
		for range frames {
			So(a.Link("b").Send(KindPing, 1), ShouldBeNil)
		}
		a.Shutdown(ctx)
		So(a.Links(), ShouldBeEmpty)
		synctest.Wait()
		So(b.received, ShouldHaveLength, frames)
		_, err = b.Dial(ctx, addressA)
		So(err, ShouldNotBeNil)
	})
	withPair(t, "A peer that is cut off delays it only until the context ends", nil, func(n *faultnet.Network, a, _ *testManager) {
		_, err := a.Dial(ctx, addressB)
		So(err, ShouldBeNil)
		synctest.Wait()
		n.CutBoth(addressA, addressB)
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		a.Shutdown(ctx)
		So(time.Since(began), ShouldEqual, 100*time.Millisecond)
	})
}

// Guards against a reset that discards the frames that a peer has not read yet, because
// it has sent frames that the stopping host has not read.
func TestShutdownDoesNotResetTheConnection(t *testing.T) {
	Convey("two hosts on loopback send frames to each other when one of them stops", t, func() {
		var received atomic.Int64
		up, down := make(chan *Link, 1), make(chan struct{})
		b := NewManager(Config{
			Self: "b", OnUp: func(l *Link) { up <- l },
			OnMessage: func(*Link, Message) { received.Add(1) },
			OnDown:    func(*Link, error) { close(down) },
		})
		defer b.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := &http.Server{Handler: b}
		defer func() { _ = server.Close() }()
		go func() { _ = server.Serve(l) }() // Ends with the server.
		const frames = 200
		a := NewManager(Config{
			Self: "a", QueueLength: frames, OnUp: func(*Link) {}, OnMessage: func(*Link, Message) {}, OnDown: func(*Link, error) {},
		})
		defer a.Close()
		_, err = a.Dial(context.Background(), l.Addr().String())
		So(err, ShouldBeNil)
		frame, err := EncodeFrame(KindPing, make([]byte, 50_000))
		So(err, ShouldBeNil)
		go func(l *Link) {
			for l.SendWait(KindPing, frame, nil) == nil {
			}
		}(<-up)
		for range frames {
			So(a.Link("b").SendWait(KindPing, frame, nil), ShouldBeNil)
		}
		a.Shutdown(context.Background())
		<-down
		So(received.Load(), ShouldEqual, frames)
	})
}
