package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/internal/fieldname"
)

// exchange is one request and its response on one connection.
type exchange struct {
	conn    connTracker
	interim interimForwarder
	trace   httptrace.ClientTrace
	resp    *http.Response
	err     error
}

// requestTemplate is copied for the request of every exchange.
var requestTemplate = http.Request{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}

// newExchange returns an exchange whose 1xx responses are forwarded to w, or skipped if w is
// nil, and its request, which the caller fills in.
func newExchange(ctx context.Context, w http.ResponseWriter) (*exchange, *http.Request) {
	x := &exchange{}
	x.interim.w, x.interim.closed = w, w == nil
	x.trace.GotConn, x.trace.Got1xxResponse = x.conn.gotConn, x.interim.forward
	return x, requestTemplate.WithContext(httptrace.WithClientTrace(ctx, &x.trace))
}

// send sends the request and waits for the header of the response.
func (x *exchange) send(p *pools, out *http.Request) {
	defer x.interim.close()
	x.resp, x.err = p.get(out.URL.Host).RoundTrip(out)
	x.checkFields()
}

// checkFields ends the exchange if the head of the response is malformed, and has its body
// return an error in place of its end if the trailer is. The connection carries no further
// call then.
func (x *exchange) checkFields() {
	if x.err != nil {
		return
	}
	if err := fieldname.CheckResponse(x.resp); err != nil {
		x.conn.discard()
		_ = x.resp.Body.Close() // Its connection is closed.
		x.resp, x.err = nil, err
		return
	}
	if len(x.resp.TransferEncoding) > 0 {
		x.resp.Body = &trailedBody{ReadCloser: x.resp.Body, exchange: x}
	}
}

// trailedBody is a chunked body, whose trailer is known at its end.
type trailedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read returns the next bytes, or an error in place of io.EOF if the trailer is malformed.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := fieldname.Check(b.exchange.resp.Trailer); invalid != nil {
			b.exchange.conn.discard()
			err = invalid
		}
	}
	return n, err
}
