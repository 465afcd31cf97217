package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// Guards against two hosts that keep different links when their dials cross, or none, also
// if one of them closes replaced links at once, as earlier versions of the program do.
func TestCrossedDialsLeaveOneLink(t *testing.T) {
	isIdle := func(c *Config) { c.IsIdle = func(*Link) bool { return true } }
	versions := map[string]func(*Config){"former": nil, "current": isIdle}
	delays := map[string][2]time.Duration{"both at once": {}, "a first": {0, time.Millisecond}, "b first": {time.Millisecond, 0}, "b's link is up": {time.Second, 0}, "a's link is up": {0, time.Second}}
	for lower, changeA := range versions {
		for higher, changeB := range versions {
			for order, delay := range delays {
				synctest.Test(t, func(t *testing.T) {
					Convey(lower+" and "+higher+" version: "+order, t, func() {
						n := faultnet.New()
						n.Delay("10.0.0.1:1", "10.0.0.2:1", 10*time.Millisecond)
						n.Delay("10.0.0.2:1", "10.0.0.1:1", 10*time.Millisecond)
						a, b := newTestManager(n, "a", "10.0.0.1:1", changeA), newTestManager(n, "b", "10.0.0.2:1", changeB)
						defer func() { _, _ = a.server.Close(), b.server.Close() }()
						defer b.Close()
						defer a.Close()
						errs := make(chan error, 2)
						dial := func(from *testManager, address string, delay time.Duration) {
							time.Sleep(delay)
							_, err := from.Dial(context.Background(), address)
							errs <- err
						}
						go dial(a, "10.0.0.2:1", delay[0])
						go dial(b, "10.0.0.1:1", delay[1])
						So(<-errs, ShouldBeNil)
						So(<-errs, ShouldBeNil)
						time.Sleep(10 * time.Second) // Longer than a replaced link stays open.
						for _, side := range []struct {
							m    *testManager
							peer mesh.HostID
						}{{a, "b"}, {b, "a"}} {
							So(side.m.OpenLinks(), ShouldHaveLength, 1)
							So(side.m.Link(side.peer).Dialed(), ShouldEqual, side.m == a)
						}
					})
				})
			}
		}
	}
}
