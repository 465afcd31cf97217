package call

import "bytes"

type bytesBody struct {
	bytes.Reader
	content []byte
}

// BytesBody returns a body in memory.
func BytesBody(b []byte) Body {
	body := &bytesBody{content: b}
	body.Reset(b)
	return body
}

// Rewind implements Body.
func (b *bytesBody) Rewind() (Body, bool) { return BytesBody(b.content), true }
