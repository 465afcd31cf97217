package proxy

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumnotch.example/geraniumnotch/admission"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/routing"
	"geraniumnotch.example/geraniumnotch/selection"

	"github.com/cockroachdb/errors"
)

// call is a call that an Entry serves, from its arrival to its response.
type call struct {
	entry *Entry
	w     http.ResponseWriter
	r     *http.Request
	// id is the ID that the caller gets. Each attempt has an ID of its own, which
	// the caller must not learn, because endpoints use it to prove which call is the
	// parent of a nested call.
	id, root mesh.CallID
	started  time.Time

	snapshot *routing.Snapshot
	table    *selection.Table
	parent   *runningCall
	customer *lists.Customer
	route    *lists.Route
	rank     mesh.Rank
	depth    int
	deadline time.Time

	ctx           context.Context
	cancel        context.CancelFunc
	unwatchParent func() bool
	ticket        *admission.Ticket
	body          *requestBody
	claim         Claim
	// original is set if this call is the first with its key at this node, replay
	// if it is a duplicate whose response was stored.
	original *originalCall
	replay   *storedResponse
	header   http.Header
	decision *Decision
}

// newCallID returns 128 random bits in hexadecimal. The ID must be unguessable:
// it proves to the entry that a nested call comes from a call that runs here.
func newCallID() mesh.CallID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return mesh.CallID(hex.EncodeToString(b[:]))
}

func formatSequence(s mesh.Sequence) string { return strconv.FormatUint(uint64(s), 10) }

// validate rejects requests that cannot be forwarded safely.
func (c *call) validate() *callFailure {
	switch {
	case !c.r.ProtoAtLeast(1, 1):
		// A truncated response looks complete to an HTTP/1.0 caller.
		f := notExecuted(mesh.ReasonMalformed, "HTTP/1.1 is required")
		f.status = http.StatusHTTPVersionNotSupported
		return f
	case c.r.Method == http.MethodConnect || !strings.HasPrefix(c.r.URL.Path, "/"):
		return notExecuted(mesh.ReasonMalformed, "the request needs a path")
	}
	return nil
}

// identify sets the routing snapshot of the call, and its customer from the bearer
// token or from the running parent call.
func (c *call) identify() *callFailure {
	c.snapshot = c.entry.cfg.Snapshot.Load()
	if c.snapshot == nil || c.snapshot.Config == nil {
		f := notExecuted(mesh.ReasonNoRoute, "this node has no version of the lists yet")
		f.status = http.StatusServiceUnavailable
		return f
	}
	c.table = c.entry.cfg.Selector.Table(c.snapshot)
	c.snapshot = c.table.Snapshot()
	c.decision.Sequence = c.snapshot.Version.Sequence
	if parent := c.r.Header.Get(mesh.HeaderParent); parent != "" {
		return c.identifyNested(mesh.CallID(parent))
	}
	if c.entry.calls.draining.Load() {
		c.w.Header().Set("Connection", "close")
		return notExecuted(mesh.ReasonDraining, "the node is stopping")
	}
	token, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return notExecuted(mesh.ReasonUnauthenticated, "a bearer token is required")
	}
	if c.customer, ok = c.snapshot.Customer(sha256.Sum256([]byte(token))); !ok {
		return notExecuted(mesh.ReasonUnauthenticated, "unknown bearer token")
	}
	c.decision.Customer = c.customer.ID
	return nil
}

func (c *call) identifyNested(parent mesh.CallID) *callFailure {
	c.parent = c.entry.cfg.Running.find(parent)
	if c.parent == nil {
		return notExecuted(mesh.ReasonUnauthenticated, "the parent call does not run at this host")
	}
	c.parent.nestedInFlight.Add(1)
	c.root, c.depth = c.parent.root, c.parent.depth+1
	c.decision.Root, c.decision.Parent, c.decision.Depth = c.root, parent, c.depth
	c.decision.Customer = c.parent.customer
	if c.depth > mesh.MaxDepth {
		return notExecuted(mesh.ReasonTooDeep, "calls may be nested 7 deep")
	}
	customer, ok := c.snapshot.Config.Customers[c.parent.customer]
	if !ok {
		return notExecuted(mesh.ReasonUnauthenticated, "the customer of the parent call was removed")
	}
	c.customer = customer
	return nil
}

