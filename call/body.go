package call

import "bytes"

type bytesBody struct {
	bytes.Reader
}

// BytesBody returns a body that is kept in memory.
func BytesBody(b []byte) Body {
	body := &bytesBody{}
	body.Reset(b)
	return body
}

// Rewind returns to the beginning.
func (b *bytesBody) Rewind() bool {
	_, err := b.Seek(0, 0)
	return err == nil
}
