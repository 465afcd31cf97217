package proxy

import (
	"net/http"
	"strconv"
	"time"

	"geraniumnotch.example/geraniumnotch/gate"
	"geraniumnotch.example/geraniumnotch/mesh"

	"github.com/cockroachdb/errors"
)

// maxIDLength bounds call IDs and endpoint names in headers.
const maxIDLength = 64

// incomingCall is a call from another node, as its headers describe it.
type incomingCall struct {
	call, root mesh.CallID
	customer   mesh.CustomerID
	endpoint   mesh.EndpointID
	service    mesh.ServiceName
	rank       mesh.Rank
	depth      int
	long       bool
	deadline   time.Time
	// responseTimeout is how long the gate waits for the first byte of a response;
	// zero means until the deadline.
	responseTimeout time.Duration
}

// parseIncoming reads the headers of a call.
func parseIncoming(h http.Header, now time.Time) (incomingCall, error) {
	in := incomingCall{
		call:     mesh.CallID(h.Get(mesh.HeaderCall)),
		root:     mesh.CallID(h.Get(mesh.HeaderRoot)),
		customer: mesh.CustomerID(h.Get(mesh.HeaderCustomer)),
		endpoint: mesh.EndpointID(h.Get(mesh.HeaderEndpoint)),
		service:  mesh.ServiceName(h.Get(mesh.HeaderService)),
		long:     h.Get(mesh.HeaderLong) == "1",
	}
	for _, id := range []string{string(in.call), string(in.root), string(in.endpoint)} {
		if id == "" || len(id) > maxIDLength {
			return in, errors.New("call, root and endpoint need 1 to 64 characters")
		}
	}
	return in, in.parseNumbers(h, now)
}

func (in *incomingCall) parseNumbers(h http.Header, now time.Time) error {
	rank, err := mesh.ParseRank(h.Get(mesh.HeaderRank))
	if err != nil {
		return err
	}
	in.rank = rank
	if in.depth, err = strconv.Atoi(h.Get(mesh.HeaderDepth)); err != nil || in.depth < 0 {
		return errors.New("depth is not a number of 0 or more")
	}
	ms, err := strconv.ParseInt(h.Get(mesh.HeaderDeadlineMs), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadlineMs {
		return errors.New("deadline is not a number of milliseconds")
	}
	in.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	if text := h.Get(mesh.HeaderResponseTimeoutMs); text != "" {
		timeoutMs, err := strconv.ParseInt(text, 10, 64)
		if err != nil || timeoutMs <= 0 || timeoutMs > maxDeadlineMs {
			return errors.New("response timeout is not a number of milliseconds above 0")
		}
		in.responseTimeout = time.Duration(timeoutMs) * time.Millisecond
	}
	return nil
}

// maxDeadlineMs bounds the remaining time of a call: one year.
const maxDeadlineMs = 365 * 24 * 3600 * 1000

func (in *incomingCall) toGateCall() gate.Call {
	return gate.Call{
		ID: in.call, Root: in.root, Customer: in.customer, Rank: in.rank,
		Depth: in.depth, Long: in.long, Deadline: in.deadline,
	}
}
