package proxy

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a network partition that blocks a call until its deadline: a
// replaced dialer must have the same timeout as the default one, so that the call
// can be retried at another host.
func TestReplacedDialerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A dialer that never connects is cancelled after dialTimeout", t, func() {
			var asked string
			e := NewEntry(EntryConfig{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
				asked = address
				<-ctx.Done()
				return nil, ctx.Err()
			}})
			defer e.Close()
			start := time.Now()
			_, err := e.pools.dial(context.Background(), "tcp", "10.0.0.1:1")
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			So(time.Since(start), ShouldEqual, dialTimeout)
			So(asked, ShouldEqual, "10.0.0.1:1")
		})
	})
}
