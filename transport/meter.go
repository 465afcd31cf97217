package transport

import "sync/atomic"

// maxKind is the number of kinds that the meter counts separately; higher kinds
// count as KindHandshake.
const maxKind = 64

// KindHandshake is the kind under which the meter counts opening handshakes. No
// message has this kind.
const KindHandshake Kind = 0

// Estimates of the bytes that the WebSocket library does not report.
const (
	// handshakeRequestBytes and handshakeResponseBytes are the sizes of the
	// upgrade request and response with the headers of this package.
	handshakeRequestBytes  = 260
	handshakeResponseBytes = 180
	// maskBytes is the masking key in the header of each frame that the dialing
	// side sends.
	maskBytes = 4
)

// Traffic counts messages and bytes of one direction.
type Traffic struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// KindTraffic is the traffic of one kind of message.
type KindTraffic struct {
	In  Traffic `json:"in"`
	Out Traffic `json:"out"`
}

type counter struct{ messages, bytes atomic.Int64 }

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(int64(bytes))
}

func (c *counter) read() Traffic {
	return Traffic{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}

// Meter counts the traffic of a node by kind of message. Bytes include the
// WebSocket framing and an estimate of the handshakes; TCP and IP headers are
// not included. The zero value is ready for use, and all methods may be called
// concurrently.
type Meter struct {
	in, out [maxKind]counter
	onSent  func(kind Kind, bytes int)
}

// SetOnSent sets a function that is called with each message sent. It must be set before the
// first message, and must not block.
func (m *Meter) SetOnSent(f func(kind Kind, bytes int)) { m.onSent = f }

// meteredKind returns the kind under which the meter counts kind.
func meteredKind(kind Kind) Kind {
	if kind >= maxKind {
		return KindHandshake
	}
	return kind
}

// frameBytes returns the size of a WebSocket frame: by RFC 6455 the header has 2,
// 4 or 10 bytes, and the dialing side adds a masking key.
func frameBytes(payload int, masked bool) int {
	size := payload + 2
	switch {
	case payload > 0xffff:
		size += 8
	case payload > 125:
		size += 2
	}
	if masked {
		size += maskBytes
	}
	return size
}

func (m *Meter) received(kind Kind, bytes int) { m.in[meteredKind(kind)].add(bytes) }

func (m *Meter) sent(kind Kind, bytes int) {
	m.out[meteredKind(kind)].add(bytes)
	if m.onSent != nil {
		m.onSent(kind, bytes)
	}
}

// Read returns the traffic of each kind that has any.
func (m *Meter) Read() map[Kind]KindTraffic {
	traffic := map[Kind]KindTraffic{}
	for k := range Kind(maxKind) {
		t := KindTraffic{In: m.in[k].read(), Out: m.out[k].read()}
		if t.In.Messages+t.Out.Messages > 0 {
			traffic[k] = t
		}
	}
	return traffic
}

// Total returns the traffic of all kinds.
func (m *Meter) Total() KindTraffic {
	var total KindTraffic
	for _, t := range m.Read() {
		total.In.Messages += t.In.Messages
		total.In.Bytes += t.In.Bytes
		total.Out.Messages += t.Out.Messages
		total.Out.Bytes += t.Out.Bytes
	}
	return total
}
