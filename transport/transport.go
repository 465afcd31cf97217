// Package transport carries typed messages between nodes over WebSocket links
// with CBOR frames, and meters their bytes.
package transport

import (
	"context"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Kind identifies the type of a message. It is the first element of every frame.
type Kind uint8

// The kinds of messages. Values are part of the protocol.
const (
	KindHello Kind = iota + 1
	KindAnnounce
	KindPull
	KindVersion
	KindMembers
	KindMemberDigest
	KindMemberRequest
	KindPing
	KindPong
	KindApplied
	KindQuotaDemand
	KindQuotaGrant
	KindClaimRequest
	KindClaimReply
	KindHostStatus
	KindPlanRequest
	KindPlanValue
	KindCallOpen
	KindCallData
	KindCallCredit
	KindCallCancel
	KindResponseHead
	KindResponseData
	KindResponseCredit
	KindAttemptFailed
	KindHostStatusDelta
	KindCallHeld
	KindCallReceived
	KindCallRelease
	KindCallOpenFor
	KindKeyedPlanValue
	KindWorkspaceDemand
	KindWorkspaceGrant
	KindRolloutState
	KindLinkStatus
)

// String returns the name of the kinds that nodes beside an endpoint exchange, for
// metrics.
func (k Kind) String() string {
	switch k {
	case KindHandshake:
		return "handshake"
	case KindHostStatus, KindHostStatusDelta, KindLinkStatus:
		return "status"
	case KindPlanRequest, KindPlanValue, KindKeyedPlanValue:
		return "plan"
	case KindCallOpen, KindCallHeld, KindCallOpenFor:
		return "call"
	case KindCallReceived, KindCallRelease:
		return "receipt"
	case KindCallData:
		return "call_body"
	case KindResponseHead:
		return "response"
	case KindResponseData:
		return "response_body"
	case KindCallCredit, KindResponseCredit:
		return "credit"
	case KindWorkspaceDemand, KindWorkspaceGrant:
		return "quota"
	case KindRolloutState:
		return "rollout"
	case KindCallCancel, KindAttemptFailed:
		return "end"
	default:
		return "other"
	}
}

// Message is one CBOR-encoded body with its kind.
type Message struct {
	Kind Kind
	Body []byte
}

// Sender sends messages to peers. Sending does not wait for the peer; a message
// to a peer without a link is dropped and reported as an error.
type Sender interface {
	Send(ctx context.Context, to mesh.HostID, kind Kind, body any) error
}

// Handler receives messages from peers. Handle must not block; it runs on the
// link's reading goroutine.
type Handler interface {
	Handle(from mesh.HostID, m Message)
}
