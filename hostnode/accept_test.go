package hostnode

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// heldListener accepts no connection before it is released or closed.
type heldListener struct {
	*net.TCPListener
	once     sync.Once
	released chan struct{}
}

func (l *heldListener) release() { l.once.Do(func() { close(l.released) }) }

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Close implements net.Listener.
func (l *heldListener) Close() error {
	l.release()
	return l.TCPListener.Close()
}

// Guards against a request that is lost because the listener closes while its connection
// waits to be accepted.
func TestConnectionThatWaitsToBeAcceptedKeepsTheListenerOpen(t *testing.T) {
	Convey("a request arrives at a node that accepts no connection yet", t, func() {
		f := newFixture(t)
		defer f.close()
		var held []*heldListener
		f.openListener = func(network, address string) (net.Listener, error) {
			l, err := net.Listen(network, address)
			if err != nil {
				return nil, err
			}
			if len(f.hosts) == 0 { // The listener of the endpoint.
				return l, nil
			}
			held = append(held, &heldListener{TCPListener: l.(*net.TCPListener), released: make(chan struct{})})
			return held[len(held)-1], nil
		}
		h := f.addHost("a", "one")
		c, err := net.Dial("tcp", h.address["calls"])
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		So(h.request("1", "/one/").Write(c), ShouldBeNil)
		So(h.node.closeIfDrained(), ShouldBeFalse)
		for _, l := range held {
			l.release()
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Body.Close(), ShouldBeNil)
	})
}
