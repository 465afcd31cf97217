package call

import "bytes"

type bytesBody struct {
	bytes.Reader
}

// BytesBody returns a body in memory.
func BytesBody(b []byte) Body {
	body := &bytesBody{}
	body.Reset(b)
	return body
}

// Rewind implements Body.
func (b *bytesBody) Rewind() bool {
	_, err := b.Seek(0, 0)
	return err == nil
}
