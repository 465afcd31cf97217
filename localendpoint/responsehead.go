package localendpoint

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/internal/fieldname"
)

// maxResponseHeadBytes bounds the status line and the headers of a response, which net/http
// buffers without a limit of its own. The proxy has the same limit.
const maxResponseHeadBytes = 64 << 10

// readResponse reads the head of a response. Its body returns an error in place of its end if
// the trailer is malformed.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	c.limited.SetLimit(maxResponseHeadBytes)
	defer c.limited.RemoveLimit()
	response, err := http.ReadResponse(c.r, request)
	if err != nil {
		return nil, err
	}
	if err := fieldname.CheckResponse(response); err != nil {
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = trailedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// trailedBody is a chunked body, whose trailer is known at its end.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read returns the next bytes, or an error in place of io.EOF if the trailer is malformed.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := fieldname.Check(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
