package hostnode

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stop signal that is dropped because reload signals arrived while the
// node started.
func TestStopSignalAfterManyReloadSignals(t *testing.T) {
	Convey("signals arrive before the node handles any", t, func() {
		stop, reload := notifySignals()
		defer signal.Stop(stop)
		defer signal.Stop(reload)
		delivered := make(chan os.Signal, 1)
		signal.Notify(delivered, syscall.SIGHUP, syscall.SIGTERM)
		defer signal.Stop(delivered)
		send := func(s syscall.Signal) {
			So(syscall.Kill(os.Getpid(), s), ShouldBeNil)
			<-delivered
		}
		for range 10 {
			send(syscall.SIGHUP)
		}
		send(syscall.SIGTERM)
		reloads := 0
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			awaitStop(stop, reload, func() { reloads++ })
		}()
		select {
		case <-stopped:
		case <-time.After(10 * time.Second):
			So("stop signal", ShouldEqual, "handled")
		}
		So(reloads, ShouldBeLessThanOrEqualTo, 1)
	})
}
