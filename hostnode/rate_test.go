package hostnode

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// busiestSpan returns the most calls that reached the endpoint within a span after a time.
func (h *fixtureHost) busiestSpan(after time.Time, span time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0
	for _, from := range h.arrivals {
		n := 0
		for _, at := range h.arrivals {
			if from.After(after) && !at.Before(from) && at.Before(from.Add(span)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against an endpoint that gets more calls of all hosts than the rate it names.
func TestEndpointGetsNoMoreCallsThanTheRateItNames(t *testing.T) {
	inBubble(t, "calls of two hosts to one endpoint", func(t *testing.T) {
		const perSecond = "6.5"
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
		a, b := f.addHost("host-a", "one"), f.addHost("host-b", "two")
		a.announce("one", "ready")
		waitFor(func() bool {
			return f.allHave(4) && len(b.node.directory.ByService("one")) == 1 && a.node.ready() && b.node.ready()
		})
		sendFor := func(d time.Duration) (statuses map[int]int) {
			statuses = map[int]int{}
			var mu sync.Mutex
			var calls sync.WaitGroup
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, h := range f.hosts {
					calls.Go(func() {
						status, _ := h.get(fmt.Sprint(h.name, time.Now().UnixNano()), "/one/")
						mu.Lock()
						defer mu.Unlock()
						statuses[status]++
					})
				}
			}
			calls.Wait()
			return statuses
		}
		rate := perSecond
		a.rate.Store(&rate)
		named := time.Now()
		statuses := sendFor(15 * time.Second)
		So(a.busiestSpan(named.Add(3*time.Second), 4*time.Second), ShouldBeLessThanOrEqualTo, int(1.5*4*6.5+5))
		So(statuses[200], ShouldBeGreaterThan, 90)
		So(statuses[200]+statuses[503], ShouldEqual, 1500)
		a.rate.Store(nil)
		ended := time.Now()
		sendFor(4 * time.Second)
		So(a.busiestSpan(ended.Add(time.Second), time.Second), ShouldBeGreaterThan, 90)
	})
}

// Guards against a restarted node that does not know the rate that its endpoint names.
func TestRateThatAnEndpointNamedOutlivesARestartOfItsNode(t *testing.T) {
	inBubble(t, "calls of another host while the node restarts", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one", "two"))
		a, b := f.addHost("host-a", "one"), f.addHost("host-b", "two")
		rate := "1.1"
		a.rate.Store(&rate)
		a.serviceTime = 150 * time.Millisecond
		isLinked := func() bool { return f.allHave(4) && b.node.ready() && len(b.node.directory.ByService("one")) == 1 }
		a.announce("one", "ready")
		waitFor(isLinked)
		var calls sync.WaitGroup
		ctx, stop := context.WithCancel(context.Background())
		calls.Go(func() {
			for sleep(ctx, 10*time.Millisecond) {
				calls.Go(func() { b.get(fmt.Sprint(time.Now().UnixNano()), "/one/") })
			}
		})
		named := time.Now()
		time.Sleep(8 * time.Second)
		for range 3 {
			a.kill()
			a.start()
			time.Sleep(500 * time.Millisecond)
			a.announce("one", "ready")
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
		stop()
		calls.Wait()
		So(isLinked(), ShouldBeTrue)
		So(a.busiestSpan(named.Add(3*time.Second), 4*time.Second), ShouldBeLessThanOrEqualTo, 11) // 1.5 * 4 * 1.1 + 5
	})
}
