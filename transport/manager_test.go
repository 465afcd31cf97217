package transport

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// testManager is a Manager that listens on an in-memory network and records its
// callbacks.
type testManager struct {
	*Manager
	meter  *Meter
	server *http.Server

	mu       sync.Mutex
	received []Message
	up, down int
}

func newTestManager(n *faultnet.Network, host mesh.HostID, address string, change func(*Config)) *testManager {
	tm := &testManager{meter: &Meter{}}
	count := func(c *int) func() {
		return func() {
			tm.mu.Lock()
			defer tm.mu.Unlock()
			*c++
		}
	}
	up, down := count(&tm.up), count(&tm.down)
	c := Config{
		Self: host, Meter: tm.meter, Dial: n.Dialer(address),
		OnUp: func(*Link) { up() }, OnDown: func(*Link, error) { down() },
		OnMessage: func(_ *Link, m Message) {
			tm.mu.Lock()
			defer tm.mu.Unlock()
			tm.received = append(tm.received, m)
		},
	}
	if change != nil {
		change(&c)
	}
	tm.Manager = NewManager(c)
	listener, err := n.Listen(address)
	if err != nil {
		panic(err)
	}
	tm.server = &http.Server{Handler: tm.Manager}
	go func() { _ = tm.server.Serve(listener) }()
	return tm
}

func (tm *testManager) stop() {
	tm.Close()
	_ = tm.server.Close()
}

const (
	addressA = "10.0.0.1:1"
	addressB = "10.0.0.2:1"
)

func withPair(t *testing.T, name string, change func(*Config), check func(n *faultnet.Network, a, b *testManager)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			n := faultnet.New()
			a, b := newTestManager(n, "a", addressA, change), newTestManager(n, "b", addressB, change)
			t.Cleanup(func() { n.Heal(); a.stop(); b.stop() })
			check(n, a, b)
		})
	})
}

// TestLink guards against lost messages, wrong traffic counts, two links between
// the same hosts, unlimited handshakes and senders that block on a slow peer.
func TestLink(t *testing.T) {
	ctx := context.Background()
	withPair(t, "Messages pass both ways and both meters agree", nil, func(_ *faultnet.Network, a, b *testManager) {
		peer, err := a.Dial(ctx, addressB)
		So(err, ShouldBeNil)
		So(peer, ShouldEqual, mesh.HostID("b"))
		synctest.Wait()
		So(a.Link("b").Send(KindPing, map[int]int{1: 7}), ShouldBeNil)
		So(b.Link("a").Send(KindPong, make([]byte, 70_000)), ShouldBeNil)
		synctest.Wait()
		var body map[int]int
		So(b.received[0].Decode(&body), ShouldBeNil)
		So(body, ShouldResemble, map[int]int{1: 7})
		So(a.meter.Total().Out, ShouldResemble, b.meter.Total().In)
		So(a.meter.Total().In, ShouldResemble, b.meter.Total().Out)
		So(a.meter.Read()[KindPong].In.Bytes, ShouldEqual, 1+5+70_000+10)
	})
	withPair(t, "Simultaneous dials leave one link, the same on both sides", nil, func(n *faultnet.Network, a, b *testManager) {
		n.Delay(addressA, addressB, time.Millisecond)
		n.Delay(addressB, addressA, time.Millisecond)
		var wait sync.WaitGroup
		wait.Go(func() { _, _ = a.Dial(ctx, addressB) })
		wait.Go(func() { _, _ = b.Dial(ctx, addressA) })
		wait.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
		So(a.Link("b").Dialed(), ShouldBeTrue)
		So(b.Link("a").Dialed(), ShouldBeFalse)
		So([]int{a.up - a.down, b.up - b.down}, ShouldResemble, []int{1, 1})
	})
	withPair(t, "Dialing a host name, the own address or a closed manager fails", nil, func(_ *faultnet.Network, a, b *testManager) {
		_, err := a.Dial(ctx, "localhost:80")
		So(errors.Is(err, ErrAddress), ShouldBeTrue)
		_, err = a.Dial(ctx, addressA)
		So(err, ShouldNotBeNil)
		b.Close()
		_, err = a.Dial(ctx, addressB)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrBusy), ShouldBeFalse)
	})
	lowHandshakeLimit := func(c *Config) { c.HandshakesPerSecond = 2 }
	withPair(t, "Handshakes over the limit fail with ErrBusy", lowHandshakeLimit, func(n *faultnet.Network, a, b *testManager) {
		busy := 0
		for range 5 {
			if _, err := a.Dial(ctx, addressB); errors.Is(err, ErrBusy) {
				busy++
			}
		}
		So(busy, ShouldEqual, 3)
	})
	shortQueue := func(c *Config) { c.QueueLength = 4 }
	withPair(t, "A full queue drops messages without waiting, and a cut delays the queued ones until it heals", shortQueue, func(n *faultnet.Network, a, b *testManager) {
		_, err := a.Dial(ctx, addressB)
		So(err, ShouldBeNil)
		synctest.Wait()
		n.Cut(addressA, addressB)
		link, dropped := a.Link("b"), 0
		for range 10 {
			if errors.Is(link.Send(KindPing, 1), ErrQueueFull) {
				dropped++
			}
			synctest.Wait()
		}
		So(dropped, ShouldEqual, 5)
		So(b.received, ShouldBeEmpty)
		n.Heal()
		synctest.Wait()
		So(b.received, ShouldHaveLength, 5)
	})
}

// FuzzParseFrame guards against panics and against frames without a kind or a body.
func FuzzParseFrame(f *testing.F) {
	frame, _ := EncodeFrame(KindAnnounce, map[int]string{1: "x"})
	f.Add(frame)
	f.Add([]byte{})
	f.Add([]byte{0x18, 0xff, 0x9f})
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := ParseFrame(frame)
		if err != nil {
			return
		}
		if m.Kind == 0 || len(m.Body) == 0 {
			t.Fatalf("accepted kind %d with %d bytes", m.Kind, len(m.Body))
		}
		var body any
		_ = m.Decode(&body)
	})
}
