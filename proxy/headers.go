package proxy

import (
	"net/http"
	"strings"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// hopHeaders are never forwarded. They belong to one connection (RFC 9110, section
// 7.6.1), and each hop handles Expect itself.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// addedHeaders is the capacity reserved for the headers that an entry sets for a
// gate, and a gate for an endpoint.
const addedHeaders = 12

// callerHeaders returns a copy of the headers that a caller may pass to an
// endpoint. The bearer token is for the node only; the endpoint gets the customer
// ID instead.
func callerHeaders(in http.Header) http.Header {
	out := endToEndHeaders(in)
	delete(out, "Authorization")
	if issued, ok := in[mesh.HeaderIssuedAt]; ok {
		out[mesh.HeaderIssuedAt] = issued
	}
	return out
}

// endToEndHeaders returns a copy of the headers that are neither hop-by-hop nor
// headers of the mesh. The values are shared with in.
func endToEndHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in)+addedHeaders)
	for name, values := range in {
		if hopHeaders[name] || strings.HasPrefix(name, mesh.HeaderPrefix) {
			continue
		}
		out[name] = values
	}
	for _, list := range in["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// headerValues holds the values of up to 8 headers in one allocation.
type headerValues struct {
	values [8]string
	used   int
}

// set sets a header to one value. It may be called at most 8 times.
func (v *headerValues) set(h http.Header, name, value string) {
	v.values[v.used] = value
	v.used++
	h[name] = v.values[v.used-1 : v.used : v.used]
}

// suppressUserAgent keeps http.Transport from adding its default User-Agent.
func suppressUserAgent(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
}

// copyHeaders sets the headers of src in dst. The values are shared.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}
