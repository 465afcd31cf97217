package operator

import (
	"context"
	"net/http/httptrace"
)

// traceConnection sets connected as soon as the request has a connection,
// because the node may have received the request after that.
func traceConnection(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
}
