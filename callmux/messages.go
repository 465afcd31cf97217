// Package callmux carries calls between hosts. All calls between two hosts share one
// link: each is a stream of CBOR frames with its own flow control, so that a
// connection per concurrent call is not needed and a slow body delays no other
// call.
package callmux

import (
	"net/http"
	"time"

	"geraniumnotch.example/geraniumnotch/boottime"
	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// chunkBytes is the largest part of a body in a frame. A frame of this size
	// occupies a link of 7 Mbit/s for 19 ms.
	chunkBytes = 16 << 10
	// windowBytes bounds the bytes of a body that the receiver has not consumed.
	windowBytes = 64 << 10
	// fetchableBytes is the longest body that is fetched before its call gets a
	// slot. Entries send longer ones while they arrive from the client.
	fetchableBytes = 1 << 20
	// inlineBytes is the largest body that travels with the head of a call. The
	// gate may refuse the call, and then the body was sent for nothing.
	inlineBytes = 4 << 10
)

// openFrame begins a call.
type openFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	// SentAt is the sender's boot time, from which the receiver derives how long
	// the frame was under way.
	SentAt     boottime.Time
	ID         string
	Method     string
	URI        string
	Host       string
	Header     []string
	Caller     mesh.ServiceName
	Service    mesh.ServiceName
	Kind       routeplan.Kind
	Rank       uint8
	Nested     bool
	Left       time.Duration
	TargetLeft time.Duration
	BodyBytes  int64
	HasBody    bool
	Body       []byte
	// More is set when the body continues in data frames once the receiver gives
	// credit.
	More bool
}

// dataFrame is a part of a body. End marks the last part, Broken a body that
// ended early.
type dataFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	Data   []byte
	End    bool
	Broken bool
}

// creditFrame lets the sender send Bytes more of a body.
type creditFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	Bytes  int
}

// cancelFrame abandons a call.
type cancelFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
}

// headFrame is the head of an answer, and the whole body unless More is set.
type headFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	Status int
	Header []string
	Bytes  int64
	Body   []byte
	More   bool
	Load   call.Load
	// NestedFailed is set when a call failed that the endpoint made meanwhile.
	NestedFailed bool
}

// failedFrame ends an attempt without an answer.
type failedFrame struct {
	_          struct{} `cbor:",toarray"`
	Stream     uint64
	Fate       call.Fate
	Reason     string
	Sent       bool
	RetryAfter time.Duration
	Load       call.Load
}

func flatten(h http.Header) []string {
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

func unflatten(flat []string) http.Header {
	h := make(http.Header, len(flat)/2)
	for i := 0; i+1 < len(flat); i += 2 {
		h[flat[i]] = append(h[flat[i]], flat[i+1])
	}
	return h
}
