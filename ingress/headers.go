package ingress

import (
	"net/http"
	"strings"
)

// connectionHeaders are hop-by-hop headers (RFC 9110, section 7.6.1).
var connectionHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeConnectionHeaders removes the headers that must not be forwarded.
func removeConnectionHeaders(h http.Header) {
	for _, named := range h["Connection"] {
		for _, name := range strings.Split(named, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
