package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
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

// newExchange returns an exchange whose 1xx responses are forwarded to w, and its
// request, which the caller fills in.
func newExchange(ctx context.Context, w http.ResponseWriter) (*exchange, *http.Request) {
	x := &exchange{}
	x.interim.w = w
	x.trace.GotConn, x.trace.Got1xxResponse = x.conn.gotConn, x.interim.forward
	return x, requestTemplate.WithContext(httptrace.WithClientTrace(ctx, &x.trace))
}

// send sends the request and waits for the header of the response.
func (x *exchange) send(p *pools, out *http.Request) {
	defer x.interim.close()
	x.resp, x.err = p.get(out.URL.Host).RoundTrip(out)
}
