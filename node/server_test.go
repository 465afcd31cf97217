package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/transport/faultnet"
)

// Guards against a graceful shutdown that fails although no request is in flight,
// because a caller opened a connection that it has not used yet, and against one
// that succeeds although a request is in flight.
func TestServerStop(t *testing.T) {
	stopAfter := func(request string) (err error) {
		synctest.Test(t, func(t *testing.T) {
			network := faultnet.New()
			listener, _ := network.Listen("10.0.0.1:1")
			blocked := make(chan struct{})
			s := newServer(&components{logger: hclog.NewNullLogger()}, "entry", listener,
				http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-blocked }))
			s.start()
			var conn net.Conn
			conn, err = network.Dialer("10.0.0.2:1")(context.Background(), "tcp", "10.0.0.1:1")
			if err != nil {
				return
			}
			if request != "" {
				_, err = conn.Write([]byte(request))
			}
			time.Sleep(time.Second)
			err = errors.CombineErrors(err, s.stop(context.Background()))
			close(blocked)
			_ = conn.Close()
		})
		return err
	}
	Convey("An unused connection does not make the shutdown fail", t, func() {
		So(stopAfter(""), ShouldBeNil)
	})
	Convey("A request in flight makes the shutdown fail", t, func() {
		err := stopAfter("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
	})
}
