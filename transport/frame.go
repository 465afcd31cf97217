package transport

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// MaxFrameBytes is the largest frame that a link accepts.
const MaxFrameBytes = 32 << 20

// Limits for decoding frames from peers.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
	maxNesting       = 16
)

// Errors of this package.
var (
	ErrNoLink    = errors.New("transport: no link to the host")
	ErrQueueFull = errors.New("transport: send queue full")
	ErrFrame     = errors.New("transport: malformed frame")
	ErrAddress   = errors.New("transport: address is not an IP address and port")
	ErrIdentity  = errors.New("transport: peer sent no host ID")
	ErrSelf      = errors.New("transport: host links to itself")
	ErrBusy      = errors.New("transport: peer is at its handshake limit")
	ErrClosed    = errors.New("transport: closed")
)

var (
	encodeMode     = lo.Must(encodeOptions().EncMode())
	byteEncodeMode = lo.Must(byteEncodeOptions().EncMode())
	decodeMode     = lo.Must(cbor.DecOptions{
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNesting,
		ByteStringToString: cbor.ByteStringToStringAllowed,
	}.DecMode())
)

// ByteStringer is implemented by bodies whose strings may hold bytes that are not UTF-8,
// which no text string of CBOR may.
type ByteStringer interface {
	// NeedsByteStrings reports whether a string of the body is not UTF-8. All strings of
	// the body are then sent as byte strings.
	NeedsByteStrings() bool
}

// encodeOptions returns canonical CBOR options that keep the nanoseconds of times.
func encodeOptions() cbor.EncOptions {
	options := cbor.CanonicalEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	return options
}

func byteEncodeOptions() cbor.EncOptions {
	options := encodeOptions()
	options.String = cbor.StringToByteString
	return options
}

// EncodeFrame returns a frame: a CBOR sequence of kind and body.
func EncodeFrame(kind Kind, body any) ([]byte, error) {
	head, err := encodeMode.Marshal(kind)
	if err != nil {
		return nil, errors.Wrap(err, "transport: encode kind")
	}
	mode := encodeMode
	if b, ok := body.(ByteStringer); ok && b.NeedsByteStrings() {
		mode = byteEncodeMode
	}
	encoded, err := mode.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "transport: encode message of kind %d", kind)
	}
	return append(head, encoded...), nil
}

// ParseFrame returns the kind and the encoded body of a frame.
func ParseFrame(frame []byte) (Message, error) {
	var kind Kind
	rest, err := decodeMode.UnmarshalFirst(frame, &kind)
	if err != nil {
		return Message{}, errors.Mark(errors.Wrap(err, "transport: decode kind"), ErrFrame)
	}
	if kind == 0 || len(rest) == 0 {
		return Message{}, errors.Wrapf(ErrFrame, "kind %d with %d bytes", kind, len(rest))
	}
	return Message{Kind: kind, Body: rest}, nil
}

// Decode decodes the body of a message into the value that body points to.
func (m Message) Decode(body any) error {
	if err := decodeMode.Unmarshal(m.Body, body); err != nil {
		return errors.Mark(errors.Wrapf(err, "transport: decode message of kind %d", m.Kind), ErrFrame)
	}
	return nil
}
