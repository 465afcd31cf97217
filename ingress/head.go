package ingress

import (
	"bytes"
	"io"
	"net/textproto"
	"strconv"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/heldmemory"
)

// errMalformedHead means that a request head can be read in more than one way. What one
// reader takes for the body of a request may be the next request for another.
var errMalformedHead = errors.New("ingress: malformed request head")

// aheadReader reads a connection, after bytes of it that were read ahead.
type aheadReader struct {
	source io.Reader
	ahead  []byte
}

// aheadBytes is the size of a read ahead. Most heads are read at once, into the buffer of
// the connection.
const aheadBytes = 2 << 10

// Read returns the bytes that were read ahead, and those of the source after them.
func (r *aheadReader) Read(p []byte) (int, error) {
	if len(r.ahead) == 0 {
		return r.source.Read(p)
	}
	n := copy(p, r.ahead)
	if r.ahead = r.ahead[n:]; len(r.ahead) == 0 {
		r.ahead = nil
	}
	return n, nil
}

// more reads further bytes ahead.
func (r *aheadReader) more() error {
	have := len(r.ahead)
	r.ahead = append(r.ahead, make([]byte, aheadBytes)...)
	n, err := r.source.Read(r.ahead[have:])
	r.ahead = r.ahead[:have+n]
	if n > 0 {
		return nil
	}
	return err
}

// checkHead reads the next request head ahead and returns what it takes once it is parsed,
// or an error if it is malformed. The head can then be read from c.r as before. A head that
// does not arrive whole is left to the parser, which knows why.
func (c *connection) checkHead() (parsedBytes int64, err error) {
	var check headCheck
	for {
		buffered, _ := c.r.Peek(c.r.Buffered()) // Returns what is there.
		head := buffered
		if len(c.ahead.ahead) > 0 {
			head = append(append(make([]byte, 0, len(buffered)+len(c.ahead.ahead)), buffered...), c.ahead.ahead...)
		}
		if done, err := check.scan(head); done || err != nil {
			return headBytes(check.scanned, check.lines), err
		}
		if !c.holdAhead() {
			return 0, heldmemory.ErrNoMemory
		}
		if c.ahead.more() != nil {
			return headBytes(len(head), check.lines), nil // The parser gets the same error.
		}
	}
}

// headCheck checks the lines of a request head (RFC 9112, sections 2.2, 5.1, 5.2 and 6.3).
type headCheck struct {
	// scanned is the number of bytes whose lines have been checked.
	scanned int
	lines   int
	// length is the value of Content-Length, hasLength and hasCoding are set when the head
	// has that header and Transfer-Encoding.
	length               string
	hasLength, hasCoding bool
}

// scan checks the whole lines that begin with the head and have not been checked. It reports
// whether the head is complete.
func (h *headCheck) scan(head []byte) (done bool, err error) {
	for {
		i := bytes.IndexByte(head[h.scanned:], '\n')
		if i < 0 {
			return false, nil
		}
		line := head[h.scanned : h.scanned+i]
		h.scanned += i + 1
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			// Empty lines before the request line are ignored (section 2.2).
			if h.lines > 0 {
				return true, h.checkFraming()
			}
			continue
		}
		if err := h.checkLine(line); err != nil {
			return true, err
		}
		h.lines++
	}
}

func (h *headCheck) checkLine(line []byte) error {
	if bytes.IndexByte(line, '\r') >= 0 {
		return errors.Wrap(errMalformedHead, "bare CR")
	}
	if h.lines == 0 {
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return errors.Wrap(errMalformedHead, "folded line")
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return errors.Wrap(errMalformedHead, "name of a header")
	}
	switch textproto.CanonicalMIMEHeaderKey(string(name)) {
	case "Content-Length":
		length := string(bytes.Trim(value, " \t"))
		if h.hasLength && length != h.length {
			return errors.Wrap(errMalformedHead, "two lengths")
		}
		if _, err := strconv.ParseUint(length, 10, 63); err != nil {
			return errors.Wrap(errMalformedHead, "length")
		}
		h.length, h.hasLength = length, true
	case "Transfer-Encoding":
		h.hasCoding = true
	}
	return nil
}

func (h *headCheck) checkFraming() error {
	if h.hasLength && h.hasCoding {
		return errors.Wrap(errMalformedHead, "length beside a transfer encoding")
	}
	return nil
}
