package httpstore

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/kvstore"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/kvstore/standin"
)

func serve(t *testing.T, handler http.Handler) *Store {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	store, err := Open(server.Listener.Addr().String())
	So(err, ShouldBeNil)
	t.Cleanup(store.Close)
	return store
}

func write(store *Store, value []byte) error {
	_, err := store.CompareAndSwap(context.Background(), "k", value, 0)
	return err
}

// TestWriteIsSentOnce guards against the HTTP transport replaying a write whose
// reused connection broke, which could apply it twice.
func TestWriteIsSentOnce(t *testing.T) {
	Convey("Given a server that breaks every write on a reused connection", t, func() {
		var writes, connections atomic.Int32
		backing := standin.New(memory.New(), nil)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				writes.Add(1)
				panic(http.ErrAbortHandler)
			}
			backing.ServeHTTP(w, r)
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		store, err := Open(server.Listener.Addr().String())
		So(err, ShouldBeNil)
		for i, call := range []func() error{
			func() error { return write(store, []byte("1")) },
			func() error { return write(store, []byte{}) },
			func() error { return write(store, nil) },
			func() error { return store.RenewLease(context.Background(), kvstore.Lease{Name: "l"}) },
		} {
			_, err := store.Get(context.Background(), "k")
			So(errors.Is(err, kvstore.ErrNotFound), ShouldBeTrue)
			err = call()
			So(errors.Is(err, kvstore.ErrUnknown), ShouldBeTrue)
			So(errors.Is(err, kvstore.ErrUnavailable), ShouldBeFalse)
			So(writes.Load(), ShouldEqual, i+1)
			So(connections.Load(), ShouldEqual, i+1)
		}
	})
}

// TestUnreachable guards against reporting a write as unknown when no
// connection existed, and against host names in addresses.
func TestUnreachable(t *testing.T) {
	Convey("A write without a connection has certainly not taken effect", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		store, err := Open(address)
		So(err, ShouldBeNil)
		err = write(store, []byte("1"))
		So(errors.Is(err, kvstore.ErrUnavailable), ShouldBeTrue)
		So(errors.Is(err, kvstore.ErrUnknown), ShouldBeFalse)
	})
	Convey("Addresses are an IP address and a port", t, func() {
		for _, address := range []string{"localhost:80", "127.0.0.1", "127.0.0.1:0", "http://127.0.0.1:80", ""} {
			_, err := Open(address)
			So(errors.Is(err, ErrAddress), ShouldBeTrue)
		}
		_, err := Open("[::1]:80")
		So(err, ShouldBeNil)
	})
}

// TestResponsesOfOtherServers guards against accepting the response of a wrong server or
// of an intermediary as the store's, such as a 404 as a key that is not found.
func TestResponsesOfOtherServers(t *testing.T) {
	Convey("Given servers that are not the store", t, func() {
		for _, status := range []int{200, 204, 302, 404, 409, 500, 503} {
			var requests atomic.Int32
			store := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(status)
			}))
			So(errors.Is(write(store, []byte("1")), kvstore.ErrUnknown), ShouldBeTrue)
			_, err := store.Get(context.Background(), "k")
			So(errors.Is(err, kvstore.ErrUnavailable), ShouldBeTrue)
			_, err = store.List(context.Background(), "k", 1)
			So(errors.Is(err, kvstore.ErrUnavailable), ShouldBeTrue)
			So(requests.Load(), ShouldEqual, 3)
		}
	})
	Convey("A truncated value is not returned", t, func() {
		store := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Store-Result", "ok")
			w.Header().Set("Store-Revision", "1")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("12345"))
		}))
		_, err := store.Get(context.Background(), "k")
		So(errors.Is(err, kvstore.ErrUnavailable), ShouldBeTrue)
	})
}
