// Package callmux multiplexes the calls between two hosts over one link. Each call is
// a stream of CBOR frames with its own flow control, so that concurrent calls need
// no connection each and a slow body delays no other call.
package callmux

import (
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// chunkBytes is the maximum body size of a frame. A frame of this size occupies a
	// network link of 7 Mbit/s for 19 ms.
	chunkBytes = 16 << 10
	// windowBytes bounds the sent bytes of a body that the receiver has not read.
	windowBytes = 64 << 10
	// fetchableBytes is the longest body that is fetched before its call gets a
	// slot. The ingress streams longer ones while they arrive from the client.
	fetchableBytes = 1 << 20
	// inlineBytes is the longest body that is sent in the open frame of a call. It is
	// sent in vain if the gate rejects the call.
	inlineBytes = 4 << 10
)

// openFrame starts a call.
type openFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	// SentAt is the sender's boot time, from which the receiver estimates the transit
	// delay of the frame.
	SentAt          boottime.Time
	ID              string
	Method          string
	URI             string
	Host            string
	Header          []string
	Caller          mesh.ServiceName
	Service         mesh.ServiceName
	Kind            routeplan.Kind
	Rank            uint8
	Nested          bool
	Remaining       time.Duration
	TargetRemaining time.Duration
	BodyBytes       int64
	HasBody         bool
	Body            []byte
	// More is set when the body follows in data frames, for which the receiver gives
	// credit.
	More bool
}

// openForFrame starts a call of a workspace, or one with an expected long response.
type openForFrame struct {
	_    struct{} `cbor:",toarray"`
	Open openFrame
	// Held is set if the receiver must not execute the call before it is released.
	Held          bool
	Workspace     mesh.WorkspaceName
	ClassRank     uint8
	ResponseBytes int64
}

// NeedsByteStrings implements transport.ByteStringer.
func (f openForFrame) NeedsByteStrings() bool { return f.Open.NeedsByteStrings() }

// validate returns an error unless the frame starts a call that needs it.
func (f *openForFrame) validate() error {
	if f.ResponseBytes < 0 || f.Workspace == "" && f.ResponseBytes == 0 {
		return errors.Wrapf(ErrMessage, "call without a workspace and with a response of %d bytes", f.ResponseBytes)
	}
	return nil
}

// dataFrame is a chunk of a body. End marks the last chunk, Broken a body that cannot
// be completed.
type dataFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	Data   []byte
	End    bool
	Broken bool
}

// creditFrame allows the sender to send Bytes more bytes of a body.
type creditFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	Bytes  int
}

// streamFrame names a call: one that the host has received (KindCallReceived), or one that
// it held and may execute now (KindCallRelease).
type streamFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
}

// cancelFrame cancels a call.
type cancelFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
}

// headFrame is the head of a response, with its whole body unless More is set.
type headFrame struct {
	_         struct{} `cbor:",toarray"`
	Stream    uint64
	Status    int
	Header    []string
	BodyBytes int64
	Body      []byte
	More      bool
	Load      call.Load
	// NestedFailed is set when a nested call of this call failed.
	NestedFailed bool
}

// failedFrame ends an attempt without a response.
type failedFrame struct {
	_          struct{} `cbor:",toarray"`
	Stream     uint64
	Outcome    call.AttemptOutcome
	Reason     string
	Sent       bool
	RetryAfter time.Duration
	Load       call.Load
}

func flattenHeader(h http.Header) []string {
	n := 0
	for _, values := range h {
		n += 2 * len(values)
	}
	flat := make([]string, 0, n)
	for name, values := range h {
		for _, value := range values {
			flat = append(flat, name, value)
		}
	}
	return flat
}

func unflattenHeader(flat []string) http.Header {
	h := make(http.Header, len(flat)/2)
	for i := 0; i+1 < len(flat); i += 2 {
		h[flat[i]] = append(h[flat[i]], flat[i+1])
	}
	return h
}

// NeedsByteStrings implements transport.ByteStringer: clients may send any bytes in the
// path, the ID and the headers of a request.
func (f openFrame) NeedsByteStrings() bool {
	return !isText(f.ID) || !isText(f.Method) || !isText(f.URI) || !isText(f.Host) || !lo.EveryBy(f.Header, isText)
}

// NeedsByteStrings implements transport.ByteStringer: endpoints may send any bytes in the
// headers of a response.
func (f headFrame) NeedsByteStrings() bool { return !lo.EveryBy(f.Header, isText) }

func isText(s string) bool { return utf8.ValidString(s) }

// ErrMessage means that a message of a peer has values that no host sends.
var ErrMessage = errors.New("callmux: malformed message")

// validate returns an error unless the credit is one that a receiver gives: at most what
// its window holds.
func (f *creditFrame) validate() error {
	if f.Bytes < 0 || f.Bytes > windowBytes {
		return errors.Wrapf(ErrMessage, "credit of %d bytes", f.Bytes)
	}
	return nil
}

// validate returns an error unless the frame states the outcome of an attempt without a
// response.
func (f *failedFrame) validate() error {
	switch f.Outcome {
	case call.Rejected, call.Broken, call.Expired:
	default:
		return errors.Wrapf(ErrMessage, "failure with outcome %d", f.Outcome)
	}
	if f.RetryAfter < 0 {
		return errors.Wrapf(ErrMessage, "retry-after of %s", f.RetryAfter)
	}
	return nil
}

// validate returns an error unless the frame begins or holds a response.
func (f *headFrame) validate() error {
	if f.Status < http.StatusContinue || f.Status > maxStatus || f.BodyBytes < -1 {
		return errors.Wrapf(ErrMessage, "response with status %d and %d bytes", f.Status, f.BodyBytes)
	}
	if !f.More && f.BodyBytes != int64(len(f.Body)) {
		return errors.Wrapf(ErrMessage, "response with %d of %d bytes", len(f.Body), f.BodyBytes)
	}
	return nil
}

// maxStatus is the highest status that earlier programs pass on.
const maxStatus = 999
