package heldmemory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/heldmemory"
)

const kb = 1 << 10

// Guards against memory that grows with the number of unfinished bodies, and against
// callers that get none because bodies without progress hold all of it.
func TestBodiesWithoutProgressGiveWay(t *testing.T) {
	ctx := context.Background()
	inBubble := func(name string, test func()) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, test)
		})
	}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	inBubble("1,000 bodies that stop never hold more than the account", func() {
		a, gaveWay := heldmemory.NewAccount(1000*kb, clock), 0
		for range 1000 {
			h := a.NewHolder(func() { gaveWay++ })
			for _, size := range []int64{64 * kb, 128 * kb} {
				if h.Grow(ctx, size) {
					So(a.Usage().Used, ShouldBeLessThanOrEqualTo, 750*kb)
				}
			}
			h.Receiving(true)
		}
		So(gaveWay, ShouldBeGreaterThan, 900)
		Convey("and a short body always finds room", func() {
			short := a.NewHolder(nil)
			So(short.Grow(ctx, 16*kb), ShouldBeTrue)
		})
	})
	inBubble("the body whose progress is oldest gives way first, and one with progress does not", func() {
		a, ended := heldmemory.NewAccount(400*kb, clock), ""
		holder := func(name string) *heldmemory.Holder {
			h := a.NewHolder(func() { ended += name })
			So(h.Grow(ctx, 100*kb), ShouldBeTrue)
			h.Receiving(true)
			return h
		}
		first, second := holder("1"), holder("2")
		third := holder("3")
		for range 12 {
			time.Sleep(100 * time.Millisecond)
			for h, bytes := range map[*heldmemory.Holder]int{first: kb, third: 1} { // A byte is too slow to count.
				h.Received(bytes)
				h.Receiving(false)
				h.Receiving(true)
			}
		}
		So(a.NewHolder(nil).Grow(ctx, 100*kb), ShouldBeTrue)
		So(ended, ShouldEqual, "2")
		So(second.GaveWay(), ShouldBeTrue)
		second.Close()
		So(a.Usage().Used, ShouldEqual, 300*kb)
		So(a.NewHolder(nil).Grow(ctx, 100*kb), ShouldBeTrue)
		So(ended, ShouldEqual, "23")
	})
	inBubble("bodies that wait for each other are refused after a time", func() {
		a := heldmemory.NewAccount(400*kb, clock)
		x, y := a.NewHolder(nil), a.NewHolder(nil)
		So(x.Grow(ctx, 150*kb) && y.Grow(ctx, 150*kb), ShouldBeTrue)
		start := time.Now()
		So(x.Grow(ctx, 150*kb), ShouldBeFalse)
		So(time.Since(start), ShouldEqual, heldmemory.GrowTimeout)
		x.Close()
		x.Close()
		So(y.Grow(ctx, 150*kb), ShouldBeTrue)
	})
	inBubble("memory that is in use already has those that do not read give way, and not those that do", func() {
		a, ended := heldmemory.NewAccount(400*kb, clock), ""
		holder := func(name string) *heldmemory.Holder {
			h := a.NewHolder(func() { ended += name })
			h.Take(100 * kb)
			h.Receiving(true)
			return h
		}
		stalled, reading := holder("s"), holder("r")
		for range 4 {
			time.Sleep(50 * time.Millisecond)
			reading.Received(16 * kb)
		}
		late := a.NewHolder(func() { ended += "l" })
		late.Take(300 * kb)
		So(ended, ShouldEqual, "s")
		So(stalled.GaveWay(), ShouldBeTrue)
		So(a.Usage().Used, ShouldEqual, 400*kb)
		late.Take(100 * kb) // Nothing gives way: it is in use all the same.
		So(a.Usage().Used, ShouldEqual, 500*kb)
		So(stalled.Grow(ctx, kb), ShouldBeFalse)
		So(a.NewHolder(nil).TryGrow(kb), ShouldBeFalse)
		late.Close()
		So(a.NewHolder(nil).TryGrow(200*kb), ShouldBeTrue)
	})
	inBubble("a request for more than the account has nothing give way", func() {
		a := heldmemory.NewAccount(400*kb, clock)
		h := a.NewHolder(func() { t.Error("gave way") })
		So(h.Grow(ctx, 100*kb), ShouldBeTrue)
		h.Receiving(true)
		time.Sleep(time.Minute)
		So(a.NewHolder(nil).TryGrow(401*kb), ShouldBeFalse)
	})
	inBubble("a body that waits goes on once memory is returned, and not beyond its call", func() {
		a := heldmemory.NewAccount(400*kb, clock)
		x, y := a.NewHolder(nil), a.NewHolder(nil)
		So(x.Grow(ctx, 300*kb), ShouldBeTrue)
		time.AfterFunc(100*time.Millisecond, x.Close)
		start := time.Now()
		So(y.Grow(ctx, 300*kb), ShouldBeTrue)
		So(time.Since(start), ShouldEqual, 100*time.Millisecond)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		So(x.Grow(short, 300*kb), ShouldBeFalse)
		So(time.Since(start), ShouldEqual, 150*time.Millisecond)
	})
}