// matchRoute sets the route and the rank. A nested call has the rank of its root.
func (c *call) matchRoute() *callFailure {
	c.route = c.snapshot.Match(c.customer, c.r.URL.Path)
	if c.route == nil {
		return notExecuted(mesh.ReasonNoRoute, "the customer's plan has no route for the path")
	}
	c.rank = c.route.Rank
	if c.parent != nil {
		c.rank = c.parent.rank
	}
	c.decision.Route, c.decision.Service, c.decision.Rank = c.route.Name, c.route.Service.Name, c.rank
	return nil
}

// startDeadline starts the deadline. A nested call ends no later than its parent.
func (c *call) startDeadline() *callFailure {
	c.deadline = c.started.Add(c.route.Deadline)
	if c.parent != nil && c.parent.deadline.Before(c.deadline) {
		c.deadline = c.parent.deadline
	}
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	if c.parent == nil {
		return nil
	}
	parent, cancel := c.parent, c.cancel
	c.unwatchParent = context.AfterFunc(parent.ctx, func() {
		if !parent.finished.Load() {
			cancel()
		}
	})
	return nil
}

// admit asks admission to accept a root call. Nested calls were admitted with
// their root.
func (c *call) admit() *callFailure {
	if c.parent != nil {
		c.decision.Admission = "nested"
		return nil
	}
	ticket, err := c.entry.cfg.Admission.AdmitRoot(c.ctx, admission.Root{Call: c.id, Customer: c.customer, Route: c.route})
	if err == nil {
		c.ticket, c.decision.Admission = ticket, "admitted"
		return nil
	}
	f := notExecuted(mesh.ReasonOverload, "")
	var rejection *admission.Rejection
	if errors.As(err, &rejection) {
		f.reason, f.retryAfter = rejection.Reason, rejection.RetryAfter
	}
	c.decision.Admission = string(f.reason)
	return f
}

// bodyReadGrace is added to the deadline of a call to get the read timeout of its
// body, so that the call ends because of the deadline and not of the read timeout.
const bodyReadGrace = time.Second

// readBody sets the body. The body of a keyed call is read whole, for its hash. A
// caller that stalls while it sends its body is disconnected after the deadline.
func (c *call) readBody() *callFailure {
	var err error
	if c.r.ContentLength != 0 {
		_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline.Add(bodyReadGrace))
	}
	maxBytes := c.entry.cfg.MaxBodyBytes
	if c.r.ContentLength > maxBytes {
		f := notExecuted(mesh.ReasonMalformed, "the request body is too long")
		f.status = http.StatusRequestEntityTooLarge
		return f
	}
	if c.r.ContentLength < 0 {
		c.r.Body = &limitedBody{ReadCloser: c.r.Body, remaining: maxBytes}
	}
	if c.route.Keyed {
		c.body, err = bufferRequestBody(c.w, c.r, c.entry.cfg.Memory, MaxKeyedBodyBytes)
	} else {
		c.body, err = newRequestBody(c.w, c.r, c.entry.cfg.Memory, c.entry.cfg.MaxBufferedBodyBytes)
	}
	switch {
	case err == nil:
		c.prepareHeader()
		return nil
	case errors.Is(err, errTooLarge):
		f := notExecuted(mesh.ReasonMalformed, "the body of a keyed call is at most 1 MB")
		f.status = http.StatusRequestEntityTooLarge
		return f
	case errors.Is(err, heldmemory.ErrNoMemory):
		f := notExecuted(mesh.ReasonOverload, "the node has no memory for the request body")
		f.retryAfter = heldmemory.StallTime
		return f
	}
	return notExecuted(mesh.ReasonCancelled, "the request body ended early")
}

// prepareHeader sets the part of the header that all attempts share.
func (c *call) prepareHeader() {
	h := callerHeaders(c.r.Header)
	suppressUserAgent(h)
	values := &headerValues{}
	values.set(h, mesh.HeaderRoot, string(c.root))
	values.set(h, mesh.HeaderRank, c.rank.String())
	values.set(h, mesh.HeaderDepth, strconv.Itoa(c.depth))
	values.set(h, mesh.HeaderCustomer, string(c.customer.ID))
	values.set(h, mesh.HeaderService, string(c.route.Service.Name))
	values.set(h, mesh.HeaderSequence, formatSequence(c.snapshot.Version.Sequence))
	if c.route.Long {
		values.set(h, mesh.HeaderLong, "1")
	}
	if c.body.stream != nil {
		// The gate asks for the body only once the call has a slot, so that a
		// rejected upload can still go to another endpoint.
		values.set(h, "Expect", "100-continue")
		_ = http.NewResponseController(c.w).EnableFullDuplex()
	}
	c.header = h
}
