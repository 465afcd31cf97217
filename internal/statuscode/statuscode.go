// Package statuscode says which status codes a response may have.
package statuscode

import "net/http"

const (
	minFinal = 200
	maxFinal = 599
)

// IsFinal reports whether a response with the status ends an exchange. RFC 9110, section 15,
// calls codes outside of 100 to 599 invalid.
func IsFinal(status int) bool { return status >= minFinal && status <= maxFinal }

// IsInterim reports whether a response with the status precedes the final one. 101 does not:
// it ends HTTP on the connection, which a node never asks for.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinal && status != http.StatusSwitchingProtocols
}
