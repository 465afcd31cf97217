package ingress

import (
	"net/http"

	"geraniumnotch.example/geraniumnotch/call"
	"geraniumnotch.example/geraniumnotch/connlimit"
	"geraniumnotch.example/geraniumnotch/heldmemory"
	"geraniumnotch.example/geraniumnotch/routeplan"
)

const (
	// requestBytes is what a request takes besides its head and its body: goroutines, the
	// call and its state.
	requestBytes = 4 << 10
	// minResponseBytes and maxResponseBytes bound the room that is reserved for a response
	// before a request is forwarded. Longer responses are streamed or in the buffers for
	// long responses.
	minResponseBytes = 16 << 10
	maxResponseBytes = 64 << 10
	// streamBytes is what a streamed response takes: the window of the link or the part that
	// is read before, and the buffer of the copy.
	streamBytes = 96 << 10
	// uncountedHeadBytes is the cost up to which the first head of a connection is read
	// without room for it, so that the refusal has the ID of the request. It is in the
	// memory of the connection.
	uncountedHeadBytes = 8 << 10
)

// headBytes returns what a request with a head of the given length and number of lines takes
// once it is parsed.
func headBytes(length, lines int) int64 {
	return requestBytes + heldmemory.HeadBytes(length, lines)
}

// responseBytes returns what a response takes until it has been written.
func responseBytes(a *call.Response) int64 {
	length, fields := 0, 0
	for name, values := range a.Header {
		for _, value := range values {
			length += len(name) + len(value)
			fields++
		}
	}
	bytes := int64(len(a.Body)) + heldmemory.HeadBytes(length, fields)
	if a.Stream != nil {
		bytes += streamBytes
	}
	return bytes
}

// roomForResponse returns what is reserved for a response of the route. Responses vary, so
// that it is more than the mean.
func (f *Forwarder) roomForResponse(route *routeplan.Route) int64 {
	if !f.Sizes.Seen(route) {
		return maxResponseBytes
	}
	return min(max(minResponseBytes, 2*f.Sizes.Expected(route)), maxResponseBytes)
}

// holdHead takes memory for the next request head, which has arrived. Where there is none, it
// first waits for the responses that hold memory of the same connection.
func (c *connection) holdHead(bytes int64) bool {
	c.lacksMemory = false
	if c.held.TryGrow(bytes) {
		return true
	}
	c.mu.Lock()
	earlier := c.lastDone
	c.mu.Unlock()
	<-earlier
	if c.held.Grow(c.ctx, bytes) {
		return true
	}
	if bytes > uncountedHeadBytes {
		return false
	}
	c.lacksMemory = true
	c.held.Take(bytes)
	return true
}

// holdAhead takes memory for the next part of a request head that is read ahead.
func (c *connection) holdAhead() bool {
	if int64(len(c.ahead.ahead))+aheadBytes <= c.heldAhead {
		return true
	}
	c.SetReading(connlimit.Nothing)
	if !c.held.Grow(c.ctx, aheadBytes) {
		return false
	}
	c.heldAhead += aheadBytes
	c.SetReading(connlimit.Head)
	return true
}

// releaseAhead returns the memory of the part of a request head that was read ahead.
func (c *connection) releaseAhead() {
	c.held.Shrink(c.heldAhead)
	c.heldAhead = 0
}

// holdRoom reserves memory for the response. Where there is none, the request waits until it
// is the first of its connection. holdRoom reports false if the request must be rejected.
func (x *exchange) holdRoom() bool {
	c := x.c
	if c.lacksMemory {
		return false
	}
	room := c.server.config.Forwarder.roomForResponse(x.Route)
	if !c.held.TryGrow(room) && !(x.awaitTurn() && c.held.Grow(c.ctx, room)) {
		return false
	}
	x.room = room
	return true
}

// holdResponse records the memory of a response that has arrived.
func (x *exchange) holdResponse(a *call.Response) {
	if more := responseBytes(a) - x.room; more > 0 {
		x.c.held.Take(more)
		x.room += more
	}
}

// rejectForMemory responds to a request for which there is no memory. It was not forwarded.
// It reports whether a further request may be read.
func (x *exchange) rejectForMemory(request *http.Request) bool {
	x.closeAfter = x.closeAfter || request.ContentLength != 0 || x.c.lacksMemory
	x.writeFailure(http.StatusServiceUnavailable, call.ReasonNoMemory, noMemoryRetryAfter)
	return !x.closeAfter
}
