// Package fieldname says which names the fields of a message may have. The parser of
// net/http also takes names with a blank, and keeps such fields under that name: the next
// reader may take "Content-Length " for the length of the body.
package fieldname

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that a head or a trailer has a field whose name is no token.
var ErrInvalid = errors.New("fieldname: invalid name of a field")

// tokenMarks are the characters of a token beside letters and digits (RFC 9110, section
// 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// Check returns ErrInvalid if the name of a field of the head or the trailer is no token.
func Check(fields map[string][]string) error {
	for name := range fields {
		if !isToken(name) {
			return errors.Wrapf(ErrInvalid, "%.100q", name)
		}
	}
	return nil
}

// CheckResponse checks the head of a response and the names that it announces for its
// trailer.
func CheckResponse(r *http.Response) error {
	if err := Check(r.Header); err != nil {
		return err
	}
	return Check(r.Trailer)
}

func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isAlphanumeric && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return name != ""
}
