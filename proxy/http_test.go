package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Guards against forwarding hop-by-hop, private and forged headers, in requests and
// responses.
func TestHeaders(t *testing.T) {
	Convey("Given an endpoint that records the headers it got", t, func() {
		var got http.Header
		m := newTestMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r.Header.Clone()
			w.Header().Set("X-Answer", "kept")
			w.Header().Set("X-Hop", "dropped")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set(mesh.HeaderReason, "forged")
		}))
		r := m.request(http.MethodGet, "/lookup", nil)
		r.Header.Set("X-Request", "kept")
		r.Header.Set("X-Private", "dropped")
		r.Header.Set("Connection", "X-Private")
		r.Header.Set(mesh.HeaderRank, "urgent")
		r.Header.Set(mesh.HeaderCustomer, "other")
		resp := m.do(r)
		So(got.Get("X-Request"), ShouldEqual, "kept")
		So(got["X-Private"], ShouldBeEmpty)
		So(got["Authorization"], ShouldBeEmpty)
		So(got.Get(mesh.HeaderRank), ShouldEqual, "standard")
		So(got.Get(mesh.HeaderCustomer), ShouldEqual, "acme")
		So(resp.header.Get("X-Answer"), ShouldEqual, "kept")
		So(resp.header["X-Hop"], ShouldBeEmpty)
		So(resp.outcomeAndReason(), ShouldEqual, "executed")
	})
}

// Guards against losing HEAD responses, trailers, 1xx responses and other less
// common parts of HTTP.
func TestHTTPSemantics(t *testing.T) {
	Convey("Given an endpoint that uses them", t, func() {
		m := newTestMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/lookup/early":
				w.Header().Set("Link", "</a>")
				w.WriteHeader(http.StatusEarlyHints)
				w.Header().Del("Link")
				_, _ = io.WriteString(w, "done")
			case "/lookup/redirect":
				http.Redirect(w, r, "/lookup/target", http.StatusFound)
			case "/lookup/empty":
				w.WriteHeader(http.StatusNoContent)
			case "/lookup/trailer", "/long/trailer":
				w.Header().Set("Trailer", "X-Sum")
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(body)
				w.Header().Set("X-Sum", fmt.Sprint(len(body), r.Trailer.Get("X-Sum")))
				w.Header().Set(http.TrailerPrefix+"X-Late", "yes")
			default:
				w.Header().Set("Content-Length", "5")
				_, _ = io.WriteString(w, "hello")
			}
		}))
		Convey("HEAD has the length and no body", func() {
			r := m.do(m.request(http.MethodHead, "/lookup", nil))
			So(r.err, ShouldBeNil)
			So(r.header.Get("Content-Length"), ShouldEqual, "5")
			So(r.body, ShouldBeEmpty)
		})
		Convey("204 and redirects are relayed", func() {
			So(m.get("/lookup/empty").status, ShouldEqual, http.StatusNoContent)
			resp, err := http.DefaultTransport.RoundTrip(m.request(http.MethodGet, "/lookup/redirect", nil))
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusFound)
			So(resp.Body.Close(), ShouldBeNil)
		})
		Convey("1xx responses arrive before the final one", func() {
			var code int
			r := m.request(http.MethodGet, "/lookup/early", nil)
			r = r.WithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
				Got1xxResponse: func(c int, h textproto.MIMEHeader) error {
					code = c
					return nil
				},
			}))
			resp := m.do(r)
			So(code, ShouldEqual, http.StatusEarlyHints)
			So(resp.body, ShouldEqual, "done")
			So(resp.header["Link"], ShouldBeEmpty)
		})
		Convey("trailers are relayed in both directions", func() {
			r := m.request(http.MethodPost, "/long/trailer", io.MultiReader(strings.NewReader("12345")))
			r.Trailer = http.Header{"X-Sum": {"abc"}}
			resp := m.do(r)
			So(resp.err, ShouldBeNil)
			So(resp.trailer.Get("X-Sum"), ShouldEqual, "5abc")
			So(resp.trailer.Get("X-Late"), ShouldEqual, "yes")
		})
		Convey("HTTP/1.0 is rejected, because a truncated response would look complete", func() {
			conn, err := net.Dial("tcp", m.entryServer.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET /lookup HTTP/1.0\r\nAuthorization: Bearer "+testToken+"\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusHTTPVersionNotSupported)
		})
	})
}

// Guards against bodies that are delayed or altered: large ones, and those sent in
// both directions at the same time.
func TestStreaming(t *testing.T) {
	Convey("Given an endpoint that echoes its request body", t, func() {
		m := newTestMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			flusher := http.NewResponseController(w)
			_ = flusher.EnableFullDuplex()
			buf := make([]byte, 32<<10)
			for {
				n, err := r.Body.Read(buf)
				_, _ = w.Write(buf[:n])
				_ = flusher.Flush()
				if err != nil {
					return
				}
			}
		}))
		Convey("a large body comes back whole", func() {
			body := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
			r := m.do(m.request(http.MethodPost, "/long", bytes.NewReader(body)))
			So(r.err, ShouldBeNil)
			So(len(r.body), ShouldEqual, len(body))
			So(r.body == string(body), ShouldBeTrue)
		})
		Convey("parts of the response arrive while the upload continues", func() {
			read, write := io.Pipe()
			r := m.request(http.MethodPost, "/long", read)
			go func() { _, _ = io.WriteString(write, "first") }()
			resp, err := http.DefaultTransport.RoundTrip(r)
			So(err, ShouldBeNil)
			buf := make([]byte, 5)
			_, err = io.ReadFull(resp.Body, buf)
			So(err, ShouldBeNil)
			So(string(buf), ShouldEqual, "first")
			_, _ = io.WriteString(write, "second")
			_ = write.Close()
			rest, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(string(rest), ShouldEqual, "second")
		})
	})
}

// Guards against a drain that interrupts calls in flight, slow uploads in
// particular (I8), and against one that accepts new calls (I7).
func TestDrain(t *testing.T) {
	Convey("Given a slow upload in flight", t, func() {
		entered := make(chan struct{}, 1)
		m := newTestMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			echo(w, r)
		}))
		read, write := io.Pipe()
		result := make(chan reply, 1)
		go func() { result <- m.do(m.request(http.MethodPost, "/long", read)) }()
		_, _ = io.WriteString(write, "slow ")
		<-entered
		h := m.hosts[0]
		Convey("a drain of the endpoint, the gate and the entry waits for it", func() {
			So(h.registry.Drain("e"), ShouldBeNil)
			So(m.get("/lookup").outcomeAndReason(), ShouldEqual, "not_executed draining")
			h.gate.Drain()
			m.entry.Drain()
			So(m.get("/lookup").outcomeAndReason(), ShouldEqual, "not_executed draining")
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			So(h.gate.WaitIdle(ended), ShouldNotBeNil)
			So(m.entry.WaitIdle(ended), ShouldNotBeNil)

			_, _ = io.WriteString(write, "upload")
			_ = write.Close()
			So((<-result).body, ShouldContainSubstring, `"slow upload"`)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			So(h.gate.WaitIdle(ctx), ShouldBeNil)
			So(m.entry.WaitIdle(ctx), ShouldBeNil)
			So(h.registry.WaitIdle(ctx), ShouldBeNil)
		})
		Convey("an upload that ends early never looks complete to the endpoint", func() {
			_ = write.CloseWithError(io.ErrClosedPipe)
			So((<-result).err, ShouldNotBeNil)
		})
	})
}
